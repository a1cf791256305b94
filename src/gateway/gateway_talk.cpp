// Datagrams between a gateway, the other gateways and the stagers.

#include "gateway/gateway_p.h"

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRunnerSilence{ 2500 }; // of a stager in the region
constexpr milliseconds kNoticeLife{ 700 };     // that a runner is loading

void
AddLoad(const std::string& aRunner,
        const RunnerLoad& aLoad,
        google::protobuf::RepeatedPtrField<v1::RunnerLoadReport>& aTo)
{
  v1::RunnerLoadReport& load = *aTo.Add();
  load.set_runner(aRunner);
  load.set_requests(aLoad.m_requests);
  load.set_prompt_tokens(aLoad.m_promptTokens);
}

} // namespace

void
Gateway::OnDatagram(const v1::Datagram& aDatagram, const Address& aFrom)
{
  if (aDatagram.has_gateway()) {
    OnBeacon(aDatagram.gateway(), aFrom);
  } else if (aDatagram.has_stager()) {
    NoteNamed(aDatagram.stager().named());
    OnStagerNotice(aDatagram.stager());
  } else if (aDatagram.has_region()) {
    OnRegionReport(aDatagram);
  }
}

void
Gateway::OnBeacon(const v1::GatewayBeacon& aBeacon, const Address& aFrom)
{
  NoteNamed(aBeacon.named());
  for (const wire::Suspicion& suspicion : aBeacon.suspicions()) {
    m_crashes.Hear(suspicion);
  }
  if (m_peers.Hear(aBeacon, aFrom, LoopNow())) {
    m_retries.SetEntries(m_peers.Count());
  }
}

void
Gateway::OnRegionReport(const v1::Datagram& aDatagram)
{
  const v1::RegionReport& report = aDatagram.region();
  if (!m_peers.HearRegion(report, LoopNow())) {
    return;
  }
  m_retries.SetEntries(m_peers.Count());
  NoteNamed(report.named());
  for (const wire::Suspicion& suspicion : report.suspicions()) {
    m_crashes.Hear(suspicion);
  }
  for (const v1::RunnerReport& told : report.runners()) {
    if (RunnerState* runner = m_runners.Find(told.runner())) {
      NoteRunner(*runner, told);
    }
  }
  if (report.passed_on()) {
    return;
  }
  v1::Datagram copy = aDatagram;
  copy.mutable_region()->set_passed_on(true);
  SendNear(copy);
}

void
Gateway::SendNear(const v1::Datagram& aDatagram)
{
  for (const Address& address : m_peers.Near()) {
    m_datagrams->Send(aDatagram, address);
  }
}

void
Gateway::NoteRunner(RunnerState& aRunner, const v1::RunnerReport& aReport)
{
  aRunner.m_loadingUntil =
    aReport.loading() ? LoopNow() + kNoticeLife : MonotonicTime{};
  if (!aReport.model().empty() && !aReport.loading()) {
    aRunner.m_record.m_versions[aReport.model()] = aReport.loaded();
  }
}

void
Gateway::OnStagerNotice(const v1::StagerNotice& aNotice)
{
  RunnerState* runner = nullptr;
  try {
    runner = m_runners.FindByAddress(ParseAddress(aNotice.runner()));
  } catch (const std::invalid_argument&) {
    return;
  }
  if (runner == nullptr || runner->m_record.m_service != aNotice.service()) {
    return;
  }
  v1::RunnerReport report;
  report.set_runner(runner->m_record.m_id);
  report.set_loading(aNotice.turn() == v1::TURN_LOADING);
  report.set_model(aNotice.model());
  report.set_loaded(aNotice.loaded());
  NoteRunner(*runner, report);
  m_ownRunners[runner->m_record.m_id] = { report, LoopNow() };
}

v1::Datagram
Gateway::Beacon() const
{
  v1::Datagram datagram;
  v1::GatewayBeacon& beacon = *datagram.mutable_gateway();
  beacon.set_vm(m_settings.m_node.m_vm);
  beacon.set_incarnation(m_incarnation);
  beacon.set_region(m_region);
  beacon.set_callers(m_settings.m_node.m_http.ToString());
  beacon.set_serving(IsNamed());
  return datagram;
}

v1::Datagram
Gateway::BeaconWithLoads() const
{
  v1::Datagram datagram = Beacon();
  for (const auto& [id, state] : m_runners.All()) {
    if (!(state.m_own == RunnerLoad{})) {
      AddLoad(id, state.m_own, *datagram.mutable_gateway()->mutable_loads());
    }
  }
  return datagram;
}

// Gateways of one region mostly choose among the same runners, so they hear of
// each change at once. The more they are the longer each waits, which bounds
// what one sends and hears.
void
Gateway::TellRegion()
{
  constexpr std::size_t kPeersPerTick = 4;
  const std::size_t every = 1 + m_peers.Near().size() / kPeersPerTick;
  if (m_ticks % every != 0) {
    return;
  }
  const v1::Datagram datagram = BeaconWithLoads();
  std::string told = datagram.SerializeAsString();
  if (told == m_toldRegion) {
    return;
  }
  m_toldRegion = std::move(told);
  SendNear(datagram);
}

// Told though nothing changed, so that others know that this gateway is there.
void
Gateway::TellAlive(bool aWithNamed)
{
  v1::Datagram datagram = BeaconWithLoads();
  if (aWithNamed) {
    TellNamed(
      m_named, BootTime(), *datagram.mutable_gateway()->mutable_named());
  }
  for (const wire::Suspicion& suspicion : m_crashes.Told(LoopNow())) {
    *datagram.mutable_gateway()->add_suspicions() = suspicion;
  }
  SendNear(datagram);
}

// What gateways of other regions need to know of this one.
void
Gateway::TellOtherRegions(bool aWithNamed)
{
  const MonotonicTime now = LoopNow();
  const std::vector<Address> told = m_peers.ToTellOfRegion(m_ticks, now);
  if (told.empty()) {
    return;
  }
  v1::Datagram datagram;
  v1::RegionReport& report = *datagram.mutable_region();
  report.set_region(m_region);
  v1::GatewayBeacon& own = *report.add_gateways();
  own = Beacon().gateway();
  own.set_datagrams(m_settings.m_node.m_rpc.ToString());
  for (v1::GatewayBeacon& beacon : m_peers.OwnRegion(now)) {
    *report.add_gateways() = std::move(beacon);
  }
  AddRegionLoads(report);
  for (const auto& [id, heard] : m_ownRunners) {
    if (now - heard.m_at < kRunnerSilence) {
      v1::RunnerReport& runner = *report.add_runners();
      runner = heard.m_report;
      runner.set_loading(runner.loading() && now - heard.m_at < kNoticeLife);
    }
  }
  if (aWithNamed) {
    TellNamed(m_named, BootTime(), *report.mutable_named());
  }
  for (const wire::Suspicion& suspicion : m_crashes.Told(now)) {
    *report.add_suspicions() = suspicion;
  }
  for (const Address& address : told) {
    m_datagrams->Send(datagram, address);
  }
}

void
Gateway::AddRegionLoads(v1::RegionReport& aReport)
{
  std::map<std::string, RunnerLoad> loads = m_peers.RegionLoads(LoopNow());
  for (const auto& [id, state] : m_runners.All()) {
    if (state.m_own == RunnerLoad{}) {
      continue;
    }
    loads[id].m_requests += state.m_own.m_requests;
    loads[id].m_promptTokens += state.m_own.m_promptTokens;
  }
  for (const auto& [id, load] : loads) {
    AddLoad(id, load, *aReport.mutable_loads());
  }
}

// Stagers tell back to the gateways that they hear, those of their region.
void
Gateway::TellStagers()
{
  v1::Datagram datagram = Beacon();
  TellNamed(m_named, BootTime(), *datagram.mutable_gateway()->mutable_named());
  if (!m_routes) {
    return;
  }
  for (const auto& [id, state] : m_runners.All()) {
    const bool near = RegionOf(m_settings.m_gateway.m_regions,
                               state.m_record.m_place) == m_region;
    if (near && m_routes->Service(state.m_record.m_service).m_engine) {
      m_datagrams->Send(
        datagram,
        { state.m_record.m_address.m_host, m_settings.m_node.m_rpc.m_port });
    }
  }
}

void
Gateway::ApplyPeerLoads()
{
  const auto loads = m_peers.Loads(LoopNow());
  for (auto& [id, state] : m_runners.All()) {
    const auto found = loads.find(id);
    state.m_others = found == loads.end() ? RunnerLoad{} : found->second;
  }
}

} // namespace siskindeal

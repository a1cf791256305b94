// Datagrams between this gateway, other gateways and stagers.

#include "gateway/gateway_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/metrics.h"
#include "siskindeal/wire_values.h"

#include <algorithm>
#include <limits>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// How long a stager's report is relayed to other regions.
constexpr milliseconds kRunnerReportLifetime{ 2500 };
// How long a notice that a runner is loading weights applies.
constexpr milliseconds kLoadingNoticeLifetime{ 700 };

void
AppendLoad(const RunnerIncarnation& aRunner,
           const RunnerLoad& aLoad,
           google::protobuf::RepeatedPtrField<v1::RunnerLoadReport>& aTo)
{
  v1::RunnerLoadReport& load = *aTo.Add();
  load.set_runner(aRunner.m_id);
  load.set_born(aRunner.m_born);
  load.set_requests(aLoad.m_requests);
  load.set_prompt_tokens(aLoad.m_promptTokens);
  load.set_answer_tokens(aLoad.m_answerTokens);
  for (std::size_t i = kPriorityLevels; i > 0; --i) {
    if (aLoad.m_byLevel[i - 1] > 0) {
      load.mutable_by_priority()->Add(aLoad.m_byLevel.begin(),
                                      aLoad.m_byLevel.begin() +
                                        static_cast<std::ptrdiff_t>(i));
      break;
    }
  }
}

// aTo is a GatewayBeacon or a RegionReport.
template<typename Advertisement, typename Message>
void
Append(const Advertisement& aCommon, Message& aTo)
{
  for (const wire::Suspicion& suspicion : aCommon.m_suspicions) {
    *aTo.add_suspicions() = suspicion;
  }
  for (const v1::PartSuspicion& suspicion : aCommon.m_partSuspicions) {
    *aTo.add_part_suspicions() = suspicion;
  }
  for (const v1::RunnerLimitReport& limit : aCommon.m_limits) {
    *aTo.add_limits() = limit;
  }
  for (const v1::RunnerLeavingReport& leaving : aCommon.m_leaving) {
    *aTo.add_leaving() = leaving;
  }
}

} // namespace

void
Gateway::OnDatagram(const v1::Datagram& aDatagram, const Address& aFrom)
{
  if (aDatagram.has_gateway()) {
    OnBeacon(aDatagram.gateway(), aFrom);
  } else if (aDatagram.has_stager()) {
    MergeNamedVersions(aDatagram.stager().named());
    OnStagerNotice(aDatagram.stager());
  } else if (aDatagram.has_region()) {
    OnRegionReport(aDatagram);
  }
}

void
Gateway::OnBeacon(const v1::GatewayBeacon& aBeacon, const Address& aFrom)
{
  MergeNamedVersions(aBeacon.named());
  for (const wire::Suspicion& suspicion : aBeacon.suspicions()) {
    m_suspicions.Merge(suspicion);
  }
  for (const v1::PartSuspicion& suspicion : aBeacon.part_suspicions()) {
    m_suspicions.Merge(suspicion, LoopNow());
  }
  MergeLimits(aBeacon.limits());
  MergeLeaving(aBeacon.leaving());
  if (aBeacon.has_evacuations()) {
    MergeEvacuations(aBeacon.evacuations());
  }
  if (m_peers.OnBeacon(aBeacon, aFrom, LoopNow())) {
    MergeRunnersKnown(aBeacon.config());
    UpdateGatewayCount();
    MergePaces(aBeacon.loads());
    MergeDemand(aBeacon.vm(), aBeacon.demand());
  }
  if (aBeacon.config().version() > OwnConfig().m_version) {
    UpdateConfigSources();
  }
}

void
Gateway::OnRegionReport(const v1::Datagram& aDatagram)
{
  const v1::RegionReport& report = aDatagram.region();
  if (!m_peers.OnRegionReport(report, LoopNow())) {
    return;
  }
  for (const v1::GatewayBeacon& beacon : report.gateways()) {
    MergeRunnersKnown(beacon.config());
  }
  RecordLinkDelays(report);
  MergePaces(report.loads());
  MergeRegionDemand(report);
  UpdateGatewayCount();
  MergeNamedVersions(report.named());
  for (const wire::Suspicion& suspicion : report.suspicions()) {
    m_suspicions.Merge(suspicion);
  }
  for (const v1::PartSuspicion& suspicion : report.part_suspicions()) {
    m_suspicions.Merge(suspicion, LoopNow());
  }
  MergeLimits(report.limits());
  MergeLeaving(report.leaving());
  if (report.has_evacuations()) {
    MergeEvacuations(report.evacuations());
  }
  for (const v1::RunnerReport& runnerReport : report.runners()) {
    RunnerState* runner = m_runners.Find(runnerReport.runner());
    if (runner != nullptr &&
        m_runners.RecordStart(*runner, runnerReport.born())) {
      ObserveCold(runner->m_record);
      ApplyRunnerReport(*runner, runnerReport);
    }
  }
  if (report.passed_on()) {
    return;
  }
  v1::Datagram relayed = aDatagram;
  relayed.mutable_region()->set_passed_on(true);
  if (report.sent_at_ms() > 0) {
    AppendMeasurement(*relayed.mutable_region());
  }
  SendToRegionPeers(relayed, DatagramKind::Relay);
}

void
Gateway::SendToRegionPeers(const v1::Datagram& aDatagram, DatagramKind aKind)
{
  for (const Address& address : m_peers.RegionPeers()) {
    m_datagrams->Send(aDatagram, address, aKind);
  }
}

void
Gateway::ApplyRunnerReport(RunnerState& aRunner,
                           const v1::RunnerReport& aReport)
{
  aRunner.m_loadingUntil =
    aReport.loading() ? LoopNow() + kLoadingNoticeLifetime : MonotonicTime{};
  if (!aReport.model().empty() && !aReport.loading()) {
    aRunner.m_record.m_versions[aReport.model()] = aReport.loaded();
  }
}

void
Gateway::OnStagerNotice(const v1::StagerNotice& aNotice)
{
  RunnerState* runner = nullptr;
  try {
    runner =
      m_runners.FindByAddress(ParseAddress(aNotice.runner()), aNotice.born());
  } catch (const std::invalid_argument&) {
    return;
  }
  if (runner == nullptr || runner->m_record.m_service != aNotice.service() ||
      !m_runners.RecordStart(*runner, aNotice.born())) {
    return;
  }
  ObserveCold(runner->m_record);
  v1::RunnerReport report;
  report.set_runner(runner->m_record.m_id);
  report.set_loading(aNotice.turn() == v1::TURN_LOADING);
  report.set_model(aNotice.model());
  report.set_loaded(aNotice.loaded());
  report.set_born(aNotice.born());
  ApplyRunnerReport(*runner, report);
  m_runnerReports[runner->m_record.m_id] = { report, LoopNow() };
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
  beacon.set_serving(IsAdvertised());
  beacon.set_reads_first_config(OwnConfig().m_readsFirst);
  return datagram;
}

v1::Datagram
Gateway::BeaconWithLoads() const
{
  v1::Datagram datagram = Beacon();
  for (const auto& [id, state] : m_runners.All()) {
    if (!(state.m_ownLoad == RunnerLoad{})) {
      AppendLoad(state.m_record.Incarnation(),
                 state.m_ownLoad,
                 *datagram.mutable_gateway()->mutable_loads());
    }
  }
  return datagram;
}

std::uint32_t
Gateway::TicksPerLoadReport() const
{
  constexpr std::size_t kPeersPerTick = 4;
  return static_cast<std::uint32_t>(1 + m_peers.RegionPeers().size() /
                                          kPeersPerTick);
}

// Gateways of a region mostly choose among the same runners, so changes of load
// are sent immediately. The interval grows with the number of peers, which
// bounds the traffic that a gateway sends and receives.
void
Gateway::SendLoadChanges()
{
  if (m_ticks % TicksPerLoadReport() != 0) {
    return;
  }
  const v1::Datagram datagram = BeaconWithLoads();
  std::string serialized = datagram.SerializeAsString();
  if (serialized == m_lastLoadBeacon) {
    return;
  }
  m_lastLoadBeacon = std::move(serialized);
  SendToRegionPeers(datagram, DatagramKind::Load);
}

std::vector<v1::RunnerLimitReport>
Gateway::LimitsToAdvertise()
{
  const MonotonicTime now = LoopNow();
  const auto ageOf = [&](MonotonicTime aTime) {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now - aTime).count());
  };
  std::vector<v1::RunnerLimitReport> reports;
  for (const auto& [runner, limit] : m_limits.Advertise(now)) {
    v1::RunnerLimitReport& report = reports.emplace_back();
    report.set_runner(runner.m_id);
    report.set_created(runner.m_created);
    report.set_born(runner.m_born);
    report.set_limited(limit.m_perSecond.has_value());
    report.set_per_second(limit.m_perSecond.value_or(0));
    report.set_age_ms(ageOf(limit.m_namedAt));
    report.set_since_ms(ageOf(limit.m_since));
  }
  return reports;
}

void
Gateway::MergeLimits(
  const google::protobuf::RepeatedPtrField<v1::RunnerLimitReport>& aLimits)
{
  const MonotonicTime now = LoopNow();
  for (const v1::RunnerLimitReport& report : aLimits) {
    RunnerLimit limit;
    if (report.limited()) {
      limit.m_perSecond = report.per_second();
    }
    limit.m_namedAt = now - MillisFromWire(report.age_ms());
    limit.m_since = now - MillisFromWire(report.since_ms());
    m_limits.Merge(
      m_runners.Resolve({ report.runner(), report.created(), report.born() }),
      limit,
      now);
  }
}

void
Gateway::UpdateLimits()
{
  const MonotonicTime now = LoopNow();
  const auto positionOf = [&](const RunnerIncarnation& aRunner) {
    const std::uint64_t key = StableHash(aRunner.ToString());
    // A gateway that callers aren't sent to holds no limit.
    return RunnerLimits::Position{ IsAdvertised() ? m_peers.RankFor(key, now)
                                                  : m_peers.Count(),
                                   m_peers.ServingAddresses(now).size() + 1 };
  };
  const auto isKnown = [&](const RunnerIncarnation& aRunner) {
    return IsListed(aRunner);
  };
  m_limits.Update(positionOf, isKnown, now);
}

void
Gateway::Advertise(bool aIncludeVersions)
{
  // Taken once, since each call continues where the last one ended.
  const Advertisement common = { m_suspicions.SuspicionsToAdvertise(LoopNow()),
                                 m_suspicions.PartsToAdvertise(LoopNow()),
                                 LimitsToAdvertise(),
                                 LeavingToAdvertise() };
  SendHeartbeat(aIncludeVersions, common);
  SendRegionReport(aIncludeVersions, common);
}

void
Gateway::AppendConfigState(v1::GatewayBeacon& aBeacon) const
{
  const ConfigKnowledge own = OwnConfig();
  if (own.m_age) {
    aBeacon.mutable_config()->set_version(own.m_version);
    aBeacon.mutable_config()->set_age_ms(
      static_cast<std::uint32_t>(own.m_age->count()));
    aBeacon.mutable_config()->set_port(AdminPort());
    const milliseconds withoutGap =
      BootTime() - *own.m_age - m_runnerOutage.WithoutGapSince();
    aBeacon.mutable_config()->set_runners_without_gap_ms(
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        withoutGap.count(), 0, std::numeric_limits<std::uint32_t>::max())));
  }
}

void
Gateway::MergeRunnersKnown(const v1::ConfigState& aState)
{
  if (!aState.has_runners_without_gap_ms()) {
    return;
  }
  const milliseconds to = BootTime() - MillisFromWire(aState.age_ms());
  const milliseconds from =
    to - MillisFromWire(aState.runners_without_gap_ms());
  if (m_runnerOutage.RecordOthersKnown(from, to)) {
    Log(LogLevel::Info,
        "runner list outage ruled out",
        { { "others_known_ms", (to - from).count() },
          { "age_ms", aState.age_ms() } });
    m_runners.ForgetListFailure(LoopNow());
  }
}

// Sent even if nothing changed, to show that this gateway is alive.
void
Gateway::SendHeartbeat(bool aIncludeVersions, const Advertisement& aCommon)
{
  v1::Datagram datagram = BeaconWithLoads();
  if (aIncludeVersions) {
    AppendNamedAges(
      m_named, BootTime(), *datagram.mutable_gateway()->mutable_named());
  }
  v1::GatewayBeacon& beacon = *datagram.mutable_gateway();
  AppendConfigState(beacon);
  AppendPaces(/* aOnlyOwn */ true, *beacon.mutable_loads());
  AppendDemand(beacon);
  if (m_evacuations.Known()) {
    AppendEvacuations(*beacon.mutable_evacuations());
  }
  Append(aCommon, beacon);
  SendToRegionPeers(datagram, DatagramKind::Heartbeat);
}

// Sends the state of this region to gateways of the other regions.
void
Gateway::SendRegionReport(bool aIncludeVersions, const Advertisement& aCommon)
{
  const MonotonicTime now = LoopNow();
  const std::vector<Address> targets =
    m_peers.RegionReportTargets(m_ticks, now);
  if (targets.empty()) {
    return;
  }
  v1::Datagram datagram;
  v1::RegionReport& report = *datagram.mutable_region();
  report.set_region(m_region);
  v1::GatewayBeacon& ownBeacon = *report.add_gateways();
  ownBeacon = Beacon().gateway();
  ownBeacon.set_datagrams(m_settings.m_node.m_rpc.ToString());
  AppendConfigState(ownBeacon);
  for (v1::GatewayBeacon& beacon : m_peers.RegionBeacons(now)) {
    *report.add_gateways() = std::move(beacon);
  }
  AppendRegionLoads(report);
  AppendPaces(/* aOnlyOwn */ false, *report.mutable_loads());
  AppendDemand(report);
  for (const auto& [id, received] : m_runnerReports) {
    if (now - received.m_receivedAt < kRunnerReportLifetime) {
      v1::RunnerReport& runner = *report.add_runners();
      runner = received.m_report;
      runner.set_loading(runner.loading() &&
                         now - received.m_receivedAt < kLoadingNoticeLifetime);
    }
  }
  if (aIncludeVersions) {
    AppendNamedAges(m_named, BootTime(), *report.mutable_named());
  }
  if (m_evacuations.Known()) {
    AppendEvacuations(*report.mutable_evacuations());
  }
  Append(aCommon, report);
  AppendLinkDelays(report);
  report.set_sent_at_ms(static_cast<std::uint64_t>(BootTime().count()));
  for (const Address& address : targets) {
    m_datagrams->Send(datagram, address, DatagramKind::Report);
  }
  CountMetric("siskindeal_gateway_region_bytes_total",
              { { "kind", "report" } },
              static_cast<double>(datagram.ByteSizeLong() * targets.size()));
}

void
Gateway::AppendRegionLoads(v1::RegionReport& aReport)
{
  RunnerLoads loads = m_peers.RegionLoads(LoopNow());
  for (const auto& [id, state] : m_runners.All()) {
    if (state.m_ownLoad == RunnerLoad{}) {
      continue;
    }
    loads[LoadKey(id, state.m_record.m_born)] += state.m_ownLoad;
  }
  for (const auto& [runner, load] : loads) {
    AppendLoad(runner, load, *aReport.mutable_loads());
  }
}

// Stagers send their notices to the gateways whose beacons they receive, which
// are those of their region.
void
Gateway::SendToStagers()
{
  v1::Datagram datagram = Beacon();
  AppendNamedAges(
    m_named, BootTime(), *datagram.mutable_gateway()->mutable_named());
  AppendConfigState(*datagram.mutable_gateway());
  if (!m_routes) {
    return;
  }
  for (const auto& [id, state] : m_runners.All()) {
    const bool inRegion = RegionOf(m_settings.m_gateway.m_regions,
                                   state.m_record.m_place) == m_region;
    if (inRegion && m_routes->Service(state.m_record.m_service).m_engine) {
      m_datagrams->Send(
        datagram,
        { state.m_record.m_address.m_host, m_settings.m_node.m_rpc.m_port },
        DatagramKind::Weights);
    }
  }
}

void
Gateway::ApplyPeerLoads()
{
  const RunnerLoads loads = m_peers.Loads(LoopNow());
  for (auto& [id, state] : m_runners.All()) {
    state.m_peerLoad = {};
    // Senders that don't state a runner's start may mean this one.
    for (const std::uint64_t born :
         std::set<std::uint64_t>{ 0, state.m_record.m_born }) {
      const auto found = loads.find(LoadKey(id, born));
      if (found != loads.end()) {
        state.m_peerLoad += found->second;
      }
    }
  }
}

} // namespace siskindeal

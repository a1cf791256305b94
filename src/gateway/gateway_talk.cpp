// Datagrams between a gateway, the other gateways and the stagers.

#include "gateway/gateway_p.h"

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

void
AddLoads(const RunnerTable& aRunners, v1::GatewayBeacon& aBeacon)
{
  for (const auto& [id, state] : aRunners.All()) {
    if (state.m_own == RunnerLoad{}) {
      continue;
    }
    auto& load = *aBeacon.add_loads();
    load.set_runner(id);
    load.set_requests(state.m_own.m_requests);
    load.set_prompt_tokens(state.m_own.m_promptTokens);
  }
}
} // namespace

void
Gateway::OnDatagram(const v1::Datagram& aDatagram, const Address& aFrom)
{
  if (aDatagram.has_gateway()) {
    NoteNamed(aDatagram.gateway().named());
    for (const wire::Suspicion& suspicion : aDatagram.gateway().suspicions()) {
      m_crashes.Hear(suspicion);
    }
    if (m_peers.Hear(aDatagram.gateway(), aFrom, LoopNow())) {
      m_retries.SetEntries(m_peers.Count());
    }
  } else if (aDatagram.has_stager()) {
    NoteNamed(aDatagram.stager().named());
    OnStagerNotice(aDatagram.stager());
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
  constexpr milliseconds kNoticeLife{ 700 }; // told again meanwhile
  runner->m_loadingUntil = aNotice.turn() == v1::TURN_LOADING
                             ? LoopNow() + kNoticeLife
                             : MonotonicTime{};
  if (!aNotice.model().empty() && aNotice.turn() != v1::TURN_LOADING) {
    runner->m_record.m_versions[aNotice.model()] = aNotice.loaded();
  }
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

// Gateways of one region mostly choose among the same runners, so they hear of
// each change at once; those of other regions more seldom.
void
Gateway::TellRegion()
{
  v1::Datagram datagram = Beacon();
  AddLoads(m_runners, *datagram.mutable_gateway());
  std::string told = datagram.SerializeAsString();
  if (told == m_toldRegion) {
    return;
  }
  m_toldRegion = std::move(told);
  for (const Address& address : m_peers.InRegion(m_region)) {
    m_datagrams->Send(datagram, address);
  }
}

void
Gateway::TellEveryone(bool aWithNamed)
{
  v1::Datagram datagram = Beacon();
  AddLoads(m_runners, *datagram.mutable_gateway());
  if (aWithNamed) {
    TellNamed(
      m_named, BootTime(), *datagram.mutable_gateway()->mutable_named());
  }
  for (const wire::Suspicion& suspicion : m_crashes.Told(LoopNow())) {
    *datagram.mutable_gateway()->add_suspicions() = suspicion;
  }
  for (const Address& address : m_peers.Everyone()) {
    if (address.m_host != m_settings.m_node.m_rpc.m_host) {
      m_datagrams->Send(datagram, address);
    }
  }
}

// Stagers tell back to the gateways that they hear.
void
Gateway::TellStagers()
{
  v1::Datagram datagram = Beacon();
  TellNamed(m_named, BootTime(), *datagram.mutable_gateway()->mutable_named());
  if (!m_routes) {
    return;
  }
  for (const auto& [id, state] : m_runners.All()) {
    if (m_routes->Service(state.m_record.m_service).m_engine) {
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

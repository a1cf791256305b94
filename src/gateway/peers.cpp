#include "gateway/peers_p.h"

#include "siskindeal/log.h"

#include <algorithm>
#include <stdexcept>

namespace siskindeal {

namespace {

// Four beacons; datagrams are lost now and then.
constexpr std::chrono::milliseconds kSilence{ 500 };

} // namespace

void
GatewayPeers::Hint(const Address& aAddress)
{
  m_hints.push_back(aAddress);
}

void
GatewayPeers::Register(const std::string& aVm, const Address& aAddress)
{
  if (aVm != m_ownVm) {
    m_peers[aVm].m_address = aAddress;
  }
}

void
GatewayPeers::Unregister(const std::string& aVm)
{
  m_peers.erase(aVm);
}

bool
GatewayPeers::Hear(const v1::GatewayBeacon& aBeacon,
                   const Address& aFrom,
                   MonotonicTime aNow)
{
  if (aBeacon.vm() == m_ownVm) {
    return false;
  }
  Peer& peer = m_peers[aBeacon.vm()];
  // One whose time of day was set back seems older; so only while the newer one
  // is heard.
  if (aBeacon.incarnation() < peer.m_incarnation &&
      aNow - peer.m_heardAt < kSilence) {
    return false;
  }
  if (peer.m_serving != aBeacon.serving() ||
      peer.m_incarnation != aBeacon.incarnation()) {
    Log(LogLevel::Info,
        "gateway heard",
        { { "peer", aBeacon.vm() }, { "serving", aBeacon.serving() } });
  }
  peer.m_address = aFrom;
  peer.m_incarnation = aBeacon.incarnation();
  peer.m_serving = aBeacon.serving();
  peer.m_region = aBeacon.region();
  peer.m_heardAt = aNow;
  try {
    peer.m_callers = ParseAddress(aBeacon.callers());
  } catch (const std::invalid_argument&) {
    peer.m_serving = false;
  }
  peer.m_loads.clear();
  for (const auto& load : aBeacon.loads()) {
    peer.m_loads[load.runner()] = { load.requests(), load.prompt_tokens() };
  }
  return true;
}

std::vector<Address>
GatewayPeers::Serving(MonotonicTime aNow) const
{
  std::vector<Address> serving;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_serving && aNow - peer.m_heardAt < kSilence) {
      serving.push_back(peer.m_callers);
    }
  }
  return serving;
}

std::vector<Address>
GatewayPeers::Everyone() const
{
  std::vector<Address> all;
  for (const auto& [vm, peer] : m_peers) {
    all.push_back(peer.m_address);
  }
  for (const Address& hint : m_hints) {
    if (std::find(all.begin(), all.end(), hint) == all.end()) {
      all.push_back(hint);
    }
  }
  return all;
}

std::vector<Address>
GatewayPeers::InRegion(const std::string& aRegion) const
{
  std::vector<Address> near;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_region == aRegion) {
      near.push_back(peer.m_address);
    }
  }
  return near;
}

std::map<std::string, RunnerLoad>
GatewayPeers::Loads(MonotonicTime aNow) const
{
  std::map<std::string, RunnerLoad> loads;
  for (const auto& [vm, peer] : m_peers) {
    if (aNow - peer.m_heardAt >= kSilence) {
      continue;
    }
    for (const auto& [runner, load] : peer.m_loads) {
      loads[runner].m_requests += load.m_requests;
      loads[runner].m_promptTokens += load.m_promptTokens;
    }
  }
  return loads;
}

} // namespace siskindeal

#include "gateway/peers_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/log.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace siskindeal {

namespace {

// Four beacons; datagrams are lost now and then.
constexpr std::chrono::milliseconds kSilence{ 500 };
// Of another region, whose news are passed on once.
constexpr std::chrono::milliseconds kFarSilence{ 900 };
// Gateways that speak for their region, and that listen for it. Two, so that
// one that falls silent costs nothing until the next in order takes over.
constexpr std::size_t kSpeakers = 2;

using Loads = std::map<std::string, RunnerLoad>;

void
AddTo(Loads& aSum, const Loads& aLoads)
{
  for (const auto& [runner, load] : aLoads) {
    aSum[runner].m_requests += load.m_requests;
    aSum[runner].m_promptTokens += load.m_promptTokens;
  }
}

} // namespace

void
GatewayPeers::Hint(const Address& aAddress)
{
  m_hints.push_back(aAddress);
}

void
GatewayPeers::Register(const std::string& aVm,
                       const Address& aAddress,
                       const std::string& aRegion)
{
  if (aVm != m_ownVm) {
    m_peers[aVm].m_address = aAddress;
    m_peers[aVm].m_region = aRegion;
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

bool
GatewayPeers::HearRegion(const v1::RegionReport& aReport, MonotonicTime aNow)
{
  if (aReport.region() == m_ownRegion || aReport.region().empty()) {
    return false;
  }
  for (const v1::GatewayBeacon& beacon : aReport.gateways()) {
    Address datagrams;
    try {
      datagrams = ParseAddress(beacon.datagrams());
    } catch (const std::invalid_argument&) {
      continue;
    }
    Hear(beacon, datagrams, aNow);
  }
  Region& region = m_regions[aReport.region()];
  region.m_heardAt = aNow;
  region.m_loads.clear();
  for (const auto& load : aReport.loads()) {
    region.m_loads[load.runner()] = { load.requests(), load.prompt_tokens() };
  }
  return true;
}

bool
GatewayPeers::IsHeard(const Peer& aPeer, MonotonicTime aNow) const
{
  return aNow - aPeer.m_heardAt <
         (aPeer.m_region == m_ownRegion ? kSilence : kFarSilence);
}

std::vector<Address>
GatewayPeers::Serving(MonotonicTime aNow) const
{
  std::vector<Address> serving;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_serving && IsHeard(peer, aNow)) {
      serving.push_back(peer.m_callers);
    }
  }
  return serving;
}

std::vector<Address>
GatewayPeers::Near() const
{
  std::vector<Address> near;
  std::vector<Address> known;
  for (const auto& [vm, peer] : m_peers) {
    known.push_back(peer.m_address);
    if (peer.m_region == m_ownRegion || peer.m_region.empty()) {
      near.push_back(peer.m_address);
    }
  }
  for (const Address& hint : m_hints) {
    if (std::find(known.begin(), known.end(), hint) == known.end()) {
      near.push_back(hint);
    }
  }
  return near;
}

std::vector<std::string>
GatewayPeers::Ranked(const std::string& aRegion, MonotonicTime aNow) const
{
  std::vector<std::string> ranked;
  if (aRegion == m_ownRegion) {
    ranked.push_back(m_ownVm);
  }
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_region == aRegion && IsHeard(peer, aNow)) {
      ranked.push_back(vm);
    }
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aOne, const auto& aTwo) {
      return StableHash(aOne) < StableHash(aTwo);
    });
  return ranked;
}

std::vector<Address>
GatewayPeers::ToTellOfRegion(std::uint64_t aTurn, MonotonicTime aNow) const
{
  const std::vector<std::string> own = Ranked(m_ownRegion, aNow);
  const auto self = std::find(own.begin(), own.end(), m_ownVm);
  const auto rank = static_cast<std::uint64_t>(self - own.begin());
  if (rank >= kSpeakers) {
    return {};
  }
  std::set<std::string> regions;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_region != m_ownRegion && !peer.m_region.empty()) {
      regions.insert(peer.m_region);
    }
  }
  std::vector<Address> told;
  for (const std::string& region : regions) {
    const std::vector<std::string> there = Ranked(region, aNow);
    if (!there.empty()) {
      const std::uint64_t among =
        std::min<std::uint64_t>(there.size(), kSpeakers);
      told.push_back(m_peers.at(there[(aTurn + rank) % among]).m_address);
      continue;
    }
    // Nobody was heard of late, so any that was there once.
    for (const auto& [vm, peer] : m_peers) {
      if (peer.m_region == region) {
        told.push_back(peer.m_address);
      }
    }
  }
  return told;
}

std::vector<v1::GatewayBeacon>
GatewayPeers::OwnRegion(MonotonicTime aNow) const
{
  std::vector<v1::GatewayBeacon> gateways;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_region != m_ownRegion || !IsHeard(peer, aNow)) {
      continue;
    }
    v1::GatewayBeacon& beacon = gateways.emplace_back();
    beacon.set_vm(vm);
    beacon.set_incarnation(peer.m_incarnation);
    beacon.set_callers(peer.m_callers.ToString());
    beacon.set_datagrams(peer.m_address.ToString());
    beacon.set_serving(peer.m_serving);
    beacon.set_region(peer.m_region);
  }
  return gateways;
}

std::map<std::string, RunnerLoad>
GatewayPeers::RegionLoads(MonotonicTime aNow) const
{
  std::map<std::string, RunnerLoad> loads;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_region == m_ownRegion && IsHeard(peer, aNow)) {
      AddTo(loads, peer.m_loads);
    }
  }
  return loads;
}

std::map<std::string, RunnerLoad>
GatewayPeers::Loads(MonotonicTime aNow) const
{
  std::map<std::string, RunnerLoad> loads = RegionLoads(aNow);
  for (const auto& [name, region] : m_regions) {
    if (aNow - region.m_heardAt < kFarSilence) {
      AddTo(loads, region.m_loads);
    }
  }
  return loads;
}

} // namespace siskindeal

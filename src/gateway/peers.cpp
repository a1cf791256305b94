#include "gateway/peers_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/wire_values.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace siskindeal {

namespace {

// More than three heartbeats, since datagrams may be lost.
constexpr std::chrono::milliseconds kPeerTimeout{ 500 };
// For gateways of other regions, whose reports are relayed once.
constexpr std::chrono::milliseconds kRemoteTimeout{ 900 };
// Gateways that send and receive reports for their region. Two, so that the
// failure of one loses nothing until the next in order takes over.
constexpr std::size_t kRegionDelegates = 2;

void
AddLoads(RunnerLoads& aSum, const RunnerLoads& aLoads)
{
  for (const auto& [runner, load] : aLoads) {
    aSum[runner] += load;
  }
}

RunnerLoad
LoadOf(const v1::RunnerLoadReport& aReport)
{
  RunnerLoad load{ aReport.requests(),
                   aReport.prompt_tokens(),
                   aReport.answer_tokens() };
  const auto levels = std::min<std::size_t>(
    static_cast<std::size_t>(aReport.by_priority_size()), kPriorityLevels);
  std::copy_n(aReport.by_priority().begin(), levels, load.m_byLevel.begin());
  return load;
}

} // namespace

void
GatewayPeers::AddHint(const Address& aAddress)
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
GatewayPeers::OnBeacon(const v1::GatewayBeacon& aBeacon,
                       const Address& aFrom,
                       MonotonicTime aNow)
{
  if (aBeacon.vm() == m_ownVm) {
    return false;
  }
  Peer& peer = m_peers[aBeacon.vm()];
  // A restart after the wall clock was set back has a lower incarnation, so it
  // is rejected only while the higher one is alive.
  if (aBeacon.incarnation() < peer.m_incarnation &&
      aNow - peer.m_lastSeen < kPeerTimeout) {
    return false;
  }
  if (peer.m_serving != aBeacon.serving() ||
      peer.m_incarnation != aBeacon.incarnation()) {
    Log(LogLevel::Info,
        "peer gateway changed",
        { { "peer", aBeacon.vm() }, { "serving", aBeacon.serving() } });
  }
  if (peer.m_incarnation != aBeacon.incarnation()) {
    peer.m_config.reset();
  }
  peer.m_address = aFrom;
  peer.m_incarnation = aBeacon.incarnation();
  peer.m_serving = aBeacon.serving();
  peer.m_readsFirstConfig = aBeacon.reads_first_config();
  peer.m_region = aBeacon.region();
  peer.m_lastSeen = aNow;
  try {
    peer.m_callers = ParseAddress(aBeacon.callers());
  } catch (const std::invalid_argument&) {
    peer.m_serving = false;
  }
  if (aBeacon.has_config()) { // only in heartbeats
    peer.m_config = aBeacon.config();
    peer.m_configReceivedAt = aNow;
  }
  peer.m_loads.clear();
  for (const auto& load : aBeacon.loads()) {
    peer.m_loads[LoadKey(load.runner(), load.born())] = LoadOf(load);
  }
  return true;
}

bool
GatewayPeers::OnRegionReport(const v1::RegionReport& aReport,
                             MonotonicTime aNow)
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
    OnBeacon(beacon, datagrams, aNow);
  }
  Region& region = m_regions[aReport.region()];
  region.m_lastSeen = aNow;
  region.m_loads.clear();
  for (const auto& load : aReport.loads()) {
    region.m_loads[LoadKey(load.runner(), load.born())] = LoadOf(load);
  }
  return true;
}

bool
GatewayPeers::IsAlive(const Peer& aPeer, MonotonicTime aNow) const
{
  return aNow - aPeer.m_lastSeen <
         (aPeer.m_region == m_ownRegion ? kPeerTimeout : kRemoteTimeout);
}

std::size_t
GatewayPeers::ServingInRegion(MonotonicTime aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aPeer) {
      return aPeer.second.m_serving && aPeer.second.m_region == m_ownRegion &&
             IsAlive(aPeer.second, aNow);
    }));
}

std::vector<ServingGateway>
GatewayPeers::Serving(MonotonicTime aNow) const
{
  std::vector<ServingGateway> serving;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_serving && IsAlive(peer, aNow)) {
      serving.push_back({ peer.m_callers, peer.m_region });
    }
  }
  return serving;
}

std::vector<Address>
GatewayPeers::ServingAddresses(MonotonicTime aNow) const
{
  std::vector<Address> addresses;
  for (const ServingGateway& gateway : Serving(aNow)) {
    addresses.push_back(gateway.m_callers);
  }
  return addresses;
}

std::vector<Address>
GatewayPeers::RegionPeers() const
{
  std::vector<Address> addresses;
  std::vector<Address> known;
  for (const auto& [vm, peer] : m_peers) {
    known.push_back(peer.m_address);
    if (peer.m_region == m_ownRegion || peer.m_region.empty()) {
      addresses.push_back(peer.m_address);
    }
  }
  for (const Address& hint : m_hints) {
    if (std::find(known.begin(), known.end(), hint) == known.end()) {
      addresses.push_back(hint);
    }
  }
  return addresses;
}

std::size_t
GatewayPeers::RankFor(std::uint64_t aKey, MonotonicTime aNow) const
{
  const std::uint64_t own = StableHash(m_ownVm, aKey);
  return static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aPeer) {
      return aPeer.second.m_serving && IsAlive(aPeer.second, aNow) &&
             StableHash(aPeer.first, aKey) > own;
    }));
}

RunnerLimits::Position
GatewayPeers::PositionIn(const std::string& aRegion,
                         std::uint64_t aKey,
                         MonotonicTime aNow) const
{
  // A gateway that was cut off may go on sending for as long.
  constexpr std::chrono::seconds kRecent{ 30 };
  const std::uint64_t own = StableHash(m_ownVm, aKey);
  RunnerLimits::Position position{ 0, 0 };
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_region != aRegion) {
      continue;
    }
    ++position.m_gateways;
    if (peer.m_serving && aNow - peer.m_lastSeen < kRecent &&
        StableHash(vm, aKey) > own) {
      ++position.m_rank;
    }
  }
  if (aRegion == m_ownRegion) {
    ++position.m_gateways;
    return position;
  }
  if (position.m_gateways > 0) {
    return { position.m_gateways, position.m_gateways }; // left to these
  }
  return { RankFor(aKey, aNow), Count() };
}

std::vector<std::string>
GatewayPeers::RankedGateways(const std::string& aRegion,
                             MonotonicTime aNow) const
{
  std::vector<std::string> ranked;
  if (aRegion == m_ownRegion) {
    ranked.push_back(m_ownVm);
  }
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_region == aRegion && IsAlive(peer, aNow)) {
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
GatewayPeers::RegionReportTargets(std::uint64_t aRound,
                                  MonotonicTime aNow) const
{
  const std::vector<std::string> own = RankedGateways(m_ownRegion, aNow);
  const auto self = std::find(own.begin(), own.end(), m_ownVm);
  const auto rank = static_cast<std::uint64_t>(self - own.begin());
  if (rank >= kRegionDelegates) {
    return {};
  }
  std::set<std::string> regions;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_region != m_ownRegion && !peer.m_region.empty()) {
      regions.insert(peer.m_region);
    }
  }
  std::vector<Address> targets;
  for (const std::string& region : regions) {
    const std::vector<std::string> candidates = RankedGateways(region, aNow);
    if (!candidates.empty()) {
      const std::uint64_t receiverCount =
        std::min<std::uint64_t>(candidates.size(), kRegionDelegates);
      targets.push_back(
        m_peers.at(candidates[(aRound + rank) % receiverCount]).m_address);
      continue;
    }
    // None is alive: try every known gateway of the region.
    for (const auto& [vm, peer] : m_peers) {
      if (peer.m_region == region) {
        targets.push_back(peer.m_address);
      }
    }
  }
  return targets;
}

std::vector<v1::GatewayBeacon>
GatewayPeers::RegionBeacons(MonotonicTime aNow) const
{
  std::vector<v1::GatewayBeacon> gateways;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_region != m_ownRegion || !IsAlive(peer, aNow)) {
      continue;
    }
    v1::GatewayBeacon& beacon = gateways.emplace_back();
    beacon.set_vm(vm);
    beacon.set_incarnation(peer.m_incarnation);
    beacon.set_callers(peer.m_callers.ToString());
    beacon.set_datagrams(peer.m_address.ToString());
    beacon.set_serving(peer.m_serving);
    beacon.set_region(peer.m_region);
    if (peer.m_config) {
      *beacon.mutable_config() = *peer.m_config;
      const auto heldFor =
        std::chrono::duration_cast<std::chrono::milliseconds>(
          aNow - peer.m_configReceivedAt);
      beacon.mutable_config()->set_age_ms(
        peer.m_config->age_ms() + static_cast<std::uint32_t>(heldFor.count()));
    }
  }
  return gateways;
}

std::vector<ConfigHolder>
GatewayPeers::ConfigHolders(MonotonicTime aNow) const
{
  std::vector<ConfigHolder> holders;
  for (const auto& [vm, peer] : m_peers) {
    if (!IsAlive(peer, aNow)) {
      continue;
    }
    ConfigHolder& holder = holders.emplace_back();
    holder.m_vm = vm;
    holder.m_isInOwnRegion = peer.m_region == m_ownRegion;
    holder.m_readsFirst = peer.m_readsFirstConfig;
    if (peer.m_config) {
      holder.m_address = { peer.m_address.m_host,
                           PortFromWire(peer.m_config->port()) };
      holder.m_version = peer.m_config->version();
      holder.m_age = MillisFromWire(peer.m_config->age_ms());
    }
  }
  return holders;
}

RunnerLoads
GatewayPeers::RegionLoads(MonotonicTime aNow) const
{
  RunnerLoads loads;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_region == m_ownRegion && IsAlive(peer, aNow)) {
      AddLoads(loads, peer.m_loads);
    }
  }
  return loads;
}

RunnerLoads
GatewayPeers::Loads(MonotonicTime aNow) const
{
  RunnerLoads loads = RegionLoads(aNow);
  for (const auto& [name, region] : m_regions) {
    if (aNow - region.m_lastSeen < kRemoteTimeout) {
      AddLoads(loads, region.m_loads);
    }
  }
  return loads;
}

} // namespace siskindeal

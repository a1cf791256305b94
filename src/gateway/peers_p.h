#pragma once
// Tracks the other gateways: their addresses, whether they serve and the load
// that they cause. Does no I/O; the caller passes the time.

#include "datagram.pb.h"
#include "dispatch/runner_limits_p.h"
#include "dispatch/runner_table_p.h"
#include "gateway/config_sources_p.h"
#include "gateway/directory_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/settings.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// Load by runner. Creations don't count, since not all gateways have read the
// same.
using RunnerLoads = std::map<RunnerIncarnation, RunnerLoad>;

inline RunnerIncarnation
LoadKey(const std::string& aId, std::uint64_t aBorn)
{
  return { aId, 0, aBorn };
}

class GatewayPeers
{
public:
  GatewayPeers(std::string aOwnVm, std::string aOwnRegion)
    : m_ownVm(std::move(aOwnVm))
    , m_ownRegion(std::move(aOwnRegion))
  {
  }

  // Adds an address where a gateway may run. It gets datagrams until a gateway
  // is known at it.
  void AddHint(const Address& aAddress);
  // Records a gateway's registration with its datagram address.
  void Register(const std::string& aVm,
                const Address& aAddress,
                const std::string& aRegion);
  void Unregister(const std::string& aVm);
  // Applies a beacon received from aFrom. False if it comes from this gateway
  // or from an earlier incarnation of a gateway that is alive.
  bool OnBeacon(const v1::GatewayBeacon& aBeacon,
                const Address& aFrom,
                MonotonicTime aNow);

  // Applies a report of another region. False if it names no region or this
  // one.
  bool OnRegionReport(const v1::RegionReport& aReport, MonotonicTime aNow);

  // Number of the region's gateways that serve, without this one.
  std::size_t ServingInRegion(MonotonicTime aNow) const;
  // The other serving gateways.
  std::vector<ServingGateway> Serving(MonotonicTime aNow) const;
  // Their addresses, for callers.
  std::vector<Address> ServingAddresses(MonotonicTime aNow) const;
  // Datagram addresses of the region's other gateways, known or hinted.
  std::vector<Address> RegionPeers() const;
  // Targets of this region's report: one delegate of each other region,
  // or all its known gateways if none is alive. Empty unless this gateway is a
  // delegate of its region. Consecutive values of aRound select different
  // delegates.
  std::vector<Address> RegionReportTargets(std::uint64_t aRound,
                                           MonotonicTime aNow) const;
  // Beacons of the region's other live gateways, without loads.
  std::vector<v1::GatewayBeacon> RegionBeacons(MonotonicTime aNow) const;
  // Load that the region's other gateways cause on each runner.
  RunnerLoads RegionLoads(MonotonicTime aNow) const;
  // Load that all other gateways cause on each runner.
  RunnerLoads Loads(MonotonicTime aNow) const;

  // How many of the gateways that serve callers precede this one in the order
  // that all gateways agree on for aKey. Each key has an order of its own.
  std::size_t RankFor(std::uint64_t aKey, MonotonicTime aNow) const;

  // The position of this gateway among those of a region that serve callers or
  // did lately, or among all if none is known there. The number of gateways
  // includes those that were lost or cut off, which may still use their shares.
  RunnerLimits::Position PositionIn(const std::string& aRegion,
                                    std::uint64_t aKey,
                                    MonotonicTime aNow) const;

  // What the live gateways know of the configuration.
  std::vector<ConfigHolder> ConfigHolders(MonotonicTime aNow) const;

  std::size_t Count() const { return m_peers.size() + 1; }

private:
  struct Peer
  {
    Address m_address; // for datagrams
    Address m_callers;
    std::string m_region;
    std::uint64_t m_incarnation = 0;
    bool m_serving = false;
    bool m_readsFirstConfig = false;
    MonotonicTime m_lastSeen{};
    RunnerLoads m_loads;
    std::optional<v1::ConfigState> m_config;
    MonotonicTime m_configReceivedAt{};
  };

  struct Region
  {
    MonotonicTime m_lastSeen{};
    RunnerLoads m_loads;
  };

  bool IsAlive(const Peer& aPeer, MonotonicTime aNow) const;
  // Live gateways of a region, in an order that all gateways agree on.
  std::vector<std::string> RankedGateways(const std::string& aRegion,
                                          MonotonicTime aNow) const;

  std::string m_ownVm;
  std::string m_ownRegion;
  std::map<std::string, Region> m_regions; // other regions
  std::map<std::string, Peer> m_peers;     // by VM
  std::vector<Address> m_hints;
};

} // namespace siskindeal

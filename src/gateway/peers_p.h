#pragma once
// The other gateways: which there are, which serve, and what load they cause.
// Pure: time is given.

#include "datagram.pb.h"
#include "dispatch/runner_table_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/settings.h"

#include <map>
#include <string>
#include <vector>

namespace siskindeal {

class GatewayPeers
{
public:
  GatewayPeers(std::string aOwnVm, std::string aOwnRegion)
    : m_ownVm(std::move(aOwnVm))
    , m_ownRegion(std::move(aOwnRegion))
  {
  }

  // A gateway may be at this address; it is told until one is known there.
  void Hint(const Address& aAddress);
  // A gateway is registered at this address for datagrams.
  void Register(const std::string& aVm,
                const Address& aAddress,
                const std::string& aRegion);
  void Unregister(const std::string& aVm);
  // A gateway said that it is there, from aFrom. False when it is an older
  // start of one that has been started again.
  bool Hear(const v1::GatewayBeacon& aBeacon,
            const Address& aFrom,
            MonotonicTime aNow);

  // What the gateways of another region know. False for the own region's.
  bool HearRegion(const v1::RegionReport& aReport, MonotonicTime aNow);

  // Where callers may connect, besides here.
  std::vector<Address> Serving(MonotonicTime aNow) const;
  // The others of the own region, and whoever may be there but wasn't heard.
  std::vector<Address> Near() const;
  // Whom to tell of this region, one or two in each other region; none unless
  // it is this gateway's turn to speak for its region. aTurn alternates.
  std::vector<Address> ToTellOfRegion(std::uint64_t aTurn,
                                      MonotonicTime aNow) const;
  // The gateways of the own region as they told, without loads.
  std::vector<v1::GatewayBeacon> OwnRegion(MonotonicTime aNow) const;
  // What all others of the own region have sent to each runner.
  std::map<std::string, RunnerLoad> RegionLoads(MonotonicTime aNow) const;
  // What all others have sent to each runner.
  std::map<std::string, RunnerLoad> Loads(MonotonicTime aNow) const;

  std::size_t Count() const { return m_peers.size() + 1; }

private:
  struct Peer
  {
    Address m_address; // for datagrams
    Address m_callers;
    std::string m_region;
    std::uint64_t m_incarnation = 0;
    bool m_serving = false;
    MonotonicTime m_heardAt{};
    std::map<std::string, RunnerLoad> m_loads;
  };

  struct Region
  {
    MonotonicTime m_heardAt{};
    std::map<std::string, RunnerLoad> m_loads; // by runner
  };

  bool IsHeard(const Peer& aPeer, MonotonicTime aNow) const;
  // Gateways of a region that were heard lately, in an order that all agree on.
  std::vector<std::string> Ranked(const std::string& aRegion,
                                  MonotonicTime aNow) const;

  std::string m_ownVm;
  std::string m_ownRegion;
  std::map<std::string, Region> m_regions; // the others
  std::map<std::string, Peer> m_peers;     // by VM
  std::vector<Address> m_hints;
};

} // namespace siskindeal

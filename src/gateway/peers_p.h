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
  explicit GatewayPeers(std::string aOwnVm)
    : m_ownVm(std::move(aOwnVm))
  {
  }

  // A gateway may be at this address; it is told until one is known there.
  void Hint(const Address& aAddress);
  // A gateway is registered at this address for datagrams.
  void Register(const std::string& aVm, const Address& aAddress);
  void Unregister(const std::string& aVm);
  // A gateway said that it is there, from aFrom. False when it is an older
  // start of one that has been started again.
  bool Hear(const v1::GatewayBeacon& aBeacon,
            const Address& aFrom,
            MonotonicTime aNow);

  // Where callers may connect, besides here.
  std::vector<Address> Serving(MonotonicTime aNow) const;
  // Where to send datagrams to: all, or those heard to be in a region.
  std::vector<Address> Everyone() const;
  std::vector<Address> InRegion(const std::string& aRegion) const;
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

  std::string m_ownVm;
  std::map<std::string, Peer> m_peers; // by VM
  std::vector<Address> m_hints;
};

} // namespace siskindeal

#pragma once
// Chooses the gateways that a caller is told to connect to. Does no I/O.

#include "dispatch/home_regions_p.h"
#include "siskindeal/random.h"
#include "siskindeal/settings.h"

#include <string>
#include <vector>

namespace siskindeal {

// A gateway that takes callers.
struct ServingGateway
{
  Address m_callers; // where callers connect
  std::string m_region;
};

// Addresses that the platform's callers read of a response.
inline constexpr std::size_t kMaxListedAddresses = 64;
// A caller is told of gateways in other regions only if its own has fewer than
// this, so that the loss of a few gateways leaves it others to try.
inline constexpr std::size_t kMinListedAddresses = 8;

// Lists the gateways of the caller's region, so that requests and responses
// don't cross the links between regions twice. If that region has too few, the
// list is filled with random gateways of other regions; a caller that names no
// known region gets random ones of all. Other regions than the caller's and
// aHomes are left out, unless no gateway serves there.
std::vector<Address>
ListGateways(std::vector<ServingGateway> aServing,
             const std::string& aCallerRegion,
             const HomeRegions& aHomes,
             Random& aRandom);

} // namespace siskindeal

#include "gateway/directory_p.h"

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

// Removes the gateways of regions that are neither the caller's nor homes, if
// any others serve.
void
RemoveForeign(std::vector<ServingGateway>& aServing,
              const std::string& aCallerRegion,
              const HomeRegions& aHomes)
{
  const auto isForeign = [&](const ServingGateway& aGateway) {
    return aGateway.m_region != aCallerRegion &&
           !aHomes.Allows(aGateway.m_region);
  };
  if (!std::all_of(aServing.begin(), aServing.end(), isForeign)) {
    std::erase_if(aServing, isForeign);
  }
}

} // namespace

std::vector<Address>
ListGateways(std::vector<ServingGateway> aServing,
             const std::string& aCallerRegion,
             const HomeRegions& aHomes,
             Random& aRandom)
{
  if (aHomes.IsRestricted()) {
    RemoveForeign(aServing, aCallerRegion, aHomes);
  }
  // Fisher-Yates shuffle, so that callers get different subsets of a long list.
  for (std::size_t i = aServing.size(); i > 1; --i) {
    std::swap(aServing[i - 1], aServing[aRandom.Below(i)]);
  }
  const auto others = std::stable_partition(
    aServing.begin(), aServing.end(), [&](const ServingGateway& aGateway) {
      return aGateway.m_region == aCallerRegion;
    });
  const auto local = static_cast<std::size_t>(others - aServing.begin());
  const std::size_t wanted =
    local == 0 ? kMaxListedAddresses : std::max(local, kMinListedAddresses);
  aServing.resize(std::min({ aServing.size(), wanted, kMaxListedAddresses }));
  std::vector<Address> listed;
  listed.reserve(aServing.size());
  for (ServingGateway& gateway : aServing) {
    listed.push_back(std::move(gateway.m_callers));
  }
  return listed;
}

} // namespace siskindeal

#include "siskindeal/site.h"

namespace siskindeal {

std::string
RegionOf(const std::map<std::string, std::string>& aRegions,
         const std::string& aPlace)
{
  const auto found = aRegions.find(aPlace);
  return found == aRegions.end() ? aPlace : found->second;
}

Address
AddressOfUrl(const std::string& aUrl)
{
  const auto scheme = aUrl.find("://");
  return ParseAddress(scheme == std::string::npos ? aUrl
                                                  : aUrl.substr(scheme + 3));
}

} // namespace siskindeal

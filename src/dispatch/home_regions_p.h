#pragma once
// The regions in which a request may be served, by its route and team. Does no
// I/O.

#include "siskindeal/site.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

class HomeRegions
{
public:
  // All regions.
  HomeRegions() = default;
  // An empty list means any region. Where both lists name some, both apply.
  HomeRegions(const std::vector<std::string>& aRouteRegions,
              const std::vector<std::string>& aTeamRegions);

  // Restricts the regions further. An empty list changes nothing.
  void Restrict(const std::vector<std::string>& aRegions);

  // Whether a region may serve. One that isn't known is never a home.
  bool Allows(const std::optional<std::string>& aRegion) const
  {
    return !m_regions || (aRegion && m_regions->contains(*aRegion));
  }
  bool IsRestricted() const { return m_regions.has_value(); }
  // Whether no region may serve, so that the request can't be.
  bool IsEmpty() const { return m_regions && m_regions->empty(); }

private:
  std::optional<std::set<std::string>> m_regions; // unset: all
};

// A route or team that names a region which no place is in.
struct UnknownHome
{
  std::string m_entry; // such as "route chat"
  std::string m_region;
};

std::vector<UnknownHome>
FindUnknownHomes(const SiteConfig& aConfig,
                 const std::map<std::string, std::string>& aRegions);

// The homes of the requests to each host, in lower case, as far as they are
// known without a team: those that its restricted routes have in common. Hosts
// without such a route are left out.
std::map<std::string, HomeRegions>
HomesByHost(const SiteConfig& aConfig);

} // namespace siskindeal

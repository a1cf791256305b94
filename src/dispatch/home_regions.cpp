#include "dispatch/home_regions_p.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace siskindeal {

HomeRegions::HomeRegions(const std::vector<std::string>& aRouteRegions,
                         const std::vector<std::string>& aTeamRegions)
{
  Restrict(aRouteRegions);
  Restrict(aTeamRegions);
}

void
HomeRegions::Restrict(const std::vector<std::string>& aRegions)
{
  if (aRegions.empty()) {
    return;
  }
  const std::set<std::string> listed(aRegions.begin(), aRegions.end());
  if (!m_regions) {
    m_regions = listed;
    return;
  }
  std::erase_if(*m_regions, [&](const std::string& aRegion) {
    return !listed.contains(aRegion);
  });
}

std::vector<UnknownHome>
FindUnknownHomes(const SiteConfig& aConfig,
                 const std::map<std::string, std::string>& aRegions)
{
  std::set<std::string> known;
  for (const auto& [place, region] : aRegions) {
    known.insert(region);
  }
  std::vector<UnknownHome> unknown;
  const auto check = [&](const std::string& aEntry,
                         const std::vector<std::string>& aNamed) {
    for (const std::string& region : aNamed) {
      if (!known.contains(region)) {
        unknown.push_back({ aEntry, region });
      }
    }
  };
  for (const Route& route : aConfig.m_routes) {
    check("route " + route.m_name, route.m_allowedRegions);
  }
  for (const SiteTeam& team : aConfig.m_teams) {
    check("team " + team.m_name, team.m_allowedRegions);
  }
  return unknown;
}

std::map<std::string, HomeRegions>
HomesByHost(const SiteConfig& aConfig)
{
  std::map<std::string, HomeRegions> homes;
  for (const Route& route : aConfig.m_routes) {
    if (!route.m_allowedRegions.empty()) {
      homes[absl::AsciiStrToLower(route.m_host)].Restrict(
        route.m_allowedRegions);
    }
  }
  return homes;
}

} // namespace siskindeal

#pragma once
// One version of the configuration, indexed for lookups of routes and keys.

#include "dispatch/home_regions_p.h"
#include "siskindeal/site.h"

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace siskindeal {

class RouteIndex
{
public:
  explicit RouteIndex(SiteConfig aConfig);
  RouteIndex(const RouteIndex&) = delete;
  RouteIndex& operator=(const RouteIndex&) = delete;

  // The host's route with the longest matching path prefix; null if none
  // matches. aHost may include a port.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

  // The team that owns an API key; null if it is unknown.
  const SiteTeam* TeamOf(const std::string& aKey) const;

  // The homes that the requests to a host have in common, whatever their team.
  HomeRegions HomesOf(std::string_view aHost) const;

  // The service's record; an empty one if the service isn't configured.
  const ServiceRecord& Service(const std::string& aName) const;

  // Whether routes to the service have different priorities.
  bool IsPrioritized(const std::string& aService) const
  {
    return m_prioritized.contains(aService);
  }
  const std::set<std::string>& PrioritizedServices() const
  {
    return m_prioritized;
  }
  // The priority of the most urgent route to a service that has routes.
  int MostUrgent(const std::string& aService) const
  {
    return m_mostUrgent.at(aService);
  }

  const SiteConfig& Config() const { return m_config; }

private:
  SiteConfig m_config;
  std::unordered_map<std::string, const Route*> m_routes; // by host and prefix
  std::unordered_map<std::string, const SiteTeam*> m_teams; // by key
  std::map<std::string, HomeRegions> m_homes;               // by host
  std::set<std::string> m_prioritized;
  std::map<std::string, int> m_mostUrgent; // priorities, by service
  ServiceRecord m_unknown;
};

} // namespace siskindeal

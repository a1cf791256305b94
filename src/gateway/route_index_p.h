#pragma once
// One version of the configuration, made ready to look routes and keys up.

#include "siskindeal/site.h"

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

  // The route of the host with the longest prefix that begins the path; null
  // when there is none. aHost may carry a port.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

  // The team that holds a key; null when none does.
  const SiteTeam* TeamOf(const std::string& aKey) const;

  // An empty record for a service that the configuration doesn't list.
  const ServiceRecord& Service(const std::string& aName) const;

  const SiteConfig& Config() const { return m_config; }

private:
  SiteConfig m_config;
  std::unordered_map<std::string, const Route*> m_routes; // by host and prefix
  std::unordered_map<std::string, const SiteTeam*> m_teams; // by key
  ServiceRecord m_unknown;
};

} // namespace siskindeal

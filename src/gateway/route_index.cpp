#include "gateway/route_index_p.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace siskindeal {

namespace {

std::string
HostKey(std::string_view aHost)
{
  const auto colon = aHost.rfind(':');
  const auto host = aHost.substr(0, colon);
  return absl::AsciiStrToLower(absl::string_view(host.data(), host.size()));
}

} // namespace

RouteIndex::RouteIndex(SiteConfig aConfig)
  : m_config(std::move(aConfig))
  , m_homes(HomesByHost(m_config))
{
  for (const Route& route : m_config.m_routes) {
    for (const RouteShare& share : route.m_shares) {
      const auto [known, isNew] =
        m_mostUrgent.emplace(share.m_service, route.m_priority);
      if (!isNew && known->second != route.m_priority) {
        m_prioritized.insert(share.m_service);
        known->second = std::min(known->second, route.m_priority);
      }
    }
    m_routes[HostKey(route.m_host) + route.m_pathPrefix] = &route;
  }
  for (const SiteTeam& team : m_config.m_teams) {
    for (const std::string& key : team.m_keys) {
      m_teams[key] = &team;
    }
  }
}

const Route*
RouteIndex::Find(std::string_view aHost, std::string_view aTarget) const
{
  const std::string host = HostKey(aHost);
  std::string_view path = aTarget.substr(0, aTarget.find('?'));
  // Route prefixes end with a slash, so only such prefixes of the path can
  // match.
  while (!path.empty()) {
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, slash + 1);
    const auto found = m_routes.find(host + std::string(path));
    if (found != m_routes.end()) {
      return found->second;
    }
    path.remove_suffix(1);
  }
  return nullptr;
}

const SiteTeam*
RouteIndex::TeamOf(const std::string& aKey) const
{
  const auto found = m_teams.find(aKey);
  return found == m_teams.end() ? nullptr : found->second;
}

HomeRegions
RouteIndex::HomesOf(std::string_view aHost) const
{
  const auto found = m_homes.find(HostKey(aHost));
  return found == m_homes.end() ? HomeRegions() : found->second;
}

const ServiceRecord&
RouteIndex::Service(const std::string& aName) const
{
  const auto found = m_config.m_services.find(aName);
  return found == m_config.m_services.end() ? m_unknown : found->second;
}

} // namespace siskindeal

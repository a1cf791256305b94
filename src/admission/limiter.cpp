#include "siskindeal/admission.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

constexpr double kSmoothSeconds = 1.0;
// Demand that every entry is taken to have, so that a new one gets a share.
constexpr double kLeastPerSecond = 0.5;

double
Seconds(MonotonicTime::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void
DemandMeter::Count(MonotonicTime aNow)
{
  m_perSecond = PerSecond(aNow) + 1 / kSmoothSeconds;
  m_at = aNow;
}

double
DemandMeter::PerSecond(MonotonicTime aNow) const
{
  const double passed = std::max(0.0, Seconds(aNow - m_at));
  return m_perSecond * std::exp(-passed / kSmoothSeconds);
}

void
TeamLimiter::SetTeams(std::map<std::string, TeamConfig> aTeams,
                      const TeamConfig& aOthers)
{
  m_configs = std::move(aTeams);
  m_others = aOthers;
}

const TeamConfig&
TeamLimiter::ConfigOf(const std::string& aTeam) const
{
  const auto found = m_configs.find(aTeam);
  return found == m_configs.end() ? m_others : found->second;
}

TeamLimiter::Team&
TeamLimiter::Find(const std::string& aTeam, MonotonicTime aNow)
{
  if (m_teams.size() >= kMostTeams && !m_teams.contains(aTeam)) {
    std::erase_if(m_teams, [&](const auto& aEntry) {
      return aEntry.second.m_demand.PerSecond(aNow) < kLeastPerSecond;
    });
  }
  return m_teams[aTeam];
}

double
TeamLimiter::ShareOf(const std::string& aTeam, MonotonicTime aNow) const
{
  const auto found = m_teams.find(aTeam);
  const double mine =
    kLeastPerSecond +
    (found == m_teams.end() ? 0 : found->second.m_demand.PerSecond(aNow));
  double all = mine;
  for (const auto& [vm, demand] : m_entries) {
    const auto other = demand.find(aTeam);
    all += kLeastPerSecond + (other == demand.end() ? 0 : other->second);
  }
  return mine / all;
}

std::optional<Error>
TeamLimiter::Take(const std::string& aTeam, MonotonicTime aNow)
{
  auto& team = Find(aTeam, aNow);
  const auto& config = ConfigOf(aTeam);
  team.m_demand.Count(aNow);
  const double share = ShareOf(aTeam, aNow);
  const double rate = std::max(1e-3, config.m_requestsPerSecond * share);
  const double burst = std::max(1.0, config.m_burst * share);
  if (team.m_tokens < 0) {
    team.m_tokens = burst;
  } else {
    const double earned = rate * Seconds(aNow - team.m_at);
    team.m_tokens = std::min(burst, team.m_tokens + std::max(0.0, earned));
  }
  team.m_at = aNow;
  if (team.m_tokens >= 1) {
    team.m_tokens -= 1;
    return std::nullopt;
  }
  const auto wait = std::chrono::milliseconds(
    1 + static_cast<std::int64_t>(1000 * (1 - team.m_tokens) / rate));
  return Error(Reason::RateLimited,
               Verdict::NotRun,
               "team \"" + aTeam + "\" is over its rate",
               std::min(wait, std::chrono::milliseconds(60000)));
}

void
TeamLimiter::Merge(const std::string& aEntryVm,
                   const std::vector<wire::TeamUsage>& aUsage)
{
  auto& demand = m_entries[aEntryVm];
  demand.clear();
  for (const auto& usage : aUsage) {
    if (!usage.team().empty() && demand.size() < kMostTeams) {
      demand[usage.team()] = std::max(0.0, usage.per_second());
    }
  }
}

void
TeamLimiter::Forget(const std::string& aEntryVm)
{
  m_entries.erase(aEntryVm);
}

std::vector<wire::TeamUsage>
TeamLimiter::Usage(MonotonicTime aNow) const
{
  std::vector<wire::TeamUsage> usage;
  for (const auto& [name, team] : m_teams) {
    // Rounded, so that a steady demand isn't told anew all the time.
    const double perSecond = std::round(team.m_demand.PerSecond(aNow));
    if (perSecond < 1) {
      continue;
    }
    auto& one = usage.emplace_back();
    one.set_team(name);
    one.set_per_second(perSecond);
  }
  return usage;
}

} // namespace siskindeal

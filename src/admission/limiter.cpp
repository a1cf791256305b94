#include "siskindeal/admission.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

constexpr double kSmoothingSeconds = 1.0;
// Demand assumed for every entry, so that a new one gets a share of the rate.
constexpr double kMinDemandPerSecond = 0.5;
constexpr double kMinRatePerSecond = 1e-3;
constexpr std::chrono::milliseconds kMaxRetryAfter{ 60000 };

double
Seconds(MonotonicTime::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void
DemandMeter::RecordRequest(MonotonicTime aNow)
{
  m_perSecond = RequestsPerSecond(aNow) + 1 / kSmoothingSeconds;
  m_updatedAt = aNow;
}

double
DemandMeter::RequestsPerSecond(MonotonicTime aNow) const
{
  const double elapsed = std::max(0.0, Seconds(aNow - m_updatedAt));
  return m_perSecond * std::exp(-elapsed / kSmoothingSeconds);
}

void
TeamLimiter::SetTeams(std::map<std::string, TeamConfig> aTeams,
                      const TeamConfig& aDefault)
{
  m_configs = std::move(aTeams);
  m_defaultConfig = aDefault;
}

const TeamConfig&
TeamLimiter::ConfigOf(const std::string& aTeam) const
{
  const auto found = m_configs.find(aTeam);
  return found == m_configs.end() ? m_defaultConfig : found->second;
}

TeamLimiter::Team&
TeamLimiter::FindOrCreate(const std::string& aTeam, MonotonicTime aNow)
{
  if (m_teams.size() >= kMaxTeams && !m_teams.contains(aTeam)) {
    std::erase_if(m_teams, [&](const auto& aEntry) {
      return aEntry.second.m_demand.RequestsPerSecond(aNow) <
             kMinDemandPerSecond;
    });
  }
  return m_teams[aTeam];
}

double
TeamLimiter::ShareOf(const std::string& aTeam, MonotonicTime aNow) const
{
  const auto found = m_teams.find(aTeam);
  const double own =
    kMinDemandPerSecond + (found == m_teams.end()
                             ? 0
                             : found->second.m_demand.RequestsPerSecond(aNow));
  double total = own;
  for (const auto& [vm, demand] : m_remoteDemand) {
    const auto other = demand.find(aTeam);
    total += kMinDemandPerSecond + (other == demand.end() ? 0 : other->second);
  }
  return own / total;
}

std::optional<Error>
TeamLimiter::Admit(const std::string& aTeam, MonotonicTime aNow)
{
  auto& team = FindOrCreate(aTeam, aNow);
  const auto& config = ConfigOf(aTeam);
  team.m_demand.RecordRequest(aNow);
  const double share = ShareOf(aTeam, aNow);
  const double rate =
    std::max(kMinRatePerSecond, config.m_requestsPerSecond * share);
  const double burst = std::max(1.0, config.m_burst * share);
  if (team.m_tokens < 0) {
    team.m_tokens = burst;
  } else {
    const double earned = rate * Seconds(aNow - team.m_refilledAt);
    team.m_tokens = std::min(burst, team.m_tokens + std::max(0.0, earned));
  }
  team.m_refilledAt = aNow;
  if (team.m_tokens >= 1) {
    team.m_tokens -= 1;
    return std::nullopt;
  }
  const auto wait = std::chrono::milliseconds(
    1 + static_cast<std::int64_t>(1000 * (1 - team.m_tokens) / rate));
  return Error(Reason::RateLimited,
               Verdict::NotRun,
               "team \"" + aTeam + "\" exceeds its request rate",
               std::min(wait, kMaxRetryAfter));
}

void
TeamLimiter::Merge(const std::string& aEntryVm,
                   const std::vector<wire::TeamUsage>& aUsage)
{
  auto& demand = m_remoteDemand[aEntryVm];
  demand.clear();
  for (const auto& usage : aUsage) {
    if (!usage.team().empty() && demand.size() < kMaxTeams) {
      demand[usage.team()] = std::max(0.0, usage.per_second());
    }
  }
}

void
TeamLimiter::RemoveEntry(const std::string& aEntryVm)
{
  m_remoteDemand.erase(aEntryVm);
}

std::vector<wire::TeamUsage>
TeamLimiter::Usage(MonotonicTime aNow) const
{
  std::vector<wire::TeamUsage> usage;
  for (const auto& [name, team] : m_teams) {
    // Rounded, so that a steady demand is not reported as a change.
    const double perSecond = std::round(team.m_demand.RequestsPerSecond(aNow));
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

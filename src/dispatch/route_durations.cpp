#include "dispatch/route_durations_p.h"

#include <algorithm>

namespace siskindeal {

using std::chrono::milliseconds;

void
RouteDurations::Record(const std::string& aRoute, milliseconds aDuration)
{
  Samples& samples = m_samples[aRoute];
  if (samples.m_latest.size() < kMaxSamples) {
    samples.m_latest.push_back(aDuration);
    return;
  }
  samples.m_latest[samples.m_next] = aDuration;
  samples.m_next = (samples.m_next + 1) % kMaxSamples;
}

std::optional<milliseconds>
RouteDurations::Longest(const std::string& aRoute) const
{
  const auto found = m_samples.find(aRoute);
  if (found == m_samples.end()) {
    return std::nullopt;
  }
  const auto& latest = found->second.m_latest;
  return *std::max_element(latest.begin(), latest.end());
}

void
RouteDurations::Retain(const std::set<std::string>& aRoutes)
{
  std::erase_if(m_samples, [&](const auto& aEntry) {
    return !aRoutes.contains(aEntry.first);
  });
}

bool
CompletesBeforeExit(milliseconds aUntilExit,
                    milliseconds aUntilDeadline,
                    std::optional<milliseconds> aLongest)
{
  return std::min(aUntilDeadline, aLongest.value_or(aUntilDeadline)) <=
         aUntilExit;
}

} // namespace siskindeal

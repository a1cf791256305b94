#include "dispatch/runner_pace_p.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

using Seconds = std::chrono::duration<double>;

// Machines change their pace in spells of this order, so that a reading says
// little after that time.
constexpr Seconds kReadingLifetime{ 0.5 };
// Smaller factors count as the usual pace. Runners that were heard of lately
// would otherwise look a little faster than the others, and all gateways would
// send to these.
constexpr double kMinStatedSlowdown = 1.3;
// Prompts of others lengthen the gaps of sound runners too, even the shortest.
constexpr double kMinMeasuredSlowdown = 2;
constexpr double kMinFactor = 0.2;
constexpr double kMaxFactor = 20;
// Gaps that are older say nothing of the present speed.
constexpr Seconds kGapLifetime{ 3.0 };

} // namespace

void
RunnerPace::RecordStated(const Reading& aReading)
{
  if (!(aReading.m_factor > 0) ||
      (IsStated() && aReading.m_at <= m_stated.m_at)) {
    return;
  }
  const double factor = std::clamp(aReading.m_factor, kMinFactor, kMaxFactor);
  m_stated = { factor, aReading.m_at, aReading.m_isOwn };
}

void
RunnerPace::RecordEventGap(double aFactor, MonotonicTime aNow)
{
  if (!(aFactor > 0)) {
    return;
  }
  m_gaps.at(m_nextGap) = { std::clamp(aFactor, kMinFactor, kMaxFactor), aNow };
  m_nextGap = (m_nextGap + 1) % kGaps;
}

double
RunnerPace::Expected(MonotonicTime aNow) const
{
  if (IsStated()) {
    if (m_stated.m_factor < kMinStatedSlowdown) {
      return 1;
    }
    const double trust =
      std::exp(-std::max(0.0, (aNow - m_stated.m_at) / kReadingLifetime));
    return 1 + (m_stated.m_factor - 1) * trust;
  }
  double shortest = 0;
  for (const Reading& gap : m_gaps) {
    if (gap.m_factor <= 0 || aNow - gap.m_at > kGapLifetime) {
      return 1; // too few to tell a slow machine from a delayed event
    }
    shortest = shortest == 0 ? gap.m_factor : std::min(shortest, gap.m_factor);
  }
  return shortest < kMinMeasuredSlowdown ? 1 : shortest;
}

} // namespace siskindeal

#include "dispatch/runner_pace_p.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

using Seconds = std::chrono::duration<double>;

// Bounds of the learned duration of slow periods, and how much one reading
// changes it.
constexpr Seconds kMinPeriod{ 0.02 };
constexpr Seconds kMaxPeriod{ 2.0 };
constexpr double kPeriodWeight = 0.1;
// Two readings that are further apart say nothing of one period.
constexpr Seconds kMaxReadingGap{ 1.0 };
// Smaller factors count as the usual pace. Otherwise runners with recent
// reports look slightly faster than the others, and all gateways send to these.
constexpr double kMinStatedSlowdown = 1.3;
// Prompts of other requests lengthen the gaps of sound runners too.
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
  LearnPeriod(factor, aReading.m_at);
  m_stated = { factor, aReading.m_at, aReading.m_isOwn };
}

void
RunnerPace::LearnPeriod(double aFactor, MonotonicTime aAt)
{
  const Seconds elapsed = aAt - m_stated.m_at;
  if (m_stated.m_factor < kMinStatedSlowdown || elapsed > kMaxReadingGap) {
    return;
  }
  // Still slow: the period lasts longer than that. Otherwise it was shorter.
  const Seconds suggested = aFactor >= kMinStatedSlowdown
                              ? std::max(m_slowPeriod, elapsed * 2)
                              : std::min(m_slowPeriod, elapsed / 2);
  m_slowPeriod =
    std::clamp(m_slowPeriod + (suggested - m_slowPeriod) * kPeriodWeight,
               kMinPeriod,
               kMaxPeriod);
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
      std::exp(-std::max(0.0, Seconds(aNow - m_stated.m_at) / m_slowPeriod));
    return 1 + (m_stated.m_factor - 1) * trust;
  }
  double shortest = 0;
  for (const Reading& gap : m_gaps) {
    if (gap.m_factor <= 0 || aNow - gap.m_at > kGapLifetime) {
      return 1; // too few to tell a slow VM from a delayed event
    }
    shortest = shortest == 0 ? gap.m_factor : std::min(shortest, gap.m_factor);
  }
  return shortest < kMinMeasuredSlowdown ? 1 : shortest;
}

} // namespace siskindeal

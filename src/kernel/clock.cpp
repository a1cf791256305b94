#include "siskindeal/clock.h"

namespace siskindeal {

MonotonicTime
SystemClock::Now() const
{
  return std::chrono::steady_clock::now();
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::system_clock::now();
}

void
ManualClock::Advance(std::chrono::nanoseconds aStep)
{
  m_now += std::chrono::duration_cast<MonotonicTime::duration>(aStep);
  m_wall += std::chrono::duration_cast<WallTime::duration>(aStep);
}

} // namespace siskindeal

#pragma once
// Delays between retries.

#include "siskindeal/random.h"

#include <algorithm>
#include <chrono>

namespace siskindeal {

// Exponential backoff with jitter: each delay is uniform between the minimum
// and a ceiling that doubles with every failure, so that processes which failed
// together do not retry together.
class Backoff
{
public:
  Backoff(std::chrono::milliseconds aMin, std::chrono::milliseconds aMax)
    : m_min(aMin)
    , m_max(aMax)
    , m_ceiling(aMin)
  {
  }

  // Returns the next delay, at least aMinDelay, e.g. a Retry-After value.
  std::chrono::milliseconds Next(Random& aRandom,
                                 std::chrono::milliseconds aMinDelay = {})
  {
    m_ceiling = std::min(m_ceiling * 2, m_max);
    const auto range =
      static_cast<std::uint64_t>((m_ceiling - m_min).count()) + 1;
    const auto jitter = std::chrono::milliseconds(aRandom.Below(range));
    return std::max(m_min, aMinDelay) + jitter;
  }

  void Reset() { m_ceiling = m_min; }

private:
  std::chrono::milliseconds m_min;
  std::chrono::milliseconds m_max;
  std::chrono::milliseconds m_ceiling;
};

} // namespace siskindeal

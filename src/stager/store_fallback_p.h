#pragma once
// When a stager reads the configuration from the store because no gateway of
// its region passes it on. After a loss of power all stagers are in this
// situation at once, behind one link: each waits for a random time first, and
// after each attempt for a longer one. Does no I/O; the caller passes the time.

#include "siskindeal/clock.h"
#include "siskindeal/random.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace siskindeal {

class StoreFallback
{
public:
  using Milliseconds = std::chrono::milliseconds;

  // Gateways that start at the same time have the configuration by then.
  static constexpr Milliseconds kGatewayTime{ 2500 };
  static constexpr Milliseconds kSpread{ 2500 };
  static constexpr Milliseconds kFirstInterval{ 2000 };
  static constexpr Milliseconds kMaxInterval{ 24000 };

  // aStart: of the process.
  StoreFallback(MonotonicTime aStart, Random& aRandom)
    : m_random(aRandom)
    , m_next(aStart + kGatewayTime + Below(kSpread))
  {
  }

  bool IsDue(MonotonicTime aNow) const { return aNow >= m_next; }

  void RecordAttempt(MonotonicTime aNow)
  {
    m_next = aNow + m_interval / 2 + Below(m_interval);
    m_interval = std::min(m_interval * 2, kMaxInterval);
  }

  void RecordSuccess() { m_interval = kFirstInterval; }

private:
  Milliseconds Below(Milliseconds aLimit)
  {
    return Milliseconds(
      m_random.Below(static_cast<std::uint64_t>(aLimit.count())));
  }

  Random& m_random;
  MonotonicTime m_next;
  Milliseconds m_interval = kFirstInterval;
};

} // namespace siskindeal

#pragma once
// Measures how late a periodic task runs because its loop was busy or the
// process was paused. What arrived meanwhile may still be unread.

#include "net/loop_p.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace siskindeal {

class TickDelay
{
public:
  explicit TickDelay(std::chrono::milliseconds aInterval)
    : m_interval(aInterval)
  {
  }

  // Returns the delay of the run at aNow; zero for the first one.
  std::chrono::milliseconds Record(MonotonicClockPoint aNow)
  {
    const auto previous = std::exchange(m_previous, aNow);
    if (!previous) {
      return std::chrono::milliseconds(0);
    }
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - *previous - m_interval);
    return std::max(std::chrono::milliseconds(0), delay);
  }

private:
  std::chrono::milliseconds m_interval;
  std::optional<MonotonicClockPoint> m_previous;
};

} // namespace siskindeal

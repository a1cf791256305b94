#pragma once
// Stops calls to a platform that keeps failing, and lets one through at a time
// to see whether it has recovered.

#include "siskindeal/backoff.h"
#include "siskindeal/clock.h"

#include <optional>

namespace siskindeal {

class CircuitBreaker
{
public:
  // Whether a call may go out; otherwise how long to wait.
  std::optional<std::chrono::milliseconds> Refuse(MonotonicTime aNow);
  // A call that was let through has been answered.
  void Succeeded();
  // A call that was let through has failed; aRetryAfter as the platform asked.
  void Failed(MonotonicTime aNow,
              Random& aRandom,
              std::chrono::milliseconds aRetryAfter);
  // The platform refused for rate: nothing goes out until then.
  void Pause(MonotonicTime aUntil);

  bool Open() const { return m_open; }

private:
  Backoff m_backoff{ std::chrono::milliseconds{ 100 },
                     std::chrono::milliseconds{ 5000 } };
  int m_failures = 0;
  bool m_open = false;
  bool m_probing = false;
  MonotonicTime m_probeStarted;
  MonotonicTime m_until;
};

} // namespace siskindeal

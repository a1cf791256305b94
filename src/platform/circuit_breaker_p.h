#pragma once
// Circuit breaker: rejects calls to a failing platform and admits a single
// probe at a time to detect recovery.

#include "siskindeal/backoff.h"
#include "siskindeal/clock.h"

#include <optional>

namespace siskindeal {

class CircuitBreaker
{
public:
  // Returns std::nullopt if a call is admitted, otherwise how long to wait.
  std::optional<std::chrono::milliseconds> Reject(MonotonicTime aNow);
  // The platform replied to an admitted call.
  void OnSuccess();
  // An admitted call failed; aRetryAfter is the delay requested by the
  // platform.
  void OnFailure(MonotonicTime aNow,
                 Random& aRandom,
                 std::chrono::milliseconds aRetryAfter);
  // Rejects all calls until aUntil, after the platform limited the rate.
  void PauseUntil(MonotonicTime aUntil);

  bool IsOpen() const { return m_open; }

private:
  static constexpr std::chrono::milliseconds kMinBackoff{ 100 };
  static constexpr std::chrono::milliseconds kMaxBackoff{ 5000 };

  Backoff m_backoff{ kMinBackoff, kMaxBackoff };
  int m_consecutiveFailures = 0;
  bool m_open = false;
  bool m_probeInFlight = false;
  MonotonicTime m_probeStartedAt;
  MonotonicTime m_blockedUntil;
};

} // namespace siskindeal

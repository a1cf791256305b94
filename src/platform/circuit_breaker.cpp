#include "platform/circuit_breaker_p.h"

namespace siskindeal {

namespace {

constexpr int kFailuresToOpen = 5;
// After this time without a reply, another probe is admitted.
constexpr std::chrono::seconds kProbeTimeout{ 10 };

std::chrono::milliseconds
MillisecondsUntil(MonotonicTime aTime, MonotonicTime aNow)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aTime - aNow);
}

} // namespace

std::optional<std::chrono::milliseconds>
CircuitBreaker::Reject(MonotonicTime aNow)
{
  if (aNow < m_blockedUntil) {
    return MillisecondsUntil(m_blockedUntil, aNow);
  }
  if (!m_open) {
    return std::nullopt;
  }
  if (m_probeInFlight && aNow < m_probeStartedAt + kProbeTimeout) {
    constexpr std::chrono::milliseconds kProbeWait{ 100 };
    return kProbeWait;
  }
  m_probeInFlight = true;
  m_probeStartedAt = aNow;
  return std::nullopt;
}

void
CircuitBreaker::OnSuccess()
{
  m_consecutiveFailures = 0;
  m_open = false;
  m_probeInFlight = false;
  m_backoff.Reset();
}

void
CircuitBreaker::OnFailure(MonotonicTime aNow,
                          Random& aRandom,
                          std::chrono::milliseconds aRetryAfter)
{
  ++m_consecutiveFailures;
  if (m_consecutiveFailures < kFailuresToOpen) {
    return;
  }
  m_open = true;
  m_probeInFlight = false;
  m_blockedUntil =
    std::max(m_blockedUntil, aNow + m_backoff.Next(aRandom, aRetryAfter));
}

void
CircuitBreaker::PauseUntil(MonotonicTime aUntil)
{
  m_blockedUntil = std::max(m_blockedUntil, aUntil);
}

} // namespace siskindeal

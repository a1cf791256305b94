#include "platform/circuit_breaker_p.h"

namespace siskindeal {

namespace {

constexpr int kFailuresToOpen = 5;
// A probe that hasn't been answered by then no longer holds others back.
constexpr std::chrono::seconds kLongestProbe{ 10 };

std::chrono::milliseconds
Until(MonotonicTime aThen, MonotonicTime aNow)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aThen - aNow);
}

} // namespace

std::optional<std::chrono::milliseconds>
CircuitBreaker::Refuse(MonotonicTime aNow)
{
  if (aNow < m_until) {
    return Until(m_until, aNow);
  }
  if (!m_open) {
    return std::nullopt;
  }
  if (m_probing && aNow < m_probeStarted + kLongestProbe) {
    constexpr std::chrono::milliseconds kProbeWait{ 100 };
    return kProbeWait;
  }
  m_probing = true;
  m_probeStarted = aNow;
  return std::nullopt;
}

void
CircuitBreaker::Succeeded()
{
  m_failures = 0;
  m_open = false;
  m_probing = false;
  m_backoff.Reset();
}

void
CircuitBreaker::Failed(MonotonicTime aNow,
                       Random& aRandom,
                       std::chrono::milliseconds aRetryAfter)
{
  ++m_failures;
  if (m_failures < kFailuresToOpen) {
    return;
  }
  m_open = true;
  m_probing = false;
  m_until = std::max(m_until, aNow + m_backoff.Next(aRandom, aRetryAfter));
}

void
CircuitBreaker::Pause(MonotonicTime aUntil)
{
  m_until = std::max(m_until, aUntil);
}

} // namespace siskindeal

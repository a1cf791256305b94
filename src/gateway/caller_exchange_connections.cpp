// Decides which sends share connections with other requests.

#include "gateway/caller_exchange_p.h"

namespace siskindeal {

bool
CallerExchange::NeedsUnsharedConnection(const RunnerState& aRunner,
                                        MonotonicTime aNow) const
{
  return !m_route->IsRetryable() || m_sends > 0 ||
         aNow < aRunner.m_unsharedUntil;
}

void
CallerExchange::RecordStrayResponse(const RunnerAttempt& aAttempt,
                                    RunnerState& aRunner)
{
  constexpr std::chrono::milliseconds kUnsharedFor{ 10000 };
  if (!aAttempt.m_connection->Evidence().m_hasStrayResponse) {
    return;
  }
  const MonotonicTime now = LoopNow();
  if (aRunner.m_unsharedUntil < now) {
    m_gateway.LogRequest(LogLevel::Warning,
                         "runner connections unshared",
                         { { "id", m_id },
                           { "runner", aAttempt.m_runner.m_id },
                           { "address", aAttempt.m_address.ToString() },
                           { "for_ms", kUnsharedFor.count() } });
  }
  aRunner.m_unsharedUntil = now + kUnsharedFor;
}

} // namespace siskindeal

// Decides whether a request is sent again after an attempt failed.

#include "gateway/caller_exchange_p.h"
#include "siskindeal/metrics.h"
#include "siskindeal/operators.h"

#include <algorithm>

namespace siskindeal {

void
CallerExchange::On(RunnerAttempt& aAttempt, const CallFailed& aFailure)
{
  if (aFailure.m_how == CallFailure::MayHaveRun) {
    m_gateway.Crashes().OnConnectionLost(
      aAttempt.m_runner, aAttempt.m_address, SuspectTraits());
  }
  OnAttemptFailed(aAttempt, aFailure.m_how, aFailure.m_reason);
}

bool
CallerExchange::MayResume() const
{
  return m_phase != Phase::Streaming ||
         (m_lastEventId.has_value() && !m_hasUnnumberedEvents);
}

void
CallerExchange::RecordExecution(const RunnerAttempt& aAttempt)
{
  m_mayHaveRun = true;
  m_executedOn.push_back(aAttempt.m_runner);
}

std::size_t
CallerExchange::CountedExecutions() const
{
  return static_cast<std::size_t>(
    std::count_if(m_executedOn.begin(),
                  m_executedOn.end(),
                  [this](const RunnerIncarnation& aRunner) {
                    return !m_gateway.HasEnded(aRunner);
                  }));
}

bool
CallerExchange::TakeRetry()
{
  const MonotonicTime now = LoopNow();
  if (m_gateway.Retries().TakeRetry(m_service, now)) {
    return true;
  }
  const RetryUsage usage = m_gateway.Retries().Usage(m_service, now);
  CountMetric("siskindeal_gateway_retries_denied_total");
  m_gateway.LogRequest(LogLevel::Info,
                       "retry denied",
                       { { "id", m_id },
                         { "service", m_service },
                         { "sends", m_sends },
                         { "window_requests", usage.m_requests },
                         { "window_retries", usage.m_retries },
                         { "allowed", usage.m_allowed },
                         { "gateways", usage.m_gateways } });
  return false;
}

bool
CallerExchange::MayRetry(CallFailure aFailure)
{
  if (m_sends >= kMaxSends) {
    return false;
  }
  if (aFailure == CallFailure::NotSent) {
    return true; // no runner received it
  }
  if (!MayResume()) {
    return false;
  }
  return m_route->IsRetryable() &&
         CountedExecutions() < m_route->m_maxAttempts && TakeRetry();
}

void
CallerExchange::LogIfSuspect()
{
  const auto suspicion =
    m_gateway.Suspicions().ListingOf(m_traits.m_fingerprint);
  if (!suspicion) {
    return;
  }
  CountMetric("siskindeal_gateway_suspects_forwarded_total");
  m_gateway.LogRequest(
    LogLevel::Warning,
    "suspect forwarded",
    { { "id", m_id },
      { "runner", m_latest->m_runner.m_id },
      { "fingerprint", FormatFingerprint(m_traits.m_fingerprint) },
      { "crashes", suspicion->m_crashes },
      { "attributed", suspicion->m_attributed } });
}

void
CallerExchange::LogAttempt(std::string_view aEvent,
                           const RunnerAttempt& aAttempt,
                           bool aMayHaveRun)
{
  const CallEvidence& evidence = aAttempt.m_connection->Evidence();
  m_gateway.LogRequest(
    LogLevel::Info,
    aEvent,
    { { "id", m_id },
      { "runner", aAttempt.m_runner.m_id },
      { "runner_start", aAttempt.m_runner.Start() },
      { "address", aAttempt.m_address.ToString() },
      { "reason", m_lastReason },
      { "status", aAttempt.m_head.m_status },
      { "may_have_run", aMayHaveRun },
      { "send", aAttempt.m_number },
      { "connection_calls", evidence.m_earlierCalls },
      { "connection_age_ms", evidence.m_connectionAge.count() },
      { "id_echoed", evidence.m_isEchoed },
      { "discarded_bytes", evidence.m_discardedBytes },
      { "executions", CountedExecutions() },
      { "max_attempts", m_route->m_maxAttempts },
      { "events", m_eventCount },
      { "region", aAttempt.m_region },
      { "link_delay_ms", aAttempt.m_linkDelay.count() },
      { "open_attempts", m_openAttempts.size() } });
}

void
CallerExchange::OnAttemptFailed(RunnerAttempt& aAttempt,
                                CallFailure aFailure,
                                const std::string& aReason,
                                RunnerHealth aHealth)
{
  EndAttempt(aAttempt, aHealth);
  aAttempt.DropResponse();
  m_lastReason = aReason;
  if (aFailure == CallFailure::MayHaveRun) {
    RecordExecution(aAttempt);
  }
  LogAttempt("attempt failed", aAttempt, aFailure == CallFailure::MayHaveRun);
  if (!m_openAttempts.empty()) {
    return; // another runner may still respond
  }
  if (MayRetry(aFailure)) {
    Dispatch();
    return;
  }
  GiveUp(aReason);
}

} // namespace siskindeal

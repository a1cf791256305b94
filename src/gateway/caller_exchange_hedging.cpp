// Sends a request to a second runner while the first one is silent.

#include "gateway/caller_exchange_p.h"
#include "siskindeal/metrics.h"

#include <algorithm>
#include <utility>

namespace siskindeal {

using std::chrono::milliseconds;

void
CallerExchange::Tick(MonotonicTime aNow)
{
  if (m_phase == Phase::Done) {
    return;
  }
  if (aNow >= m_deadline) {
    OnDeadline("deadline exceeded");
    return;
  }
  WithdrawOutdated();
  if (m_phase != Phase::Done && NeedsHedge(aNow)) {
    Hedge(aNow);
  }
}

void
CallerExchange::WithdrawOutdated()
{
  if (m_shape.m_model.empty()) {
    return;
  }
  const std::vector<RunnerAttemptPtr> attempts = m_openAttempts;
  for (const RunnerAttemptPtr& attempt : attempts) {
    if (!IsOpen(*attempt) || attempt->m_head.m_status != 0) {
      continue;
    }
    const RunnerState* runner =
      m_gateway.Runners().Find(attempt->m_runner.m_id);
    const auto overdue = m_gateway.OverdueVersion(m_shape.m_model);
    if (runner == nullptr || !overdue ||
        runner->VersionOf(m_shape.m_model) >= *overdue) {
      continue;
    }
    CountMetric("siskindeal_gateway_withdrawn_requests_total");
    m_gateway.LogRequest(
      LogLevel::Info,
      "request withdrawn",
      { { "id", m_id },
        { "runner", attempt->m_runner.m_id },
        { "weights_held", runner->VersionOf(m_shape.m_model) },
        { "weights_due", *overdue },
        { "sent_ms_ago",
          std::chrono::duration_cast<milliseconds>(LoopNow() -
                                                   attempt->m_sentAt)
            .count() } });
    AbandonAttempt(*attempt, "the runner's weights are due to be replaced");
  }
}

void
CallerExchange::Expire(std::string_view aReason)
{
  if (m_phase != Phase::Done) {
    OnDeadline(aReason);
  }
}

milliseconds
CallerExchange::SilenceLimit(const RunnerAttempt& aAttempt) const
{
  constexpr milliseconds kMinLimit{ 450 };
  constexpr int kTargetLatencies = 3;
  constexpr int kTargetGaps = 4;
  constexpr int kPredictedLatencies = 2;
  if (m_eventCount > 0 && m_phase == Phase::Streaming) {
    return std::max(kMinLimit, m_route->m_targetGap * kTargetGaps);
  }
  return std::max({ kMinLimit,
                    m_route->m_targetLatency * kTargetLatencies,
                    aAttempt.m_predicted * kPredictedLatencies + kMinLimit });
}

bool
CallerExchange::IsSilent(const RunnerAttempt& aAttempt,
                         MonotonicTime aNow) const
{
  return !aAttempt.m_isPaused &&
         aNow - aAttempt.m_lastProgress > SilenceLimit(aAttempt);
}

bool
CallerExchange::NeedsHedge(MonotonicTime aNow) const
{
  // Without event ids, a second run can't be told from a repetition.
  const bool cannotResume = m_phase == Phase::Streaming && !m_lastEventId;
  if (m_openAttempts.empty() || !m_route->IsRetryable() || cannotResume ||
      m_sends >= kMaxSends ||
      m_executions + m_openAttempts.size() >= m_route->m_maxAttempts) {
    return false;
  }
  return std::all_of(m_openAttempts.begin(),
                     m_openAttempts.end(),
                     [&](const RunnerAttemptPtr& aAttempt) {
                       return IsSilent(*aAttempt, aNow);
                     });
}

void
CallerExchange::Hedge(MonotonicTime aNow)
{
  if (!m_gateway.Retries().Allows(m_service, aNow)) {
    return;
  }
  const Decision decision = Decide();
  const auto* placement = std::get_if<Placement>(&decision);
  if (placement == nullptr || !m_gateway.Retries().TakeRetry(m_service, aNow)) {
    return;
  }
  for (const RunnerAttemptPtr& attempt : m_openAttempts) {
    RunnerState* runner = m_gateway.Runners().Find(attempt->m_runner);
    if (runner != nullptr && !std::exchange(attempt->m_isHedged, true)) {
      runner->AvoidAfterFailure(aNow);
    }
  }
  CountMetric("siskindeal_gateway_hedged_requests_total");
  m_gateway.LogRequest(LogLevel::Info,
                       "request hedged",
                       { { "id", m_id },
                         { "silent_runner", m_latest->m_runner.m_id },
                         { "runner", placement->m_runner },
                         { "events", m_eventCount } });
  SendTo(*m_gateway.Runners().Find(placement->m_runner), *placement);
}

} // namespace siskindeal

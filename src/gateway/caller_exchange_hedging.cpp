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
  Guard([&] { CheckProgress(aNow); });
}

void
CallerExchange::CheckProgress(MonotonicTime aNow)
{
  if (m_phase == Phase::Done) {
    return;
  }
  if (aNow >= m_deadline) {
    if (!IsResponseArriving(aNow)) {
      OnDeadline("deadline exceeded");
    }
    return;
  }
  RecordDeliveries(aNow);
  WithdrawOutdated();
  if (m_phase != Phase::Done && NeedsHedge(aNow)) {
    Hedge(aNow);
  }
}

void
CallerExchange::RecordDeliveries(MonotonicTime aNow)
{
  for (const RunnerAttemptPtr& attempt : m_openAttempts) {
    if (!attempt->m_deliveredAt && attempt->m_connection->IsAcknowledged()) {
      attempt->m_deliveredAt = aNow;
      m_gateway.Deliveries().Record(attempt->m_region, attempt->m_sentAt, aNow);
    }
  }
}

bool
CallerExchange::IsResponseArriving(MonotonicTime aNow)
{
  constexpr milliseconds kMaxReadTime{ 100 };
  const MonotonicTime since = m_expiredSince.value_or(aNow);
  m_expiredSince = since;
  return aNow - since < kMaxReadTime &&
         std::any_of(m_openAttempts.begin(),
                     m_openAttempts.end(),
                     [](const RunnerAttemptPtr& aAttempt) {
                       return !aAttempt->m_isPaused &&
                              aAttempt->m_connection->HasUnreadInput();
                     });
}

void
CallerExchange::WithdrawOutdated()
{
  // Other responses may have begun long before their head arrives.
  if (m_shape.m_model.empty() || m_openAttempts.empty() ||
      m_route->m_retryClass != RetryClass::Streaming) {
    return;
  }
  const auto overdue = m_gateway.OverdueVersion(m_shape.m_model);
  if (!overdue) {
    return;
  }
  const std::vector<RunnerAttemptPtr> attempts = m_openAttempts;
  for (const RunnerAttemptPtr& attempt : attempts) {
    if (IsOpen(*attempt) && MayBeginOutdated(*attempt, *overdue)) {
      Withdraw(*attempt, *overdue);
    }
  }
}

bool
CallerExchange::MayBeginOutdated(const RunnerAttempt& aAttempt,
                                 std::uint64_t aOverdue) const
{
  const bool hasBegun = !aAttempt.m_promptCounted;
  const bool isGuarded =
    aAttempt.m_requiredVersion && aAttempt.m_heldVersion >= aOverdue;
  // A runner whose entry has left the list may still begin the request.
  const RunnerState* runner = m_gateway.Runners().Find(aAttempt.m_runner);
  const std::uint64_t held = runner == nullptr
                               ? aAttempt.m_heldVersion
                               : runner->VersionOf(m_shape.m_model);
  return !hasBegun && !isGuarded && held < aOverdue;
}

void
CallerExchange::Withdraw(RunnerAttempt& aAttempt, std::uint64_t aOverdue)
{
  CountMetric("siskindeal_gateway_withdrawn_requests_total");
  m_gateway.LogRequest(
    LogLevel::Info,
    "request withdrawn",
    { { "id", m_id },
      { "runner", aAttempt.m_runner.m_id },
      { "weights_held", aAttempt.m_heldVersion },
      { "weights_due", aOverdue },
      { "sent_ms_ago",
        std::chrono::duration_cast<milliseconds>(LoopNow() - aAttempt.m_sentAt)
          .count() } });
  aAttempt.m_connection->Abort();
  OnAttemptFailed(aAttempt,
                  CallFailure::MayHaveRun,
                  "the runner's weights are due to be replaced",
                  RunnerHealth::Unknown);
}

void
CallerExchange::Expire(std::string_view aReason)
{
  Guard([&] {
    if (m_phase != Phase::Done) {
      OnDeadline(aReason);
    }
  });
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

void
CallerExchange::RecordSilence(const RunnerIncarnation& aRunner)
{
  for (const RunnerAttemptPtr& attempt : m_openAttempts) {
    if (attempt->m_runner == aRunner) {
      RecordIfSilent(*attempt);
    }
  }
}

void
CallerExchange::RecordIfSilent(const RunnerAttempt& aAttempt)
{
  constexpr milliseconds kSilence{ 450 };
  if (LoopNow() - aAttempt.m_lastProgress >= kSilence) {
    m_gateway.Crashes().OnSilence(aAttempt.m_runner, SuspectTraits());
  }
}

bool
CallerExchange::NeedsHedge(MonotonicTime aNow) const
{
  if (m_openAttempts.empty() || !m_route->IsRetryable() || !MayResume() ||
      m_sends >= kMaxSends ||
      CountedExecutions() + m_openAttempts.size() >= m_route->m_maxAttempts) {
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

// The one final answer that a caller gets, and when it is due.

#include "gateway/caller_exchange_p.h"
#include "siskindeal/metrics.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr int kBadGateway = 502;
constexpr int kTimedOut = 504;
} // namespace

HttpFields
PassedOn(const HttpFields& aFields)
{
  HttpFields passed;
  for (const auto& [name, value] : aFields.All()) {
    if (!IsOfOneConnection(name, aFields)) {
      passed.Add(name, value);
    }
  }
  return passed;
}

void
CallerExchange::Deliver()
{
  m_caller->SendWhole(
    m_answer.m_status, m_answer.m_reason, PassedOn(m_answer.m_fields), m_body);
  Finish("answered");
}

void
CallerExchange::SendOwn(int aStatus,
                        std::string_view aReason,
                        milliseconds aRetryAfter)
{
  m_lastReason = aReason;
  HttpFields fields;
  fields.Add("Content-Type", "application/json");
  if (!m_id.empty()) {
    fields.Add(dialect::kAttemptId, m_id);
  }
  if (aRetryAfter.count() > 0) {
    const std::chrono::duration<double> seconds = aRetryAfter;
    fields.Add("Retry-After", absl::StrFormat("%.3f", seconds.count()));
  }
  m_caller->SendWhole(aStatus, {}, fields, dialect::EncodeError(m_lastReason));
}

void
CallerExchange::Refuse(int aStatus,
                       std::string_view aReason,
                       milliseconds aRetryAfter)
{
  SendOwn(aStatus, aReason, aRetryAfter);
  Finish("refused");
}

void
CallerExchange::Fail(std::string_view aReason)
{
  if (m_phase == Phase::Streaming) {
    m_lastReason = aReason;
    m_caller->BreakOff();
    Finish("broken off");
    return;
  }
  if (!m_mayHaveRun) {
    Refuse(kUnavailable, aReason, kShortRetry);
    return;
  }
  SendOwn(kBadGateway, aReason, milliseconds(0));
  Finish("failed");
}

void
CallerExchange::OnTimeUp()
{
  constexpr std::string_view kReason = "its time is up";
  if (m_run) {
    m_run->Abort();
    ReleaseRunner(RunEnd::Sound);
    m_mayHaveRun = true;
  }
  if (m_phase == Phase::Streaming || !m_mayHaveRun) {
    Fail(kReason);
    return;
  }
  SendOwn(kTimedOut, kReason, milliseconds(0));
  Finish("timed out");
}

void
CallerExchange::Tick(MonotonicTime aNow)
{
  if (m_phase == Phase::Done) {
    return;
  }
  if (aNow >= m_end) {
    OnTimeUp();
    return;
  }
  if (!m_run || !m_route->MayRepeat()) {
    return;
  }
  // A runner that says nothing for long is left for another one.
  constexpr milliseconds kLeastSilence{ 450 };
  constexpr int kTargets = 3;
  constexpr int kGaps = 4;
  const milliseconds silence =
    m_events > 0 && m_phase == Phase::Streaming
      ? std::max(kLeastSilence, m_route->m_targetGap * kGaps)
      : std::max({ kLeastSilence,
                   m_route->m_targetLatency * kTargets,
                   m_predicted * 2 + kLeastSilence });
  if (aNow - m_progressAt > silence && m_runs + 1 < m_route->m_maxAttempts &&
      std::holds_alternative<Placement>(Decide())) {
    m_run->Abort();
    OnBrokenRun(CallFailure::MayHaveRun, "no answer in time");
  }
}

void
CallerExchange::OnCallerGone()
{
  if (m_phase == Phase::Done) {
    return;
  }
  if (m_run) {
    m_run->Abort();
    ReleaseRunner(RunEnd::Sound);
  }
  Finish("caller left");
}

void
CallerExchange::Finish(std::string_view aOutcome)
{
  const auto self = shared_from_this();
  const std::chrono::duration<double> took = LoopNow() - m_request.m_arrived;
  m_phase = Phase::Done;
  m_run.reset();
  m_caller->m_onGone = nullptr;
  m_gateway.Remove(self);
  const std::string route = m_route == nullptr ? "" : m_route->m_name;
  CountMetric("siskindeal_gateway_requests_total",
              { { "outcome", std::string(aOutcome) } });
  ObserveSeconds("siskindeal_gateway_request_seconds", took.count());
  m_gateway.LogRequest(
    LogLevel::Info,
    "request",
    { { "id", m_id },
      { "outcome", aOutcome },
      { "reason", m_lastReason },
      { "route", route },
      { "runner", m_runner },
      { "sends", m_sends },
      { "events", m_events },
      { "predicted_ms", m_predicted.count() },
      { "requests_there", m_loadBefore.m_requests },
      { "tokens_there", m_loadBefore.m_promptTokens },
      { "prompt_tokens", m_shape.m_promptTokens },
      { "first_ms", m_first.count() },
      { "worst_gap_ms", m_worstGap.count() },
      { "ms", took.count() * 1000 },
      { "config", m_routes ? m_routes->Config().m_version : 0 },
      { "config_age_ms", m_gateway.ConfigAge().count() } });
}

} // namespace siskindeal

// Sends the final response to the caller and enforces the timeouts.

#include "gateway/caller_exchange_p.h"
#include "kernel/contain_p.h"
#include "siskindeal/invariant.h"
#include "siskindeal/metrics.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

// Time from sending to the first byte, beyond what was predicted; 0: none came.
milliseconds
FirstByteBeyond(const RunnerAttemptPtr& aAttempt)
{
  if (!aAttempt || !aAttempt->m_firstByteAt) {
    return milliseconds(0);
  }
  return std::chrono::duration_cast<milliseconds>(*aAttempt->m_firstByteAt -
                                                  aAttempt->m_sentAt) -
         aAttempt->m_predicted;
}

// Time from sending until the runner's system had the request, to a tick; -1:
// that wasn't seen before the attempt ended.
milliseconds
DeliveryTime(const RunnerAttemptPtr& aAttempt)
{
  if (!aAttempt || !aAttempt->m_deliveredAt) {
    return milliseconds(-1);
  }
  return std::chrono::duration_cast<milliseconds>(*aAttempt->m_deliveredAt -
                                                  aAttempt->m_sentAt);
}

} // namespace

HttpFields
EndToEndFields(const HttpFields& aFields)
{
  HttpFields forwarded;
  for (const auto& [name, value] : aFields.All()) {
    if (!IsHopByHop(name, aFields)) {
      forwarded.Add(name, value);
    }
  }
  return forwarded;
}

void
CallerExchange::ForwardAnswer(RunnerAttempt& aAttempt)
{
  Choose(aAttempt);
  m_caller->SendResponse(aAttempt.m_head.m_status,
                         aAttempt.m_head.m_reason,
                         EndToEndFields(aAttempt.m_head.m_fields),
                         aAttempt.m_body);
  Finish(kAnswered);
}

void
CallerExchange::SendError(int aStatus,
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
  m_caller->SendResponse(
    aStatus, {}, fields, dialect::EncodeError(m_lastReason));
}

void
CallerExchange::Refuse(int aStatus,
                       std::string_view aReason,
                       milliseconds aRetryAfter)
{
  SendError(aStatus, aReason, aRetryAfter);
  Finish("refused");
}

void
CallerExchange::GiveUp(std::string_view aReason)
{
  if (m_failedAttempt) {
    ForwardAnswer(*m_failedAttempt);
  } else {
    Fail(aReason);
  }
}

void
CallerExchange::Fail(std::string_view aReason)
{
  if (m_phase == Phase::Streaming) {
    m_lastReason = aReason;
    m_caller->AbortResponse();
    Finish("broken off");
    return;
  }
  if (!m_mayHaveRun) {
    Refuse(kServiceUnavailable, aReason, kShortRetryAfter);
    return;
  }
  SendError(kBadGateway, aReason, milliseconds(0));
  Finish("failed");
}

void
CallerExchange::OnDeadline(std::string_view aReason)
{
  CancelAttempts();
  if (m_phase == Phase::Streaming || m_failedAttempt || !m_mayHaveRun) {
    GiveUp(aReason);
    return;
  }
  SendError(kGatewayTimeout, aReason, milliseconds(0));
  Finish("timed out");
}

void
CallerExchange::Guard(const std::function<void()>& aStep)
{
  const auto self = shared_from_this();
  if (!Contain("exchange", aStep) && m_phase != Phase::Done) {
    EndAfterFailure();
  }
}

void
CallerExchange::EndAfterFailure()
{
  m_mayHaveRun = m_mayHaveRun || m_sends > 0;
  const bool ended = Contain("exchange", [&] {
    CancelAttempts();
    if (!m_caller->AwaitsResponse()) {
      Finish("failed");
      return;
    }
    if (m_caller->HasBegunResponse()) {
      m_phase = Phase::Streaming;
    }
    Fail("internal error");
  });
  if (!ended) {
    m_phase = Phase::Done;
    m_openAttempts.clear();
    m_gateway.Remove(shared_from_this());
    m_caller->Disconnect(ConnectionEnd::ResponseAborted);
  }
}

void
CallerExchange::OnCallerDisconnected()
{
  if (m_phase == Phase::Done) {
    return;
  }
  CancelAttempts();
  Finish("caller left");
}

void
CallerExchange::Finish(std::string_view aOutcome)
{
  const auto self = shared_from_this();
  const std::chrono::duration<double> elapsed = LoopNow() - m_request.m_arrived;
  SISKINDEAL_INVARIANT(m_openAttempts.empty(),
                       "attempts end before their request");
  m_phase = Phase::Done;
  m_caller->m_onDisconnect = nullptr;
  m_gateway.Remove(self);
  const RunnerAttemptPtr& reported = m_forwarded ? m_forwarded : m_latest;
  const RunnerLoad load = reported ? reported->m_loadBefore : RunnerLoad{};
  const std::string route = m_route == nullptr ? "" : m_route->m_name;
  if (aOutcome == kAnswered) {
    m_gateway.Durations().Record(
      route, std::chrono::duration_cast<milliseconds>(elapsed));
  }
  CountMetric("siskindeal_gateway_requests_total",
              { { "outcome", std::string(aOutcome) } });
  ObserveSeconds("siskindeal_gateway_request_seconds", elapsed.count());
  m_gateway.LogRequest(
    LogLevel::Info,
    "request",
    { { "id", m_id },
      { "caller", m_callerHost },
      { "outcome", aOutcome },
      { "reason", m_lastReason },
      { "route", route },
      { "runner", reported ? reported->m_runner.m_id : "" },
      { "region", reported ? reported->m_region : "" },
      { "link_delay_ms", m_linkDelay.count() },
      { "delivered_ms", DeliveryTime(reported).count() },
      { "first_beyond_ms", FirstByteBeyond(reported).count() },
      { "sends", m_sends },
      { "events", m_eventCount },
      { "predicted_ms", m_predicted.count() },
      { "requests_there", load.m_requests },
      { "tokens_there", load.m_promptTokens },
      { "prompt_tokens", m_shape.m_promptTokens },
      { "answer_tokens", m_shape.m_answerTokens },
      { "priority", m_route == nullptr ? 0 : Priority() },
      { "weights_held", reported ? reported->m_heldVersion : 0 },
      { "weights_required",
        reported ? reported->m_requiredVersion.value_or(0)
                 : m_shape.m_minVersion.value_or(0) },
      { "weights_next",
        m_shape.m_upcoming.empty() ? 0 : m_shape.m_upcoming.front().m_version },
      { "next_due_ms",
        m_shape.m_upcoming.empty()
          ? 0
          : m_shape.m_upcoming.front().m_dueIn.count() },
      { "first_ms", m_firstEventLatency.count() },
      { "worst_gap_ms", m_maxEventGap.count() },
      { "ms", elapsed.count() * 1000 },
      { "config", m_routes ? m_routes->Config().m_version : 0 },
      { "config_age_ms", m_gateway.ConfigAge().count() } });
}

} // namespace siskindeal

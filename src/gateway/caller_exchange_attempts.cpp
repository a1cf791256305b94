// Handles runners' responses.

#include "gateway/caller_exchange_p.h"
#include "kernel/contain_p.h"
#include "siskindeal/metrics.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirectedRequest = 421;
constexpr int kTooManyRequests = 429;
// Longer responses aren't buffered, so that a runner that never ends one
// doesn't exhaust the gateway's memory.
constexpr std::size_t kMaxAnswerBytes = 4 << 20;
constexpr std::size_t kMaxEventBytes = 1 << 20;
// Between two events; comments keep a connection alive, or never end.
constexpr std::size_t kMaxCommentBytes = 64 << 10;
// Of events that a resumed stream repeats.
constexpr std::size_t kMaxRepeatedBytes = 4 << 20;

bool
IsSuccess(int aStatus)
{
  return aStatus / 100 == 2;
}

// Whether a status tells the caller that the request was not executed. Only the
// gateway knows that for all attempts, so runners' own aren't forwarded.
bool
PromisesNotExecuted(int aStatus)
{
  return aStatus == kServiceUnavailable || aStatus == kTooManyRequests ||
         aStatus == kRequestTimeout;
}

bool
IsFailure(int aStatus)
{
  return aStatus / 100 == 5 || PromisesNotExecuted(aStatus);
}

// Whether a response's events may be forwarded as they arrive, and resumed.
bool
IsEventStream(const ResponseHead& aHead)
{
  constexpr int kOk = 200;
  const std::string* type = aHead.m_fields.Find("content-type");
  const std::string* encoding = aHead.m_fields.Find("content-encoding");
  return aHead.m_status == kOk && type != nullptr &&
         type->rfind("text/event-stream", 0) == 0 &&
         (encoding == nullptr || *encoding == "identity");
}

} // namespace

void
CallerExchange::OnCallEvent(RunnerAttempt& aAttempt, const CallEvent& aEvent)
{
  const auto handle = [&](const auto& aWhat) { On(aAttempt, aWhat); };
  if (Contain("call event", [&] { std::visit(handle, aEvent); })) {
    return;
  }
  Guard([&] {
    if (IsOpen(aAttempt)) {
      AbandonAttempt(aAttempt, "internal error");
    } else if (m_openAttempts.empty() && m_phase != Phase::Done) {
      EndAfterFailure();
    }
  });
}

void
CallerExchange::On(RunnerAttempt& aAttempt, const ResponseHead& aHead)
{
  aAttempt.m_head = aHead;
  aAttempt.m_lastProgress = LoopNow();
  aAttempt.m_firstByteAt = aAttempt.m_lastProgress;
  if (!aAttempt.m_deliveredAt) {
    aAttempt.m_deliveredAt = aAttempt.m_lastProgress;
  }
  ApplyResponseHead(aAttempt);
  RecordPredictionError(aAttempt);
  aAttempt.m_isEventStream =
    m_route->m_retryClass == RetryClass::Streaming && IsEventStream(aHead);
  const bool isSigned = aHead.m_fields.Find(dialect::kSignature) != nullptr;
  if (m_phase == Phase::Streaming && IsSuccess(aHead.m_status) &&
      !(aAttempt.m_isEventStream && isSigned)) {
    AbandonAttempt(aAttempt,
                   "stream resumption is not a signed event stream, status " +
                     std::to_string(aHead.m_status));
  }
}

void
CallerExchange::ApplyResponseHead(const RunnerAttempt& aAttempt)
{
  m_gateway.RecordNotice(
    m_id, aAttempt.m_runner, aAttempt.m_head, aAttempt.m_sentAt);
  RunnerState* runner = m_gateway.Runners().Find(aAttempt.m_runner);
  if (runner == nullptr) {
    return;
  }
  const HttpFields& fields = aAttempt.m_head.m_fields;
  if (const std::string* text = fields.Find(dialect::kLoad)) {
    if (const auto load = dialect::DecodeLoad(*text)) {
      runner->m_reportedRequests = load->m_running + load->m_waiting;
      m_gateway.RecordPace(*runner, load->m_pace);
    }
  }
  const std::string* version = fields.Find(dialect::kVersions);
  std::uint64_t number = 0;
  if (version != nullptr && !m_shape.m_model.empty() &&
      absl::SimpleAtoi(*version, &number) && number > 0) {
    auto& held = runner->m_record.m_versions[m_shape.m_model];
    held = std::max(held, number);
  }
}

void
CallerExchange::RecordPredictionError(const RunnerAttempt& aAttempt) const
{
  if (!IsSuccess(aAttempt.m_head.m_status)) {
    return; // rejections and failures come sooner than what is predicted
  }
  const std::chrono::duration<double> error =
    *aAttempt.m_firstByteAt - aAttempt.m_sentAt - aAttempt.m_predicted;
  ObserveSeconds("siskindeal_gateway_prediction_error_seconds",
                 std::abs(error.count()),
                 { { "side", error.count() < 0 ? "early" : "late" } });
}

void
CallerExchange::On(RunnerAttempt& aAttempt, const ResponseBodyPart& aBody)
{
  aAttempt.m_receivedBytes += aBody.m_bytes.size();
  if (!aAttempt.m_isEventStream) {
    aAttempt.m_lastProgress = LoopNow();
    aAttempt.m_body += aBody.m_bytes;
    aAttempt.CountMemory();
    if (aAttempt.m_body.size() > kMaxAnswerBytes) {
      AbandonAttempt(aAttempt, "response too large");
    }
    return;
  }
  for (const StreamEvent& event : aAttempt.m_splitter.Feed(aBody.m_bytes)) {
    OnEvent(aAttempt, event);
    if (!IsOpen(aAttempt)) {
      return;
    }
  }
  aAttempt.CountMemory();
  if (aAttempt.m_splitter.PendingBytes() > kMaxEventBytes ||
      aAttempt.m_repeatedBytes > kMaxRepeatedBytes ||
      aAttempt.m_commentBytes > kMaxCommentBytes) {
    AbandonAttempt(aAttempt, "stream without new events");
  }
}

void
CallerExchange::AbandonAttempt(RunnerAttempt& aAttempt,
                               const std::string& aReason)
{
  aAttempt.m_connection->Abort();
  OnAttemptFailed(aAttempt, CallFailure::MayHaveRun, aReason);
}

bool
CallerExchange::BreakOff(RunnerAttempt& aAttempt)
{
  if (IsOpen(aAttempt)) {
    Guard([&] { AbandonAttempt(aAttempt, std::string(kOutOfMessageMemory)); });
    return true;
  }
  if (m_failedAttempt.get() != &aAttempt) {
    return false;
  }
  aAttempt.DropResponse();
  m_failedAttempt.reset();
  return true;
}

void
CallerExchange::OnEvent(RunnerAttempt& aAttempt, const StreamEvent& aEvent)
{
  if (!aEvent.m_isWellFormed) {
    AbandonAttempt(aAttempt, "bytes in the stream are no event");
    return;
  }
  aAttempt.m_commentBytes =
    aEvent.m_hasFields ? 0 : aAttempt.m_commentBytes + aEvent.m_bytes.size();
  const bool isContinuation =
    m_phase == Phase::Streaming && m_forwarded.get() != &aAttempt;
  if (isContinuation && !aEvent.m_id) {
    if (aEvent.m_hasFields) {
      AbandonAttempt(aAttempt, "resumed stream has an event without an id");
    }
    return;
  }
  // A resumed stream may repeat events; each is forwarded once.
  if (aEvent.m_id && m_lastEventId && *aEvent.m_id <= *m_lastEventId) {
    aAttempt.m_repeatedBytes += aEvent.m_bytes.size();
    return;
  }
  if (!IsNews(aAttempt, aEvent)) {
    HoldEvent(aAttempt, aEvent);
    return;
  }
  aAttempt.m_repeatedBytes = 0;
  aAttempt.m_lastProgress = LoopNow();
  if (aEvent.m_id && m_lastEventId && *aEvent.m_id != *m_lastEventId + 1) {
    AbandonAttempt(aAttempt, "stream event missing");
    return;
  }
  if (RunnerState* runner = m_gateway.Runners().Find(aAttempt.m_runner)) {
    ReleasePromptTokens(aAttempt, *runner);
    RecordEventCost(aAttempt, *runner);
  }
  if (m_phase == Phase::Waiting) {
    StartStream(aAttempt);
  }
  if (!IsOpen(aAttempt)) {
    return;
  }
  if (m_forwarded.get() != &aAttempt || m_openAttempts.size() > 1) {
    Choose(aAttempt);
  }
  ForwardEvent(aAttempt, aEvent);
}

bool
CallerExchange::IsNews(const RunnerAttempt& aAttempt,
                       const StreamEvent& aEvent) const
{
  return aEvent.m_id || m_openAttempts.size() == 1 ||
         m_forwarded.get() == &aAttempt;
}

void
CallerExchange::HoldEvent(RunnerAttempt& aAttempt, const StreamEvent& aEvent)
{
  aAttempt.m_heldEvents += aEvent.m_bytes;
  if (aAttempt.m_heldEvents.size() > kMaxEventBytes) {
    AbandonAttempt(aAttempt, "stream without new events");
  }
}

void
CallerExchange::ForwardEvent(RunnerAttempt& aAttempt, const StreamEvent& aEvent)
{
  const MonotonicTime now = LoopNow();
  if (m_eventCount++ == 0) {
    m_firstEventAt = now;
    m_firstEventLatency = now - m_request.m_arrived;
  } else {
    m_maxEventGap =
      std::max(m_maxEventGap,
               std::chrono::duration<double, std::milli>(now - m_lastEventAt));
  }
  m_lastEventAt = now;
  if (aEvent.m_id) {
    m_lastEventId = aEvent.m_id;
  }
  m_hasUnnumberedEvents =
    m_hasUnnumberedEvents || (!aEvent.m_id && aEvent.m_hasFields);
  m_caller->SendPart(std::exchange(aAttempt.m_heldEvents, {}));
  m_caller->SendPart(aEvent.m_bytes);
  constexpr std::size_t kMaxUnsentBytes = 256 << 10;
  if (m_caller->Unsent() > kMaxUnsentBytes) {
    PauseUntilDrained(aAttempt);
  }
}

void
CallerExchange::PauseUntilDrained(RunnerAttempt& aAttempt)
{
  aAttempt.m_isPaused = true;
  aAttempt.m_connection->PauseReading(true);
  m_caller->m_onDrained = [self = shared_from_this(),
                           attempt = aAttempt.shared_from_this()] {
    if (self->IsOpen(*attempt)) {
      attempt->m_isPaused = false;
      attempt->m_lastProgress = LoopNow();
      attempt->m_connection->PauseReading(false);
    }
  };
}

void
CallerExchange::StartStream(RunnerAttempt& aAttempt)
{
  const ResponseHead& head = aAttempt.m_head;
  if (head.m_fields.Find(dialect::kSignature) == nullptr) {
    AbandonAttempt(aAttempt, "response has no runner signature");
    return;
  }
  m_phase = Phase::Streaming;
  m_failedAttempt.reset();
  // Without the runner's length, which a resumed stream needn't have.
  m_caller->SendHead(
    head.m_status, head.m_reason, EndToEndFields(head.m_fields), std::nullopt);
}

void
CallerExchange::On(RunnerAttempt& aAttempt, const ResponseEnd&)
{
  m_gateway.Pool()->Release(aAttempt.m_address, aAttempt.m_connection);
  if (aAttempt.m_isEventStream) {
    OnStreamEnd(aAttempt);
  } else {
    OnCompleteAnswer(aAttempt);
  }
}

void
CallerExchange::OnStreamEnd(RunnerAttempt& aAttempt)
{
  if (aAttempt.m_splitter.PendingBytes() > 0 || m_phase == Phase::Waiting) {
    m_gateway.Crashes().OnConnectionLost(
      aAttempt.m_runner, aAttempt.m_address, SuspectTraits());
    OnAttemptFailed(aAttempt,
                    CallFailure::MayHaveRun,
                    "stream ended without a complete last event");
    return;
  }
  if (m_forwarded.get() != &aAttempt) {
    OnAttemptFailed(aAttempt,
                    CallFailure::MayHaveRun,
                    "resumed stream ended without a new event");
    return;
  }
  EndAttempt(aAttempt, RunnerHealth::Healthy);
  const int status = aAttempt.m_head.m_status;
  if (aAttempt.m_head.m_endsWithConnection) {
    m_gateway.Crashes().OnResponseClosed(aAttempt.m_runner,
                                         aAttempt.m_address,
                                         m_traits,
                                         { status, aAttempt.m_sentAt });
  } else {
    m_gateway.Suspicions().RecordCompletion(
      m_traits, status, aAttempt.m_sentAt, LoopNow());
  }
  RecordAnswerCost(aAttempt);
  Choose(aAttempt);
  m_caller->SendPart(std::exchange(aAttempt.m_heldEvents, {}));
  m_caller->SendEnd();
  Finish(kAnswered);
}

void
CallerExchange::RecordDuration(const RunnerAttempt& aAttempt)
{
  RunnerState* runner = m_gateway.Runners().Find(aAttempt.m_runner);
  if (runner == nullptr) {
    return;
  }
  std::chrono::duration<double, std::milli> elapsed =
    LoopNow() - aAttempt.m_sentAt;
  if (elapsed > aAttempt.m_linkDelay) {
    elapsed -= aAttempt.m_linkDelay; // placement adds the present one
  }
  runner->RecordDuration(elapsed, LoopNow());
}

void
CallerExchange::OnCompleteAnswer(RunnerAttempt& aAttempt)
{
  const int status = aAttempt.m_head.m_status;
  const HttpFields& fields = aAttempt.m_head.m_fields;
  const bool notExecuted =
    status == kMisdirectedRequest ||
    ((status == kServiceUnavailable || status == kTooManyRequests ||
      status == kBadRequest) &&
     fields.Find(dialect::kNotRun) != nullptr);
  if (notExecuted) {
    OnRefusedByRunner(aAttempt);
    return;
  }
  const bool isSigned = fields.Find(dialect::kSignature) != nullptr;
  if (IsSuccess(status) && !isSigned) {
    OnAttemptFailed(
      aAttempt, CallFailure::MayHaveRun, "response has no runner signature");
    return;
  }
  if (m_phase == Phase::Streaming) {
    OnAttemptFailed(aAttempt,
                    CallFailure::MayHaveRun,
                    "stream resumption failed with status " +
                      std::to_string(status));
    return;
  }
  RecordDuration(aAttempt);
  EndAttempt(aAttempt, RunnerHealth::Healthy);
  m_gateway.Suspicions().RecordCompletion(
    m_traits, status, aAttempt.m_sentAt, LoopNow());
  RecordExecution(aAttempt);
  if (IsFailure(status)) {
    OnErrorAnswer(aAttempt);
    return;
  }
  ForwardAnswer(aAttempt);
}

void
CallerExchange::OnErrorAnswer(RunnerAttempt& aAttempt)
{
  const int status = aAttempt.m_head.m_status;
  m_lastReason = "runner responded with status " + std::to_string(status);
  LogAttempt("attempt failed", aAttempt, true);
  if (!PromisesNotExecuted(status)) {
    m_failedAttempt = aAttempt.shared_from_this();
  }
  if (!m_openAttempts.empty()) {
    return; // another runner may still respond
  }
  if (status / 100 == 5 && m_route->IsRetryable() &&
      CountedExecutions() < m_route->m_maxAttempts && TakeRetry()) {
    Dispatch();
    return;
  }
  GiveUp(m_lastReason);
}

void
CallerExchange::OnRefusedByRunner(RunnerAttempt& aAttempt)
{
  EndAttempt(aAttempt, RunnerHealth::Healthy);
  const int status = aAttempt.m_head.m_status;
  m_lastReason =
    "runner rejected the request with status " + std::to_string(status);
  LogAttempt("attempt rejected", aAttempt, false);
  if (RunnerState* runner = m_gateway.Runners().Find(aAttempt.m_runner)) {
    constexpr milliseconds kRefusalAvoidance{ 150 };
    runner->m_avoidUntil =
      std::max(runner->m_avoidUntil, LoopNow() + kRefusalAvoidance);
  }
  if (!m_openAttempts.empty()) {
    return; // another runner may still respond
  }
  if (status == kBadRequest && m_phase == Phase::Waiting) {
    Refuse(kBadRequest, "runner rejected the request", milliseconds(0));
    return;
  }
  if (m_sends < kMaxSends && TakeRetry()) {
    Dispatch();
    return;
  }
  GiveUp(m_lastReason);
}

} // namespace siskindeal

// Handles runners' responses, failed attempts and retries.

#include "gateway/caller_exchange_p.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirectedRequest = 421;
constexpr int kTooManyRequests = 429;
constexpr std::uint32_t kMaxSends = 5;
// Longer responses aren't buffered, so that a runner that never ends one
// doesn't exhaust the gateway's memory.
constexpr std::size_t kMaxAnswerBytes = 4 << 20;
constexpr std::size_t kMaxEventBytes = 1 << 20;
// Of events that a resumed stream repeats.
constexpr std::size_t kMaxRepeatedBytes = 4 << 20;

bool
IsSuccess(int aStatus)
{
  return aStatus / 100 == 2;
}
} // namespace

void
CallerExchange::On(const ResponseHead& aHead)
{
  m_answer = aHead;
  m_lastProgress = LoopNow();
  ApplyResponseHead();
  const std::string* type = aHead.m_fields.Find("content-type");
  m_isEventStream = m_route->m_retryClass == RetryClass::Streaming &&
                    IsSuccess(aHead.m_status) && type != nullptr &&
                    type->rfind("text/event-stream", 0) == 0;
}

// Records the limit that the runner names, or that it names none.
void
CallerExchange::ApplyRunnerLimit()
{
  const std::string* field = m_answer.m_fields.Find(dialect::kLimit);
  std::optional<double> limit;
  if (field != nullptr) {
    const std::optional<double> decoded = dialect::DecodeLimit(*field);
    if (!decoded) {
      m_gateway.LogRequest(
        LogLevel::Warning,
        "runner limit unreadable",
        { { "id", m_id }, { "runner", m_runner.m_id }, { "limit", *field } });
    }
    limit = decoded.value_or(0); // which allows few requests
  }
  m_gateway.Limits().RecordResponse(m_runner, limit, m_sentAt, LoopNow());
}

void
CallerExchange::ApplyResponseHead()
{
  ApplyRunnerLimit();
  RunnerState* runner = m_gateway.Runners().Find(m_runner.m_id);
  if (runner == nullptr) {
    return;
  }
  if (const std::string* text = m_answer.m_fields.Find(dialect::kLoad)) {
    if (const auto load = dialect::DecodeLoad(*text)) {
      runner->m_reportedRequests = load->m_running + load->m_waiting;
    }
  }
  const std::string* version = m_answer.m_fields.Find(dialect::kVersions);
  std::uint64_t number = 0;
  if (version != nullptr && !m_shape.m_model.empty() &&
      absl::SimpleAtoi(*version, &number) && number > 0) {
    auto& held = runner->m_record.m_versions[m_shape.m_model];
    held = std::max(held, number);
  }
}

void
CallerExchange::On(const ResponseBodyPart& aBody)
{
  if (!m_isEventStream) {
    m_lastProgress = LoopNow();
    m_answerBody += aBody.m_bytes;
    if (m_answerBody.size() > kMaxAnswerBytes) {
      AbandonAttempt("response too large");
    }
    return;
  }
  const auto connection = m_connection;
  for (const StreamEvent& event : m_splitter.Feed(aBody.m_bytes)) {
    OnEvent(event);
    if (m_phase == Phase::Done || m_connection != connection) {
      return;
    }
  }
  if (m_splitter.PendingBytes() > kMaxEventBytes ||
      m_repeatedBytes > kMaxRepeatedBytes) {
    AbandonAttempt("stream without new events");
  }
}

void
CallerExchange::AbandonAttempt(const std::string& aReason)
{
  m_connection->Abort();
  OnAttemptFailed(CallFailure::MayHaveRun, aReason);
}

void
CallerExchange::OnEvent(const StreamEvent& aEvent)
{
  // A resumed stream may repeat events; each is forwarded once.
  if (aEvent.m_id && m_lastEventId && *aEvent.m_id <= *m_lastEventId) {
    m_repeatedBytes += aEvent.m_bytes.size();
    return;
  }
  m_repeatedBytes = 0;
  m_lastProgress = LoopNow();
  if (aEvent.m_id && m_lastEventId && *aEvent.m_id != *m_lastEventId + 1) {
    AbandonAttempt("stream event missing");
    return;
  }
  if (RunnerState* runner = m_gateway.Runners().Find(m_runner.m_id)) {
    ReleasePromptTokens(*runner);
  }
  if (m_phase == Phase::Waiting) {
    StartStream();
  }
  if (m_phase != Phase::Streaming) {
    return;
  }
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
  m_caller->SendPart(aEvent.m_bytes);
  constexpr std::size_t kMaxUnsentBytes = 256 << 10;
  if (m_caller->Unsent() > kMaxUnsentBytes) {
    m_connection->PauseReading(true);
    m_caller->m_onDrained = [self = shared_from_this()] {
      if (self->m_connection) {
        self->m_connection->PauseReading(false);
      }
    };
  }
}

void
CallerExchange::StartStream()
{
  if (m_answer.m_fields.Find(dialect::kSignature) == nullptr) {
    AbandonAttempt("response has no runner signature");
    return;
  }
  m_phase = Phase::Streaming;
  m_caller->SendHead(m_answer.m_status,
                     m_answer.m_reason,
                     EndToEndFields(m_answer.m_fields),
                     m_answer.m_length);
}

void
CallerExchange::On(const ResponseEnd&)
{
  m_gateway.Pool()->Release(m_address, m_connection);
  if (m_isEventStream) {
    OnStreamEnd();
  } else {
    OnCompleteAnswer();
  }
}

void
CallerExchange::OnStreamEnd()
{
  if (m_splitter.PendingBytes() > 0 || m_phase == Phase::Waiting) {
    m_gateway.Crashes().OnConnectionLost(m_runner, m_address, SuspectTraits());
    OnAttemptFailed(CallFailure::MayHaveRun,
                    "stream ended without a complete last event");
    return;
  }
  ReleaseRunner(RunnerHealth::Healthy);
  if (m_answer.m_endsWithConnection) {
    m_gateway.Crashes().OnResponseClosed(
      m_runner, m_address, m_traits, { m_answer.m_status, m_sentAt });
  } else {
    m_gateway.Suspicions().RecordCompletion(
      m_traits, m_answer.m_status, m_sentAt, LoopNow());
  }
  m_caller->SendEnd();
  Finish("answered");
}

void
CallerExchange::OnCompleteAnswer()
{
  const int status = m_answer.m_status;
  const bool notExecuted =
    status == kMisdirectedRequest ||
    ((status == kServiceUnavailable || status == kTooManyRequests ||
      status == kBadRequest) &&
     m_answer.m_fields.Find(dialect::kNotRun) != nullptr);
  if (notExecuted) {
    OnRefusedByRunner();
    return;
  }
  const bool isSigned = m_answer.m_fields.Find(dialect::kSignature) != nullptr;
  if (IsSuccess(status) && !isSigned) {
    OnAttemptFailed(CallFailure::MayHaveRun,
                    "response has no runner signature");
    return;
  }
  if (m_phase == Phase::Streaming) {
    OnAttemptFailed(CallFailure::MayHaveRun,
                    "stream resumption failed with status " +
                      std::to_string(status));
    return;
  }
  if (RunnerState* runner = m_gateway.Runners().Find(m_runner.m_id)) {
    constexpr double kSampleWeight = 0.1;
    const std::chrono::duration<double, std::milli> elapsed =
      LoopNow() - m_sentAt;
    runner->m_smoothedDuration =
      runner->m_smoothedDuration.count() == 0
        ? elapsed
        : runner->m_smoothedDuration * (1 - kSampleWeight) +
            elapsed * kSampleWeight;
  }
  ReleaseRunner(RunnerHealth::Healthy);
  m_gateway.Suspicions().RecordCompletion(
    m_traits, status, m_sentAt, LoopNow());
  m_mayHaveRun = true;
  ++m_attempts;
  const bool failed = status / 100 == 5;
  if (failed && m_route->IsRetryable() && m_attempts < m_route->m_maxAttempts &&
      m_gateway.Retries().TakeRetry(m_service, LoopNow())) {
    m_lastReason = "runner responded with status " + std::to_string(status);
    m_haveErrorAnswer = true;
    Dispatch();
    return;
  }
  // These statuses tell the caller that the request was not executed. Only the
  // gateway knows that for all attempts, so they aren't forwarded.
  if (status == kServiceUnavailable || status == kTooManyRequests ||
      status == kRequestTimeout) {
    Fail("runner responded with status " + std::to_string(status));
    return;
  }
  ForwardAnswer();
}

void
CallerExchange::OnRefusedByRunner()
{
  ReleaseRunner(RunnerHealth::Healthy);
  m_lastReason = "runner rejected the request with status " +
                 std::to_string(m_answer.m_status);
  if (RunnerState* runner = m_gateway.Runners().Find(m_runner.m_id)) {
    constexpr milliseconds kRefusalAvoidance{ 150 };
    runner->m_avoidUntil =
      std::max(runner->m_avoidUntil, LoopNow() + kRefusalAvoidance);
  }
  if (m_answer.m_status == kBadRequest && m_phase == Phase::Waiting) {
    Refuse(kBadRequest, "runner rejected the request", milliseconds(0));
    return;
  }
  if (m_sends < kMaxSends &&
      m_gateway.Retries().TakeRetry(m_service, LoopNow())) {
    Dispatch();
    return;
  }
  if (m_mayHaveRun) {
    Fail(m_lastReason);
  } else {
    Refuse(kServiceUnavailable, m_lastReason, kShortRetryAfter);
  }
}

void
CallerExchange::On(const CallFailed& aFailure)
{
  if (aFailure.m_how == CallFailure::MayHaveRun) {
    m_gateway.Crashes().OnConnectionLost(m_runner, m_address, SuspectTraits());
  }
  OnAttemptFailed(aFailure.m_how, aFailure.m_reason);
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
  const std::uint32_t maxAttempts = m_phase == Phase::Streaming
                                      ? m_route->m_maxAttempts + 1
                                      : m_route->m_maxAttempts;
  return m_route->IsRetryable() && m_attempts < maxAttempts &&
         m_gateway.Retries().TakeRetry(m_service, LoopNow());
}

void
CallerExchange::OnAttemptFailed(CallFailure aFailure,
                                const std::string& aReason)
{
  ReleaseRunner(RunnerHealth::Failed);
  m_lastReason = aReason;
  if (aFailure == CallFailure::MayHaveRun) {
    m_mayHaveRun = true;
    ++m_attempts;
  }
  m_gateway.LogRequest(
    LogLevel::Info,
    "attempt failed",
    { { "id", m_id },
      { "runner", m_runner.m_id },
      { "reason", aReason },
      { "may_have_run", aFailure == CallFailure::MayHaveRun },
      { "events", m_eventCount } });
  if (MayRetry(aFailure)) {
    Dispatch();
    return;
  }
  Fail(aReason);
}

} // namespace siskindeal

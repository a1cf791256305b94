// What a runner answers, and what follows when it doesn't.

#include "gateway/caller_exchange_p.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMostSends = 5;

bool
IsSuccess(int aStatus)
{
  return aStatus / 100 == 2;
}
} // namespace

void
CallerExchange::On(const AnswerHead& aHead)
{
  m_answer = aHead;
  m_progressAt = LoopNow();
  NoteHead();
  const std::string* type = aHead.m_fields.Find("content-type");
  m_streamRun = m_route->m_repeat == Repeat::Streaming &&
                IsSuccess(aHead.m_status) && type != nullptr &&
                type->rfind("text/event-stream", 0) == 0;
}

void
CallerExchange::NoteHead()
{
  RunnerState* runner = m_gateway.Runners().Find(m_runner);
  if (runner == nullptr) {
    return;
  }
  if (const std::string* text = m_answer.m_fields.Find(dialect::kLoad)) {
    if (const auto load = dialect::DecodeLoad(*text)) {
      runner->m_toldRequests = load->m_running + load->m_waiting;
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
CallerExchange::On(const AnswerBody& aBody)
{
  m_progressAt = LoopNow();
  if (!m_streamRun) {
    m_body += aBody.m_bytes;
    return;
  }
  const auto run = m_run;
  for (const StreamEvent& event : m_splitter.Feed(aBody.m_bytes)) {
    OnEvent(event);
    if (m_phase == Phase::Done || m_run != run) {
      return;
    }
  }
}

void
CallerExchange::OnEvent(const StreamEvent& aEvent)
{
  // A run that goes on may tell events again; each is passed on once.
  if (aEvent.m_id && m_lastEvent && *aEvent.m_id <= *m_lastEvent) {
    return;
  }
  if (aEvent.m_id && m_lastEvent && *aEvent.m_id != *m_lastEvent + 1) {
    m_run->Abort();
    OnBrokenRun(CallFailure::MayHaveRun, "an event of the stream is missing");
    return;
  }
  if (RunnerState* runner = m_gateway.Runners().Find(m_runner)) {
    ReleasePrompt(*runner);
  }
  if (m_phase == Phase::Waiting) {
    StartStream();
  }
  if (m_phase != Phase::Streaming) {
    return;
  }
  const MonotonicTime now = LoopNow();
  if (m_events++ == 0) {
    m_first = now - m_request.m_arrived;
  } else {
    m_worstGap = std::max(
      m_worstGap, std::chrono::duration<double, std::milli>(now - m_eventAt));
  }
  m_eventAt = now;
  if (aEvent.m_id) {
    m_lastEvent = aEvent.m_id;
  }
  m_caller->SendPart(aEvent.m_bytes);
  constexpr std::size_t kMostUnsent = 256 << 10;
  if (m_caller->Unsent() > kMostUnsent) {
    m_run->PauseReading(true);
    m_caller->m_onDrained = [self = shared_from_this()] {
      if (self->m_run) {
        self->m_run->PauseReading(false);
      }
    };
  }
}

void
CallerExchange::StartStream()
{
  if (m_answer.m_fields.Find(dialect::kSignature) == nullptr) {
    m_run->Abort();
    OnBrokenRun(CallFailure::MayHaveRun, "the answer has no signature");
    return;
  }
  m_phase = Phase::Streaming;
  m_caller->SendHead(m_answer.m_status,
                     m_answer.m_reason,
                     PassedOn(m_answer.m_fields),
                     m_answer.m_length);
}

void
CallerExchange::On(const AnswerEnd&)
{
  m_gateway.Pool()->Give(m_address, m_run);
  if (m_streamRun) {
    OnStreamEnd();
  } else {
    OnWholeAnswer();
  }
}

void
CallerExchange::OnStreamEnd()
{
  if (m_splitter.Pending() > 0 || m_phase == Phase::Waiting) {
    m_gateway.Crashes().NoteBreak(m_runner, m_address, m_fingerprint);
    OnBrokenRun(CallFailure::MayHaveRun, "the stream ended inside an event");
    return;
  }
  ReleaseRunner(RunEnd::Sound);
  m_gateway.Crashes().NoteWhole(m_fingerprint);
  m_caller->SendEnd();
  Finish("answered");
}

void
CallerExchange::OnWholeAnswer()
{
  const int status = m_answer.m_status;
  const bool notRun =
    status == 421 ||
    ((status == kUnavailable || status == 429 || status == 400) &&
     m_answer.m_fields.Find(dialect::kNotRun) != nullptr);
  if (notRun) {
    OnRefusedByRunner();
    return;
  }
  const bool isSigned = m_answer.m_fields.Find(dialect::kSignature) != nullptr;
  if (IsSuccess(status) && !isSigned) {
    OnBrokenRun(CallFailure::MayHaveRun, "the answer has no signature");
    return;
  }
  if (m_phase == Phase::Streaming) {
    OnBrokenRun(CallFailure::MayHaveRun,
                "going on with the stream was answered " +
                  std::to_string(status));
    return;
  }
  if (RunnerState* runner = m_gateway.Runners().Find(m_runner)) {
    constexpr double kNewShare = 0.1;
    const std::chrono::duration<double, std::milli> took = LoopNow() - m_sentAt;
    runner->m_usualTime =
      runner->m_usualTime.count() == 0
        ? took
        : runner->m_usualTime * (1 - kNewShare) + took * kNewShare;
  }
  ReleaseRunner(RunEnd::Sound);
  m_gateway.Crashes().NoteWhole(m_fingerprint);
  m_mayHaveRun = true;
  ++m_runs;
  const bool failed = status / 100 == 5;
  if (failed && m_route->MayRepeat() && m_runs < m_route->m_maxAttempts &&
      m_gateway.Retries().TakeRetry(m_service, LoopNow())) {
    m_lastReason = "answered " + std::to_string(status);
    m_haveAnswer = true;
    Dispatch();
    return;
  }
  // These statuses promise callers that nothing ran, which only this process
  // can say of the whole request.
  if (status == kUnavailable || status == 429 || status == 408) {
    Fail("answered " + std::to_string(status));
    return;
  }
  Deliver();
}

void
CallerExchange::OnRefusedByRunner()
{
  ReleaseRunner(RunEnd::Sound);
  m_lastReason =
    "refused by the runner with " + std::to_string(m_answer.m_status);
  if (RunnerState* runner = m_gateway.Runners().Find(m_runner)) {
    constexpr milliseconds kAfterRefusal{ 150 };
    runner->m_avoidUntil =
      std::max(runner->m_avoidUntil, LoopNow() + kAfterRefusal);
  }
  if (m_answer.m_status == 400 && m_phase == Phase::Waiting) {
    Refuse(400, "refused by the runner", milliseconds(0));
    return;
  }
  if (m_sends < kMostSends &&
      m_gateway.Retries().TakeRetry(m_service, LoopNow())) {
    Dispatch();
    return;
  }
  if (m_mayHaveRun) {
    Fail(m_lastReason);
  } else {
    Refuse(kUnavailable, m_lastReason, kShortRetry);
  }
}

void
CallerExchange::On(const CallFailed& aFailure)
{
  if (aFailure.m_how == CallFailure::MayHaveRun) {
    m_gateway.Crashes().NoteBreak(m_runner, m_address, m_fingerprint);
  }
  OnBrokenRun(aFailure.m_how, aFailure.m_reason);
}

bool
CallerExchange::MayTryAgain(CallFailure aHow)
{
  if (m_sends >= kMostSends) {
    return false;
  }
  if (aHow == CallFailure::NotSent) {
    return true; // no runner saw it
  }
  const std::uint32_t mostRuns = m_phase == Phase::Streaming
                                   ? m_route->m_maxAttempts + 1
                                   : m_route->m_maxAttempts;
  return m_route->MayRepeat() && m_runs < mostRuns &&
         m_gateway.Retries().TakeRetry(m_service, LoopNow());
}

void
CallerExchange::OnBrokenRun(CallFailure aHow, const std::string& aReason)
{
  ReleaseRunner(RunEnd::Failed);
  m_lastReason = aReason;
  if (aHow == CallFailure::MayHaveRun) {
    m_mayHaveRun = true;
    ++m_runs;
  }
  m_gateway.LogRequest(LogLevel::Info,
                       "run failed",
                       { { "id", m_id },
                         { "runner", m_runner },
                         { "reason", aReason },
                         { "may_have_run", aHow == CallFailure::MayHaveRun },
                         { "events", m_events } });
  if (MayTryAgain(aHow)) {
    Dispatch();
    return;
  }
  Fail(aReason);
}

} // namespace siskindeal

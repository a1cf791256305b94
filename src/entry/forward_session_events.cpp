// Handles the events of an attempt.

#include "forward_session_p.h"

#include "node/answer_p.h"
#include "siskindeal/metrics.h"

#include <absl/strings/numbers.h>

#include <array>

namespace siskindeal {

namespace {

constexpr const char* kResumedHeader = "x-resumed-from";

std::optional<std::uint64_t>
ResumedFrom(const wire::RunStarted& aStarted)
{
  std::uint64_t events = 0;
  const auto found = aStarted.headers().find(kResumedHeader);
  if (found == aStarted.headers().end() ||
      !absl::SimpleAtoi(found->second, &events)) {
    return std::nullopt;
  }
  return events;
}

Verdict
VerdictFromWire(wire::RunVerdict aVerdict)
{
  switch (aVerdict) {
    case wire::RUN_VERDICT_NOT_RUN:
      return Verdict::NotRun;
    case wire::RUN_VERDICT_RAN:
      return Verdict::Ran;
    default:
      return Verdict::MayHaveRun;
  }
}

constexpr std::array kWireReasons = {
  Reason::NotFound,          Reason::Overloaded,      Reason::Draining,
  Reason::ClaimUnavailable,  Reason::Duplicate,       Reason::DigestMismatch,
  Reason::Timeout,           Reason::Cancelled,       Reason::UpstreamFailed,
  Reason::TruncatedAnswer,   Reason::Unavailable,     Reason::KeyRequired,
  Reason::StaleFencingToken, Reason::Unauthenticated, Reason::Conflict,
  Reason::Quarantined,
};

Reason
ReasonFromWire(const std::string& aName)
{
  for (const auto reason : kWireReasons) {
    if (aName == ToString(reason)) {
      return reason;
    }
  }
  return Reason::UpstreamFailed;
}

} // namespace

void
ForwardSession::OnEvent(const wire::RunEvent& aEvent)
{
  if (m_answered || m_failure) {
    return;
  }
  switch (aEvent.event_case()) {
    case wire::RunEvent::kStarted:
      OnStarted(aEvent.started());
      return;
    case wire::RunEvent::kBody:
      OnBody(aEvent.body());
      return;
    case wire::RunEvent::kFinished:
      OnFinished(aEvent.finished());
      return;
    case wire::RunEvent::kFailed:
      m_failure.emplace(
        ReasonFromWire(aEvent.failed().reason()),
        VerdictFromWire(aEvent.failed().verdict()),
        aEvent.failed().what(),
        std::chrono::milliseconds(aEvent.failed().retry_after_ms()));
      MergeSuspicions(aEvent.failed());
      return;
    case wire::RunEvent::EVENT_NOT_SET:
      return;
  }
}

void
ForwardSession::OnStarted(const wire::RunStarted& aStarted)
{
  m_status = aStarted.status();
  if (aStarted.digest() != m_destination.m_digest) {
    m_failure.emplace(Reason::DigestMismatch,
                      Verdict::Ran,
                      "the agent answered from other weights");
    return;
  }
  const bool resuming = m_stream.HasBegun();
  if (m_request.m_stream && (m_status == 200 || resuming)) {
    const bool accepted =
      m_stream.BeginAttempt(aStarted.digest(), ResumedFrom(aStarted));
    if (!accepted || m_status != 200) {
      FailResume();
      return;
    }
  }
  if (resuming) {
    CountMetric("siskindeal_resumed_streams_total");
    return;
  }
  m_headers.clear();
  for (const auto& [name, value] : aStarted.headers()) {
    m_headers[name] = value;
  }
}

void
ForwardSession::FailResume()
{
  m_failure.emplace(
    Reason::UpstreamFailed,
    Verdict::MayHaveRun,
    "the stream was interrupted and the engine can't resume it");
  m_stream.DisableResume();
  EndAttempt(RunnerOutcome::Abandoned);
  std::shared_ptr<RunCall> call;
  {
    const OrderedLock lock(m_mutex);
    m_rejectedAttempt = m_attempt;
    call = m_callAttempt == m_attempt ? m_call : nullptr;
  }
  if (call) {
    call->Cancel();
  }
}

void
ForwardSession::MergeSuspicions(const wire::RunFailed& aFailed)
{
  for (const auto& suspicion : aFailed.suspicions()) {
    if (m_forwarder->m_context.m_traffic->Merge(suspicion) &&
        suspicion.fingerprint() == m_request.m_fingerprint) {
      m_suspicions.push_back(suspicion);
    }
  }
}

void
ForwardSession::OnBody(const std::string& aBytes)
{
  m_bodyBytes += aBytes.size();
  if (!m_request.m_stream || m_status != 200) {
    m_body += aBytes;
    return;
  }
  const bool begun = m_stream.HasBegun();
  const auto events = m_stream.ProcessBytes(aBytes);
  if (!begun && m_stream.HasBegun()) {
    BeginStream();
  }
  if (!events.empty()) {
    m_responder->Write(events);
  }
}

void
ForwardSession::BeginStream()
{
  m_headers[std::string(kVerdictHeader)] = ToString(Verdict::Ran);
  m_headers["x-request-id"] = m_request.m_id;
  m_responder->BeginStream(m_status, m_headers);
}

void
ForwardSession::EndCompleteStream()
{
  m_answered = true;
  CountMetric("siskindeal_answered_requests_total",
              { { "service", m_request.m_service } });
  m_responder->EndStream();
}

void
ForwardSession::OnFinished(const wire::RunFinished& aFinished)
{
  if (aFinished.body_bytes() != m_bodyBytes) {
    m_failure.emplace(Reason::TruncatedAnswer,
                      Verdict::Ran,
                      "the response is shorter than the upstream sent");
    return;
  }
  EndAttempt(RunnerOutcome::Answered);
  if (m_stream.HasBegun()) {
    m_responder->Write(m_stream.Flush());
    EndCompleteStream();
    return;
  }
  m_answered = true;
  CountMetric("siskindeal_answered_requests_total",
              { { "service", m_request.m_service } });
  m_body += m_stream.Flush();
  m_headers[std::string(kVerdictHeader)] = ToString(Verdict::Ran);
  m_headers["x-request-id"] = m_request.m_id;
  m_responder->Respond(m_status, m_headers, std::move(m_body));
}

} // namespace siskindeal

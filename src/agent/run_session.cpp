#include "run_session_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <nlohmann/json.hpp>

namespace siskindeal {

namespace {

constexpr const char* kDigestHeader = "x-weights-digest";
constexpr std::string_view kStreamEndMarker = "data: [DONE]";
constexpr std::size_t kTailBytes = 32;
constexpr int kHttpConflict = 409;
constexpr int kHttpServiceUnavailable = 503;
constexpr std::chrono::milliseconds kProbeTimeout{ 200 };
// An upstream with a full accept queue ignores attempts to connect, which the
// system repeats after 1 s and 3 s.
constexpr std::chrono::milliseconds kConnectTimeout{ 4000 };
constexpr int kMaxProbeRetries = 10;

wire::RunVerdict
ToWire(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::NotRun:
      return wire::RUN_VERDICT_NOT_RUN;
    case Verdict::MayHaveRun:
      return wire::RUN_VERDICT_MAY_HAVE_RUN;
    case Verdict::Ran:
      return wire::RUN_VERDICT_RAN;
  }
  return wire::RUN_VERDICT_MAY_HAVE_RUN;
}

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

RunSession::RunSession(std::shared_ptr<RunService> aService,
                       wire::RunRequest aRequest,
                       std::shared_ptr<RunSink> aSink)
  : m_service(std::move(aService))
  , m_request(std::move(aRequest))
  , m_sink(std::move(aSink))
{
}

HttpClientRequest
RunSession::MakeHttpRequest() const
{
  HttpClientRequest request;
  request.m_method = m_request.method();
  request.m_url = m_service->m_upstream.m_url + m_request.path();
  for (const auto& [name, value] : m_request.headers()) {
    request.m_headers[name] = value;
  }
  request.m_headers["x-request-id"] = Key();
  if (m_service->m_upstream.m_kind == UpstreamSettings::Kind::Model) {
    request.m_headers[kDigestHeader] = m_request.expected_digest();
    request.m_headers["x-priority"] = std::to_string(m_request.priority());
    // The same for all attempts, so that one can resume where another ended.
    request.m_headers["x-completion-id"] = m_request.request_id();
    request.m_headers["x-seed"] =
      std::to_string(StableHash(m_request.request_id()));
    if (m_request.resume_from() > 0) {
      request.m_headers["x-resume-from"] =
        std::to_string(m_request.resume_from());
    }
  }
  if (!m_request.idempotency_key().empty()) {
    request.m_headers["idempotency-key"] = m_request.idempotency_key();
  }
  request.m_body = m_request.body();
  m_service->m_hooks.m_recordRequestBytes(request.m_body.size());
  request.m_timeout = std::chrono::milliseconds(m_request.deadline_ms());
  request.m_connectTimeout = kConnectTimeout;
  return request;
}

void
RunSession::Start()
{
  const bool claimed = !m_request.idempotency_key().empty() &&
                       m_service->m_hooks.m_claims != nullptr;
  if (claimed) {
    Claim();
  } else {
    SendToUpstream();
  }
}

void
RunSession::Claim()
{
  ClaimRequest claim;
  claim.m_key = ClaimKeyOf(
    m_request.service(), m_request.team(), m_request.idempotency_key());
  claim.m_digest =
    ClaimDigestOf(m_request.method(), m_request.path(), m_request.body());
  claim.m_deadline = m_service->m_clock.Now() +
                     std::chrono::milliseconds(m_request.deadline_ms());
  const auto self = shared_from_this();
  m_service->m_hooks.m_claims->Claim(
    claim, [self](const ClaimResult& aResult) { self->OnClaimed(aResult); });
}

void
RunSession::OnClaimed(const ClaimResult& aResult)
{
  if (const auto* refusal = std::get_if<Error>(&aResult)) {
    Fail(refusal->GetReason(),
         refusal->GetVerdict(),
         refusal->what(),
         {},
         refusal->RetryAfter());
    return;
  }
  if (const auto* stored = std::get_if<StoredAnswer>(&aResult)) {
    SendStoredAnswer(*stored);
    return;
  }
  m_ticket = std::get<ClaimGranted>(aResult).m_ticket;
  m_answer.emplace();
  SendToUpstream();
}

void
RunSession::SendStoredAnswer(const StoredAnswer& aAnswer)
{
  CountMetric("siskindeal_stored_answers_total");
  wire::RunEvent event;
  auto& started = *event.mutable_started();
  started.set_status(aAnswer.m_status);
  started.set_digest(m_request.expected_digest());
  for (const auto& [name, value] : aAnswer.m_headers) {
    (*started.mutable_headers())[name] = value;
  }
  m_sink->Send(event);
  SendBody(aAnswer.m_body);
  event.Clear();
  event.mutable_finished()->set_body_bytes(m_bodyBytes);
  event.mutable_finished()->set_stored_answer(true);
  Finish(std::move(event));
}

void
RunSession::FinishClaim(Verdict aVerdict)
{
  if (!m_ticket) {
    return;
  }
  if (aVerdict != Verdict::Ran) {
    m_answer.reset();
  }
  m_service->m_hooks.m_claims->Finish(*m_ticket, aVerdict, std::move(m_answer));
  m_ticket.reset();
}

void
RunSession::SendToUpstream()
{
  m_instance = m_service->Instance();
  auto request = MakeHttpRequest();
  const auto self = shared_from_this();
  if (m_request.stream()) {
    request.m_onHeaders = [self](int aStatus, const HttpHeaders& aHeaders) {
      self->OnHeaders(aStatus, aHeaders);
    };
    request.m_onBody = [self](std::string_view aBytes) {
      return self->OnBytes(aBytes);
    };
  }
  auto call = m_service->m_http.Start(
    std::move(request),
    [self](const HttpReply& aReply) { self->OnDone(aReply); });
  bool cancelled = false;
  {
    const OrderedLock lock(m_mutex);
    m_call = call;
    cancelled = m_cancelled;
  }
  if (cancelled) {
    call->Cancel();
  }
}

void
RunSession::Cancel()
{
  std::shared_ptr<HttpCall> call;
  {
    const OrderedLock lock(m_mutex);
    m_cancelled = true;
    call = m_call;
  }
  if (!call) {
    return;
  }
  call->Cancel();
  if (m_service->m_upstream.m_kind != UpstreamSettings::Kind::Model) {
    return;
  }
  HttpClientRequest request;
  request.m_method = "POST";
  request.m_url = m_service->m_upstream.m_url + "/engine/cancel";
  request.m_headers["content-type"] = "application/json";
  request.m_body = nlohmann::json{ { "request_id", Key() } }.dump();
  m_service->m_http.Start(std::move(request), [](const HttpReply&) {});
  CountMetric("siskindeal_cancelled_requests_total");
}

void
RunSession::OnHeaders(int aStatus, const HttpHeaders& aHeaders)
{
  if (const auto instance = UpstreamInstance(aHeaders); !instance.empty()) {
    m_instance = instance;
  }
  if (IsSuccess(aStatus)) {
    SendStarted(aStatus, aHeaders);
  }
}

bool
RunSession::OnBytes(std::string_view aBytes)
{
  if (m_weightsMismatch) {
    return false;
  }
  SendBody(aBytes);
  m_tail.append(
    aBytes.substr(aBytes.size() > kTailBytes ? aBytes.size() - kTailBytes : 0));
  if (m_tail.size() > kTailBytes) {
    m_tail.erase(0, m_tail.size() - kTailBytes);
  }
  return true;
}

void
RunSession::SendStarted(int aStatus, const HttpHeaders& aHeaders)
{
  wire::RunEvent event;
  auto& started = *event.mutable_started();
  started.set_status(aStatus);
  if (m_service->m_upstream.m_kind == UpstreamSettings::Kind::Model) {
    const auto digest = aHeaders.find(kDigestHeader);
    m_weightsMismatch =
      IsSuccess(aStatus) && (digest == aHeaders.end() ||
                             digest->second != m_request.expected_digest());
    if (m_weightsMismatch) {
      return;
    }
    started.set_digest(m_request.expected_digest());
  }
  for (const auto& [name, value] : aHeaders) {
    if (name == "content-type" || name.starts_with("x-")) {
      (*started.mutable_headers())[name] = value;
    }
  }
  m_started = true;
  if (m_answer) {
    m_answer->m_status = aStatus;
    m_answer->m_headers.insert(started.headers().begin(),
                               started.headers().end());
  }
  m_sink->Send(std::move(event));
}

void
RunSession::SendBody(std::string_view aBytes)
{
  m_bodyBytes += aBytes.size();
  m_service->m_hooks.m_recordRequestBytes(aBytes.size());
  if (m_answer) {
    m_answer->m_body.append(aBytes);
  }
  wire::RunEvent event;
  event.set_body(aBytes.data(), aBytes.size());
  m_sink->Send(std::move(event));
}

void
RunSession::OnDone(const HttpReply& aReply)
{
  switch (aReply.m_outcome) {
    case HttpOutcome::Answered:
      OnResponse(aReply);
      return;
    case HttpOutcome::NotSent:
      Fail(Reason::UpstreamFailed, Verdict::NotRun, aReply.m_error);
      return;
    case HttpOutcome::Cancelled:
      if (m_weightsMismatch) {
        Fail(Reason::DigestMismatch,
             Verdict::Ran,
             "the engine responded with different weights than requested");
        return;
      }
      Fail(Reason::Cancelled, Verdict::MayHaveRun, "cancelled");
      return;
    case HttpOutcome::SentNoReply:
      OnConnectionLost(
        { Reason::UpstreamFailed, Verdict::MayHaveRun, aReply.m_error },
        kMaxProbeRetries);
      return;
  }
}

void
RunSession::OnResponse(const HttpReply& aReply)
{
  const bool model =
    m_service->m_upstream.m_kind == UpstreamSettings::Kind::Model;
  if (!m_started && model && aReply.m_status == kHttpServiceUnavailable) {
    Fail(Reason::Overloaded, Verdict::NotRun, "the engine is busy");
    return;
  }
  if (!m_started && model && aReply.m_status == kHttpConflict) {
    m_service->m_hooks.m_onWeightsLost();
    Fail(Reason::DigestMismatch,
         Verdict::NotRun,
         "the engine has not loaded the requested weights");
    return;
  }
  if (!m_started) {
    SendStarted(aReply.m_status, aReply.m_headers);
  }
  if (m_weightsMismatch) {
    Fail(Reason::DigestMismatch,
         Verdict::Ran,
         "the engine responded with different weights than requested");
    return;
  }
  if (!aReply.m_body.empty()) {
    SendBody(aReply.m_body);
  }
  const bool streamed = m_request.stream() && IsSuccess(aReply.m_status);
  if (model && streamed && m_tail.find(kStreamEndMarker) == std::string::npos) {
    OnConnectionLost({ Reason::TruncatedAnswer,
                       Verdict::MayHaveRun,
                       "the stream ended without its end marker" },
                     kMaxProbeRetries);
    return;
  }
  FinishClaim(Verdict::Ran);
  // Completing a resumed response does not show that the request is safe.
  if (m_request.resume_from() == 0) {
    m_service->OnRunCompleted(*this);
  }
  wire::RunEvent event;
  event.mutable_finished()->set_body_bytes(m_bodyBytes);
  Finish(std::move(event));
}

// The upstream has crashed if it now refuses connections or reports a different
// instance. Any other failure of the probe shows neither: the upstream may be
// shutting down or may not respond for a while, and the probe is repeated.
void
RunSession::OnConnectionLost(const Error& aFailure, int aProbesLeft)
{
  const bool model =
    m_service->m_upstream.m_kind == UpstreamSettings::Kind::Model;
  HttpClientRequest probe;
  probe.m_url =
    m_service->m_upstream.m_url + (model ? "/engine/load" : "/load");
  probe.m_timeout = kProbeTimeout;
  probe.m_newConnection = true;
  const auto self = shared_from_this();
  m_service->m_http.Start(
    std::move(probe), [self, aFailure, aProbesLeft](const HttpReply& aProbe) {
      const bool conclusive = aProbe.m_outcome == HttpOutcome::Answered ||
                              aProbe.m_fault == HttpFault::ConnectionRefused;
      if (!conclusive && aProbesLeft > 0) {
        self->OnConnectionLost(aFailure, aProbesLeft - 1);
        return;
      }
      const bool crashed = self->HasCrashed(aProbe);
      Log(LogLevel::Warning,
          "upstream_connection_lost",
          { { "request_id", self->m_request.request_id() },
            { "attempt", self->m_request.attempt() },
            { "crashed", crashed },
            { "what", aFailure.what() } });
      self->Fail(aFailure.GetReason(),
                 aFailure.GetVerdict(),
                 aFailure.what(),
                 crashed ? self->m_service->OnCrash(*self)
                         : std::vector<wire::Suspicion>());
    });
}

bool
RunSession::HasCrashed(const HttpReply& aProbe)
{
  if (aProbe.m_fault == HttpFault::ConnectionRefused) {
    return true;
  }
  // A restarted engine has lost its weights.
  if (m_service->RecordInstance(aProbe.m_headers) &&
      m_service->m_upstream.m_kind == UpstreamSettings::Kind::Model) {
    m_service->m_hooks.m_onWeightsLost();
  }
  const auto instance = UpstreamInstance(aProbe.m_headers);
  return !instance.empty() && !m_instance.empty() && instance != m_instance;
}

void
RunSession::Fail(Reason aReason,
                 Verdict aVerdict,
                 const std::string& aWhat,
                 const std::vector<wire::Suspicion>& aSuspicions,
                 std::chrono::milliseconds aRetryAfter)
{
  FinishClaim(aVerdict);
  CountMetric("siskindeal_failed_runs_total",
              { { "reason", std::string(ToString(aReason)) },
                { "verdict", std::string(ToString(aVerdict)) } });
  wire::RunEvent event;
  auto& failed = *event.mutable_failed();
  failed.set_reason(std::string(ToString(aReason)));
  failed.set_what(aWhat);
  failed.set_verdict(ToWire(aVerdict));
  failed.set_upstream_crashed(!aSuspicions.empty());
  const auto& known = aSuspicions.empty()
                        ? m_service->SuspicionsOf(m_request.fingerprint())
                        : aSuspicions;
  failed.mutable_suspicions()->Add(known.begin(), known.end());
  failed.set_retry_after_ms(static_cast<std::uint64_t>(aRetryAfter.count()));
  Finish(std::move(event));
}

// Removes the session before sending the last event, because the receiver may
// send the next attempt immediately.
void
RunSession::Finish(wire::RunEvent aLast)
{
  m_service->RemoveSession(Key());
  m_sink->Send(std::move(aLast));
  m_sink->Finish();
}

} // namespace siskindeal

#include "forward_session_p.h"

#include "node/answer_p.h"
#include "siskindeal/invariant.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kCancelTimeout{ 500 };
constexpr std::chrono::milliseconds kNoReplicaRetryAfter{ 1000 };

// Returns Failed only for failures that indicate a fault of the runner.
RunnerOutcome
OutcomeOf(Reason aReason)
{
  switch (aReason) {
    case Reason::Unavailable:
    case Reason::UpstreamFailed:
    case Reason::TruncatedAnswer:
    case Reason::Timeout:
      return RunnerOutcome::Failed;
    case Reason::Cancelled:
      return RunnerOutcome::Abandoned;
    default:
      return RunnerOutcome::Busy;
  }
}

} // namespace

ForwardSession::ForwardSession(std::shared_ptr<Forwarder> aForwarder,
                               CallerRequest aRequest,
                               std::shared_ptr<HttpResponder> aResponder)
  : m_forwarder(std::move(aForwarder))
  , m_request(std::move(aRequest))
  , m_responder(std::move(aResponder))
  , m_deadline(m_forwarder->m_context.m_clock.Now() + m_request.m_timeout)
{
  m_forwarder->m_inFlight.fetch_add(1);
  if (m_request.m_stream) {
    m_forwarder->m_streams.fetch_add(1);
  }
}

ForwardSession::~ForwardSession()
{
  EndAttempt(RunnerOutcome::Abandoned);
  m_forwarder->m_context.m_traffic->EndRequest(m_request.m_service,
                                               m_admissionId.load());
  m_forwarder->m_inFlight.fetch_sub(1);
  if (m_request.m_stream) {
    m_forwarder->m_streams.fetch_sub(1);
  }
}

void
ForwardSession::Begin()
{
  const std::weak_ptr<ForwardSession> weak = shared_from_this();
  m_responder->OnDisconnect([weak] {
    if (const auto self = weak.lock()) {
      self->OnDisconnect();
    }
  });
  // Until the request is admitted, only this callback keeps the session alive.
  const auto self = shared_from_this();
  const Traffic::RequestInfo info{ m_request.m_service,
                                   m_request.m_team,
                                   m_request.m_priority,
                                   m_deadline,
                                   m_request.m_fingerprint };
  m_admissionId = m_forwarder->m_context.m_traffic->RequestAdmission(
    info, [self](const std::optional<Error>& aRefusal) {
      self->OnAdmissionDecided(aRefusal);
    });
}

void
ForwardSession::OnAdmissionDecided(const std::optional<Error>& aRefusal)
{
  if (aRefusal) {
    Respond(*aRefusal);
    return;
  }
  StartNextAttempt();
}

void
ForwardSession::EndAttempt(RunnerOutcome aOutcome)
{
  if (std::exchange(m_attemptInFlight, false)) {
    m_forwarder->m_context.m_traffic->OnRequestEnded(
      m_request.m_service, m_destination.m_node.vm(), aOutcome);
  }
}

std::chrono::milliseconds
ForwardSession::RemainingTime() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    m_deadline - m_forwarder->m_context.m_clock.Now());
}

void
ForwardSession::StartNextAttempt()
{
  if (RemainingTime().count() <= 0) {
    Respond({ Reason::Timeout, m_verdict, "the request's deadline passed" });
    return;
  }
  if (m_forwarder->m_context.m_traffic->StateOf(m_request.m_fingerprint) ==
      SuspicionState::Quarantined) {
    RespondFailure({ Reason::Quarantined,
                     m_verdict,
                     "this request has crashed its upstreams" });
    return;
  }
  const auto destination = m_forwarder->Choose(
    m_request, m_tried, m_stream.HasBegun() ? m_stream.Digest() : "");
  if (!destination) {
    RespondFailure({ Reason::NoReplica,
                     m_verdict,
                     "no VM of the service is available for this request",
                     kNoReplicaRetryAfter });
    return;
  }
  Send(*destination);
}

wire::RunRequest
ForwardSession::MakeRunRequest() const
{
  wire::RunRequest request;
  request.set_request_id(m_request.m_id);
  request.set_attempt(m_attempt);
  request.set_service(m_request.m_service);
  request.set_class_of_work(m_request.m_class);
  request.set_team(m_request.m_team);
  request.set_priority(m_request.m_priority);
  request.set_deadline_ms(static_cast<std::uint64_t>(RemainingTime().count()));
  request.set_method(m_request.m_method);
  request.set_path(m_request.m_path);
  for (const auto& [name, value] : m_request.m_headers) {
    (*request.mutable_headers())[name] = value;
  }
  request.set_body(m_request.m_body);
  request.set_stream(m_request.m_stream);
  request.set_expected_digest(m_destination.m_digest);
  request.set_idempotent(m_request.m_idempotent);
  request.set_idempotency_key(m_request.m_key);
  request.set_fingerprint(m_request.m_fingerprint);
  request.set_resume_from(m_stream.EventCount());
  request.set_isolated(m_forwarder->m_context.m_traffic->StateOf(
                         m_request.m_fingerprint) == SuspicionState::Suspect);
  return request;
}

void
ForwardSession::Send(const Destination& aDestination)
{
  m_destination = aDestination;
  m_attempt += 1;
  m_tried.insert(aDestination.m_node.vm());
  m_failure.reset();
  m_status = 0;
  m_body.clear();
  m_bodyBytes = 0;
  m_sentAt = m_forwarder->m_context.m_clock.Now();
  m_attemptInFlight = true;
  m_forwarder->m_context.m_traffic->OnRequestSent(
    m_request.m_service, m_destination.m_node.vm(), m_request.m_prefixHash);
  const auto self = shared_from_this();
  const auto attempt = m_attempt;
  auto call = m_forwarder->m_context.m_client.Run(
    aDestination.m_node.address(),
    MakeRunRequest(),
    RemainingTime(),
    [self](const wire::RunEvent& aEvent) { self->OnEvent(aEvent); },
    [self](const RpcStatus& aStatus) { self->OnEnd(aStatus); });
  bool shouldCancel = false;
  {
    const OrderedLock lock(m_mutex);
    if (attempt > m_callAttempt) {
      m_call = call;
      m_callAttempt = attempt;
    }
    shouldCancel = m_disconnected || m_rejectedAttempt == attempt;
  }
  if (shouldCancel) {
    call->Cancel();
  }
}

void
ForwardSession::OnEnd(const RpcStatus& aStatus)
{
  if (m_answered) {
    return;
  }
  if (m_failure) {
    OnAttemptFailed(Error(*m_failure));
    return;
  }
  if (aStatus.m_outcome == RpcOutcome::NotSent ||
      aStatus.m_outcome == RpcOutcome::Refused) {
    OnAttemptFailed({ Reason::Unavailable, Verdict::NotRun, aStatus.m_what });
    return;
  }
  OnCallLost();
}

// The connection was lost. The agent may still confirm that the request never
// started and never will.
void
ForwardSession::OnCallLost()
{
  wire::CancelRequest request;
  request.set_request_id(m_request.m_id);
  request.set_attempt(m_attempt);
  request.set_incarnation(m_destination.m_node.incarnation());
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(
    m_forwarder->m_context.m_clock.Now() - m_sentAt);
  request.set_age_ms(static_cast<std::uint64_t>(age.count()) + 1);
  const auto self = shared_from_this();
  m_forwarder->m_context.m_client.Cancel(
    m_destination.m_node.address(),
    request,
    kCancelTimeout,
    [self](const RpcStatus& aStatus, const wire::CancelReply& aReply) {
      const bool notStarted =
        aStatus.m_outcome == RpcOutcome::Ok && aReply.not_started();
      self->OnAttemptFailed(
        { Reason::UpstreamFailed,
          notStarted ? Verdict::NotRun : Verdict::MayHaveRun,
          "the connection to the VM was lost" });
    });
}

bool
ForwardSession::MayRetry(const Error& aFailure) const
{
  const auto& context = m_forwarder->m_context;
  const bool safe =
    aFailure.GetVerdict() == Verdict::NotRun || m_request.m_idempotent;
  const bool worthRetrying = aFailure.GetReason() != Reason::Quarantined &&
                             aFailure.GetReason() != Reason::Conflict;
  const bool attemptsLeft = m_stream.HasBegun()
                              ? m_stream.MayResume(aFailure.GetReason())
                              : m_attempt <= context.m_routing.m_retries;
  return safe && worthRetrying && attemptsLeft &&
         context.m_traffic->TryTakeRetry(m_request.m_service);
}

void
ForwardSession::OnAttemptFailed(const Error& aFailure)
{
  m_verdict = Combine(m_verdict, aFailure.GetVerdict());
  EndAttempt(OutcomeOf(aFailure.GetReason()));
  {
    const OrderedLock lock(m_mutex);
    if (m_disconnected) {
      m_answered = true;
      return;
    }
  }
  m_stream.AbortAttempt();
  if (m_stream.IsComplete()) {
    EndCompleteStream();
    return;
  }
  if (m_stream.HasBegun() && !m_firstInterruption) {
    m_firstInterruption.emplace(aFailure);
  }
  const bool retry = MayRetry(aFailure);
  const auto& context = m_forwarder->m_context;
  const auto suspicions = std::exchange(m_suspicions, {});
  if (!retry) {
    for (const auto& suspicion : suspicions) {
      context.m_broadcastSuspicion(suspicion, [] {});
    }
    RespondFailure(aFailure);
    return;
  }
  CountMetric("siskindeal_retries_total",
              { { "reason", std::string(ToString(aFailure.GetReason())) } });
  if (suspicions.empty()) {
    StartNextAttempt();
    return;
  }
  // Once the other entries have been notified, a suspect request may run in
  // isolation on any runner, including those already tried.
  m_tried.clear();
  const auto self = shared_from_this();
  context.m_broadcastSuspicion(suspicions.front(),
                               [self] { self->StartNextAttempt(); });
}

void
ForwardSession::RespondFailure(const Error& aFailure)
{
  const bool reportInterruption =
    m_firstInterruption && aFailure.GetReason() != Reason::Quarantined;
  const Error& reported = reportInterruption ? *m_firstInterruption : aFailure;
  Respond({ reported.GetReason(),
            m_verdict,
            reported.what(),
            reported.RetryAfter() });
}

void
ForwardSession::Respond(const Error& aError)
{
  SISKINDEAL_INVARIANT(!m_answered, "a request gets exactly one response");
  m_answered = true;
  CountMetric("siskindeal_refused_requests_total",
              { { "reason", std::string(ToString(aError.GetReason())) },
                { "verdict", std::string(ToString(aError.GetVerdict())) } });
  if (!m_stream.HasBegun()) {
    RespondError(*m_responder, aError, { { "x-request-id", m_request.m_id } });
    return;
  }
  m_responder->Write(
    "event: error\ndata: " +
    ErrorJson(aError).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace) +
    "\n\n");
  m_responder->EndStream();
}

void
ForwardSession::OnDisconnect()
{
  std::shared_ptr<RunCall> call;
  {
    const OrderedLock lock(m_mutex);
    m_disconnected = true;
    call = m_call;
  }
  CountMetric("siskindeal_hang_ups_total");
  if (!call) {
    m_forwarder->m_context.m_traffic->EndRequest(m_request.m_service,
                                                 m_admissionId.load());
  }
  if (call) {
    call->Cancel();
  }
}

} // namespace siskindeal

#include "forward_session_p.h"

#include "node/answer_p.h"
#include "siskindeal/invariant.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kGiveUpTimeout{ 500 };
constexpr std::chrono::milliseconds kNoReplicaRetryAfter{ 1000 };
// Whether a failure speaks against the runner itself.
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
      return RunnerOutcome::GivenUp;
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
  , m_deadline(m_forwarder->m_parts.m_clock.Now() + m_request.m_timeout)
{
  m_forwarder->m_inFlight.fetch_add(1);
  if (m_request.m_stream) {
    m_forwarder->m_streams.fetch_add(1);
  }
}

ForwardSession::~ForwardSession()
{
  EndAttempt(RunnerOutcome::GivenUp);
  m_forwarder->m_parts.m_traffic->Leave(m_request.m_service, m_number.load());
  m_forwarder->m_inFlight.fetch_sub(1);
  if (m_request.m_stream) {
    m_forwarder->m_streams.fetch_sub(1);
  }
}

void
ForwardSession::Begin()
{
  const std::weak_ptr<ForwardSession> weak = shared_from_this();
  m_responder->OnHangUp([weak] {
    if (const auto self = weak.lock()) {
      self->OnHangUp();
    }
  });
  // Until it is let through, only the traffic's callback keeps the session.
  const auto self = shared_from_this();
  const Traffic::Asked asked{ m_request.m_service,
                              m_request.m_team,
                              m_request.m_priority,
                              m_deadline,
                              m_request.m_fingerprint };
  m_number = m_forwarder->m_parts.m_traffic->Enter(
    asked, [self](const std::optional<Error>& aRefusal) {
      self->OnAdmitted(aRefusal);
    });
}

void
ForwardSession::OnAdmitted(const std::optional<Error>& aRefusal)
{
  if (aRefusal) {
    Respond(*aRefusal);
    return;
  }
  TryNext();
}

void
ForwardSession::EndAttempt(RunnerOutcome aOutcome)
{
  if (std::exchange(m_sent, false)) {
    m_forwarder->m_parts.m_traffic->Ended(
      m_request.m_service, m_destination.m_node.vm(), aOutcome);
  }
}

std::chrono::milliseconds
ForwardSession::Remaining() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    m_deadline - m_forwarder->m_parts.m_clock.Now());
}

void
ForwardSession::TryNext()
{
  if (Remaining().count() <= 0) {
    Respond({ Reason::Timeout, m_verdict, "the request's deadline passed" });
    return;
  }
  if (m_forwarder->m_parts.m_traffic->StateOf(m_request.m_fingerprint) ==
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
                     "no VM of the service takes this request now",
                     kNoReplicaRetryAfter });
    return;
  }
  Send(*destination);
}

wire::RunRequest
ForwardSession::ToWire() const
{
  wire::RunRequest request;
  request.set_request_id(m_request.m_id);
  request.set_attempt(m_attempt);
  request.set_service(m_request.m_service);
  request.set_class_of_work(m_request.m_class);
  request.set_team(m_request.m_team);
  request.set_priority(m_request.m_priority);
  request.set_deadline_ms(static_cast<std::uint64_t>(Remaining().count()));
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
  request.set_resume_from(m_stream.Events());
  request.set_isolated(m_forwarder->m_parts.m_traffic->StateOf(
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
  m_sentAt = m_forwarder->m_parts.m_clock.Now();
  m_sent = true;
  m_forwarder->m_parts.m_traffic->Sent(
    m_request.m_service, m_destination.m_node.vm(), m_request.m_prefixHash);
  const auto self = shared_from_this();
  const auto attempt = m_attempt;
  auto call = m_forwarder->m_parts.m_client.Run(
    aDestination.m_node.address(),
    ToWire(),
    Remaining(),
    [self](const wire::RunEvent& aEvent) { self->OnEvent(aEvent); },
    [self](const RpcStatus& aStatus) { self->OnEnd(aStatus); });
  bool hungUp = false;
  {
    const OrderedLock lock(m_mutex);
    if (attempt > m_callAttempt) {
      m_call = call;
      m_callAttempt = attempt;
    }
    hungUp = m_hungUp || m_refusedAttempt == attempt;
  }
  if (hungUp) {
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
    AfterFailure(Error(*m_failure));
    return;
  }
  if (aStatus.m_outcome == RpcOutcome::NotSent ||
      aStatus.m_outcome == RpcOutcome::Refused) {
    AfterFailure({ Reason::Unavailable, Verdict::NotRun, aStatus.m_what });
    return;
  }
  AfterLostCall();
}

// The call was lost. The agent may still promise that the request never started
// and never will.
void
ForwardSession::AfterLostCall()
{
  wire::CancelRequest request;
  request.set_request_id(m_request.m_id);
  request.set_attempt(m_attempt);
  request.set_incarnation(m_destination.m_node.incarnation());
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(
    m_forwarder->m_parts.m_clock.Now() - m_sentAt);
  request.set_age_ms(static_cast<std::uint64_t>(age.count()) + 1);
  const auto self = shared_from_this();
  m_forwarder->m_parts.m_client.Cancel(
    m_destination.m_node.address(),
    request,
    kGiveUpTimeout,
    [self](const RpcStatus& aStatus, const wire::CancelReply& aReply) {
      const bool notStarted =
        aStatus.m_outcome == RpcOutcome::Ok && aReply.not_started();
      self->AfterFailure({ Reason::UpstreamFailed,
                           notStarted ? Verdict::NotRun : Verdict::MayHaveRun,
                           "the connection to the VM was lost" });
    });
}

bool
ForwardSession::MayRetry(const Error& aFailure) const
{
  const auto& parts = m_forwarder->m_parts;
  const bool safe =
    aFailure.GetVerdict() == Verdict::NotRun || m_request.m_idempotent;
  const bool helps = aFailure.GetReason() != Reason::Quarantined &&
                     aFailure.GetReason() != Reason::Conflict;
  const bool more = m_stream.HasBegun()
                      ? m_stream.MayResume(aFailure.GetReason())
                      : m_attempt <= parts.m_routing.m_retries;
  return safe && helps && more &&
         parts.m_traffic->TakeRetry(m_request.m_service);
}

void
ForwardSession::AfterFailure(const Error& aFailure)
{
  m_verdict = Combine(m_verdict, aFailure.GetVerdict());
  EndAttempt(OutcomeOf(aFailure.GetReason()));
  {
    const OrderedLock lock(m_mutex);
    if (m_hungUp) {
      m_answered = true;
      return;
    }
  }
  m_stream.BreakOff();
  if (m_stream.IsWhole()) {
    EndWhole();
    return;
  }
  if (m_stream.HasBegun() && !m_broken) {
    m_broken.emplace(aFailure);
  }
  const bool retry = MayRetry(aFailure);
  const auto& parts = m_forwarder->m_parts;
  const auto suspicions = std::exchange(m_suspicions, {});
  if (!retry) {
    for (const auto& suspicion : suspicions) {
      parts.m_spread(suspicion, [] {});
    }
    RespondFailure(aFailure);
    return;
  }
  CountMetric("siskindeal_retries_total",
              { { "reason", std::string(ToString(aFailure.GetReason())) } });
  if (suspicions.empty()) {
    TryNext();
    return;
  }
  // A suspect may be tried on any runner, alone, once the others know of it.
  m_tried.clear();
  const auto self = shared_from_this();
  parts.m_spread(suspicions.front(), [self] { self->TryNext(); });
}

void
ForwardSession::RespondFailure(const Error& aFailure)
{
  const bool broken = m_broken && aFailure.GetReason() != Reason::Quarantined;
  const Error& told = broken ? *m_broken : aFailure;
  Respond({ told.GetReason(), m_verdict, told.what(), told.RetryAfter() });
}

void
ForwardSession::Respond(const Error& aError)
{
  SISKINDEAL_INVARIANT(!m_answered, "a request is answered once");
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
ForwardSession::OnHangUp()
{
  std::shared_ptr<RunCall> call;
  {
    const OrderedLock lock(m_mutex);
    m_hungUp = true;
    call = m_call;
  }
  CountMetric("siskindeal_hang_ups_total");
  if (!call) {
    m_forwarder->m_parts.m_traffic->Leave(m_request.m_service, m_number.load());
  }
  if (call) {
    call->Cancel();
  }
}

} // namespace siskindeal

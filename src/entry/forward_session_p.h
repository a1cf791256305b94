#pragma once
// The state of one caller's request while an entry forwards it.

#include "forward_p.h"
#include "stream_resume_p.h"

#include <optional>

namespace siskindeal {

// Keeps itself alive during a call. Responds to the caller exactly once.
class ForwardSession : public std::enable_shared_from_this<ForwardSession>
{
public:
  ForwardSession(std::shared_ptr<Forwarder> aForwarder,
                 CallerRequest aRequest,
                 std::shared_ptr<HttpResponder> aResponder);
  ~ForwardSession();

  void Begin();

private:
  void OnAdmissionDecided(const std::optional<Error>& aRefusal);
  void StartNextAttempt();
  // Reports the end of the attempt to the router.
  void EndAttempt(RunnerOutcome aOutcome);
  void Send(const Destination& aDestination);
  wire::RunRequest MakeRunRequest() const;
  void OnEvent(const wire::RunEvent& aEvent);
  void OnStarted(const wire::RunStarted& aStarted);
  // Cancels an attempt that can't continue the caller's stream.
  void FailResume();
  void OnBody(const std::string& aBytes);
  void BeginStream();
  void EndCompleteStream();
  void OnFinished(const wire::RunFinished& aFinished);
  void OnEnd(const RpcStatus& aStatus);
  void OnCallLost();
  void OnAttemptFailed(const Error& aFailure);
  void MergeSuspicions(const wire::RunFailed& aFailed);
  bool MayRetry(const Error& aFailure) const;
  // Responds when no further attempt is made. The first interruption of a
  // stream takes precedence over later failures, except quarantine.
  void RespondFailure(const Error& aFailure);
  void Respond(const Error& aError);
  void OnDisconnect();
  std::chrono::milliseconds RemainingTime() const;

  const std::shared_ptr<Forwarder> m_forwarder;
  const CallerRequest m_request;
  const std::shared_ptr<HttpResponder> m_responder;
  const MonotonicTime m_deadline;

  // There is one attempt at a time and its callbacks are serialized, so these
  // members need no lock.
  std::uint32_t m_attempt = 0;
  std::set<std::string> m_tried;
  Destination m_destination;
  MonotonicTime m_sentAt;
  Verdict m_verdict = Verdict::NotRun;
  std::optional<Error> m_failure; // of the attempt, handled at its end
  std::vector<wire::Suspicion> m_suspicions; // received with that failure
  bool m_attemptInFlight = false;            // reported to the router
  StreamResume m_stream;                     // position in the caller's stream
  std::optional<Error> m_firstInterruption;  // of the stream
  bool m_answered = false;
  int m_status = 0;
  HttpHeaders m_headers;
  std::string m_body;
  std::uint64_t m_bodyBytes = 0;

  // The id from Traffic::RequestAdmission.
  std::atomic<std::uint64_t> m_admissionId{ 0 };

  OrderedMutex m_mutex{ LockLevel::Session };
  std::shared_ptr<RunCall> m_call ABSL_GUARDED_BY(m_mutex);
  std::uint32_t m_callAttempt ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint32_t m_rejectedAttempt ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_disconnected ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

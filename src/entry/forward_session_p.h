#pragma once
// One caller's request on its way through an entry.

#include "forward_p.h"
#include "stream_resume_p.h"

#include <optional>

namespace siskindeal {

// Keeps itself alive while a call is out. Answers the caller exactly once.
class ForwardSession : public std::enable_shared_from_this<ForwardSession>
{
public:
  ForwardSession(std::shared_ptr<Forwarder> aForwarder,
                 CallerRequest aRequest,
                 std::shared_ptr<HttpResponder> aResponder);
  ~ForwardSession();

  void Begin();

private:
  void OnAdmitted(const std::optional<Error>& aRefusal);
  void TryNext();
  // The attempt is over for its runner.
  void EndAttempt(RunnerOutcome aOutcome);
  void Send(const Destination& aDestination);
  wire::RunRequest ToWire() const;
  void OnEvent(const wire::RunEvent& aEvent);
  void OnStarted(const wire::RunStarted& aStarted);
  // The attempt can't go on with the caller's stream: it is given up.
  void RefuseResume();
  void OnBody(const std::string& aBytes);
  void BeginStream();
  void EndWhole();
  void OnFinished(const wire::RunFinished& aFinished);
  void OnEnd(const RpcStatus& aStatus);
  void AfterLostCall();
  void AfterFailure(const Error& aFailure);
  void LearnSuspicions(const wire::RunFailed& aFailed);
  bool MayRetry(const Error& aFailure) const;
  // What the caller is told when nothing more is tried.
  void RespondFailure(const Error& aFailure);
  void Respond(const Error& aError);
  void OnHangUp();
  std::chrono::milliseconds Remaining() const;

  const std::shared_ptr<Forwarder> m_forwarder;
  const CallerRequest m_request;
  const std::shared_ptr<HttpResponder> m_responder;
  const MonotonicTime m_deadline;

  // One attempt is out at a time, and its callbacks come one after another, so
  // these need no lock.
  std::uint32_t m_attempt = 0;
  std::set<std::string> m_tried;
  Destination m_destination;
  MonotonicTime m_sentAt;
  Verdict m_verdict = Verdict::NotRun;
  std::optional<Error> m_failure; // of the attempt, acted on at its end
  std::vector<wire::Suspicion> m_suspicions; // learned with that failure
  bool m_sent = false;                       // an attempt counts at its runner
  StreamResume m_stream;                     // what the caller has of a stream
  std::optional<Error> m_broken;             // its first break
  bool m_answered = false;
  int m_status = 0;
  HttpHeaders m_headers;
  std::string m_body;
  std::uint64_t m_bodyBytes = 0;

  std::atomic<std::uint64_t> m_number{ 0 }; // of Traffic::Enter

  OrderedMutex m_mutex{ LockLevel::Session };
  std::shared_ptr<RunCall> m_call ABSL_GUARDED_BY(m_mutex);
  std::uint32_t m_callAttempt ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint32_t m_refusedAttempt ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_hungUp ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

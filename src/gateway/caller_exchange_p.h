#pragma once
// One request of a caller from its arrival to its last byte: which runner it is
// sent to, what is done when that fails, and the one final answer. It keeps
// itself alive until then.

#include "gateway/event_splitter_p.h"
#include "gateway/gateway_p.h"

#include <memory>
#include <set>

namespace siskindeal {

inline constexpr int kUnavailable = 503;
// Until a lost dependency is back.
inline constexpr std::chrono::milliseconds kShortRetry{ 300 };

// The fields of a runner's answer that the caller gets.
HttpFields
PassedOn(const HttpFields& aFields);

class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
  CallerExchange(Gateway& aGateway, std::shared_ptr<ServerConnection> aCaller);

  void Start();
  // Checks its times; called often.
  void Tick(MonotonicTime aNow);

private:
  // Where the answer to the caller stands.
  enum class Phase
  {
    Waiting,   // nothing has been sent to the caller
    Streaming, // the head and maybe events have
    Done,
  };

  bool Admit();
  bool CheckKey(const RouteIndex& aRoutes);
  void ReadHeaders();
  void Dispatch();
  Decision Decide();
  void SendTo(RunnerState& aRunner, const Placement& aPlacement);
  std::string Head(const RunnerState& aRunner) const;
  int PriorityNumber() const;

  void On(const AnswerHead& aHead);
  void On(const AnswerBody& aBody);
  void On(const AnswerEnd& aEnd);
  void On(const CallFailed& aFailure);

  void NoteHead();
  void OnRefusedByRunner();
  void OnWholeAnswer();
  void OnEvent(const StreamEvent& aEvent);
  void OnStreamEnd();
  // The run at the runner ended without an answer that can be used.
  void OnBrokenRun(CallFailure aHow, const std::string& aReason);
  bool MayTryAgain(CallFailure aHow);
  // What a run says of its runner.
  enum class RunEnd
  {
    Sound,
    Failed, // the runner is avoided for a while
  };
  // Takes the present run's load off its runner.
  void ReleaseRunner(RunEnd aEnd);
  void ReleasePrompt(RunnerState& aRunner);

  void StartStream();
  void Deliver();
  // An answer of this process's own, with a reason; zero: no time to come back.
  void SendOwn(int aStatus,
               std::string_view aReason,
               std::chrono::milliseconds aRetryAfter);
  void Refuse(int aStatus,
              std::string_view aReason,
              std::chrono::milliseconds aRetryAfter);
  // The final answer when nothing better can be said.
  void Fail(std::string_view aReason);
  void OnTimeUp();
  void OnCallerGone();
  void Finish(std::string_view aOutcome);
  std::chrono::milliseconds TimeLeft(MonotonicTime aNow) const;

  Gateway& m_gateway;
  std::shared_ptr<ServerConnection> m_caller;
  std::shared_ptr<const RouteIndex> m_routes;
  const Route* m_route = nullptr;
  const SiteTeam* m_team = nullptr;
  IncomingRequest m_request;
  std::string m_id;
  std::string m_service;
  RequestShape m_shape;
  std::uint64_t m_fingerprint = 0; // equal for the same work asked again
  MonotonicTime m_end{};           // the caller, or the route, waits until then
  Phase m_phase = Phase::Waiting;

  // The present run.
  std::shared_ptr<HttpConnection> m_run;
  std::string m_runner; // id
  Address m_address;
  std::chrono::milliseconds m_predicted{ 0 };
  RunnerLoad m_loadBefore; // at the runner when this was placed
  MonotonicTime m_sentAt{};
  MonotonicTime m_progressAt{};
  bool m_promptCounted = false;
  bool m_streamRun = false; // its answer is a stream of events
  AnswerHead m_answer;
  std::string m_body;
  EventSplitter m_splitter;

  std::set<std::string> m_tried;
  std::uint32_t m_runs = 0;  // that may have run
  std::uint32_t m_sends = 0; // all
  bool m_mayHaveRun = false;
  // The last run ended with a whole answer, a failure of the runner's own.
  bool m_haveAnswer = false;

  std::optional<std::uint64_t> m_lastEvent; // passed on
  std::uint32_t m_events = 0;
  // From the request's arrival to its first event or whole answer.
  std::chrono::duration<double, std::milli> m_first{ 0 };
  std::chrono::duration<double, std::milli> m_worstGap{ 0 }; // between events
  MonotonicTime m_eventAt{};
  std::string m_lastReason;
};

} // namespace siskindeal

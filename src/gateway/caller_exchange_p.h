#pragma once
// One caller's request, from its arrival to the last byte of its response:
// picks a runner, retries on failure and sends one final response.
// Keeps itself alive until it has finished.

#include "gateway/event_splitter_p.h"
#include "gateway/gateway_p.h"

#include <memory>
#include <set>

namespace siskindeal {

inline constexpr int kServiceUnavailable = 503;
// Retry-After while the configuration or a runner is unavailable.
inline constexpr std::chrono::milliseconds kShortRetryAfter{ 300 };

// The fields of a runner's response that are forwarded to the caller.
HttpFields
EndToEndFields(const HttpFields& aFields);

class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
  CallerExchange(Gateway& aGateway, std::shared_ptr<ServerConnection> aCaller);

  void Start();
  // Checks the deadline and the stall timeout; called periodically.
  void Tick(MonotonicTime aNow);

private:
  // Progress of the response to the caller.
  enum class Phase
  {
    Waiting,   // nothing has been sent
    Streaming, // the head, and possibly events, have been sent
    Done,
  };

  bool Admit();
  bool Authenticate(const RouteIndex& aRoutes);
  void ReadHeaders();
  void Dispatch();
  Decision Decide();
  void SendTo(RunnerState& aRunner, const Placement& aPlacement);
  // Logs that a request that was in flight at a crash is sent again.
  void LogIfSuspect();
  std::vector<PromptPart> ReadPromptParts() const;
  // Whether a response has gone on for so long that the parts of the request's
  // prompt can't be what crashes its runner.
  bool IsPromptProven() const;
  // What the request has in common with others that may crash its runner.
  RequestTraits SuspectTraits() const;
  std::string BuildHead(const RunnerState& aRunner) const;
  int PriorityNumber() const;

  void On(const ResponseHead& aHead);
  void On(const ResponseBodyPart& aBody);
  void On(const ResponseEnd& aEnd);
  void On(const CallFailed& aFailure);

  void ApplyResponseHead();
  void ApplyRunnerLimit();
  void OnRefusedByRunner();
  void OnCompleteAnswer();
  void OnEvent(const StreamEvent& aEvent);
  void OnStreamEnd();
  // Closes the current attempt's connection; the attempt failed.
  void AbandonAttempt(const std::string& aReason);
  // The attempt ended without a usable response.
  void OnAttemptFailed(CallFailure aFailure, const std::string& aReason);
  bool MayRetry(CallFailure aFailure);
  // Health of a runner, as judged from the end of an attempt.
  enum class RunnerHealth
  {
    Healthy,
    Failed, // the runner is avoided for a backoff period
  };
  // Removes the current attempt's load from its runner.
  void ReleaseRunner(RunnerHealth aHealth);
  void ReleasePromptTokens(RunnerState& aRunner);

  void StartStream();
  void ForwardAnswer();
  // Sends an error response. Omits Retry-After if aRetryAfter is zero.
  void SendError(int aStatus,
                 std::string_view aReason,
                 std::chrono::milliseconds aRetryAfter);
  void Refuse(int aStatus,
              std::string_view aReason,
              std::chrono::milliseconds aRetryAfter);
  // Sends the final response if no runner's response can be forwarded.
  void Fail(std::string_view aReason);
  void OnDeadline();
  void OnCallerDisconnected();
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
  RequestTraits m_traits;
  MonotonicTime m_deadline{}; // the caller's or the route's
  Phase m_phase = Phase::Waiting;

  // The current attempt.
  std::shared_ptr<HttpConnection> m_connection;
  RunnerIncarnation m_runner;
  Address m_address;
  std::chrono::milliseconds m_predicted{ 0 };
  RunnerLoad m_loadBefore; // of the runner when it was chosen
  MonotonicTime m_sentAt{};
  MonotonicTime m_lastProgress{};
  bool m_promptCounted = false;
  bool m_isEventStream = false;
  MonotonicTime m_firstEventAt{}; // of this or an earlier attempt
  ResponseHead m_answer;
  std::string m_answerBody;
  EventSplitter m_splitter;
  std::size_t m_repeatedBytes = 0; // since the last event that was new

  std::set<std::string> m_triedRunners;
  std::uint32_t m_attempts = 0; // attempts that may have executed
  std::uint32_t m_sends = 0;    // all attempts
  bool m_mayHaveRun = false;
  // m_answer is a complete error response; forwarded if no retry is possible.
  bool m_haveErrorAnswer = false;

  std::optional<std::uint64_t> m_lastEventId; // forwarded to the caller
  std::uint32_t m_eventCount = 0;
  // From the request's arrival to its first event.
  std::chrono::duration<double, std::milli> m_firstEventLatency{ 0 };
  std::chrono::duration<double, std::milli> m_maxEventGap{ 0 };
  MonotonicTime m_lastEventAt{};
  std::string m_lastReason;
};

} // namespace siskindeal

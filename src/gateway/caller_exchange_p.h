#pragma once
// One caller's request, from its arrival to the last byte of its response:
// picks a runner, retries on failure, sends the request to a second runner too
// if the first falls silent, and sends one final response.
// Keeps itself alive until it has finished.

#include "gateway/gateway_p.h"
#include "gateway/runner_attempt_p.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace siskindeal {

inline constexpr int kServiceUnavailable = 503;
inline constexpr std::uint32_t kMaxSends = 5; // of one request
// Outcome of a request whose caller got a runner's whole response.
inline constexpr std::string_view kAnswered = "answered";
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
  // Checks the deadline and whether the runner is silent; called periodically.
  void Tick(MonotonicTime aNow);
  // Reports the request as in flight at a runner that has fallen silent, if it
  // has one.
  void RecordSilence(const RunnerIncarnation& aRunner);
  // Ends the request as at its deadline.
  void Expire(std::string_view aReason);

private:
  // Progress of the response to the caller.
  enum class Phase
  {
    Waiting,   // nothing has been sent
    Streaming, // the head, and possibly events, have been sent
    Done,
  };

  // Runs one step of the request. If it throws, the request ends, and its
  // caller gets a response that is true whatever was sent.
  void Guard(const std::function<void()>& aStep);
  void EndAfterFailure();
  // If it throws, the attempt fails.
  void OnCallEvent(RunnerAttempt& aAttempt, const CallEvent& aEvent);
  void Begin();
  void CheckProgress(MonotonicTime aNow);

  bool Admit();
  bool Authenticate(const RouteIndex& aRoutes);
  void ReadHeaders();
  void Dispatch();
  Decision Decide();
  // Reads what the request is likely to cost, if costs are learned.
  void ReadCost();
  // Refuses the request if its level of priority exceeds its share of the
  // capacity. Decides once.
  std::optional<PlacementRefusal> CheckPriority();
  int Priority() const; // the team's, else the route's
  void CountLoad(RunnerAttempt& aAttempt, RunnerState& aRunner) const;
  void ReleaseLoad(RunnerAttempt& aAttempt, RunnerState& aRunner) const;
  // Records what an event shows of the work left and of the runner's speed.
  void RecordEventCost(RunnerAttempt& aAttempt, RunnerState& aRunner) const;
  // Records the length of a complete answer.
  void RecordAnswerCost(const RunnerAttempt& aAttempt) const;
  void SendTo(RunnerState& aRunner, const Placement& aPlacement);
  // Whether the next send goes on a connection that no other request uses, so
  // that no earlier rejection can be taken for one of this send.
  bool NeedsUnsharedConnection(const RunnerState& aRunner,
                               MonotonicTime aNow) const;
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

  void On(RunnerAttempt& aAttempt, const ResponseHead& aHead);
  void On(RunnerAttempt& aAttempt, const ResponseBodyPart& aBody);
  void On(RunnerAttempt& aAttempt, const ResponseEnd& aEnd);
  void On(RunnerAttempt& aAttempt, const CallFailed& aFailure);

  void ApplyResponseHead(const RunnerAttempt& aAttempt);
  // Observes how far the predicted time to the first byte was off.
  void RecordPredictionError(const RunnerAttempt& aAttempt) const;
  void OnRefusedByRunner(RunnerAttempt& aAttempt);
  void OnCompleteAnswer(RunnerAttempt& aAttempt);
  void OnErrorAnswer(RunnerAttempt& aAttempt);
  void RecordDuration(const RunnerAttempt& aAttempt);
  void OnEvent(RunnerAttempt& aAttempt, const StreamEvent& aEvent);
  // Whether an event shows that the attempt has got further than the others.
  bool IsNews(const RunnerAttempt& aAttempt, const StreamEvent& aEvent) const;
  void HoldEvent(RunnerAttempt& aAttempt, const StreamEvent& aEvent);
  void ForwardEvent(RunnerAttempt& aAttempt, const StreamEvent& aEvent);
  // Stops reading the runner's response until the caller has taken more.
  void PauseUntilDrained(RunnerAttempt& aAttempt);
  void OnStreamEnd(RunnerAttempt& aAttempt);
  // Closes an attempt's connection; the attempt failed.
  void AbandonAttempt(RunnerAttempt& aAttempt, const std::string& aReason);
  // Drops what has arrived from a runner, to save memory. Returns false if the
  // response is on its way to the caller.
  bool BreakOff(RunnerAttempt& aAttempt);
  // Health of a runner, as judged from the end of an attempt.
  enum class RunnerHealth
  {
    Healthy,
    Failed, // the runner is avoided for a backoff period
    Unknown,
  };
  // An attempt ended without a usable response.
  void OnAttemptFailed(RunnerAttempt& aAttempt,
                       CallFailure aFailure,
                       const std::string& aReason,
                       RunnerHealth aHealth = RunnerHealth::Failed);
  // Logs how an attempt ended that doesn't answer the request.
  void LogAttempt(std::string_view aEvent,
                  const RunnerAttempt& aAttempt,
                  bool aMayHaveRun);
  // Records that a runner may have executed the request.
  void RecordExecution(const RunnerAttempt& aAttempt);
  // How many of the runners that max_attempts allows are used up. Those that
  // are known to have ended don't count.
  std::size_t CountedExecutions() const;
  // Draws one further send from the budget that all gateways share.
  bool TakeRetry();
  bool MayRetry(CallFailure aFailure);
  // Whether another runner can go on where the stream has got to, if it has
  // begun: without event ids, a second run can't be told from a repetition.
  bool MayResume() const;

  // Records which attempts' requests have reached their runners' systems.
  void RecordDeliveries(MonotonicTime aNow);
  // Whether bytes of a response wait to be read past the deadline, as after a
  // pause of the process. True for a short time only.
  bool IsResponseArriving(MonotonicTime aNow);
  // Ends attempts that haven't begun to be answered at runners whose weights
  // are about to be past the bound, since they would begin on those.
  void WithdrawOutdated();
  // Whether an attempt that hasn't begun may begin on weights older than
  // aOverdue.
  bool MayBeginOutdated(const RunnerAttempt& aAttempt,
                        std::uint64_t aOverdue) const;
  void Withdraw(RunnerAttempt& aAttempt, std::uint64_t aOverdue);
  // How long the runner may be silent before the request is hedged.
  std::chrono::milliseconds SilenceLimit(const RunnerAttempt& aAttempt) const;
  bool IsSilent(const RunnerAttempt& aAttempt, MonotonicTime aNow) const;
  // Whether all open attempts are silent and another one is allowed.
  bool NeedsHedge(MonotonicTime aNow) const;
  // Sends the request to a second runner. The silent attempts stay open.
  void Hedge(MonotonicTime aNow);

  bool IsOpen(const RunnerAttempt& aAttempt) const;
  // Ends an attempt, whose connection is closed or released: removes its load
  // from its runner.
  void EndAttempt(RunnerAttempt& aAttempt, RunnerHealth aHealth);
  void RecordIfSilent(const RunnerAttempt& aAttempt);
  void RecordStrayResponse(const RunnerAttempt& aAttempt, RunnerState& aRunner);
  // Cancels all open attempts but one, if given.
  void CancelAttempts(const RunnerAttempt* aExcept = nullptr);
  // Makes an attempt the one whose response the caller gets.
  void Choose(RunnerAttempt& aAttempt);
  void ReleasePromptTokens(RunnerAttempt& aAttempt, RunnerState& aRunner);

  void StartStream(RunnerAttempt& aAttempt);
  void ForwardAnswer(RunnerAttempt& aAttempt);
  // Sends an error response. Omits Retry-After if aRetryAfter is zero.
  void SendError(int aStatus,
                 std::string_view aReason,
                 std::chrono::milliseconds aRetryAfter);
  void Refuse(int aStatus,
              std::string_view aReason,
              std::chrono::milliseconds aRetryAfter);
  // Forwards the best response there is after the last attempt failed.
  void GiveUp(std::string_view aReason);
  // Sends the final response if no runner's response can be forwarded.
  void Fail(std::string_view aReason);
  void OnDeadline(std::string_view aReason);
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
  std::string m_callerHost; // known after the connection has ended, too
  std::string m_service;
  RequestShape m_shape;
  double m_answerEstimate = 0; // tokens, by the caller; 0: none
  bool m_priorityChecked = false;
  RequestTraits m_traits;
  MonotonicTime m_deadline{};                  // the caller's or the route's
  std::optional<MonotonicTime> m_expiredSince; // noticed by Tick
  Phase m_phase = Phase::Waiting;

  // More than one if the first runners are silent.
  std::vector<RunnerAttemptPtr> m_openAttempts;
  RunnerAttemptPtr m_latest;    // the last one that was sent
  RunnerAttemptPtr m_forwarded; // the caller gets its response
  // Has a complete error response; forwarded if no other attempt succeeds.
  RunnerAttemptPtr m_failedAttempt;
  MonotonicTime m_firstEventAt{}; // of any attempt
  // To the first byte; by the last placement or refusal.
  std::chrono::milliseconds m_predicted{ 0 };
  std::chrono::milliseconds m_linkDelay{ 0 }; // part of it

  std::set<RunnerIncarnation> m_triedRunners;
  // Of ended attempts that may have executed the request.
  std::vector<RunnerIncarnation> m_executedOn;
  std::uint32_t m_sends = 0; // all attempts
  bool m_mayHaveRun = false;

  std::optional<std::uint64_t> m_lastEventId; // forwarded to the caller
  bool m_hasUnnumberedEvents = false;         // forwarded to the caller
  std::uint32_t m_eventCount = 0;
  // From the request's arrival to its first event.
  std::chrono::duration<double, std::milli> m_firstEventLatency{ 0 };
  std::chrono::duration<double, std::milli> m_maxEventGap{ 0 };
  MonotonicTime m_lastEventAt{};
  std::string m_lastReason;
};

} // namespace siskindeal

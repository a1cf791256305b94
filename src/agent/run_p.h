#pragma once
// Runs the requests that entries pass to this agent's upstream.

#include "siskindeal/claims.h"
#include "siskindeal/clock.h"
#include "siskindeal/http.h"
#include "siskindeal/lock_order.h"
#include "siskindeal/quarantine.h"
#include "siskindeal/rpc.h"
#include "siskindeal/settings.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

// Attempts whose start, or whose being given up, is remembered.
inline constexpr std::size_t kMostRememberedAttempts = 65536;
// How long an attempt can stay on its way; one given up is remembered longer.
inline constexpr std::chrono::minutes kLongestTransit{ 10 };

// An attempt of a request: its id and number.
std::string
AttemptKey(const std::string& aRequestId, std::uint32_t aAttempt);

// Remembers which attempts have started and which must never start, so that an
// attempt whose call was lost can be given up with a true "not run". Bounded:
// what it may have forgotten it makes no promise about.
class AttemptLedger
{
public:
  // Whether the attempt may start; from now on it counts as started.
  bool TryStart(const std::string& aKey, MonotonicTime aNow);
  // Whether the attempt has not started and, from now on, never will. aAge is
  // the time since it was sent.
  bool GiveUp(const std::string& aKey,
              std::chrono::milliseconds aAge,
              MonotonicTime aNow);

private:
  struct Entry
  {
    MonotonicTime m_at;
    std::string m_key;
  };

  std::deque<Entry> m_order;
  std::map<std::string, bool> m_attempts; // true: started
  MonotonicTime m_forgottenUntil{};

  bool MakeRoom(MonotonicTime aNow);
};

// What the run service asks of the rest of the agent.
struct RunGates
{
  // Keeps the weights of this digest loaded while the answer lives; null where
  // they don't take requests.
  std::function<std::shared_ptr<void>(const std::string&)> m_useWeights;
  // Bytes of requests and answers on the VM's link, which weights give way to.
  std::function<void(std::uint64_t)> m_noteLiveBytes;
  // The engine has refused weights that it was said to hold.
  std::function<void()> m_onWeightsRefused;
  // The record of requests that run at most once; null where the upstream
  // drops duplicates itself.
  std::shared_ptr<ClaimLog> m_claims;
  // Tells the other processes what was learned of a fingerprint.
  std::function<void(const wire::Suspicion&)> m_spread;
};

// The start of the upstream that an answer names; empty where it names none.
std::string
InstanceOf(const HttpHeaders& aHeaders);

class RunSession;

// Shared by every session; passes requests on, one HTTP call each.
class RunService : public std::enable_shared_from_this<RunService>
{
public:
  RunService(const UpstreamSettings& aUpstream,
             HttpClient& aHttp,
             const Clock& aClock,
             const std::string& aVm,
             std::uint64_t aIncarnation,
             RunGates aGates);

  // An answer of the upstream has come, which may name the upstream's start by
  // the header x-upstream-instance. True when it is another than was known.
  bool NoteInstance(const HttpHeaders& aHeaders);

  // What another process knows of a fingerprint.
  void Merge(const wire::Suspicion& aSuspicion);

  // Answers with events on the sink; refusals carry the verdict.
  void OnRun(const wire::RunRequest& aRequest, std::shared_ptr<RunSink> aSink);

  // Says whether the request was not started, in which case it never will be;
  // one that has started is cancelled at the upstream.
  wire::CancelReply OnCancel(const wire::CancelRequest& aRequest);

  // From now on new requests are refused as "not run"; those in progress end.
  void BeginDrain();
  std::size_t InFlight() const;

private:
  friend class RunSession;

  using Suspicions = std::vector<wire::Suspicion>;

  void Admit(const std::shared_ptr<RunSession>& aSession);
  // The refusal of a request that is suspected of crashing its upstream.
  std::optional<Error> RefusalOf(const wire::RunRequest& aRequest);
  IsolationGate::Entry Enter(const std::shared_ptr<RunSession>& aSession,
                             std::vector<std::shared_ptr<RunSession>>& aOver)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Leave(const std::string& aKey);
  // The upstream has crashed under this session. Every request in flight
  // becomes a suspect; the answer is what the entry has to know.
  Suspicions OnCrash(const RunSession& aSession);
  void OnWhole(const RunSession& aSession);
  Suspicions KnownOf(std::uint64_t aFingerprint);
  std::string Instance() const;

  const UpstreamSettings m_upstream;
  HttpClient& m_http;
  const Clock& m_clock;
  const std::string m_vm;
  const std::uint64_t m_incarnation;
  const RunGates m_gates;
  mutable OrderedMutex m_mutex{ LockLevel::Routing };
  std::map<std::string, std::shared_ptr<RunSession>> m_running
    ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::shared_ptr<RunSession>> m_waiting
    ABSL_GUARDED_BY(m_mutex);
  IsolationGate m_gate ABSL_GUARDED_BY(m_mutex);
  SuspicionTable m_suspicions ABSL_GUARDED_BY(m_mutex);
  // In flight at a crash that another session has reported.
  std::set<std::string> m_crashed ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_crashes ABSL_GUARDED_BY(m_mutex) = 0;
  std::string m_instance ABSL_GUARDED_BY(m_mutex); // last known; may be empty
  AttemptLedger m_attempts ABSL_GUARDED_BY(m_mutex);
  bool m_draining ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

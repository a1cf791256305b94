#pragma once
// Executes requests that entries forward to the upstream of this agent.

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

// Attempts whose start or cancellation is recorded.
inline constexpr std::size_t kMaxTrackedAttempts = 65536;
// Longest time that the call of an attempt can take to arrive. Cancelled
// attempts are recorded for longer than this.
inline constexpr std::chrono::minutes kMaxTransitTime{ 10 };

// Identifies an attempt by request id and attempt number.
std::string
AttemptKey(const std::string& aRequestId, std::uint32_t aAttempt);

// Records which attempts have started and which must never start, so that an
// attempt whose call was lost can be cancelled with a reliable "not run". Of
// bounded size: it gives no guarantee for attempts it may have evicted.
class AttemptLedger
{
public:
  // Returns true and marks the attempt as started unless it has started or been
  // cancelled before.
  bool TryStart(const std::string& aKey, MonotonicTime aNow);
  // Returns true if the attempt has not started and, from now on, cannot start.
  // aAge is the time since it was sent.
  bool TryCancel(const std::string& aKey,
                 std::chrono::milliseconds aAge,
                 MonotonicTime aNow);

private:
  struct Entry
  {
    MonotonicTime m_at;
    std::string m_key;
  };

  std::deque<Entry> m_insertionOrder;
  std::map<std::string, bool> m_attempts; // true: started, false: cancelled
  MonotonicTime m_evictedUntil{};

  bool EnsureCapacity(MonotonicTime aNow);
};

// Callbacks from RunService into the rest of the agent.
struct RunHooks
{
  // Keeps the weights of this digest loaded for the lifetime of the returned
  // object. Returns null if they are not serving.
  std::function<std::shared_ptr<void>(const std::string&)> m_acquireWeights;
  // Records request and response bytes, which have priority over chunks on the
  // VM's link.
  std::function<void(std::uint64_t)> m_recordRequestBytes;
  // The engine rejected weights that should be loaded, or has restarted.
  std::function<void()> m_onWeightsLost;
  // Claims of requests that run at most once. Null if the upstream deduplicates
  // requests itself.
  std::shared_ptr<ClaimLog> m_claims;
  // Sends a changed suspicion to the other processes.
  std::function<void(const wire::Suspicion&)> m_publishSuspicion;
};

// Returns the x-upstream-instance header, which identifies the start of the
// upstream; empty if absent.
std::string
UpstreamInstance(const HttpHeaders& aHeaders);

class RunSession;

// Forwards requests to the upstream, one HTTP call each. Shared by all
// sessions.
class RunService : public std::enable_shared_from_this<RunService>
{
public:
  RunService(const UpstreamSettings& aUpstream,
             HttpClient& aHttp,
             const Clock& aClock,
             const std::string& aVm,
             std::uint64_t aIncarnation,
             RunHooks aHooks);

  // Records the upstream instance named in a response, if any. Returns true if
  // it differs from the instance known before.
  bool RecordInstance(const HttpHeaders& aHeaders);

  // Merges a suspicion received from another process.
  void Merge(const wire::Suspicion& aSuspicion);

  // Executes the request and sends its events to aSink. Refusals carry a
  // verdict.
  void OnRun(const wire::RunRequest& aRequest, std::shared_ptr<RunSink> aSink);

  // Cancels an attempt at the upstream if it is running. The reply says whether
  // it had not started, in which case it never will.
  wire::CancelReply OnCancel(const wire::CancelRequest& aRequest);

  // Refuses new requests as "not run"; requests in progress finish.
  void BeginDrain();
  std::size_t InFlight() const;

private:
  friend class RunSession;

  using Suspicions = std::vector<wire::Suspicion>;

  void Admit(const std::shared_ptr<RunSession>& aSession);
  // Returns an error if the request is suspect or quarantined and may not run
  // now.
  std::optional<Error> CheckQuarantine(const wire::RunRequest& aRequest);
  IsolationGate::Entry EnterGate(
    const std::shared_ptr<RunSession>& aSession,
    std::vector<std::shared_ptr<RunSession>>& aExpired)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RemoveSession(const std::string& aKey);
  // Records an upstream crash during this session and marks every request in
  // flight as suspect. Returns the suspicions to report to the entry.
  Suspicions OnCrash(const RunSession& aSession);
  void OnRunCompleted(const RunSession& aSession);
  Suspicions SuspicionsOf(std::uint64_t aFingerprint);
  std::string Instance() const;

  const UpstreamSettings m_upstream;
  HttpClient& m_http;
  const Clock& m_clock;
  const std::string m_vm;
  const std::uint64_t m_incarnation;
  const RunHooks m_hooks;
  mutable OrderedMutex m_mutex{ LockLevel::Routing };
  std::map<std::string, std::shared_ptr<RunSession>> m_running
    ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::shared_ptr<RunSession>> m_waiting
    ABSL_GUARDED_BY(m_mutex);
  IsolationGate m_gate ABSL_GUARDED_BY(m_mutex);
  SuspicionTable m_suspicions ABSL_GUARDED_BY(m_mutex);
  // Keys of other sessions that were in flight at an already reported crash.
  std::set<std::string> m_reportedCrashes ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_crashCount ABSL_GUARDED_BY(m_mutex) = 0;
  std::string m_instance ABSL_GUARDED_BY(m_mutex); // last known; may be empty
  AttemptLedger m_attempts ABSL_GUARDED_BY(m_mutex);
  bool m_draining ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

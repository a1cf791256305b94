#pragma once
// Selects the runner for a request, and ranks the entries advertised to
// callers. Does no I/O; callers hold the Routing lock and pass the time.

#include "siskindeal/clock.h"
#include "siskindeal/random.h"
#include "siskindeal/registry.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskindeal {

// State of a runner as reported by its agent.
struct RunnerReport
{
  std::string m_vm;
  std::string m_place;
  std::uint32_t m_slots = 16; // maximum concurrent requests
  bool m_hasLoad = false;     // the service reports its load
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::chrono::milliseconds m_age{ 0 }; // time since the load was measured
  bool m_acceptsRequests = true;        // accepts requests
  std::vector<std::string> m_classes;   // classes of work that it serves
};

// A runner as seen by a routing policy.
struct Candidate
{
  std::string m_vm;
  std::string m_place;
  std::vector<std::string> m_classes;
  std::uint32_t m_slots = 16;
  std::uint32_t m_inFlight = 0; // requests in flight from this entry
  double m_load = 0;            // estimated requests from all entries
  bool m_acceptsRequests = true;
  bool m_ejected = false;
};

struct RoutingRequest
{
  std::string m_place;              // place of this entry
  std::string m_class;              // class of work; empty for plain services
  std::uint64_t m_prefixHash = 0;   // hash of the prompt's first message, or 0
  std::vector<std::string> m_tried; // VMs already tried; excluded
};

// Returns whether aCandidate may serve aRequest; ignores ejection.
bool
IsEligible(const Candidate& aCandidate, const RoutingRequest& aRequest);

// Tracks which runners are likely to have a prompt prefix cached. Updated by
// sent requests and by cache events, which may be late or lost. A wrong record
// costs only a cache miss. Bounded; the oldest prefixes are evicted first.
class PrefixTable
{
public:
  explicit PrefixTable(std::size_t aMaxPrefixes = kMaxPrefixes);

  // Records that a request with this prefix was sent to aVm.
  void OnRequestSent(std::uint64_t aPrefix,
                     const std::string& aVm,
                     MonotonicTime aNow);
  // Applies a cache event of aVm. Duplicate and out-of-order events are
  // ignored. After a gap in the sequence, earlier records of the VM are
  // unconfirmed.
  void OnCacheEvent(const std::string& aVm,
                    std::uint64_t aSequence,
                    std::uint64_t aPrefix,
                    bool aEvicted,
                    MonotonicTime aNow);
  // Removes all records of a VM whose cache is lost: it restarted or left.
  void RemoveVm(const std::string& aVm);

  struct Holder
  {
    std::string m_vm;
    MonotonicTime m_lastSeen;
    bool m_unconfirmed = false; // an eviction event may have been lost
  };
  // Returns the holders of a prefix, unconfirmed ones last.
  std::vector<Holder> Holders(std::uint64_t aPrefix, MonotonicTime aNow) const;

  std::size_t Size() const { return m_prefixes.size(); }

  static constexpr std::size_t kMaxPrefixes = 65536;
  static constexpr std::size_t kMaxHolders = 4;
  static constexpr std::chrono::minutes kHolderTtl{ 10 };
  // An eviction event received within this time of a request may predate it.
  static constexpr std::chrono::milliseconds kMaxEventLag{ 2000 };

private:
  struct VmState
  {
    std::uint64_t m_lastSequence = 0;
    MonotonicTime m_lastGap;
  };
  void RecordHolder(std::uint64_t aPrefix,
                    const std::string& aVm,
                    MonotonicTime aNow);

  std::size_t m_maxPrefixes;
  std::unordered_map<std::uint64_t, std::vector<Holder>> m_prefixes;
  std::deque<std::uint64_t> m_insertionOrder; // oldest first, for eviction
  std::unordered_map<std::string, VmState> m_vms;
};

// Selects a runner among candidates. Stateless. Implementations are registered
// as "random", "two_choices" and "prefix_two_choices".
class RoutingPolicy
{
public:
  virtual ~RoutingPolicy() = default;
  // Returns the index of the selected candidate, or nullopt if none is usable.
  virtual std::optional<std::size_t> Choose(
    const std::vector<Candidate>& aCandidates,
    const RoutingRequest& aRequest,
    const PrefixTable& aPrefixes,
    MonotonicTime aNow,
    Random& aRandom) const = 0;
};

// Token bucket that limits retries to a fraction of the requests, so that
// retries do not multiply the load on a failing service.
class RetryBudget
{
public:
  explicit RetryBudget(double aRetriesPerRequest)
    : m_tokensPerRequest(aRetriesPerRequest)
  {
  }
  // Adds the tokens that one request earns.
  void Request();
  // Takes a token for one retry; returns false if the budget is exhausted.
  bool TryTake();

  static constexpr double kMaxTokens = 20;

private:
  double m_tokensPerRequest;
  double m_tokens = kMaxTokens / 2;
};

// Ejects a runner for a limited time after consecutive failures, then admits
// one trial request. Ejects at most half of a service's runners, hence never
// the only one.
class OutlierEjector
{
public:
  void RecordSuccess(const std::string& aVm);
  // aRunnerCount is the number of runners the service has now.
  void RecordFailure(const std::string& aVm,
                     std::size_t aRunnerCount,
                     MonotonicTime aNow);
  // Returns whether the VM is ejected now. False once the ejection time has
  // passed, until OnSelected starts a trial; then true until the trial ends.
  bool IsEjected(const std::string& aVm, MonotonicTime aNow) const;
  // Called when the VM is selected; starts a trial if its ejection time has
  // passed.
  void OnSelected(const std::string& aVm, MonotonicTime aNow);
  void RemoveVm(const std::string& aVm);
  std::size_t EjectedCount(MonotonicTime aNow) const;

  static constexpr std::uint32_t kConsecutiveFailures = 3;
  static constexpr std::chrono::milliseconds kBaseEjectionTime{ 1000 };
  static constexpr std::chrono::milliseconds kMaxEjectionTime{ 30000 };

private:
  struct State
  {
    std::uint32_t m_failures = 0;
    std::uint32_t m_ejections = 0;
    bool m_ejected = false;
    MonotonicTime m_ejectedUntil;
    MonotonicTime m_trialUntil;
  };
  std::unordered_map<std::string, State> m_states;
};

// Outcome of a request that was sent to a runner.
enum class RunnerOutcome
{
  Answered,  // complete response, whatever its status
  Busy,      // refused because of load; not counted as a failure
  Failed,    // connection refused or lost, or timeout
  Abandoned, // abandoned by the caller or this entry; not a runner failure
};

// Tracks the runners of one service and selects one per request. Load reports
// lag, so a runner's load is estimated as its last report plus the requests
// sent and minus the requests ended since that report was measured.
class Router
{
public:
  Router(std::unique_ptr<RoutingPolicy> aPolicy,
         double aRetriesPerRequest,
         std::uint64_t aSeed);

  // Adds or updates a runner. A load older than the recorded one is ignored.
  void UpdateRunner(const RunnerReport& aReport, MonotonicTime aNow);
  // Sets the number of entries that send to these runners, including this one.
  // After a runner's report, each is assumed to have sent as much as this one.
  void SetEntries(std::uint32_t aEntryCount);
  // Removes the runners that are not in aVms.
  void Retain(const std::vector<std::string>& aVms);

  // Returns the VM to send to, or nullopt if no runner is eligible. Ejected
  // runners are selected only if no other is eligible.
  std::optional<std::string> Choose(const RoutingRequest& aRequest,
                                    MonotonicTime aNow);
  // Each OnRequestSent must be followed by exactly one OnRequestEnded.
  void OnRequestSent(const std::string& aVm,
                     std::uint64_t aPrefixHash,
                     MonotonicTime aNow);
  void OnRequestEnded(const std::string& aVm,
                      RunnerOutcome aOutcome,
                      MonotonicTime aNow);

  PrefixTable& Prefixes() { return m_prefixes; }
  RetryBudget& Retries() { return m_retries; }
  const std::vector<Candidate>& Candidates() const { return m_candidates; }
  // Returns the total slots of the runners that take work.
  std::uint32_t Slots() const;
  // Returns the runner that every entry uses for this suspect request, so that
  // it cannot run on several runners concurrently.
  std::optional<std::string> IsolationRunner(
    std::uint64_t aFingerprint,
    const RoutingRequest& aRequest) const;

private:
  struct InFlightChange
  {
    MonotonicTime m_at;
    int m_delta = 0; // +1 sent, -1 ended
  };
  struct ReportedLoad
  {
    bool m_hasReport = false;
    MonotonicTime m_measuredAt;
    double m_requests = 0;
    std::deque<InFlightChange> m_changes; // since m_measuredAt
    int m_netChange = 0;                  // sum of m_changes
  };
  void RefreshLoad(std::size_t aIndex);
  void MarkEjected(MonotonicTime aNow);
  void RecordChange(std::size_t aIndex, int aDelta, MonotonicTime aNow);
  std::size_t FindIndex(const std::string& aVm) const;

  std::unique_ptr<RoutingPolicy> m_policy;
  std::vector<Candidate> m_candidates;
  std::vector<ReportedLoad> m_reportedLoads; // parallel to m_candidates
  std::unordered_map<std::string, std::size_t> m_index;
  PrefixTable m_prefixes;
  RetryBudget m_retries;
  OutlierEjector m_ejector;
  bool m_anyEjected = false; // a candidate is marked as ejected
  std::uint32_t m_entryCount = 1;
  Random m_random;
};

// An entry as known to this process.
struct EntryView
{
  std::string m_vm;
  std::string m_place;
  std::string m_httpAddress;
  bool m_leaving = false;
  bool m_reachable = true;
  std::uint32_t m_load = 0; // requests in flight
};

// Returns the entries to advertise to a caller, best first: entries of its
// place before others, in a random order that favours lower load. Leaving
// entries are omitted. Unreachable entries come last, as a caller may still
// reach them.
std::vector<EntryView>
RankEntries(const std::vector<EntryView>& aEntries,
            const std::string& aPlace,
            std::size_t aMaxEntries,
            Random& aRandom);

} // namespace siskindeal

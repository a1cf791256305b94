#pragma once
// Choosing the runner that a request goes to, and the entries that callers are
// told to use. Decisions only: callers hold the Routing lock and give the time.

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

// What an agent says of its runner, as it reached this entry.
struct RunnerReport
{
  std::string m_vm;
  std::string m_place;
  std::uint32_t m_slots = 16; // requests it runs at once
  bool m_hasLoad = false;     // the service reports its load
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::chrono::milliseconds m_age{ 0 }; // since the load was measured
  bool m_takesWork = true;              // alive and not leaving
  std::vector<std::string> m_classes;   // of work, whose weights it serves
};

// A runner that a policy may choose.
struct Candidate
{
  std::string m_vm;
  std::string m_place;
  std::vector<std::string> m_classes;
  std::uint32_t m_slots = 16;
  std::uint32_t m_inFlight = 0; // sent by this entry and not ended
  double m_load = 0;            // requests there, as estimated now
  bool m_takesWork = true;
  bool m_ejected = false;
};

struct RoutingRequest
{
  std::string m_place;            // of this entry
  std::string m_class;            // of work; empty for plain services
  std::uint64_t m_prefixHash = 0; // of the prompt's first message; 0: none
  std::vector<std::string> m_tried;
};

// Whether aCandidate may take aRequest, ejection aside.
bool
IsEligible(const Candidate& aCandidate, const RoutingRequest& aRequest);

// Which runners probably hold a prompt's prefix in their cache. Fed by cache
// events, which come late and with gaps, and by what was sent: a wrong entry
// costs a cache miss and nothing else. Bounded; the oldest are dropped.
class PrefixTable
{
public:
  explicit PrefixTable(std::size_t aMost = kMostPrefixes);

  // aVm was sent a request with this prefix.
  void Sent(std::uint64_t aPrefix, const std::string& aVm, MonotonicTime aNow);
  // A cache event of aVm. Repeated and overtaken events are ignored; a gap
  // makes what was known of the VM before it doubtful.
  void Event(const std::string& aVm,
             std::uint64_t aSequence,
             std::uint64_t aPrefix,
             bool aEvicted,
             MonotonicTime aNow);
  // aVm was restarted or is gone: its cache is empty.
  void Forget(const std::string& aVm);

  struct Holder
  {
    std::string m_vm;
    MonotonicTime m_seen;
    bool m_doubtful = false;
  };
  // The holders of a prefix, those in doubt last.
  std::vector<Holder> Holders(std::uint64_t aPrefix, MonotonicTime aNow) const;

  std::size_t Size() const { return m_prefixes.size(); }

  static constexpr std::size_t kMostPrefixes = 65536;
  static constexpr std::size_t kMostHolders = 4;
  static constexpr std::chrono::minutes kLifetime{ 10 };
  // An eviction that arrives this soon after a send may be older than it.
  static constexpr std::chrono::milliseconds kEventLag{ 2000 };

private:
  struct VmState
  {
    std::uint64_t m_sequence = 0;
    MonotonicTime m_gapAt;
  };
  void Note(std::uint64_t aPrefix, const std::string& aVm, MonotonicTime aNow);

  std::size_t m_most;
  std::unordered_map<std::uint64_t, std::vector<Holder>> m_prefixes;
  std::deque<std::uint64_t> m_order; // by first use, for dropping
  std::unordered_map<std::string, VmState> m_vms;
};

// How a runner is chosen. Stateless; registered under "random", "two_choices"
// and "prefix_two_choices".
class RoutingPolicy
{
public:
  virtual ~RoutingPolicy() = default;
  // The index of the candidate to send to; nothing when none may take it.
  virtual std::optional<std::size_t> Choose(
    const std::vector<Candidate>& aCandidates,
    const RoutingRequest& aRequest,
    const PrefixTable& aPrefixes,
    MonotonicTime aNow,
    Random& aRandom) const = 0;
};

// Lets a failing service be retried, but never multiplies its load: each
// request earns a fraction of a retry.
class RetryBudget
{
public:
  explicit RetryBudget(double aRetriesPerRequest)
    : m_earn(aRetriesPerRequest)
  {
  }
  void Request();
  // Takes one retry; false when the budget is spent.
  bool Take();

  static constexpr double kMost = 20;

private:
  double m_earn;
  double m_tokens = kMost / 2;
};

// Takes a runner out of the choice for a while after consecutive failures, and
// lets one request try it afterwards. Never takes out more than half of a
// service's runners, and so never the only one.
class OutlierEjector
{
public:
  void Succeeded(const std::string& aVm);
  // aVms is how many runners the service has now.
  void Failed(const std::string& aVm, std::size_t aVms, MonotonicTime aNow);
  // Whether the VM is out now. When its time is over one caller gets false and
  // is the trial; the others get true until the trial has ended.
  bool IsEjected(const std::string& aVm, MonotonicTime aNow) const;
  // The VM was chosen: starts the trial where one is due.
  void Chosen(const std::string& aVm, MonotonicTime aNow);
  void Forget(const std::string& aVm);
  std::size_t Ejected(MonotonicTime aNow) const;

  static constexpr std::uint32_t kFailures = 3;
  static constexpr std::chrono::milliseconds kFirst{ 1000 };
  static constexpr std::chrono::milliseconds kLongest{ 30000 };

private:
  struct State
  {
    std::uint32_t m_failures = 0;
    std::uint32_t m_ejections = 0;
    bool m_out = false;
    MonotonicTime m_until;
    MonotonicTime m_trialUntil;
  };
  std::unordered_map<std::string, State> m_states;
};

// What became of a request that was sent to a runner.
enum class RunnerOutcome
{
  Answered, // whole, whatever its status
  Busy,     // refused for load: no fault of the runner
  Failed,   // refused to connect, broke off, timed out
  GivenUp,  // cancelled by the caller; says nothing of the runner
};

// All that an entry knows of one service's runners. Reports lag, so a runner's
// load is its last report plus what this entry has sent since it was measured,
// less what has ended since.
class Router
{
public:
  Router(std::unique_ptr<RoutingPolicy> aPolicy,
         double aRetriesPerRequest,
         std::uint64_t aSeed);

  // A report older than the one held changes no load.
  void Report(const RunnerReport& aReport, MonotonicTime aNow);
  // How many entries send to these runners, this one included. What the others
  // have sent since a report is taken to be as much as this one has.
  void SetEntries(std::uint32_t aEntries);
  // Drops the runners that aVms doesn't name.
  void Retain(const std::vector<std::string>& aVms);

  // The VM to send to; nothing when no runner may take the request. Ejected
  // runners are chosen only when there is no other.
  std::optional<std::string> Choose(const RoutingRequest& aRequest,
                                    MonotonicTime aNow);
  // Each Sent is followed by one Ended.
  void Sent(const std::string& aVm,
            std::uint64_t aPrefixHash,
            MonotonicTime aNow);
  void Ended(const std::string& aVm,
             RunnerOutcome aOutcome,
             MonotonicTime aNow);

  PrefixTable& Prefixes() { return m_prefixes; }
  RetryBudget& Retries() { return m_retries; }
  const std::vector<Candidate>& Candidates() const { return m_candidates; }
  // Slots of the runners that take work.
  std::uint32_t Slots() const;
  // The one runner on which every entry tries this suspected request, so that
  // its trials don't run beside each other.
  std::optional<std::string> TrialRunner(std::uint64_t aFingerprint,
                                         const RoutingRequest& aRequest) const;

private:
  struct Change
  {
    MonotonicTime m_at;
    int m_delta = 0; // +1 sent, -1 ended
  };
  struct Reported
  {
    bool m_known = false;
    MonotonicTime m_measured;
    double m_requests = 0;
    std::deque<Change> m_changes; // since it was measured
    int m_delta = 0;              // sum of m_changes
  };
  void Refresh(std::size_t aIndex);
  void MarkEjected(MonotonicTime aNow);
  void Record(std::size_t aIndex, int aDelta, MonotonicTime aNow);
  std::size_t Find(const std::string& aVm) const;

  std::unique_ptr<RoutingPolicy> m_policy;
  std::vector<Candidate> m_candidates;
  std::vector<Reported> m_reported; // beside m_candidates
  std::unordered_map<std::string, std::size_t> m_index;
  PrefixTable m_prefixes;
  RetryBudget m_retries;
  OutlierEjector m_ejector;
  bool m_marked = false; // some candidate is marked as ejected
  std::uint32_t m_entries = 1;
  Random m_random;
};

// An entry as this process knows it.
struct EntryView
{
  std::string m_vm;
  std::string m_place;
  std::string m_httpAddress;
  bool m_leaving = false;
  bool m_reachable = true;
  std::uint32_t m_load = 0; // requests in flight
};

// The entries a caller is told to use, best first: those of its place before
// others, the less loaded more often first. Never names a leaving entry; names
// unreachable ones last, since they may serve all the same.
std::vector<EntryView>
RankEntries(const std::vector<EntryView>& aEntries,
            const std::string& aPlace,
            std::size_t aMost,
            Random& aRandom);

} // namespace siskindeal

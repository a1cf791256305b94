#pragma once
// Detects requests that crash their upstream. A request in flight at a crash
// becomes a suspect by its fingerprint, runs in isolation when it is sent
// again, and is quarantined fleet-wide if it causes another crash. Does no I/O;
// the caller passes the time.

#include "siskindeal/clock.h"
#include "siskindeal/rpc.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace siskindeal {

// Returns a stable hash of the request. A retry of a request has the same
// fingerprint. aScope names what the path is relative to, such as a class of
// work, a service or a host, and the team where requests of teams differ.
std::uint64_t
FingerprintOf(const std::string& aScope,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody);

enum class SuspicionState
{
  None,
  Suspect,     // runs only in isolation on its upstream
  Quarantined, // refused as "not run" until an operator releases it
};

struct SuspicionListing
{
  std::uint64_t m_fingerprint = 0;
  std::string m_classOfWork;
  SuspicionState m_state = SuspicionState::None;
  std::uint32_t m_crashes = 0;
  std::uint32_t m_attributed = 0; // of these, to other, quarantined requests
};

// Which requests a process knows to have been in flight at a crash.
enum class CrashView
{
  Complete, // all of them, and suspects run in isolation
  Partial,  // its own; others sent requests to the same upstream
};

// The suspicions known to a process. Agents record the crashes of their
// upstreams, and every process merges the suspicions of the others, in any
// order and possibly more than once. The table is bounded: when it is full, the
// least recently changed suspects are evicted, before any quarantined ones.
class SuspicionTable
{
public:
  struct InFlight
  {
    std::uint64_t m_fingerprint = 0;
    std::string m_classOfWork;
  };

  explicit SuspicionTable(CrashView aView = CrashView::Complete)
    : m_view(aView)
  {
  }

  SuspicionState StateOf(std::uint64_t aFingerprint) const;

  // Records an upstream crash. aCrash identifies the crash uniquely in the
  // fleet. Each request in flight becomes a suspect; a suspect that was the
  // only request in flight is quarantined, if the view is complete. Returns the
  // changed suspicions.
  std::vector<wire::Suspicion> RecordCrash(
    const std::string& aCrash,
    const std::vector<InFlight>& aInFlight,
    MonotonicTime aNow);
  // Records that a request ran to completion. A suspect that ran in isolation
  // is cleared. Returns the changed suspicions.
  std::vector<wire::Suspicion> RecordCompletion(std::uint64_t aFingerprint,
                                                bool aIsolated,
                                                MonotonicTime aNow);
  // Quarantines a request that crashed an upstream when it was tried, as if it
  // had been the only one in flight.
  void Confirm(std::uint64_t aFingerprint);
  // Whether the quarantine doesn't only follow from crashes that the request
  // may have shared with others.
  bool IsConfirmed(std::uint64_t aFingerprint) const;
  // Merges a suspicion of another process. Returns whether it changed the
  // table.
  bool Merge(const wire::Suspicion& aSuspicion);
  // Applies an operator's release. Returns false if the fingerprint is neither
  // suspected nor quarantined.
  bool Release(std::uint64_t aFingerprint);

  // Returns nullopt for a fingerprint that isn't in the table.
  std::optional<wire::Suspicion> Find(std::uint64_t aFingerprint) const;
  // Returns nullopt for a fingerprint with no recorded crash.
  std::optional<SuspicionListing> ListingOf(std::uint64_t aFingerprint) const;

  std::vector<SuspicionListing> List() const;
  // Returns the suspicions that changed after sequence number aNumber.
  std::vector<wire::Suspicion> ChangedSince(std::uint64_t aNumber) const;
  // The sequence number of the last change.
  std::uint64_t Number() const { return m_sequence; }
  std::vector<wire::Suspicion> All() const { return ChangedSince(0); }

  static constexpr std::size_t kMaxSuspicions = 4096;
  static constexpr std::size_t kMaxCrashes = 8; // recorded per fingerprint
  static constexpr std::size_t kMaxSucceeded = 16384;

private:
  struct State
  {
    std::string m_classOfWork;
    std::set<std::string> m_crashes;
    bool m_quarantined = false;   // the only one in flight at its second crash
    std::uint64_t m_release = 0;  // incremented by each operator release
    std::uint64_t m_version = 0;  // incremented when the suspicion is cleared
    std::uint64_t m_sequence = 0; // of the last change in this process
  };

  using States = std::unordered_map<std::uint64_t, State>;
  wire::Suspicion ToWire(std::uint64_t aFingerprint, const State& aState) const;
  SuspicionListing ToListing(std::uint64_t aFingerprint,
                             const State& aState) const;
  using ByCrash = std::unordered_map<std::string, std::vector<std::uint64_t>>;
  // Recomputes m_attributedCrashes and m_inferredQuarantines.
  void RecomputeDerivedState();
  std::size_t CountUnattributed(const State& aState) const;
  // Whether no other fingerprint shares two unattributed crashes with this one.
  static bool IsSoleSuspect(std::uint64_t aFingerprint,
                            const State& aState,
                            const ByCrash& aByCrash);
  bool IsInferredQuarantine(std::uint64_t aFingerprint,
                            const State& aState,
                            const ByCrash& aByCrash) const;
  void MarkChanged(State& aState);
  // Lower ranks are evicted first.
  std::pair<bool, std::uint64_t> EvictionRank(
    const States::value_type& aEntry) const;
  void EvictOldest();

  CrashView m_view;
  States m_states;
  // Crashes of quarantined fingerprints. Other requests in flight at them are
  // not suspected.
  std::unordered_set<std::string> m_attributedCrashes;
  // Quarantined by inference: two or more unattributed crashes, at most one of
  // them shared with any one other fingerprint, and no recorded completion.
  // With a partial view also any fingerprint that has kCrashesToQuarantine.
  std::unordered_set<std::uint64_t> m_inferredQuarantines;
  std::unordered_set<std::uint64_t> m_succeeded;
  std::deque<std::uint64_t> m_succeededOrder;
  std::uint64_t m_sequence = 0;
};

// Admits requests to one upstream so that a suspect runs in isolation. While a
// suspect runs, or waits for the requests in flight to finish, other suspects
// wait too; all other requests are refused and can be sent to another runner.
class IsolationGate
{
public:
  enum class Entry
  {
    Start,
    Wait, // started by a later Finish, or expired by Tick
    Busy, // refuse as "not run"
  };

  Entry Arrive(const std::string& aId, bool aIsolated, MonotonicTime aNow);
  // Removes a request that was started or waiting. Returns the waiting request
  // to start next, if any.
  std::optional<std::string> Finish(const std::string& aId);
  // Removes and returns the requests that have waited for kMaxWait. They are to
  // be refused as "not run".
  std::vector<std::string> Tick(MonotonicTime aNow);
  std::size_t Running() const { return m_running.size(); }

  static constexpr std::chrono::milliseconds kMaxWait{ 5000 };
  static constexpr std::size_t kMaxWaiting = 16;

private:
  struct Waiter
  {
    std::string m_id;
    MonotonicTime m_since;
  };
  std::unordered_set<std::string> m_running;
  std::deque<Waiter> m_waiting;
  bool m_isolated = false; // the running request is a suspect
};

} // namespace siskindeal

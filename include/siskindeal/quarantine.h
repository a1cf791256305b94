#pragma once
// Requests that crash their upstream: suspected by fingerprint, tried alone,
// quarantined over the whole fleet. Decisions only.

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
#include <vector>

namespace siskindeal {

// The fingerprint of a request: equal for a request that is sent again.
std::uint64_t
FingerprintOf(const std::string& aClassOrService,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody);

enum class SuspicionState
{
  None,
  Suspect,     // runs only alone on its upstream
  Quarantined, // refused as "not run" until an operator releases it
};

struct SuspicionListing
{
  std::uint64_t m_fingerprint = 0;
  std::string m_classOfWork;
  SuspicionState m_state = SuspicionState::None;
  std::uint32_t m_crashes = 0;
};

// The suspicions that a process knows. Agents record the crashes of their
// upstream; every process merges what the others know, in any order and any
// number of times. Bounded: the oldest suspects are dropped, quarantined ones
// are kept.
class SuspicionTable
{
public:
  struct InFlight
  {
    std::uint64_t m_fingerprint = 0;
    std::string m_classOfWork;
  };

  SuspicionState StateOf(std::uint64_t aFingerprint) const;

  // The upstream has crashed; aCrash names the crash uniquely over the fleet.
  // Each request in flight becomes a suspect; one that was alone there and was
  // a suspect before is quarantined. Returns what has changed.
  std::vector<wire::Suspicion> Crashed(const std::string& aCrash,
                                       const std::vector<InFlight>& aInFlight,
                                       MonotonicTime aNow);
  // The request ran whole. One that was suspected and ran alone is cleared.
  std::vector<wire::Suspicion> RanWhole(std::uint64_t aFingerprint,
                                        bool aAlone,
                                        MonotonicTime aNow);
  // What another process knows; true when it changed anything here.
  bool Merge(const wire::Suspicion& aSuspicion);
  // An operator's release; false when it isn't quarantined or suspected.
  bool Release(std::uint64_t aFingerprint);

  // What is known of a fingerprint; nothing when it was never suspected.
  std::optional<wire::Suspicion> Find(std::uint64_t aFingerprint) const;

  std::vector<SuspicionListing> List() const;
  // What has changed after aNumber, for relaying; Number is to be given next.
  std::vector<wire::Suspicion> ChangedAfter(std::uint64_t aNumber) const;
  std::uint64_t Number() const { return m_number; }
  // Every suspicion, for a peer that knows none.
  std::vector<wire::Suspicion> All() const { return ChangedAfter(0); }

  static constexpr std::size_t kMost = 4096;
  static constexpr std::size_t kMostCrashes = 8; // remembered a fingerprint
  static constexpr std::size_t kMostSucceeded = 16384;

private:
  struct State
  {
    std::string m_classOfWork;
    std::set<std::string> m_crashes;
    bool m_quarantined = false;  // a suspect that crashed its upstream alone
    std::uint64_t m_release = 0; // grows with each operator's release
    std::uint64_t m_version = 0; // grows with each clearing
    std::uint64_t m_number = 0;  // of this process's last change
  };

  wire::Suspicion ToWire(std::uint64_t aFingerprint, const State& aState) const;
  using ByCrash = std::unordered_map<std::string, std::vector<std::uint64_t>>;
  // Works out m_explained and m_inferred.
  void Derive();
  std::size_t Unexplained(const State& aState) const;
  // Whether no other fingerprint was in flight at two of the same crashes.
  static bool IsSoleSuspect(std::uint64_t aFingerprint,
                            const State& aState,
                            const ByCrash& aByCrash);
  void Changed(State& aState);
  void DropOldest();

  std::unordered_map<std::uint64_t, State> m_states;
  // Crashes of a quarantined fingerprint: nothing else is suspected for them.
  std::unordered_set<std::string> m_explained;
  // Quarantined as the only one in flight at two unexplained crashes.
  std::unordered_set<std::uint64_t> m_inferred;
  std::unordered_set<std::uint64_t> m_succeeded;
  std::deque<std::uint64_t> m_succeededOrder;
  std::uint64_t m_number = 0;
};

// Lets a suspect run alone on one upstream. While one waits for the upstream to
// fall idle new requests are turned away, to be sent to another runner.
class IsolationGate
{
public:
  enum class Entry
  {
    Start,
    Wait, // started by a later Finish, or given up by Tick
    Busy, // turn away as "not run"
  };

  Entry Arrive(const std::string& aId, bool aIsolated, MonotonicTime aNow);
  // A request that was started or waited is over. Returns one to start.
  std::optional<std::string> Finish(const std::string& aId);
  // Those that have waited too long, to be refused as "not run".
  std::vector<std::string> Tick(MonotonicTime aNow);
  std::size_t Running() const { return m_running.size(); }

  static constexpr std::chrono::milliseconds kLongestWait{ 5000 };
  static constexpr std::size_t kMostWaiting = 16;

private:
  struct Waiter
  {
    std::string m_id;
    MonotonicTime m_since;
  };
  std::unordered_set<std::string> m_running;
  std::deque<Waiter> m_waiting;
  bool m_isolated = false; // what runs is a suspect
};

} // namespace siskindeal

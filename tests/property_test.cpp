// Properties of the decision code over generated inputs.

#include "agent/run_p.h"
#include "entry/stream_resume_p.h"
#include "siskindeal/quarantine.h"
#include "support/property.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace siskindeal {
namespace {

constexpr std::uint64_t kSeed = 20261203;

std::vector<wire::Suspicion>
AnySuspicions()
{
  // More crashes than a table keeps would make the order matter.
  const auto count =
    *rc::gen::inRange<std::size_t>(1, SuspicionTable::kMostCrashes);
  std::vector<wire::Suspicion> suspicions(count);
  for (auto& suspicion : suspicions) {
    suspicion.set_fingerprint(*rc::gen::inRange<std::uint64_t>(1, 4));
    suspicion.set_release(*rc::gen::inRange<std::uint64_t>(0, 3));
    suspicion.set_version(*rc::gen::inRange<std::uint64_t>(0, 3));
    suspicion.set_quarantined(*rc::gen::inRange(0, 8) == 0);
    suspicion.add_crash_ids("crash-" + std::to_string(*rc::gen::inRange(0, 5)));
  }
  return suspicions;
}

// Suspicions by order of fingerprint, as text.
std::vector<std::string>
Known(const SuspicionTable& aTable)
{
  std::vector<std::string> known;
  for (const auto& suspicion : aTable.All()) {
    known.push_back(suspicion.ShortDebugString() + " state " +
                    std::to_string(static_cast<int>(
                      aTable.StateOf(suspicion.fingerprint()))));
  }
  std::sort(known.begin(), known.end());
  return known;
}

TEST(Property, SuspicionsMergeToTheSameInAnyOrderAndNumber)
{
  constexpr int kCases = 5000;
  CheckProperty(kSeed, kCases, [] {
    const auto suspicions = AnySuspicions();
    SuspicionTable one;
    SuspicionTable other;
    for (const auto& suspicion : suspicions) {
      one.Merge(suspicion);
    }
    const auto again = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, suspicions.size()));
    for (const auto index : again) {
      other.Merge(suspicions[index]);
    }
    for (auto last = suspicions.rbegin(); last != suspicions.rend(); ++last) {
      other.Merge(*last);
    }
    RC_ASSERT(Known(one) == Known(other));
    for (const auto& suspicion : one.All()) {
      RC_ASSERT(!other.Merge(suspicion));
    }
  });
}

TEST(Property, AStreamIsTheSameHoweverItsBytesArrive)
{
  constexpr int kCases = 5000;
  CheckProperty(kSeed, kCases, [] {
    const auto ends = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("\n\n", "\r\n\r\n", "\n\r\n", "\n"));
    std::string bytes;
    for (std::size_t i = 0; i < ends.size(); ++i) {
      bytes += "data: " + std::to_string(i) + ends[i];
    }
    StreamResume whole;
    RC_ASSERT(whole.Begin("A", std::nullopt));
    const auto expected = whole.Take(bytes);
    RC_ASSERT(bytes.starts_with(expected));

    StreamResume pieces;
    RC_ASSERT(pieces.Begin("A", std::nullopt));
    std::string got;
    for (std::string_view rest = bytes; !rest.empty();) {
      const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      got += pieces.Take(rest.substr(0, size));
      rest.remove_prefix(size);
    }
    RC_ASSERT(got == expected);
    RC_ASSERT(pieces.Events() == whole.Events());
  });
}

// Calls that start attempts or give them up, in any order and any number.
TEST(Property, AnAttemptIsStartedOrGivenUpAndNeverBoth)
{
  constexpr int kCases = 5000;
  struct Fate
  {
    int m_started = 0;
    bool m_givenUp = false;
  };
  CheckProperty(kSeed, kCases, [] {
    const auto calls = *rc::gen::container<std::vector<std::pair<int, bool>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::arbitrary<bool>()));
    AttemptLedger ledger;
    std::map<int, Fate> fates;
    MonotonicTime now{ std::chrono::hours(1) };
    for (const auto& [attempt, start] : calls) {
      now += std::chrono::milliseconds(1);
      const auto key = AttemptKey("r", static_cast<std::uint32_t>(attempt));
      auto& fate = fates[attempt];
      if (start) {
        fate.m_started += ledger.TryStart(key, now) ? 1 : 0;
      } else {
        fate.m_givenUp |= ledger.GiveUp(key, std::chrono::milliseconds(1), now);
      }
      RC_ASSERT(fate.m_started <= 1);
      RC_ASSERT(fate.m_started == 1 || fate.m_givenUp);
      RC_ASSERT(fate.m_started == 0 || !fate.m_givenUp);
    }
  });
}

// What isolates a suspect: it never runs beside another request.
TEST(Property, AnIsolatedRequestRunsAlone)
{
  constexpr int kCases = 5000;
  CheckProperty(kSeed, kCases, [] {
    IsolationGate gate;
    std::map<std::string, bool> running; // whether isolated
    std::map<std::string, bool> known;
    MonotonicTime now{ std::chrono::hours(1) };
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(1, 2000));
      for (const auto& over : gate.Tick(now)) {
        known.erase(over);
      }
      if (!known.empty() && *rc::gen::inRange(0, 2) == 0) {
        const auto id = *rc::gen::elementOf(known);
        const auto next = gate.Finish(id.first);
        known.erase(id.first);
        running.erase(id.first);
        if (next) {
          running[*next] = known.at(*next);
        }
      } else {
        const auto id = std::to_string(step);
        const bool isolated = *rc::gen::inRange(0, 3) == 0;
        const auto entered = gate.Arrive(id, isolated, now);
        if (entered != IsolationGate::Entry::Busy) {
          known[id] = isolated;
        }
        if (entered == IsolationGate::Entry::Start) {
          running[id] = isolated;
        }
      }
      const auto alone =
        std::count_if(running.begin(), running.end(), [](const auto& aOne) {
          return aOne.second;
        });
      RC_ASSERT(alone == 0 || running.size() == 1);
    }
  });
}

} // namespace
} // namespace siskindeal

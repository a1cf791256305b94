// Property tests of the decision code.

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
GenerateSuspicions()
{
  // With more crashes than a table retains, the result would depend on the
  // order.
  const auto count =
    *rc::gen::inRange<std::size_t>(1, SuspicionTable::kMaxCrashes);
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

// The suspicions of a table and their states as sorted text.
std::vector<std::string>
Describe(const SuspicionTable& aTable)
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

TEST(Property, SuspicionMergeIsCommutativeAndIdempotent)
{
  constexpr int kCases = 5000;
  CheckProperty(kSeed, kCases, [] {
    const auto suspicions = GenerateSuspicions();
    SuspicionTable inOrder;
    SuspicionTable reordered;
    for (const auto& suspicion : suspicions) {
      inOrder.Merge(suspicion);
    }
    const auto repeated = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, suspicions.size()));
    for (const auto index : repeated) {
      reordered.Merge(suspicions[index]);
    }
    for (auto last = suspicions.rbegin(); last != suspicions.rend(); ++last) {
      reordered.Merge(*last);
    }
    RC_ASSERT(Describe(inOrder) == Describe(reordered));
    for (const auto& suspicion : inOrder.All()) {
      RC_ASSERT(!reordered.Merge(suspicion));
    }
  });
}

TEST(Property, StreamDoesNotDependOnChunking)
{
  constexpr int kCases = 5000;
  CheckProperty(kSeed, kCases, [] {
    const auto ends = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("\n\n", "\r\n\r\n", "\n\r\n", "\n"));
    std::string bytes;
    for (std::size_t i = 0; i < ends.size(); ++i) {
      bytes += "data: " + std::to_string(i) + ends[i];
    }
    StreamResume unsplit;
    RC_ASSERT(unsplit.BeginAttempt("A", std::nullopt));
    const auto expected = unsplit.ProcessBytes(bytes);
    RC_ASSERT(bytes.starts_with(expected));

    StreamResume split;
    RC_ASSERT(split.BeginAttempt("A", std::nullopt));
    std::string received;
    for (std::string_view rest = bytes; !rest.empty();) {
      const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      received += split.ProcessBytes(rest.substr(0, size));
      rest.remove_prefix(size);
    }
    RC_ASSERT(received == expected);
    RC_ASSERT(split.EventCount() == unsplit.EventCount());
  });
}

// Calls that start or abandon attempts, in any order and number.
TEST(Property, AttemptIsEitherStartedOrAbandoned)
{
  constexpr int kCases = 5000;
  struct AttemptState
  {
    int m_started = 0;
    bool m_abandoned = false;
  };
  CheckProperty(kSeed, kCases, [] {
    const auto calls = *rc::gen::container<std::vector<std::pair<int, bool>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::arbitrary<bool>()));
    AttemptLedger ledger;
    std::map<int, AttemptState> states;
    MonotonicTime now{ std::chrono::hours(1) };
    for (const auto& [attempt, start] : calls) {
      now += std::chrono::milliseconds(1);
      const auto key = AttemptKey("r", static_cast<std::uint32_t>(attempt));
      auto& state = states[attempt];
      if (start) {
        state.m_started += ledger.TryStart(key, now) ? 1 : 0;
      } else {
        state.m_abandoned |=
          ledger.TryCancel(key, std::chrono::milliseconds(1), now);
      }
      RC_ASSERT(state.m_started <= 1);
      RC_ASSERT(state.m_started == 1 || state.m_abandoned);
      RC_ASSERT(state.m_started == 0 || !state.m_abandoned);
    }
  });
}

// An isolated request never runs concurrently with another request.
TEST(Property, IsolatedRequestRunsAlone)
{
  constexpr int kCases = 5000;
  CheckProperty(kSeed, kCases, [] {
    IsolationGate gate;
    std::map<std::string, bool> running; // id to whether isolated
    std::map<std::string, bool> admitted;
    MonotonicTime now{ std::chrono::hours(1) };
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(1, 2000));
      for (const auto& expired : gate.Tick(now)) {
        admitted.erase(expired);
      }
      if (!admitted.empty() && *rc::gen::inRange(0, 2) == 0) {
        const auto id = *rc::gen::elementOf(admitted);
        const auto next = gate.Finish(id.first);
        admitted.erase(id.first);
        running.erase(id.first);
        if (next) {
          running[*next] = admitted.at(*next);
        }
      } else {
        const auto id = std::to_string(step);
        const bool isolated = *rc::gen::inRange(0, 3) == 0;
        const auto entry = gate.Arrive(id, isolated, now);
        if (entry != IsolationGate::Entry::Busy) {
          admitted[id] = isolated;
        }
        if (entry == IsolationGate::Entry::Start) {
          running[id] = isolated;
        }
      }
      const auto isolatedCount =
        std::count_if(running.begin(), running.end(), [](const auto& aRequest) {
          return aRequest.second;
        });
      RC_ASSERT(isolatedCount == 0 || running.size() == 1);
    }
  });
}

} // namespace
} // namespace siskindeal

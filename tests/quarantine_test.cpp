#include "siskindeal/quarantine.h"

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace siskindeal {
namespace {

using Table = SuspicionTable;

// Requests with a lower fingerprint crash their upstream.
constexpr std::uint64_t kFirstHarmless = 100;

bool
Crashes(std::uint64_t aFingerprint)
{
  return aFingerprint < kFirstHarmless;
}

struct Running
{
  std::uint64_t m_fingerprint = 0;
  std::size_t m_entry = 0;
  bool m_alone = false;
  int m_stepsLeft = 0;
};

struct Agent
{
  Table m_table;
  IsolationGate m_gate;
  std::map<std::string, Running> m_requests; // running or waiting
  std::set<std::string> m_started;
  int m_crashes = 0;
};

// Entries and agents that exchange suspicions. With aLoss > 0, messages are
// lost, duplicated and reordered.
class Fleet
{
public:
  Fleet(std::uint64_t aSeed, double aLoss)
    : m_random(aSeed)
    , m_loss(aLoss)
    , m_entries(3)
    , m_agents(4)
  {
  }

  void Step()
  {
    m_now += std::chrono::milliseconds(1);
    const bool crasher = m_random.Chance(0.05);
    const auto fingerprint = crasher ? 1 + m_random.Below(kCrashers)
                                     : kFirstHarmless + m_random.Below(40);
    // A client retries a request only after the previous attempt has failed.
    if (!crasher || !m_crashersInFlight.contains(fingerprint)) {
      Send(m_random.Below(m_entries.size()), fingerprint);
    }
    DeliverMessages();
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
      Advance(agent);
    }
  }

  void ExchangeAll()
  {
    m_loss = 0;
    for (int round = 0; round < 3; ++round) {
      for (auto& from : m_entries) {
        MergeEverywhere(from.All());
      }
      for (auto& from : m_agents) {
        MergeEverywhere(from.m_table.All());
      }
    }
  }

  static constexpr std::uint64_t kCrashers = 3;
  std::map<std::uint64_t, int> m_crashesByFingerprint;
  std::vector<Table>& Entries() { return m_entries; }
  std::uint64_t m_cleared = 0;
  std::uint64_t m_refused = 0;

private:
  void MergeEverywhere(const std::vector<wire::Suspicion>& aSuspicions)
  {
    for (const auto& suspicion : aSuspicions) {
      for (auto& entry : m_entries) {
        entry.Merge(suspicion);
      }
      for (auto& agent : m_agents) {
        agent.m_table.Merge(suspicion);
      }
    }
  }

  void Send(std::size_t aEntry, std::uint64_t aFingerprint)
  {
    const auto state = m_entries[aEntry].StateOf(aFingerprint);
    if (state == SuspicionState::Quarantined) {
      ++m_refused;
      return;
    }
    const bool alone = state == SuspicionState::Suspect;
    const auto index =
      alone ? aFingerprint % m_agents.size() : m_random.Below(m_agents.size());
    auto& agent = m_agents[index];
    // The agent refuses the request if it has suspicions that haven't reached
    // the entry.
    const auto agentState = agent.m_table.StateOf(aFingerprint);
    if (agentState == SuspicionState::Quarantined ||
        (agentState == SuspicionState::Suspect && !alone)) {
      ++m_refused;
      for (const auto& suspicion : agent.m_table.All()) {
        m_entries[aEntry].Merge(suspicion);
      }
      return;
    }
    const auto id = std::to_string(++m_ids);
    const auto entered = agent.m_gate.Arrive(id, alone, m_now);
    if (entered == IsolationGate::Entry::Busy) {
      return;
    }
    agent.m_requests[id] = {
      aFingerprint, aEntry, alone, 1 + static_cast<int>(m_random.Below(4))
    };
    if (entered == IsolationGate::Entry::Start) {
      agent.m_started.insert(id);
    }
    if (Crashes(aFingerprint)) {
      m_crashersInFlight.insert(aFingerprint);
    }
  }

  void Advance(std::size_t aAgent)
  {
    auto& agent = m_agents[aAgent];
    const auto started = agent.m_started;
    for (const auto& id : started) {
      auto& running = agent.m_requests.at(id);
      if (--running.m_stepsLeft > 0) {
        continue;
      }
      if (Crashes(running.m_fingerprint)) {
        Crash(aAgent, running.m_fingerprint);
        return;
      }
      const bool suspected =
        agent.m_table.StateOf(running.m_fingerprint) == SuspicionState::Suspect;
      const auto changed = agent.m_table.RecordCompletion(
        running.m_fingerprint, running.m_alone, m_now);
      m_cleared += suspected && running.m_alone ? 1 : 0;
      Broadcast(changed, running.m_entry);
      RemoveRequest(agent, id);
    }
  }

  void RemoveRequest(Agent& aAgent, const std::string& aId)
  {
    aAgent.m_started.erase(aId);
    aAgent.m_requests.erase(aId);
    auto next = aAgent.m_gate.Finish(aId);
    while (next) {
      const auto& waiting = aAgent.m_requests.at(*next);
      if (aAgent.m_table.StateOf(waiting.m_fingerprint) !=
          SuspicionState::Quarantined) {
        aAgent.m_started.insert(*next);
        return;
      }
      m_crashersInFlight.erase(waiting.m_fingerprint);
      aAgent.m_requests.erase(*next);
      next = aAgent.m_gate.Finish(*next);
    }
  }

  void Crash(std::size_t aAgent, std::uint64_t aCulprit)
  {
    auto& agent = m_agents[aAgent];
    ++m_crashesByFingerprint[aCulprit];
    std::vector<Table::InFlight> inFlight;
    std::set<std::size_t> entries;
    for (const auto& id : agent.m_started) {
      const auto& running = agent.m_requests.at(id);
      inFlight.push_back({ running.m_fingerprint, "chat" });
      entries.insert(running.m_entry);
      m_crashersInFlight.erase(running.m_fingerprint);
    }
    const auto crash =
      std::to_string(aAgent) + "#" + std::to_string(++agent.m_crashes);
    const auto changed = agent.m_table.RecordCrash(crash, inFlight, m_now);
    for (const auto entry : entries) {
      Broadcast(changed, entry);
    }
    const auto started = agent.m_started;
    for (const auto& id : started) {
      RemoveRequest(agent, id);
    }
  }

  // The entry of the request receives the suspicions with the response, every
  // other process by a message.
  void Broadcast(const std::vector<wire::Suspicion>& aChanged,
                 std::size_t aEntry)
  {
    for (const auto& suspicion : aChanged) {
      m_entries[aEntry].Merge(suspicion);
      for (std::size_t receiver = 0;
           receiver < m_entries.size() + m_agents.size();
           ++receiver) {
        if (m_loss == 0) {
          Merge(receiver, suspicion);
          continue;
        }
        const int copies =
          m_random.Chance(m_loss) ? 0 : m_random.Chance(0.2) + 1;
        for (int copy = 0; copy < copies; ++copy) {
          m_messages.emplace_back(receiver, suspicion);
        }
      }
    }
  }

  void Merge(std::size_t aReceiver, const wire::Suspicion& aSuspicion)
  {
    if (aReceiver < m_entries.size()) {
      m_entries[aReceiver].Merge(aSuspicion);
    } else {
      m_agents[aReceiver - m_entries.size()].m_table.Merge(aSuspicion);
    }
  }

  void DeliverMessages()
  {
    for (int count = 0; count < 4 && !m_messages.empty(); ++count) {
      const auto index = m_random.Below(m_messages.size());
      const auto message = m_messages[index];
      m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
      Merge(message.first, message.second);
    }
  }

  Random m_random;
  double m_loss;
  std::vector<Table> m_entries;
  std::vector<Agent> m_agents;
  std::set<std::uint64_t> m_crashersInFlight;
  std::deque<std::pair<std::size_t, wire::Suspicion>> m_messages;
  MonotonicTime m_now{ std::chrono::hours(1) };
  std::uint64_t m_ids = 0;
};

void
ExpectOnlyCrashersQuarantined(Fleet& aFleet, std::uint64_t aSeed)
{
  for (const auto& table : aFleet.Entries()) {
    for (const auto& listing : table.List()) {
      EXPECT_TRUE(listing.m_state != SuspicionState::Quarantined ||
                  Crashes(listing.m_fingerprint))
        << "harmless request " << listing.m_fingerprint << ", seed " << aSeed;
    }
  }
}

TEST(Quarantine, ACrasherCrashesAtMostTwoUpstreamsAndOnlyCrashersAreQuarantined)
{
  SetAbortOnBrokenInvariant(true);
  std::uint64_t cleared = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Fleet fleet(seed, 0);
    for (int step = 0; step < 3000; ++step) {
      fleet.Step();
    }
    for (const auto& [fingerprint, crashes] : fleet.m_crashesByFingerprint) {
      EXPECT_LE(crashes, 2)
        << "fingerprint " << fingerprint << ", seed " << seed;
    }
    EXPECT_EQ(fleet.m_crashesByFingerprint.size(), Fleet::kCrashers);
    ExpectOnlyCrashersQuarantined(fleet, seed);
    cleared += fleet.m_cleared;
  }
  EXPECT_GT(cleared, 0U);
}

TEST(Quarantine, TablesConvergeDespiteLostDuplicatedAndReorderedMessages)
{
  SetAbortOnBrokenInvariant(true);
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Fleet fleet(seed, 0.5);
    for (int step = 0; step < 3000; ++step) {
      fleet.Step();
    }
    fleet.ExchangeAll();
    ExpectOnlyCrashersQuarantined(fleet, seed);
    for (std::uint64_t crasher = 1; crasher <= Fleet::kCrashers; ++crasher) {
      for (const auto& table : fleet.Entries()) {
        EXPECT_EQ(table.StateOf(crasher), fleet.Entries()[0].StateOf(crasher));
      }
    }
  }
}

TEST(Quarantine, AReleaseOverridesOlderQuarantinesOnMerge)
{
  const MonotonicTime now{};
  Table agent;
  Table entry;
  agent.RecordCrash("a#1", { { 7, "chat" } }, now);
  for (const auto& suspicion :
       agent.RecordCrash("b#1", { { 7, "chat" } }, now)) {
    entry.Merge(suspicion);
  }
  ASSERT_EQ(entry.StateOf(7), SuspicionState::Quarantined);
  const auto before = entry.All();
  EXPECT_TRUE(entry.Release(7));
  EXPECT_FALSE(entry.Release(7));
  for (const auto& suspicion : before) {
    EXPECT_FALSE(entry.Merge(suspicion)); // older than the release
  }
  for (const auto& suspicion : entry.All()) {
    agent.Merge(suspicion);
  }
  EXPECT_EQ(agent.StateOf(7), SuspicionState::None);
}

// The request was in flight at two crashes, each time with a different other
// request.
TEST(Quarantine, AReleaseEndsAnInferredQuarantine)
{
  const MonotonicTime now{};
  Table table;
  table.RecordCrash("a#1", { { 7, "chat" }, { 8, "chat" } }, now);
  table.RecordCrash("b#1", { { 7, "chat" }, { 9, "chat" } }, now);
  ASSERT_EQ(table.StateOf(7), SuspicionState::Quarantined);
  EXPECT_TRUE(table.Release(7));
  EXPECT_EQ(table.StateOf(7), SuspicionState::None);
}

TEST(Quarantine, AnInferredQuarantineIsNotEvictedBeforeSuspects)
{
  const MonotonicTime now{};
  Table table;
  table.RecordCrash("a#1", { { 7, "chat" }, { 8, "chat" } }, now);
  table.RecordCrash("b#1", { { 7, "chat" }, { 9, "chat" } }, now);
  ASSERT_EQ(table.StateOf(7), SuspicionState::Quarantined);
  for (std::uint64_t i = 0; i < Table::kMaxSuspicions; ++i) {
    table.RecordCrash(
      "c#" + std::to_string(i), { { kFirstHarmless + i, "chat" } }, now);
  }
  EXPECT_EQ(table.StateOf(7), SuspicionState::Quarantined);
}

TEST(Quarantine, TheGateRefusesOthersAndExpiresLongWaits)
{
  using Entry = IsolationGate::Entry;
  MonotonicTime now{};
  IsolationGate gate;
  EXPECT_EQ(gate.Arrive("a", false, now), Entry::Start);
  EXPECT_EQ(gate.Arrive("suspect", true, now), Entry::Wait);
  EXPECT_EQ(gate.Arrive("b", false, now), Entry::Busy);
  EXPECT_EQ(gate.Finish("a"), "suspect");
  EXPECT_EQ(gate.Arrive("c", false, now), Entry::Busy);
  EXPECT_EQ(gate.Finish("suspect"), std::nullopt);
  EXPECT_EQ(gate.Arrive("d", false, now), Entry::Start);
  EXPECT_EQ(gate.Arrive("late", true, now), Entry::Wait);
  EXPECT_EQ(gate.Tick(now + IsolationGate::kMaxWait),
            std::vector<std::string>{ "late" });
  EXPECT_EQ(gate.Arrive("e", false, now), Entry::Start);
}

} // namespace
} // namespace siskindeal

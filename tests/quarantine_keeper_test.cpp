// Tests that quarantines survive the replacement of every process, despite
// platform outages and lost requests and responses.

#include "quarantine/quarantine_keeper_p.h"

#include "siskindeal/fleet_config.h"
#include "siskindeal/invariant.h"
#include "support/fake_platform.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{ 100 };

// An entry with its suspicion table and its QuarantineKeeper.
class Entry
{
public:
  Entry(FakePlatform& aPlatform, std::uint64_t aNumber)
    : m_platform(aPlatform.Client("entry-" + std::to_string(aNumber)))
  {
    QuarantineKeeper::Hooks hooks;
    hooks.m_number = [this] { return m_table.Number(); };
    hooks.m_all = [this] { return m_table.All(); };
    hooks.m_stateOf = [this](std::uint64_t aFingerprint) {
      return m_table.StateOf(aFingerprint);
    };
    hooks.m_merge = [this](const wire::Suspicion& aSuspicion) {
      m_table.Merge(aSuspicion);
    };
    hooks.m_onStored = [](const PlatformObject&) {};
    m_keeper =
      std::make_shared<QuarantineKeeper>(m_platform, aNumber, std::move(hooks));
  }
  ~Entry() { m_keeper->Stop(); }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void ReadPlatform()
  {
    m_platform.List(PlatformUse::Config,
                    kQuarantinePrefix,
                    [keeper = m_keeper](const PlatformChanges& aChanges) {
                      for (const auto& object : aChanges.m_objects) {
                        keeper->OnObject(object);
                      }
                    });
  }
  // Records two crashes with only this request in flight.
  void Quarantine(std::uint64_t aFingerprint, std::uint64_t aCrash)
  {
    for (const auto* const upstream : { "a#", "b#" }) {
      m_table.RecordCrash(upstream + std::to_string(aCrash),
                          { { aFingerprint, "chat" } },
                          MonotonicTime{});
    }
  }

  SuspicionTable m_table;
  std::shared_ptr<QuarantineKeeper> m_keeper;

private:
  Platform& m_platform;
};

class KeeperRun
{
public:
  explicit KeeperRun(std::uint64_t aSeed)
    : m_platform(m_clock, aSeed)
    , m_random(aSeed)
  {
    ReplaceEntries();
  }

  // Replaces every entry; only the platform keeps its state.
  void ReplaceEntries()
  {
    m_entries.clear();
    for (int i = 0; i < 3; ++i) {
      m_entries.push_back(
        std::make_unique<Entry>(m_platform, ++m_entriesCreated));
    }
  }
  void Step()
  {
    for (const auto& entry : m_entries) {
      entry->m_keeper->Tick(m_clock.Now());
    }
    m_platform.Advance(kStep);
  }
  void RandomStep()
  {
    auto& entry = *m_entries[m_random.Below(m_entries.size())];
    const auto& other = *m_entries[m_random.Below(m_entries.size())];
    const auto fingerprint = 1 + m_random.Below(3);
    switch (m_random.Below(8)) {
      case 0:
        entry.Quarantine(fingerprint, ++m_crashes);
        break;
      case 1:
        entry.m_table.Release(fingerprint);
        break;
      case 2:
        entry.ReadPlatform();
        break;
      case 3:
        for (const auto& suspicion : other.m_table.All()) {
          entry.m_table.Merge(suspicion);
        }
        break;
      case 4:
        m_platform.Faults().m_outage = m_random.Chance(0.3);
        m_platform.Faults().m_lostAnswers = m_random.Chance(0.5) ? 0.4 : 0;
        m_platform.Faults().m_lostRequests = m_random.Chance(0.5) ? 0.4 : 0;
        break;
      default:
        Step();
    }
  }
  void RunUntilStable()
  {
    m_platform.Faults() = {};
    for (int i = 0; i < 600; ++i) {
      if (i % 10 == 0) {
        for (const auto& entry : m_entries) {
          entry->ReadPlatform();
        }
      }
      Step();
    }
  }
  std::vector<SuspicionState> States(const Entry& aEntry) const
  {
    return { aEntry.m_table.StateOf(1),
             aEntry.m_table.StateOf(2),
             aEntry.m_table.StateOf(3) };
  }

  ManualClock m_clock;
  FakePlatform m_platform;
  Random m_random;
  std::uint64_t m_entriesCreated = 0;
  std::uint64_t m_crashes = 0;
  std::vector<std::unique_ptr<Entry>> m_entries;
};

TEST(QuarantineKeeper, ConvergesWithThePlatformInRandomisedRuns)
{
  SetAbortOnBrokenInvariant(true);
  int quarantined = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    KeeperRun run(seed);
    for (int i = 0; i < 500; ++i) {
      run.RandomStep();
    }
    run.RunUntilStable();
    const auto states = run.States(*run.m_entries[0]);
    for (const auto& entry : run.m_entries) {
      EXPECT_EQ(run.States(*entry), states) << "seed " << seed;
    }
    const auto writes = run.m_platform.Writes();
    run.RunUntilStable();
    EXPECT_EQ(run.m_platform.Writes(), writes) << "redundant write";
    run.ReplaceEntries();
    run.RunUntilStable();
    for (const auto& entry : run.m_entries) {
      EXPECT_EQ(run.States(*entry), states)
        << "after replacement, seed " << seed;
    }
    quarantined += static_cast<int>(
      std::count(states.begin(), states.end(), SuspicionState::Quarantined));
  }
  EXPECT_GT(quarantined, 20);
  EXPECT_LT(quarantined, 160);
}

TEST(QuarantineKeeper, WritesAfterAPlatformOutage)
{
  KeeperRun run(1);
  run.m_platform.Faults().m_outage = true;
  run.m_entries[0]->Quarantine(7, 1);
  for (int i = 0; i < 100; ++i) {
    run.Step();
  }
  EXPECT_EQ(run.m_entries[0]->m_table.StateOf(7), SuspicionState::Quarantined);
  EXPECT_EQ(run.m_platform.Stored(QuarantineKey(7)).m_version, 0U);
  run.RunUntilStable();
  run.ReplaceEntries();
  run.RunUntilStable();
  EXPECT_EQ(run.m_entries[1]->m_table.StateOf(7), SuspicionState::Quarantined);
}

// Entry 0 still holds a quarantine that entry 1 has released, and then writes
// another one.
TEST(QuarantineKeeper, AStaleEntryDoesNotUndoARelease)
{
  KeeperRun run(1);
  run.m_entries[0]->Quarantine(7, 1);
  run.RunUntilStable();
  ASSERT_TRUE(run.m_entries[1]->m_table.Release(7));
  for (int i = 0; i < 50; ++i) {
    run.m_entries[1]->m_keeper->Tick(run.m_clock.Now());
    run.m_platform.Advance(kStep);
  }
  run.m_entries[0]->Quarantine(8, 2);
  run.RunUntilStable();
  run.ReplaceEntries();
  run.RunUntilStable();
  EXPECT_EQ(run.m_entries[0]->m_table.StateOf(7), SuspicionState::None);
  EXPECT_EQ(run.m_entries[0]->m_table.StateOf(8), SuspicionState::Quarantined);
}

TEST(QuarantineKeeper, PersistsAQuarantineThatFollowsARelease)
{
  KeeperRun run(1);
  run.m_entries[0]->Quarantine(7, 1);
  run.RunUntilStable();
  ASSERT_TRUE(run.m_entries[0]->m_table.Release(7));
  run.m_entries[0]->Quarantine(7, 2);
  run.RunUntilStable();
  run.ReplaceEntries();
  run.RunUntilStable();
  EXPECT_EQ(run.m_entries[0]->m_table.StateOf(7), SuspicionState::Quarantined);
}

TEST(QuarantineKeeper, RejectsMalformedValues)
{
  EXPECT_FALSE(ParseQuarantine("").has_value());
  EXPECT_FALSE(ParseQuarantine("[]").has_value());
  EXPECT_FALSE(ParseQuarantine(R"({"fingerprint":"zz"})").has_value());
  wire::Suspicion suspicion;
  suspicion.set_fingerprint(0xab);
  suspicion.set_quarantined(true);
  suspicion.add_crash_ids("vm/1/1");
  const auto read = ParseQuarantine(QuarantineJson(suspicion));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->fingerprint(), 0xabU);
  EXPECT_TRUE(read->quarantined());
  EXPECT_EQ(read->crash_ids(0), "vm/1/1");
}

} // namespace
} // namespace siskindeal

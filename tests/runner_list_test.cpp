// Tests the copies of the list of runners that gateways pass on: random changes
// reach copies through chains of others, with replies lost, late and doubled,
// and with readers that start anew.

#include "siskindeal/random.h"
#include "site/config_relay_p.h"
#include "site/runner_list_p.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace siskindeal {

namespace {

constexpr std::size_t kCopies = 6;
constexpr std::uint64_t kRunners = 12;

RunnerRecord
Runner(std::uint64_t aNumber, std::uint64_t aCreated)
{
  RunnerRecord runner;
  runner.m_id = "i-" + std::to_string(aNumber);
  runner.m_created = aCreated;
  runner.m_address = { "10.0.0.1", static_cast<std::uint16_t>(aNumber + 1) };
  return runner;
}

using Listed = std::map<std::string, std::uint64_t>; // creation, by id

Listed
ContentsOf(const RunnerList& aList)
{
  Listed contents;
  for (const RunnerRecord& runner : aList.Since({}).m_runners) {
    contents[runner.m_id] = runner.m_created;
  }
  return contents;
}

// A store, a reader that follows it and copies that ask each other.
class World
{
public:
  explicit World(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_copies(kCopies)
  {
    m_history[m_revision] = {};
    Read(0, /* aAnew */ true);
  }

  void Step()
  {
    switch (m_random.Below(6)) {
      case 0:
      case 1:
        Change();
        break;
      case 2:
        Read(m_random.Below(2), m_random.Below(8) == 0);
        break;
      case 3:
        if (m_random.Below(10) == 0) {
          m_copies[m_random.Below(kCopies)] = RunnerList(); // restarted
        }
        break;
      default:
        Ask(m_random.Below(kCopies), m_random.Below(kCopies));
    }
    for (const RunnerList& copy : m_copies) {
      if (copy.Mark().m_lineage != 0) {
        ASSERT_EQ(ContentsOf(copy), m_history.at(copy.Mark().m_revision))
          << "revision " << copy.Mark().m_revision;
      }
    }
  }

  // Lets each copy hear of the newest state.
  void Settle()
  {
    Read(0, false);
    for (std::size_t i = 1; i < kCopies; ++i) {
      Ask(i, i - 1);
      ASSERT_EQ(ContentsOf(m_copies[i]), m_history.at(m_revision));
    }
  }

private:
  void Change()
  {
    const std::uint64_t number = m_random.Below(kRunners);
    const std::string id = "i-" + std::to_string(number);
    Listed listed = m_history.at(m_revision);
    ++m_revision;
    if (listed.count(id) > 0 && m_random.Below(2) == 0) {
      listed.erase(id);
    } else {
      listed[id] = m_revision;
    }
    m_history[m_revision] = listed;
  }

  // A process reads the store: the whole list, or what changed since.
  void Read(std::size_t aCopy, bool aAnew)
  {
    RunnerList& copy = m_copies[aCopy];
    const Listed& now = m_history.at(m_revision);
    if (aAnew || copy.Mark().m_lineage == 0) {
      std::vector<RunnerRecord> runners;
      for (const auto& [id, created] : now) {
        runners.push_back(Runner(std::stoull(id.substr(2)), created));
      }
      copy.Replace(runners, { ++m_lineages, m_revision });
      return;
    }
    for (std::uint64_t number = 0; number < kRunners; ++number) {
      const auto found = now.find("i-" + std::to_string(number));
      if (found == now.end()) {
        copy.Remove("i-" + std::to_string(number), m_revision);
      } else {
        copy.Put(Runner(number, found->second), m_revision);
      }
    }
    copy.Advance(m_revision);
  }

  void Ask(std::size_t aAsking, std::size_t aAsked)
  {
    RunnerList& asking = m_copies[aAsking];
    const RunnerList& asked = m_copies[aAsked];
    if (aAsking == aAsked || asked.Mark().m_lineage == 0) {
      return;
    }
    const bool continues = asked.Mark().m_lineage == asking.Mark().m_lineage;
    if (continues && asked.Mark().m_revision < asking.Mark().m_revision) {
      return; // as gateways do
    }
    const auto reply = EncodeRunnerList(asked, asking.Mark());
    EXPECT_TRUE(continues || reply.whole());
    const std::uint64_t lost = m_random.Below(4);
    for (std::uint64_t times = lost == 0 ? 0 : m_random.Below(2) + 1; times > 0;
         --times) {
      Apply(asking, reply);
    }
    Apply(asking, EncodeRunnerList(asked, asking.Mark()));
  }

  static void Apply(RunnerList& aCopy, const v1::RunnerListReply& aReply)
  {
    const RunnerListDelta delta = DecodeRunnerList(aReply);
    const RunnerListMark mark{ aReply.lineage(), aReply.revision() };
    if (delta.m_whole) {
      aCopy.Replace(delta.m_runners, mark);
      return;
    }
    for (const RunnerRecord& runner : delta.m_runners) {
      aCopy.Put(runner, mark.m_revision);
    }
    for (const std::string& id : delta.m_removed) {
      aCopy.Remove(id, mark.m_revision);
    }
    aCopy.Advance(mark.m_revision);
  }

  Random m_random;
  std::uint64_t m_revision = 100;
  std::uint64_t m_lineages = 0;
  std::map<std::uint64_t, Listed> m_history; // of the store, by revision
  std::vector<RunnerList> m_copies;
};

TEST(RunnerListRun, CopiesHoldExactlyTheStateOfTheirRevision)
{
  constexpr std::uint64_t kSeeds = 100;
  constexpr int kSteps = 400;
  for (std::uint64_t seed = 1; seed <= kSeeds && !testing::Test::HasFailure();
       ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed);
    for (int i = 0; i < kSteps && !testing::Test::HasFailure(); ++i) {
      world.Step();
    }
    world.Settle();
  }
}

TEST(RunnerList, RecordThatDidNotChangeIsNoChange)
{
  RunnerList list;
  list.Replace({ Runner(1, 7) }, { 1, 10 });
  EXPECT_FALSE(list.Put(Runner(1, 7), 11));
  EXPECT_FALSE(list.HasNewsFor({ 1, 10 }));
  EXPECT_TRUE(list.Put(Runner(1, 8), 12));
  EXPECT_TRUE(list.HasNewsFor({ 1, 11 }));
  EXPECT_FALSE(list.Remove("i-2", 13));
}

TEST(RunnerList, ListOfAnOlderEraIsNoNewsForACopyOfANewerOne)
{
  RunnerList list;
  list.Replace({ Runner(1, 7) }, { 1, 10, 2 });
  EXPECT_TRUE(list.HasNewsFor({ 5, 99, 1 }));
  EXPECT_FALSE(list.HasNewsFor({ 5, 9, 3 }));
  EXPECT_EQ(EncodeRunnerList(list, {}).era(), 2U);
}

TEST(RunnerList, CopyThatLacksDroppedChangesGetsTheWholeList)
{
  constexpr std::uint64_t kChanges = 5000;
  RunnerList list;
  list.Replace({}, { 1, 10 });
  for (std::uint64_t i = 1; i <= kChanges; ++i) {
    list.Put(Runner(i % kRunners, i), 10 + i);
  }
  list.Advance(10 + kChanges);
  EXPECT_TRUE(list.Since({ 1, 11 }).m_whole);
  const RunnerListDelta last = list.Since({ 1, 10 + kChanges - 1 });
  EXPECT_FALSE(last.m_whole);
  EXPECT_EQ(last.m_runners.size(), 1U);
}

} // namespace

} // namespace siskindeal

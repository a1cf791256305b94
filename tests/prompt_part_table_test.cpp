// Tests which parts of prompts crashes are attributed to.

#include "quarantine/prompt_part_table_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Parts = std::vector<PromptPart>;

constexpr PromptPart kFirst = 1; // of all requests
constexpr PromptPart kCulprit = 2;
constexpr PromptPart kOther = 3;
constexpr PromptPart kCompanion = 4; // comes only with the culprit
constexpr PromptPart kSecondCulprit = 5;
constexpr PromptPart kBystander = 6; // in flight beside the culprit by chance
const MonotonicTime kStart{ std::chrono::hours(1) };

bool
Always(PromptPart)
{
  return true;
}

bool
Never(PromptPart)
{
  return false;
}

// A table with one clock and a series of crashes.
class PromptPartTableTest : public testing::Test
{
protected:
  void Wait(milliseconds aTime) { m_now += aTime; }

  void Crash(const Parts& aInFlight)
  {
    m_table.RecordCrash({ ++m_crashes, m_now }, aInFlight);
  }

  void Complete(const Parts& aParts) { CompleteSentAt(m_now, aParts); }

  void CompleteSentAt(MonotonicTime aSentAt, const Parts& aParts)
  {
    m_table.RecordCompletion(aParts, aSentAt, m_now);
  }

  // A crash of a runner, and a completion elsewhere, once a second.
  void CrashOften(const Parts& aInFlight, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      Crash(aInFlight);
      Wait(seconds(1));
      Complete({ kFirst, kOther });
    }
  }

  PartVerdict VerdictOf(const Parts& aParts,
                        const PromptPartTable::MayTry& aMayTry = Never)
  {
    return m_table.Decide(aParts, aMayTry, m_now).m_verdict;
  }

  PromptPartTable m_table;
  MonotonicTime m_now = kStart;
  std::uint64_t m_crashes = 0;
};

TEST_F(PromptPartTableTest, PartInFlightAtEveryCrashIsQuarantined)
{
  CrashOften({ kFirst, kCulprit }, 4);
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }, Always), PartVerdict::Refuse);
  EXPECT_EQ(VerdictOf({ kCulprit, kOther }, Always), PartVerdict::Refuse);
  EXPECT_EQ(m_table.Decide({ kFirst, kCulprit }, Always, m_now).m_part,
            kCulprit);
}

TEST_F(PromptPartTableTest, PartOfAllRequestsIsNotBlamedForTheCulprit)
{
  CrashOften({ kFirst, kCulprit }, 10);
  EXPECT_EQ(VerdictOf({ kFirst, kOther }), PartVerdict::Send);
  EXPECT_EQ(VerdictOf({ kFirst }), PartVerdict::Send);
}

TEST_F(PromptPartTableTest, SuspectedPartIsTriedByOneRequestAtATime)
{
  CrashOften({ kFirst, kCulprit }, 3);
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }, Never), PartVerdict::Refuse);
  ASSERT_EQ(VerdictOf({ kFirst, kCulprit }, Always), PartVerdict::Trial);
  m_table.RecordTrial({ kFirst, kCulprit }, m_now);
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }, Always), PartVerdict::Refuse);
  CrashOften({ kFirst, kCulprit }, 1);
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }, Always), PartVerdict::Refuse);
}

TEST_F(PromptPartTableTest, SoundPartThatWasAtThreeCrashesIsReleasedByItsTrial)
{
  CrashOften({ kFirst, kOther + 100 }, 3);
  ASSERT_EQ(VerdictOf({ kOther + 100 }, Always), PartVerdict::Trial);
  m_table.RecordTrial({ kOther + 100 }, m_now);
  Complete({ kFirst, kOther + 100 });
  for (int i = 0; i < 100; ++i) {
    Complete({ kFirst, kOther });
  }
  EXPECT_EQ(VerdictOf({ kOther + 100 }), PartVerdict::Send);
}

TEST_F(PromptPartTableTest, PartSeenOnlyBesideTheCulpritIsTriedWithoutIt)
{
  CrashOften({ kCompanion, kCulprit }, 6);
  EXPECT_EQ(VerdictOf({ kCompanion, kCulprit }, Always), PartVerdict::Refuse);
  ASSERT_EQ(VerdictOf({ kCompanion, kOther }, Always), PartVerdict::Trial);
  Complete({ kCompanion, kOther });
  EXPECT_EQ(VerdictOf({ kCompanion, kOther }), PartVerdict::Send);
  EXPECT_EQ(VerdictOf({ kCompanion, kCulprit }, Always), PartVerdict::Refuse);
}

TEST_F(PromptPartTableTest, BystanderIsNotBlamedForCrashesOfTheCulprit)
{
  CrashOften({ kFirst, kCulprit, kCompanion }, 4);
  CrashOften({ kFirst, kCulprit }, 1);
  EXPECT_EQ(VerdictOf({ kFirst, kCompanion }), PartVerdict::Send);
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }), PartVerdict::Refuse);
}

TEST_F(PromptPartTableTest, CulpritBesideAPartWithMoreCrashesIsTried)
{
  CrashOften({ kFirst, kCulprit, kBystander }, 4);
  CrashOften({ kBystander }, 2);
  CrashOften({ kFirst, kCulprit }, 1);
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }, Never), PartVerdict::Refuse);
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }, Always), PartVerdict::Trial);
  EXPECT_EQ(VerdictOf({ kFirst, kOther }, Never), PartVerdict::Send);
}

TEST_F(PromptPartTableTest, TwoCulpritsAtOnceAreBothQuarantined)
{
  for (int i = 0; i < 5; ++i) {
    CrashOften({ kFirst, kCulprit }, 1);
    CrashOften({ kFirst, kSecondCulprit }, 1);
  }
  CrashOften({ kFirst, kCulprit, kSecondCulprit }, 1);
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }, Always), PartVerdict::Refuse);
  EXPECT_EQ(VerdictOf({ kFirst, kSecondCulprit }, Always), PartVerdict::Refuse);
  EXPECT_EQ(VerdictOf({ kFirst, kOther }), PartVerdict::Send);
}

TEST_F(PromptPartTableTest, PartThatWasSoundForLongIsQuarantined)
{
  for (int i = 0; i < 1000; ++i) {
    Complete({ kFirst, kCulprit });
    Wait(seconds(1));
  }
  CrashOften({ kFirst, kCulprit }, 4);
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }, Always), PartVerdict::Refuse);
}

// Responses to requests from before go on for a while.
TEST_F(PromptPartTableTest, CompletionOfAnOlderRequestDoesNotClearThePart)
{
  const MonotonicTime before = m_now - seconds(1);
  for (int i = 0; i < 4; ++i) {
    CrashOften({ kFirst, kCulprit }, 1);
    CompleteSentAt(before, { kFirst, kCulprit });
  }
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }), PartVerdict::Send);
  for (int i = 0; i < 100; ++i) {
    Complete({ kFirst, kOther });
  }
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }, Always), PartVerdict::Refuse);
}

// As while most runners are down.
TEST_F(PromptPartTableTest, CompletionDoesNotClearThePartWhileFewOthersComplete)
{
  const MonotonicTime before = m_now - seconds(1);
  CrashOften({ kFirst, kCulprit }, 4);
  CompleteSentAt(before, { kFirst, kCulprit });
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }), PartVerdict::Send);
  Wait(seconds(2));
  Complete({ kFirst, kOther });
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }, Always), PartVerdict::Refuse);
}

TEST_F(PromptPartTableTest, CompletionFromBeforeTheCrashesDoesNotExcuseThePart)
{
  CrashOften({ kCulprit }, 1);
  Complete({ kCulprit });
  CrashOften({ kCulprit, kBystander }, 4);
  for (int i = 0; i < 100; ++i) {
    Complete({ kOther });
  }
  CrashOften({ kCulprit }, 1);
  EXPECT_EQ(VerdictOf({ kCulprit }, Always), PartVerdict::Refuse);
  EXPECT_EQ(VerdictOf({ kBystander }), PartVerdict::Send);
}

TEST_F(PromptPartTableTest, RunnersLostAtOnceDoNotQuarantineAPart)
{
  struct Case
  {
    int m_crashes;
    PartVerdict m_verdict;
  };
  for (const Case& one :
       { Case{ 4, PartVerdict::Send }, Case{ 20, PartVerdict::Trial } }) {
    m_table = PromptPartTable();
    for (int i = 0; i < one.m_crashes; ++i) {
      Crash({ kCulprit });
      Wait(milliseconds(5));
      Complete({ kOther });
    }
    EXPECT_EQ(VerdictOf({ kCulprit }, Always), one.m_verdict);
  }
}

TEST_F(PromptPartTableTest, CrashesWhileNothingCompletesSuspectNoPart)
{
  for (int i = 0; i < 20; ++i) {
    Crash({ kFirst, kCulprit });
    Wait(seconds(1));
  }
  EXPECT_EQ(VerdictOf({ kFirst, kCulprit }), PartVerdict::Send);
}

TEST_F(PromptPartTableTest, QuarantinedPartIsTriedAgainAtGrowingIntervals)
{
  CrashOften({ kCulprit }, 4);
  int trials = 0;
  const MonotonicTime end = m_now + std::chrono::minutes(10);
  for (; m_now < end; Wait(seconds(1))) {
    if (VerdictOf({ kCulprit }, Always) == PartVerdict::Trial) {
      ++trials;
      CrashOften({ kCulprit }, 1);
    }
  }
  EXPECT_GE(trials, 1);
  EXPECT_LE(trials, 4);
}

TEST_F(PromptPartTableTest, RestartedGatewayLearnsAQuarantineFromAnother)
{
  CrashOften({ kFirst, kCulprit }, 4);
  PromptPartTable restarted;
  EXPECT_TRUE(restarted.Merge(m_table.Export(kCulprit, m_now), m_now));
  EXPECT_EQ(restarted.Decide({ kCulprit }, Always, m_now).m_verdict,
            PartVerdict::Refuse);
}

TEST_F(PromptPartTableTest, CompletionAtAnotherGatewayOutweighsOlderCrashes)
{
  CrashOften({ kOther + 100 }, 3);
  PromptPartTable other;
  other.Merge(m_table.Export(kOther + 100, m_now), m_now);
  other.RecordCompletion({ kOther + 100 }, m_now, m_now);
  const v1::PartSuspicion stale = m_table.Export(kOther + 100, m_now);
  m_table.Merge(other.Export(kOther + 100, m_now), m_now);
  EXPECT_EQ(VerdictOf({ kOther + 100 }), PartVerdict::Send);
  m_table.Merge(stale, m_now);
  EXPECT_EQ(VerdictOf({ kOther + 100 }), PartVerdict::Send);
}

TEST_F(PromptPartTableTest, MergeIsIdempotentAndOrderDoesNotMatter)
{
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    Random random(seed);
    std::vector<v1::PartSuspicion> messages;
    for (int gateway = 0; gateway < 3; ++gateway) {
      PromptPartTable table;
      MonotonicTime now = kStart;
      for (int i = 0; i < 10; ++i) {
        now += milliseconds(random.Below(500));
        const PromptPart part = 1 + random.Below(3);
        if (random.Chance(0.8)) {
          table.RecordCrash({ 1 + random.Below(12), now }, { part });
        } else {
          table.RecordCompletion({ part }, now, now);
        }
        messages.push_back(table.Export(part, kStart));
      }
    }
    PromptPartTable forwards;
    PromptPartTable backwards;
    for (const v1::PartSuspicion& message : messages) {
      forwards.Merge(message, kStart);
    }
    std::reverse(messages.begin(), messages.end());
    for (int i = 0; i < 2; ++i) {
      for (const v1::PartSuspicion& message : messages) {
        backwards.Merge(message, kStart);
      }
    }
    for (PromptPart part = 1; part <= 3; ++part) {
      const auto one = forwards.Export(part, kStart);
      const auto other = backwards.Export(part, kStart);
      EXPECT_EQ(one.crashes_size(), other.crashes_size());
      EXPECT_EQ(one.cleared_size(), other.cleared_size());
    }
  }
}

TEST_F(PromptPartTableTest, BoundedAndKeepsQuarantinedParts)
{
  CrashOften({ kCulprit }, 4);
  for (PromptPart part = 1000; part < 1000 + 2 * PromptPartTable::kMaxParts;
       ++part) {
    Crash({ part });
  }
  EXPECT_LE(m_table.Size(), PromptPartTable::kMaxParts);
  EXPECT_EQ(VerdictOf({ kCulprit }), PartVerdict::Refuse);
}

} // namespace

} // namespace siskindeal

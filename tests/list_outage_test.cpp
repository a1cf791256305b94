// Tests when a gap in what is known of the list of runners is taken for an
// outage of the list.

#include "dispatch/list_outage_p.h"

#include <gtest/gtest.h>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 20 };
constexpr milliseconds kStart{ 100000 };

// The process runs from aFrom to aTo.
void
RunProcess(ListOutage& aOutage, milliseconds aFrom, milliseconds aTo)
{
  for (milliseconds now = aFrom; now <= aTo; now += kTick) {
    aOutage.RecordAlive(now);
  }
}

struct OutageCase
{
  const char* m_name;
  int m_pausedFromMs; // after what was known last
  int m_pausedToMs;
  int m_knownUntilMs; // next, learned right then
  bool m_isOutage;
};

TEST(ListOutage, PauseOfTheProcessIsNotTakenForAnOutage)
{
  const OutageCase cases[] = {
    { "read again soon", 0, 0, 1500, false },
    { "outage", 0, 0, 2500, true },
    { "pause", 500, 4500, 4600, false },
    { "pause, read with delay", 500, 4500, 6000, false },
    { "outage after a pause", 500, 4500, 7000, true },
    { "pause after an outage", 2500, 4500, 4600, true },
  };
  for (const OutageCase& outageCase : cases) {
    SCOPED_TRACE(outageCase.m_name);
    ListOutage outage;
    EXPECT_FALSE(outage.RecordKnown(kStart, kStart));
    const milliseconds known = kStart + milliseconds(outageCase.m_knownUntilMs);
    if (outageCase.m_pausedToMs > 0) {
      RunProcess(
        outage, kStart, kStart + milliseconds(outageCase.m_pausedFromMs));
      RunProcess(outage, kStart + milliseconds(outageCase.m_pausedToMs), known);
    } else {
      RunProcess(outage, kStart, known);
    }
    EXPECT_EQ(outage.RecordKnown(known, known), outageCase.m_isOutage);
  }
}

TEST(ListOutage, ResponseReadFirstAfterAPauseIsNotTakenForAnOutage)
{
  ListOutage outage;
  EXPECT_FALSE(outage.RecordKnown(kStart, kStart));
  RunProcess(outage, kStart, kStart + milliseconds(400));
  const milliseconds woken = kStart + milliseconds(5000);
  // It was sent before the pause; the next one is as of now.
  EXPECT_FALSE(outage.RecordKnown(kStart + milliseconds(300), woken));
  EXPECT_FALSE(outage.RecordKnown(woken, woken));
}

// Guards against runners that left and are kept in use, since the gateway that
// passed the list on was turned away and the next one had to take over.
TEST(ListOutage, GapOfOneGatewayIsNotTakenForAnOutage)
{
  constexpr milliseconds kGap{ 3000 };
  ListOutage reader;
  for (milliseconds now = kStart; now <= kStart + kGap; now += kTick) {
    EXPECT_FALSE(reader.RecordKnown(now, now));
  }
  EXPECT_EQ(reader.WithoutGapSince(), kStart);
  ListOutage follower;
  EXPECT_FALSE(follower.RecordKnown(kStart + milliseconds(100),
                                    kStart + milliseconds(100)));
  const milliseconds later = kStart + kGap;
  RunProcess(follower, kStart + milliseconds(100), later);
  EXPECT_FALSE(follower.RecordKnown(later, later, reader.WithoutGapSince()));
  // It passes on what it was told.
  ListOutage third;
  EXPECT_FALSE(third.RecordKnown(kStart + milliseconds(200), kStart));
  RunProcess(third, kStart, later);
  EXPECT_FALSE(third.RecordKnown(later, later, follower.WithoutGapSince()));
}

struct OthersCase
{
  const char* m_name;
  int m_knownFromMs; // by others, after what was known last
  int m_knownToMs;
  bool m_isOutage;
};

// Guards against runners that left and are kept in use by a gateway that takes
// over as its region's reader, which no gateway passes the list on to.
TEST(ListOutage, GapInWhichOthersKnewAllIsNotTakenForAnOutage)
{
  constexpr milliseconds kGap{ 5000 };
  const OthersCase cases[] = {
    { "known throughout", -1000, 5000, false },
    { "known until a little before", -1000, 3500, false },
    { "known from the start only", -1000, 1000, true },
    { "known since a moment within", 1000, 5000, true },
    { "known up to it", -1000, 0, true },
  };
  for (const OthersCase& othersCase : cases) {
    SCOPED_TRACE(othersCase.m_name);
    const milliseconds from = kStart + milliseconds(othersCase.m_knownFromMs);
    const milliseconds to = kStart + milliseconds(othersCase.m_knownToMs);
    for (const bool isToldBefore : { true, false }) {
      SCOPED_TRACE(isToldBefore);
      ListOutage outage;
      EXPECT_FALSE(
        outage.RecordKnown(kStart - kGap, kStart - kGap, std::nullopt));
      for (milliseconds now = kStart - kGap; now <= kStart; now += kTick) {
        EXPECT_FALSE(outage.RecordKnown(now, now));
      }
      RunProcess(outage, kStart, kStart + kGap);
      if (isToldBefore) {
        EXPECT_FALSE(outage.RecordOthersKnown(from, to));
      }
      EXPECT_EQ(outage.RecordKnown(kStart + kGap, kStart + kGap),
                othersCase.m_isOutage || !isToldBefore);
      if (!isToldBefore) {
        EXPECT_EQ(outage.AssumedOutage(), kGap);
        EXPECT_EQ(outage.RecordOthersKnown(from, to), !othersCase.m_isOutage);
      }
      EXPECT_EQ(outage.AssumedOutage(),
                othersCase.m_isOutage ? kGap : milliseconds(0));
      EXPECT_EQ(outage.WithoutGapSince() > kStart, othersCase.m_isOutage);
    }
  }
}

TEST(ListOutage, SpansOfOthersAreJoinedOnlyIfTheyOverlap)
{
  for (const int secondFromMs : { 1500, 2500 }) {
    SCOPED_TRACE(secondFromMs);
    ListOutage outage;
    EXPECT_FALSE(outage.RecordKnown(kStart, kStart));
    RunProcess(outage, kStart, kStart + milliseconds(6000));
    outage.RecordOthersKnown(kStart - milliseconds(1000),
                             kStart + milliseconds(2000));
    outage.RecordOthersKnown(kStart + milliseconds(secondFromMs),
                             kStart + milliseconds(6000));
    // Late, and of what is known already.
    outage.RecordOthersKnown(kStart - milliseconds(3000),
                             kStart - milliseconds(2000));
    EXPECT_EQ(outage.RecordKnown(kStart + milliseconds(6000),
                                 kStart + milliseconds(6000)),
              secondFromMs > 2000);
  }
}

TEST(ListOutage, GapOfAllGatewaysIsAnOutage)
{
  constexpr milliseconds kGap{ 3000 };
  ListOutage reader;
  EXPECT_FALSE(reader.RecordKnown(kStart, kStart));
  ListOutage follower;
  EXPECT_FALSE(follower.RecordKnown(kStart, kStart, reader.WithoutGapSince()));
  const milliseconds later = kStart + kGap;
  RunProcess(reader, kStart, later);
  RunProcess(follower, kStart, later);
  EXPECT_TRUE(reader.RecordKnown(later, later));
  EXPECT_EQ(reader.WithoutGapSince(), later);
  EXPECT_TRUE(follower.RecordKnown(later, later, reader.WithoutGapSince()));
  // One that has just started can't say what was before.
  ListOutage newcomer;
  EXPECT_FALSE(newcomer.RecordKnown(later, later));
  ListOutage other;
  EXPECT_FALSE(other.RecordKnown(kStart, kStart));
  RunProcess(other, kStart, later);
  EXPECT_TRUE(other.RecordKnown(later, later, newcomer.WithoutGapSince()));
}

TEST(ListOutage, PausedGatewayDoesNotVouchForThePause)
{
  ListOutage paused;
  EXPECT_FALSE(paused.RecordKnown(kStart, kStart));
  RunProcess(paused, kStart, kStart + milliseconds(100));
  const milliseconds woken = kStart + milliseconds(5000);
  EXPECT_FALSE(paused.RecordKnown(woken, woken));
  EXPECT_EQ(paused.WithoutGapSince(), woken);
}

} // namespace

} // namespace siskindeal

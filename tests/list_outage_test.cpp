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

} // namespace

} // namespace siskindeal

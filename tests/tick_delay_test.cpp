// Tests how delays of a periodic task are measured.

#include "net/tick_delay_p.h"

#include <gtest/gtest.h>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

TEST(TickDelay, PauseBetweenTicksIsMeasuredOnce)
{
  constexpr milliseconds kInterval{ 20 };
  TickDelay delay(kInterval);
  MonotonicClockPoint now{};
  EXPECT_EQ(delay.Record(now), milliseconds(0));
  now += kInterval;
  EXPECT_EQ(delay.Record(now), milliseconds(0));
  now += milliseconds(720);
  EXPECT_EQ(delay.Record(now), milliseconds(700));
  now += milliseconds(1);
  EXPECT_EQ(delay.Record(now), milliseconds(0));
}

} // namespace

} // namespace siskindeal

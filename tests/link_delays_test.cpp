// Tests the measured queueing delay between regions.

#include "gateway/link_delays_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStart{ 7000000 };
constexpr milliseconds kInterval{ 280 }; // of one sender to one receiver
constexpr milliseconds kPropagation{ 15 };
constexpr milliseconds kQueue{ 1500 };

class LinkDelaysTest : public testing::Test
{
protected:
  // A report of aSender, whose clock is ahead by aClock.
  void Report(milliseconds aQueued,
              const LinkDelays::Sender& aSender = { "far-1", 1 },
              milliseconds aClock = std::chrono::hours(30))
  {
    m_delays.RecordReport(
      "far", aSender, m_now + aClock - kPropagation - aQueued, m_now);
  }

  // Reports without a queue.
  void Run(milliseconds aFor,
           const LinkDelays::Sender& aSender = { "far-1", 1 })
  {
    for (const milliseconds end = m_now + aFor; m_now < end;
         m_now += kInterval) {
      Report(milliseconds(0), aSender);
    }
  }

  milliseconds Inbound() const { return m_delays.Inbound("far", m_now); }

  LinkDelays m_delays;
  milliseconds m_now = kStart;
};

TEST_F(LinkDelaysTest, QueueIsMeasuredWithoutSynchronizedClocks)
{
  Run(milliseconds(3000));
  EXPECT_EQ(Inbound(), milliseconds(0));
  Report(kQueue);
  EXPECT_EQ(Inbound(), kQueue);
}

TEST_F(LinkDelaysTest, OneFreshReportEndsADelay)
{
  Run(milliseconds(3000));
  Report(kQueue);
  m_now += kInterval;
  Report(milliseconds(0));
  EXPECT_EQ(Inbound(), milliseconds(0));
}

TEST_F(LinkDelaysTest, SchedulingOfProcessesIsNoQueue)
{
  Run(milliseconds(3000));
  Report(milliseconds(15));
  EXPECT_EQ(Inbound(), milliseconds(0));
}

TEST_F(LinkDelaysTest, SilenceRaisesTheDelayAndIsForgotten)
{
  Run(milliseconds(3000));
  const milliseconds last = m_now - kInterval;
  m_now = last + milliseconds(600); // some reports were lost
  EXPECT_EQ(Inbound(), milliseconds(0));
  m_now = last + milliseconds(2700);
  EXPECT_EQ(Inbound(), milliseconds(2000));
  m_now = last + milliseconds(5001);
  EXPECT_EQ(Inbound(), milliseconds(0));
}

// Its first reports may all have been queued.
TEST_F(LinkDelaysTest, RestartedSenderDoesNotHideAQueue)
{
  Run(milliseconds(3000));
  Report(kQueue);
  m_now += milliseconds(140);
  Report(kQueue, { "far-2", 1 }, milliseconds(5));
  EXPECT_EQ(Inbound(), kQueue);
  m_now += milliseconds(140);
  Report(milliseconds(0));
  m_now += milliseconds(140);
  Report(milliseconds(0), { "far-2", 1 }, milliseconds(5));
  EXPECT_EQ(Inbound(), milliseconds(0));
}

TEST_F(LinkDelaysTest, ClockOfARestartedMachineIsNoDelay)
{
  Run(milliseconds(3000));
  m_now += kInterval;
  Report(milliseconds(0), { "far-1", 2 }, milliseconds(40));
  EXPECT_EQ(Inbound(), milliseconds(0));
  Report(kQueue, { "far-1", 2 }, milliseconds(40));
  EXPECT_EQ(Inbound(), kQueue);
}

TEST_F(LinkDelaysTest, StandingDifferenceIsForgottenAfterTwoPeriods)
{
  Run(milliseconds(3000));
  const milliseconds start = m_now;
  for (; m_now < start + milliseconds(110000); m_now += kInterval) {
    Report(kQueue);
  }
  EXPECT_EQ(Inbound(), kQueue);
  for (; m_now < start + milliseconds(245000); m_now += kInterval) {
    Report(kQueue);
  }
  EXPECT_EQ(Inbound(), milliseconds(0));
}

// Its first reports may all have been queued.
TEST_F(LinkDelaysTest, RestartedReceiverDoesNotHideAQueue)
{
  Report(kQueue);
  for (int i = 0; i < 10; ++i, m_now += kInterval) {
    m_delays.RecordRelayed("far", { kQueue, milliseconds(9000) }, m_now);
    Report(kQueue);
    EXPECT_EQ(Inbound(), kQueue) << i;
  }
}

TEST_F(LinkDelaysTest, RestartedReceiverElsewhereDoesNotHideAQueue)
{
  for (int i = 0; i < 10; ++i, m_now += kInterval) {
    m_delays.RecordOutbound("far", { kQueue, milliseconds(9000) }, m_now);
    m_delays.RecordOutbound("far", { milliseconds(0), kInterval * i }, m_now);
    EXPECT_EQ(m_delays.Outbound("far", m_now), kQueue) << i;
  }
}

TEST_F(LinkDelaysTest, WhatAnotherGatewayMeasuredIsNotRelayedAsOwn)
{
  m_delays.RecordRelayed("far", { kQueue, milliseconds(9000) }, m_now);
  EXPECT_TRUE(m_delays.Measurements(m_now).empty());
}

TEST_F(LinkDelaysTest, ReportsWithoutATimeLeaveNoDelay)
{
  Run(milliseconds(3000));
  Report(kQueue);
  m_delays.Forget("far");
  m_now += milliseconds(2000);
  EXPECT_EQ(Inbound(), milliseconds(0));
}

TEST_F(LinkDelaysTest, RelayedMeasurementGivesWayToTheOwn)
{
  m_delays.RecordRelayed("far", { kQueue, milliseconds(0) }, m_now);
  EXPECT_EQ(Inbound(), kQueue);
  Run(milliseconds(3000));
  m_delays.RecordRelayed("far", { kQueue, milliseconds(0) }, m_now);
  EXPECT_EQ(Inbound(), milliseconds(0));
}

TEST_F(LinkDelaysTest, RoundTripIncludesWhatTheOtherRegionMeasured)
{
  Run(milliseconds(3000));
  Report(kQueue);
  m_delays.RecordOutbound(
    "far", { milliseconds(400), milliseconds(3000) }, m_now);
  EXPECT_EQ(m_delays.RoundTrips(m_now).at("far"), kQueue + milliseconds(400));
  m_now += milliseconds(5001);
  EXPECT_EQ(m_delays.Outbound("far", m_now), milliseconds(0));
}

// Two senders whose reports share one queue; a third of them is lost.
class SharedLink
{
public:
  explicit SharedLink(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  // Plays a queue that grows and shrinks; returns the largest difference
  // between the delay of the last report that arrived and the estimate.
  milliseconds Play(milliseconds aFor)
  {
    milliseconds worst{ 0 };
    for (milliseconds now = kStart; now < kStart + aFor; ++now) {
      Step(now);
      const bool isWarm = now > kStart + milliseconds(5000);
      if (isWarm && m_lastQueued) {
        worst = std::max(worst, *m_lastQueued - m_delays.Inbound("far", now));
      }
    }
    return worst;
  }

private:
  struct Report
  {
    LinkDelays::Sender m_sender;
    milliseconds m_sentAt{ 0 };
    milliseconds m_queued{ 0 };
  };

  void Step(milliseconds aNow)
  {
    if (aNow.count() % 2000 == 0) {
      // The queue is empty at first, so that both baselines are known.
      m_growth =
        aNow < kStart + milliseconds(4000) ? 0 : 1.2 * (m_random.Unit() - 0.5);
    }
    m_queue = std::clamp(m_queue + m_growth, 0.0, 3000.0);
    for (int sender = 0; sender < 2; ++sender) {
      if ((aNow.count() + sender * 97) % kInterval.count() == 0 &&
          m_random.Unit() > 1.0 / 3) {
        const milliseconds queued(static_cast<std::int64_t>(m_queue));
        m_inFlight.emplace(aNow + kPropagation + queued,
                           Report{ { "far-" + std::to_string(sender), 1 },
                                   aNow + milliseconds(sender * 100000),
                                   queued });
      }
    }
    while (!m_inFlight.empty() && m_inFlight.begin()->first <= aNow) {
      const Report report = m_inFlight.begin()->second;
      m_inFlight.erase(m_inFlight.begin());
      m_delays.RecordReport("far", report.m_sender, report.m_sentAt, aNow);
      m_lastQueued = report.m_queued;
    }
  }

  Random m_random;
  LinkDelays m_delays;
  std::multimap<milliseconds, Report> m_inFlight;
  std::optional<milliseconds> m_lastQueued;
  double m_queue = 0;
  double m_growth = 0;
};

TEST(LinkDelaysRun, DelayOfTheLastReportIsNeverUnderestimated)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SharedLink link(seed);
    // Shorter queues count as the scheduling of processes.
    EXPECT_LE(link.Play(milliseconds(30000)), milliseconds(20)) << seed;
  }
}

} // namespace

} // namespace siskindeal

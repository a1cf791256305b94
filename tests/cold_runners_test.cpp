// Runs the limits of cold runners over a given clock: gateways that share a
// runner, some cut off from the others, stopped for a while or started late.

#include "dispatch/cold_runners_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };
constexpr double kColdPerSecond = 18;
constexpr double kAllowedPerSecond = kColdPerSecond * 1.5 + 5;

ServiceRecord
Service()
{
  ServiceRecord service;
  service.m_name = "post";
  service.m_coldPerSecond = kColdPerSecond;
  service.m_coldStart = seconds(3);
  return service;
}

RunnerRecord
Runner(std::optional<milliseconds> aColdFor, std::uint64_t aBorn = 1)
{
  RunnerRecord runner;
  runner.m_id = "i-1";
  runner.m_born = aBorn;
  runner.m_service = "post";
  runner.m_coldFor = aColdFor;
  return runner;
}

// The sends that a runner may get, of which most are refused.
int
CountSends(ColdRunners& aCold,
           RunnerLimits::Position aPosition,
           MonotonicTime aFrom,
           milliseconds aFor)
{
  const RunnerIncarnation runner = Runner({}).Incarnation();
  int sends = 0;
  for (MonotonicTime now = aFrom; now < aFrom + aFor; now += milliseconds(5)) {
    if ((now - aFrom) % milliseconds(140) == milliseconds(0)) {
      aCold.Update([&](const auto&) { return aPosition; },
                   [](const auto&) { return true; },
                   now);
    }
    if (aCold.Allows(runner, now)) {
      aCold.RecordSend(runner, now);
      ++sends;
    }
  }
  return sends;
}

TEST(ColdRunners, RunnerIsColdForTheTimeItStates)
{
  ColdRunners cold;
  cold.Observe(Runner(milliseconds(2000)), Service(), kStart);
  const RunnerIncarnation runner = Runner({}).Incarnation();
  EXPECT_TRUE(cold.IsCold(runner, kStart + milliseconds(1999)));
  EXPECT_FALSE(cold.IsCold(runner, kStart + milliseconds(2000)));
  // The same statement again is not a new one.
  cold.Observe(Runner(milliseconds(2000)), Service(), kStart + seconds(1));
  EXPECT_FALSE(cold.IsCold(runner, kStart + milliseconds(2000)));
  cold.Observe(Runner(milliseconds(1500)), Service(), kStart + seconds(1));
  EXPECT_TRUE(cold.IsCold(runner, kStart + milliseconds(2499)));
}

TEST(ColdRunners, StartThatStatesNothingIsColdAsLongAsTheServiceSays)
{
  ColdRunners cold;
  cold.Observe(Runner(milliseconds(0)), Service(), kStart);
  EXPECT_FALSE(cold.IsCold(Runner({}).Incarnation(), kStart));
  cold.Observe(Runner({}, 2), Service(), kStart);
  EXPECT_TRUE(
    cold.IsCold(Runner({}, 2).Incarnation(), kStart + milliseconds(2999)));
  EXPECT_FALSE(cold.IsCold(Runner({}, 2).Incarnation(), kStart + seconds(3)));
}

TEST(ColdRunners, RunnersOfAReturnedPlaceAreCold)
{
  ColdRunners cold;
  cold.Observe(Runner(milliseconds(0)), Service(), kStart);
  cold.RecordReturn(Runner(milliseconds(0)), Service(), kStart);
  const RunnerIncarnation runner = Runner({}).Incarnation();
  EXPECT_TRUE(cold.IsCold(runner, kStart + seconds(2)));
  EXPECT_FALSE(cold.IsCold(runner, kStart + seconds(3)));
}

TEST(ColdRunners, NothingIsLimitedWhereTheServiceNamesNoRate)
{
  ColdRunners cold;
  ServiceRecord service = Service();
  service.m_coldPerSecond = 0;
  cold.Observe(Runner(seconds(9)), service, kStart);
  cold.RecordReturn(Runner(seconds(9)), service, kStart);
  cold.RecordCrash(Runner({}).Incarnation(), service, kStart);
  EXPECT_EQ(CountSends(cold, { 0, 1 }, kStart, seconds(1)), 200);
}

TEST(ColdRunners, GatewayAloneSendsNoMoreThanTheRunnerTolerates)
{
  ColdRunners cold;
  cold.Observe(Runner(milliseconds(3000)), Service(), kStart);
  const int sends = CountSends(cold, { 0, 1 }, kStart, seconds(3));
  EXPECT_LE(sends, 3 * kColdPerSecond);
  EXPECT_GE(sends, 2 * kColdPerSecond);
  EXPECT_EQ(CountSends(cold, { 0, 1 }, kStart + seconds(3), seconds(1)), 200);
}

// The gateways of one region. One that has just started believes that it is the
// first of them, until it has heard the others.
class ColdFleet
{
public:
  ColdFleet(std::size_t aGateways, std::uint64_t aSeed)
    : m_random(aSeed)
    , m_gateways(aGateways)
  {
  }

  // Returns the most requests that the runner gets within a second.
  std::size_t Play()
  {
    const MonotonicTime returnsAt = kStart + seconds(2);
    for (Gateway& gateway : m_gateways) {
      gateway.m_learnsAt = returnsAt + milliseconds(m_random.Below(300));
    }
    for (MonotonicTime now = returnsAt; now < returnsAt + seconds(5);
         now += milliseconds(5)) {
      for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        Step(i, now);
      }
    }
    return m_most;
  }

private:
  struct Gateway
  {
    ColdRunners m_cold;
    MonotonicTime m_learnsAt{};
    bool m_knows = false;
    MonotonicTime m_hearsOthersAt{};
    MonotonicTime m_stoppedUntil{};
    MonotonicTime m_updatedAt{};
  };

  void Step(std::size_t aIndex, MonotonicTime aNow)
  {
    Gateway& gateway = m_gateways[aIndex];
    if (m_random.Below(4000) == 0) {
      gateway.m_stoppedUntil = aNow + milliseconds(m_random.Below(4000));
    }
    if (m_random.Below(8000) == 0) { // restarted
      gateway.m_cold = ColdRunners();
      gateway.m_knows = false;
      gateway.m_learnsAt = aNow + milliseconds(m_random.Below(500));
      gateway.m_hearsOthersAt = gateway.m_learnsAt + milliseconds(300);
    }
    if (aNow < gateway.m_stoppedUntil || aNow < gateway.m_learnsAt) {
      return; // while it doesn't know that the place is back, it sends nothing
    }
    if (!gateway.m_knows) {
      gateway.m_knows = true;
      const milliseconds left =
        std::chrono::duration_cast<milliseconds>(kStart + seconds(5) - aNow);
      gateway.m_cold.Observe(
        Runner(std::max(left, milliseconds(0))), Service(), aNow);
    }
    if (aNow - gateway.m_updatedAt >= milliseconds(140)) {
      gateway.m_updatedAt = aNow;
      Update(gateway, aIndex, aNow);
    }
    const RunnerIncarnation runner = Runner({}).Incarnation();
    if (gateway.m_cold.IsCold(runner, aNow) &&
        gateway.m_cold.Allows(runner, aNow)) {
      gateway.m_cold.RecordSend(runner, aNow);
      RecordSend(aNow);
    }
  }

  void Update(Gateway& aGateway, std::size_t aIndex, MonotonicTime aNow)
  {
    const RunnerLimits::Position position{
      aNow < aGateway.m_hearsOthersAt ? 0 : aIndex, m_gateways.size()
    };
    aGateway.m_cold.Update([&](const auto&) { return position; },
                           [](const auto&) { return true; },
                           aNow);
  }

  void RecordSend(MonotonicTime aNow)
  {
    m_sends.push_back(aNow);
    while (aNow - m_sends.front() >= seconds(1)) {
      m_sends.pop_front();
    }
    m_most = std::max(m_most, m_sends.size());
  }

  Random m_random;
  std::vector<Gateway> m_gateways;
  std::deque<MonotonicTime> m_sends; // of the last second
  std::size_t m_most = 0;
};

// Guards against a place that returns from an evacuation and whose cold runners
// get requests from all gateways at once.
TEST(ColdRunners, ColdRunnerIsNotFloodedInLongRuns)
{
  constexpr std::uint64_t kSeeds = 200;
  for (const std::size_t gateways : { 1, 2, 12, 35 }) {
    std::size_t most = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const std::size_t sends = ColdFleet(gateways, seed).Play();
      ASSERT_LE(static_cast<double>(sends), kAllowedPerSecond)
        << gateways << " gateways, seed " << seed;
      most = std::max(most, sends);
    }
    EXPECT_GE(static_cast<double>(most), kColdPerSecond / 2);
  }
}

} // namespace

} // namespace siskindeal

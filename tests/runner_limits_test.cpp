// Tests the limits on requests that runners name in their responses.

#include "dispatch/runner_limits_p.h"
#include "siskindeal/random.h"
#include "support/gateway_fixture.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLimit = 1; // requests a second
const RunnerIncarnation kRunner{ "i-1", 7 };
const MonotonicTime kStart{ std::chrono::hours(1) };

// What a runner that names this limit may get within four seconds.
double
AllowedInWindow(double aLimit)
{
  constexpr double kFactor = 1.5;
  constexpr double kWindowSeconds = 4;
  constexpr double kSlack = 5;
  return kFactor * aLimit * kWindowSeconds + kSlack;
}

bool
IsKnown(const RunnerIncarnation&)
{
  return true;
}

RunnerLimits::PositionOf
At(std::size_t aRank, std::size_t aGateways)
{
  return [=](const RunnerIncarnation&) {
    return RunnerLimits::Position{ aRank, aGateways };
  };
}

// The requests that a gateway at a position sends within aDuration.
int
SendsWithin(milliseconds aDuration,
            RunnerLimits& aLimits,
            const RunnerLimits::PositionOf& aPosition,
            MonotonicTime& aNow)
{
  int sends = 0;
  const MonotonicTime end = aNow + aDuration;
  for (; aNow < end; aNow += milliseconds(20)) {
    aLimits.Update(aPosition, IsKnown, aNow);
    if (aLimits.Allows(kRunner, aNow)) {
      aLimits.RecordSend(kRunner, aNow);
      ++sends;
    }
  }
  return sends;
}

TEST(RunnerLimits, RunnerWithoutALimitIsNotHeldBack)
{
  RunnerLimits limits;
  limits.RecordResponse(kRunner, std::nullopt, kStart, kStart);
  EXPECT_TRUE(limits.Allows(kRunner, kStart));
  EXPECT_TRUE(limits.Advertise(kStart).empty());
}

TEST(RunnerLimits, SmallLimitHasOneHolderAndALargeOneHasMany)
{
  struct Case
  {
    double m_limit;
    std::size_t m_gateways;
    std::size_t m_holders;
  };
  for (const Case& one : { Case{ 1.8, 9, 1 },
                           Case{ 0.1, 340, 1 },
                           Case{ 10, 9, 5 },
                           Case{ 200, 9, 9 },
                           Case{ 200, 340, 100 } }) {
    std::size_t holders = 0;
    for (std::size_t rank = 0; rank < one.m_gateways; ++rank) {
      RunnerLimits limits;
      limits.RecordResponse(kRunner, one.m_limit, kStart, kStart);
      limits.Update(At(rank, one.m_gateways), IsKnown, kStart);
      holders += limits.Allows(kRunner, kStart) ? 1 : 0;
    }
    EXPECT_EQ(holders, one.m_holders) << one.m_limit;
  }
}

TEST(RunnerLimits, UnusableLimitAllowsFewRequests)
{
  for (const double limit :
       { 0.0, -3.0, std::nan(""), std::numeric_limits<double>::infinity() }) {
    RunnerLimits limits;
    MonotonicTime now = kStart;
    limits.RecordResponse(kRunner, limit, now, now);
    const int sends = SendsWithin(seconds(60), limits, At(0, 1), now);
    EXPECT_GE(sends, 1) << limit;
    EXPECT_LE(sends, 15) << limit;
  }
}

TEST(RunnerLimits, LimitEndsWithAResponseToALaterRequestOnly)
{
  RunnerLimits limits;
  const MonotonicTime later = kStart + seconds(1);
  limits.RecordResponse(kRunner, 2, kStart, kStart);
  limits.RecordResponse(kRunner, std::nullopt, kStart - seconds(1), later);
  EXPECT_EQ(limits.LimitOf(kRunner), 2);
  limits.RecordResponse(kRunner, std::nullopt, kStart + milliseconds(1), later);
  EXPECT_FALSE(limits.LimitOf(kRunner));
  EXPECT_TRUE(limits.Allows(kRunner, later));
}

TEST(RunnerLimits, LimitOfAnEarlierStartDoesNotApply)
{
  RunnerLimits limits;
  limits.RecordResponse(kRunner, 2, kStart, kStart);
  EXPECT_TRUE(limits.Allows({ kRunner.m_id, kRunner.m_created + 1 }, kStart));
}

// Guards against a runner in need that is taken for an idle one, as its entry
// lapsed and came back.
TEST(RunnerLimits, LimitOutlastsAnAbsenceFromTheList)
{
  constexpr double kLimit = 0.5;
  constexpr milliseconds kAbsence{ 5000 };
  const auto isUnknown = [](const RunnerIncarnation&) { return false; };
  RunnerLimits limits;
  limits.RecordResponse(kRunner, kLimit, kStart, kStart);
  MonotonicTime now = kStart;
  SendsWithin(milliseconds(4000), limits, At(0, 2), now);
  const MonotonicTime returnsAt = now + kAbsence;
  for (; now < returnsAt; now += milliseconds(100)) {
    limits.Update(At(0, 2), isUnknown, now);
    EXPECT_TRUE(limits.Advertise(now).empty());
  }
  EXPECT_EQ(limits.LimitOf(kRunner), kLimit);
  EXPECT_LE(SendsWithin(milliseconds(4000), limits, At(0, 2), now),
            AllowedInWindow(kLimit));
  EXPECT_EQ(limits.Advertise(now).size(), 1U);
  // A runner that doesn't come back is forgotten.
  limits.Update(At(0, 2), isUnknown, now + RunnerLimits::kMemory);
  EXPECT_EQ(limits.LimitOf(kRunner), std::nullopt);
}

TEST(RunnerLimits, OlderKnowledgeDoesNotUndoNewer)
{
  RunnerLimits limits;
  limits.RecordResponse(kRunner, 2, kStart, kStart);
  limits.Merge(kRunner, { 5, kStart - seconds(1), kStart }, kStart);
  EXPECT_EQ(limits.LimitOf(kRunner), 2);
  limits.Merge(kRunner, { std::nullopt, kStart - seconds(1), {} }, kStart);
  EXPECT_EQ(limits.LimitOf(kRunner), 2);
  limits.Merge(kRunner, { std::nullopt, kStart + seconds(1), {} }, kStart);
  EXPECT_FALSE(limits.LimitOf(kRunner));
}

TEST(RunnerLimits, GatewayThatMissedTheEndOfALimitIsTold)
{
  RunnerLimits limits;
  limits.RecordResponse(kRunner, 2, kStart, kStart);
  limits.RecordResponse(kRunner, std::nullopt, kStart, kStart);
  const MonotonicTime later = kStart + seconds(60);
  EXPECT_TRUE(limits.Advertise(later).empty());
  limits.Merge(kRunner, { 2, kStart - seconds(1), kStart }, later);
  EXPECT_EQ(limits.Advertise(later).size(), 1U);
}

TEST(RunnerLimits, NewHolderWaitsUntilTheOldOneHasStopped)
{
  RunnerLimits limits;
  MonotonicTime now = kStart;
  limits.RecordResponse(kRunner, 2, now, now);
  EXPECT_EQ(SendsWithin(seconds(10), limits, At(1, 9), now), 0);
  EXPECT_EQ(SendsWithin(milliseconds(900), limits, At(0, 9), now), 0);
  EXPECT_GE(SendsWithin(seconds(10), limits, At(0, 9), now), 10);
}

// Gateways that send to one runner as often as they may, while datagrams are
// lost and late, gateways restart and freeze, and the limit changes.
class LimitedFleet
{
public:
  LimitedFleet(std::size_t aGateways, double aLoss, std::uint64_t aSeed)
    : m_gateways(aGateways)
    , m_loss(aLoss)
    , m_random(aSeed)
  {
  }

  void Run(milliseconds aDuration)
  {
    const MonotonicTime end = kStart + aDuration;
    for (m_now = kStart; m_now < end; m_now += kTick, ++m_ticks) {
      ChangeLimit();
      DisturbGateways();
      DeliverBeacons();
      for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        RunGateway(i);
      }
      Check();
    }
  }

  int Violations() const { return m_violations; }
  int LimitedSends() const { return m_limitedSends; }
  double LimitedRequestsAllowed() const { return m_allowedRequests; }

private:
  static constexpr milliseconds kTick{ 20 };
  static constexpr int kTicksPerBeacon = 7;
  static constexpr milliseconds kStableWindow{ 3000 };
  static constexpr milliseconds kWindow{ 4000 };
  static constexpr milliseconds kPeerTimeout{ 500 };
  static constexpr milliseconds kToldBefore{ 500 };

  struct Gateway
  {
    std::unique_ptr<RunnerLimits> m_limits = std::make_unique<RunnerLimits>();
    std::map<std::size_t, MonotonicTime> m_heard; // peers
    MonotonicTime m_frozenUntil{};
    MonotonicTime m_excusedUntil{};
    std::optional<MonotonicTime> m_toldAt; // by the runner itself
  };

  struct Beacon
  {
    MonotonicTime m_at{};
    std::size_t m_from = 0;
    std::size_t m_to = 0;
    MonotonicTime m_sentAt{};
    std::vector<std::pair<RunnerIncarnation, RunnerLimit>> m_limits;
  };

  void ChangeLimit()
  {
    if (m_now < m_nextChange) {
      return;
    }
    m_nextChange = m_now + milliseconds(6000 + m_random.Below(15000));
    if (m_random.Chance(0.25)) {
      m_limit.reset();
      m_namedAt.reset();
      return;
    }
    m_limit = m_random.Chance(0.7) ? 0.5 + m_random.Unit() * 4
                                   : 5 + m_random.Unit() * 60;
    if (!m_namedAt) {
      m_namedAt = m_now;
    }
  }

  void DisturbGateways()
  {
    if (m_random.Chance(0.002)) {
      Gateway& gateway = m_gateways[m_random.Below(m_gateways.size())];
      gateway = {};
      gateway.m_excusedUntil = m_now + kStableWindow + kWindow;
    }
    if (m_random.Chance(0.002)) {
      Gateway& gateway = m_gateways[m_random.Below(m_gateways.size())];
      gateway.m_frozenUntil = m_now + milliseconds(500 + m_random.Below(4000));
      gateway.m_excusedUntil = gateway.m_frozenUntil + kStableWindow + kWindow;
    }
  }

  void DeliverBeacons()
  {
    std::erase_if(m_beacons, [&](const Beacon& aBeacon) {
      Gateway& to = m_gateways[aBeacon.m_to];
      if (aBeacon.m_at > m_now || to.m_frozenUntil > m_now) {
        return false;
      }
      to.m_heard[aBeacon.m_from] = m_now;
      // Ages count from the arrival, as clocks aren't synchronized.
      const auto delay = m_now - aBeacon.m_sentAt;
      for (const auto& [runner, limit] : aBeacon.m_limits) {
        to.m_limits->Merge(
          runner,
          { limit.m_perSecond, limit.m_namedAt + delay, limit.m_since + delay },
          m_now);
      }
      return true;
    });
  }

  RunnerLimits::Position PositionOf(std::size_t aIndex) const
  {
    RunnerLimits::Position position;
    for (const auto& [peer, heardAt] : m_gateways[aIndex].m_heard) {
      if (m_now - heardAt < kPeerTimeout) {
        ++position.m_gateways;
        position.m_rank += peer < aIndex ? 1 : 0;
      }
    }
    return position;
  }

  void RunGateway(std::size_t aIndex)
  {
    Gateway& gateway = m_gateways[aIndex];
    if (gateway.m_frozenUntil > m_now) {
      return;
    }
    if (m_ticks % kTicksPerBeacon == 0) {
      const Position position = PositionOf(aIndex);
      gateway.m_limits->Update(
        [&](const RunnerIncarnation&) { return position; }, IsKnown, m_now);
      SendBeacons(aIndex);
    }
    constexpr double kArrivalChance = 0.3;
    if (m_random.Chance(kArrivalChance) &&
        gateway.m_limits->Allows(kRunner, m_now)) {
      Send(gateway);
    }
  }

  using Position = RunnerLimits::Position;

  void SendBeacons(std::size_t aFrom)
  {
    const auto limits = m_gateways[aFrom].m_limits->Advertise(m_now);
    for (std::size_t to = 0; to < m_gateways.size(); ++to) {
      if (to != aFrom && !m_random.Chance(m_loss)) {
        m_beacons.push_back({ m_now + milliseconds(m_random.Below(60)),
                              aFrom,
                              to,
                              m_now,
                              limits });
      }
    }
  }

  void Send(Gateway& aGateway)
  {
    aGateway.m_limits->RecordSend(kRunner, m_now);
    const bool wasTold =
      aGateway.m_toldAt && m_now - *aGateway.m_toldAt >= kToldBefore;
    if (m_namedAt && m_now - *m_namedAt > kStableWindow) {
      ++m_limitedSends;
      if (wasTold && aGateway.m_excusedUntil <= m_now) {
        m_sends.push_back(m_now);
      }
    }
    aGateway.m_limits->RecordResponse(kRunner, m_limit, m_now, m_now);
    if (m_limit) {
      aGateway.m_toldAt = aGateway.m_toldAt.value_or(m_now);
    } else {
      aGateway.m_toldAt.reset();
    }
  }

  void Check()
  {
    m_recentLimits.push_back(m_limit.value_or(0));
    // A response binds its gateway half a second later, also to a lower limit.
    if (m_recentLimits.size() >
        static_cast<std::size_t>((kWindow + kToldBefore) / kTick)) {
      m_recentLimits.pop_front();
    }
    while (!m_sends.empty() && m_now - m_sends.front() > kWindow) {
      m_sends.pop_front();
    }
    if (!m_namedAt || m_now - *m_namedAt <= kStableWindow + kWindow) {
      m_sends.clear();
      return;
    }
    m_allowedRequests +=
      *m_limit * std::chrono::duration<double>(kTick).count();
    const double limit =
      *std::max_element(m_recentLimits.begin(), m_recentLimits.end());
    m_violations +=
      static_cast<double>(m_sends.size()) > AllowedInWindow(limit) ? 1 : 0;
  }

  std::vector<Gateway> m_gateways;
  double m_loss;
  Random m_random;
  MonotonicTime m_now = kStart;
  int m_ticks = 0;
  std::optional<double> m_limit; // that the runner names
  std::optional<MonotonicTime> m_namedAt;
  MonotonicTime m_nextChange = kStart + seconds(2);
  std::vector<Beacon> m_beacons;
  std::deque<MonotonicTime> m_sends; // in the window, by gateways in touch
  std::deque<double> m_recentLimits;
  int m_violations = 0;
  int m_limitedSends = 0;
  double m_allowedRequests = 0;
};

TEST(RunnerLimits, FleetKeepsToTheLimitUnderFaultsAndUsesIt)
{
  constexpr std::uint64_t kSeeds = 60;
  constexpr double kLeastUse = 0.4;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::size_t gateways = seed % 10 == 0 ? 60 : 9;
    const double loss = seed % 3 == 0 ? 0.33 : 0.03;
    SCOPED_TRACE(testing::Message() << "seed " << seed << ", " << gateways
                                    << " gateways, loss " << loss);
    LimitedFleet fleet(gateways, loss, seed);
    fleet.Run(seconds(60));
    EXPECT_EQ(fleet.Violations(), 0);
    EXPECT_GE(fleet.LimitedSends(), kLeastUse * fleet.LimitedRequestsAllowed());
  }
}

class LimitedRunnersTest : public GatewayTest
{
protected:
  void AddRunner(const std::string& aId, const std::string& aLimit)
  {
    m_site.AddRunner(aId, "get", [this, aId, aLimit](const auto& aConnection) {
      HttpFields fields = SignedFields();
      if (!aLimit.empty()) {
        ++m_limitedRequests;
        fields.Add("Server-Limit", aLimit);
      }
      aConnection->SendResponse(200, {}, fields, "ok");
    });
  }

  std::atomic<int> m_limitedRequests = 0;
};

TEST_F(LimitedRunnersTest, RunnerGetsNoMoreThanTheLimitThatItNamed)
{
  constexpr int kRequests = 60;
  AddRunner("i-1", std::to_string(kLimit));
  AddRunner("i-2", {});
  StartAndAwaitReady();
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    const std::string path = "/get/" + std::to_string(i);
    EXPECT_NE(SendRequest(Request("GET", path)).find(" 200 "),
              std::string::npos);
  }
  const auto windows =
    1 + (std::chrono::steady_clock::now() - start) / seconds(4);
  EXPECT_LE(m_limitedRequests,
            AllowedInWindow(kLimit) * static_cast<double>(windows));
}

} // namespace

} // namespace siskindeal

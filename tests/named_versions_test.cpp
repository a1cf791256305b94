// Tests which version of weights requests must run on, however many versions
// are named and however the news of them travels.

#include "dispatch/named_versions_p.h"

#include "dispatch/placement_p.h"
#include "net/datagrams_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

const std::string kModel = "m";
constexpr milliseconds kBound{ 8000 };

// Every version with the time at which it was named; forgets nothing.
class FullHistory
{
public:
  void Record(std::uint64_t aVersion, milliseconds aAt)
  {
    const auto [entry, isNew] = m_times.emplace(aVersion, aAt);
    entry->second = std::min(entry->second, aAt);
  }

  std::optional<std::uint64_t> NewestOlderThan(milliseconds aAge,
                                               milliseconds aNow) const
  {
    for (auto entry = m_times.rbegin(); entry != m_times.rend(); ++entry) {
      if (aNow - entry->second >= aAge) {
        return entry->first;
      }
    }
    return std::nullopt;
  }

private:
  std::map<std::uint64_t, milliseconds> m_times;
};

TEST(NamedVersions, EachVersionIsDueFromTheTimeItWasNamed)
{
  NamedVersions named;
  EXPECT_TRUE(named.Record(kModel, 2, milliseconds(1000)));
  EXPECT_TRUE(named.Record(kModel, 3, milliseconds(3000)));
  EXPECT_FALSE(named.Record(kModel, 3, milliseconds(3500)));
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(8999)),
            std::nullopt);
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(9000)), 2U);
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(11000)), 3U);
  EXPECT_EQ(named.NextAfter(kModel, 2)->m_version, 3U);
  EXPECT_EQ(named.NextAfter(kModel, 3), std::nullopt);
}

TEST(NamedVersions, KeepsTheEarliestReportedTime)
{
  NamedVersions named;
  named.Record(kModel, 2, milliseconds(5000));
  named.Record(kModel, 2, milliseconds(1000));
  EXPECT_EQ(named.NamedAt(kModel, 2), milliseconds(1000));
}

TEST(NamedVersions, DueVersionIsNotForgottenForManyNewerOnes)
{
  NamedVersions named;
  for (int i = 0; i < 12; ++i) {
    named.Record(kModel, 2 + i, milliseconds(1000 + 100 * i));
  }
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(9000)), 2U);
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(9350)), 5U);
}

TEST(NamedVersions, PeerThatIsToldOfManyVersionsRequiresTheDueOne)
{
  NamedVersions named;
  for (int i = 0; i < 12; ++i) {
    named.Record(kModel, 2 + i, milliseconds(1000 + 100 * i));
  }
  v1::GatewayBeacon beacon;
  AppendNamedAges(named, milliseconds(9000), *beacon.mutable_named());
  NamedVersions told;
  for (const v1::NamedAge& age : beacon.named()) {
    RecordNamedAge(told, age, milliseconds(9000));
  }
  EXPECT_EQ(told.NewestOlderThan(kModel, kBound, milliseconds(9000)), 2U);
}

TEST(NamedVersions, AssumedTimeIsReplacedByAReport)
{
  NamedVersions named;
  named.Record(kModel, 2, milliseconds(6000));
  EXPECT_TRUE(named.RecordAssumed(kModel, 3, milliseconds(4000)));
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(12000)), 3U);
  EXPECT_FALSE(named.Record(kModel, 3, milliseconds(9000)));
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(12000)),
            std::nullopt);
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(14000)), 2U);
  EXPECT_FALSE(named.RecordAssumed(kModel, 3, milliseconds(1000)));
  EXPECT_EQ(named.NamedAt(kModel, 3), milliseconds(9000));
}

TEST(NamedVersions, ReportOfANewerVersionDoesNotDelayAnAssumedOne)
{
  NamedVersions named;
  named.RecordAssumed(kModel, 5, milliseconds(1000));
  named.Record(kModel, 7, milliseconds(6000));
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(9000)), 5U);
}

TEST(NamedVersions, EarliestOfSeveralAssumedTimesCounts)
{
  NamedVersions named;
  named.RecordAssumed(kModel, 5, milliseconds(4000));
  named.RecordAssumed(kModel, 5, milliseconds(1000));
  named.RecordAssumed(kModel, 7, milliseconds(3000));
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(9000)), 5U);
  EXPECT_EQ(named.NewestOlderThan(kModel, kBound, milliseconds(11000)), 7U);
}

TEST(NamedVersions, RaisedGreatestAgeDoesNotAllowOlderWeights)
{
  NamedVersions named{ kBound };
  named.Record(kModel, 2, milliseconds(1000));
  named.Record(kModel, 3, milliseconds(2000));
  named.Record(kModel, 4, milliseconds(11000));
  named.RaiseMaxAge(kBound * 2);
  EXPECT_GE(named.NewestOlderThan(kModel, kBound * 2, milliseconds(17000)), 2U);
}

TEST(NamedVersions, AssumedTimeStaysAssumedForPeers)
{
  NamedVersions named;
  named.RecordAssumed(kModel, 3, milliseconds(4000));
  v1::GatewayBeacon beacon;
  AppendNamedAges(named, milliseconds(5000), *beacon.mutable_named());
  NamedVersions told;
  told.Record(kModel, 3, milliseconds(4900));
  for (const v1::NamedAge& age : beacon.named()) {
    RecordNamedAge(told, age, milliseconds(5000));
  }
  EXPECT_EQ(told.NamedAt(kModel, 3), milliseconds(4900));
}

TEST(NamedVersions, LargestVersionHasNoNextOne)
{
  NamedVersions named;
  named.Record(kModel, 2, milliseconds(0));
  named.Record(kModel, UINT64_MAX, milliseconds(1));
  EXPECT_EQ(named.NextAfter(kModel, UINT64_MAX), std::nullopt);
}

void
Tell(const NamedVersions& aFrom, NamedVersions& aTo, milliseconds aNow)
{
  v1::GatewayBeacon beacon;
  AppendNamedAges(aFrom, aNow, *beacon.mutable_named());
  for (const v1::NamedAge& age : beacon.named()) {
    RecordNamedAge(aTo, age, aNow);
  }
}

// The time between two versions, for phases of a run.
milliseconds
NextGap(Random& aRandom, bool aHurried)
{
  return milliseconds(aHurried ? 1 + aRandom.Below(120)
                               : 100 + aRandom.Below(6000));
}

// Processes that hear of versions late and out of order, from each other too.
// None may ever require less than a memory that forgets nothing; one that hears
// of all at once requires just as much, unless the memory had to be folded.
TEST(NamedVersions, RandomisedRunsNeverAllowOutdatedWeights)
{
  constexpr int kSeeds = 300;
  constexpr int kVersions = 150;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    Random random(seed);
    FullHistory history;
    NamedVersions named{ kBound };
    std::array<NamedVersions, 3> told = { NamedVersions(kBound),
                                          NamedVersions(kBound),
                                          NamedVersions(kBound) };
    const bool mayFold = random.Chance(0.5);
    milliseconds now{ 100000 };
    std::uint64_t version = 1;
    for (int i = 0; i < kVersions; ++i) {
      now += NextGap(random, mayFold && random.Chance(0.9));
      version += 1 + random.Below(3);
      history.Record(version, now);
      named.Record(kModel, version, now);
      Tell(named, told[0], now);
      for (int exchange = 0; exchange < 3; ++exchange) {
        Tell(told.at(random.Below(3)), told.at(random.Below(3)), now);
      }
      if (random.Chance(0.2)) {
        told.at(random.Below(3))
          .RecordAssumed(
            kModel, version, now - milliseconds(random.Below(3000)));
      }
      const milliseconds asked = now + milliseconds(random.Below(9000));
      for (const milliseconds age : { kBound, kBound - milliseconds(1000) }) {
        const auto expected = history.NewestOlderThan(age, asked);
        const auto own = named.NewestOlderThan(kModel, age, asked);
        const auto peer = told[0].NewestOlderThan(kModel, age, asked);
        ASSERT_GE(own.value_or(0), expected.value_or(0));
        ASSERT_GE(peer.value_or(0), expected.value_or(0));
        ASSERT_LE(own.value_or(0), version);
        if (!mayFold) {
          ASSERT_EQ(own, expected);
        }
      }
    }
  }
}

TEST(Placement, RequestPlacedByTheNextVersionRequiresIt)
{
  RunnerRecord runner;
  runner.m_id = "a";
  runner.m_service = "chat";
  runner.m_versions[kModel] = 2;
  RunnerTable table;
  const MonotonicTime now{ std::chrono::hours(1) };
  table.Replace({ runner }, now);
  Placer placer{ "here", {}, 7 };
  RequestShape shape;
  shape.m_service = "chat";
  shape.m_model = kModel;
  shape.m_target = milliseconds(400);
  shape.m_timeLeft = milliseconds(4000);
  const auto required = [&](milliseconds aDueIn) {
    shape.m_upcoming = { { 2, aDueIn } };
    return std::get<Placement>(
             placer.Place(
               shape, {}, table, RunnerLimits(), RunnerNotices(), {}, now))
      .m_requiredVersion;
  };
  EXPECT_EQ(required(milliseconds(10)), 2U);
  EXPECT_EQ(required(milliseconds(3000)), std::nullopt);
  shape.m_upcoming = { { 2, milliseconds(1) }, { 3, milliseconds(2) } };
  EXPECT_TRUE(std::holds_alternative<PlacementRefusal>(
    placer.Place(shape, {}, table, RunnerLimits(), RunnerNotices(), {}, now)));
}

} // namespace

} // namespace siskindeal

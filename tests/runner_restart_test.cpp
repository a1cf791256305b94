// Tests what gateways and stagers take for a new start of a runner that keeps
// its id, and what they then forget.

#include "gateway/suspicion_exchange_p.h"
#include "platform/dialect.h"
#include "site/site_objects_p.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace siskindeal {

namespace {

using nlohmann::json;

constexpr std::uint64_t kBorn = 1764793000000;
constexpr std::uint64_t kCrasher = 1;
const MonotonicTime kStart{ std::chrono::hours(1) };

SiteObject
Entry(const json& aBorn, std::uint64_t aCreated = 7)
{
  json spec = { { "service", "get" },
                { "address", "10.0.0.1:80" },
                { "state", "ready" } };
  if (!aBorn.is_discarded()) {
    spec["born"] = aBorn;
  }
  SiteObject object;
  object.m_name = "i-1";
  object.m_created = aCreated;
  object.m_spec = spec.dump();
  return object;
}

const json kMissing(json::value_t::discarded);

RunnerIncarnation
Start(const json& aBorn, std::uint64_t aCreated = 7)
{
  return dialect::DecodeRunner(Entry(aBorn, aCreated)).Incarnation();
}

TEST(RunnerRestart, EachStartUnderOneIdIsAnIncarnation)
{
  EXPECT_NE(Start(kBorn), Start(kBorn + 1));
  EXPECT_EQ(Start(kBorn), Start(kBorn));
}

TEST(RunnerRestart, EntryThatLapsedAndIsListedAnewIsNoRestart)
{
  EXPECT_EQ(Start(kBorn, 7), Start(kBorn, 9));
}

TEST(RunnerRestart, CreationTellsStartsApartWhereBornIsMissing)
{
  EXPECT_EQ(Start(kMissing, 7), Start(kMissing, 7));
  EXPECT_NE(Start(kMissing, 7), Start(kMissing, 9));
  EXPECT_NE(Start(kMissing, 7), Start(kBorn, 7));
}

TEST(RunnerRestart, EntryWithUnusableBornNamesNoRunner)
{
  for (const json& born : { json("1764793000000"),
                            json(nullptr),
                            json(true),
                            json::array({ kBorn }),
                            json(-1),
                            json(0),
                            json(1.5),
                            json(1e300),
                            json(std::uint64_t{ 1 } << 60) }) {
    EXPECT_FALSE(ReadRunner(Entry(born))) << born;
  }
}

TEST(RunnerRestart, BornInTheFutureIsUsable)
{
  const std::uint64_t ahead = kBorn + 100ULL * 365 * 24 * 3600 * 1000;
  ASSERT_TRUE(ReadRunner(Entry(ahead)));
  EXPECT_NE(Start(ahead), Start(kBorn));
}

TEST(RunnerRestart, CrashesOfThreeStartsUnderOneIdAreThreeCrashes)
{
  SuspicionExchange gateway;
  for (std::uint64_t start = 0; start < 3; ++start) {
    gateway.RecordCrash(Start(kBorn + start), { { kCrasher } }, kStart);
  }
  ASSERT_TRUE(gateway.ListingOf(kCrasher));
  EXPECT_EQ(gateway.ListingOf(kCrasher)->m_crashes, 3U);
  EXPECT_TRUE(gateway.IsQuarantined(kCrasher));
}

TEST(RunnerRestart, OneCrashSeenByTwoGatewaysCountsOnce)
{
  SuspicionExchange first;
  SuspicionExchange second;
  first.RecordCrash(Start(kBorn, 7), { { kCrasher } }, kStart);
  second.RecordCrash(Start(kBorn, 9), { { kCrasher } }, kStart);
  for (const wire::Suspicion& suspicion : first.SuspicionsToAdvertise(kStart)) {
    second.Merge(suspicion);
  }
  EXPECT_EQ(second.ListingOf(kCrasher)->m_crashes, 1U);
}

} // namespace

} // namespace siskindeal

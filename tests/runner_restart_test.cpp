// Tests what gateways and stagers take for a new start of a runner that keeps
// its id, and what they then forget.

#include "dispatch/runner_table_p.h"
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

TEST(RunnerRestart, ReportNamesItsStartOrIsRejected)
{
  EXPECT_EQ(dialect::DecodeReport(R"({"born":1764793000000})").m_born, kBorn);
  EXPECT_EQ(dialect::DecodeReport("{}").m_born, 0U);
  for (const char* body :
       { R"({"born":"1"})", R"({"born":-1})", R"({"born":null})" }) {
    EXPECT_THROW(dialect::DecodeReport(body), std::invalid_argument) << body;
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

RunnerRecord
Record(const json& aBorn, std::uint64_t aCreated = 7)
{
  return dialect::DecodeRunner(Entry(aBorn, aCreated));
}

// A table with a runner about which everything is known that can be.
RunnerTable
TableInUse()
{
  RunnerTable table;
  RunnerRecord record = Record(kBorn);
  record.m_versions = { { "m", 7 } };
  table.Put(record);
  RunnerState& state = *table.Find("i-1");
  state.m_ownLoad = { 3, 900 };
  state.m_peerLoad = { 2, 500 };
  state.m_reportedRequests = 5;
  state.m_smoothedDuration = std::chrono::milliseconds(80);
  state.AvoidAfterFailure(kStart);
  state.m_loadingUntil = kStart + std::chrono::seconds(1);
  return table;
}

void
ExpectNothingKnown(const RunnerState& aState)
{
  EXPECT_EQ(aState.VersionOf("m"), 0U);
  EXPECT_EQ(aState.Requests(), 0U);
  EXPECT_EQ(aState.m_ownLoad, RunnerLoad{});
  EXPECT_EQ(aState.m_peerLoad, RunnerLoad{});
  EXPECT_EQ(aState.m_reportedRequests, 0U);
  EXPECT_EQ(aState.m_smoothedDuration.count(), 0);
  EXPECT_EQ(aState.m_consecutiveFailures, 0U);
  EXPECT_EQ(aState.m_avoidUntil, MonotonicTime{});
  EXPECT_EQ(aState.m_loadingUntil, MonotonicTime{});
}

TEST(RunnerRestart, RestartedRunnerBeginsWithoutItsFormerState)
{
  RunnerTable table = TableInUse();
  table.Put(Record(kBorn + 1));
  ExpectNothingKnown(*table.Find("i-1"));
}

TEST(RunnerRestart, RunnerThatIsListedAnewKeepsItsState)
{
  RunnerTable table = TableInUse();
  table.Put(Record(kBorn, 9));
  EXPECT_EQ(table.Find("i-1")->m_ownLoad, (RunnerLoad{ 3, 900 }));
  EXPECT_EQ(table.Find("i-1")->m_consecutiveFailures, 1U);
}

TEST(RunnerRestart, OlderEntryDoesNotUndoANewerStart)
{
  RunnerTable table;
  table.Put(Record(kBorn + 1));
  table.Find("i-1")->m_ownLoad = { 1, 10 };
  table.Put(Record(kBorn, 9));
  EXPECT_EQ(table.Find("i-1")->m_record.Incarnation(), Start(kBorn + 1));
  table.Replace({ Record(kBorn, 11) }, kStart);
  ASSERT_NE(table.Find("i-1"), nullptr);
  EXPECT_EQ(table.Find("i-1")->m_record.Incarnation(), Start(kBorn + 1));
  EXPECT_EQ(table.Find("i-1")->m_ownLoad, (RunnerLoad{ 1, 10 }));
}

TEST(RunnerRestart, OlderEntryThatLastsIsTakenOver)
{
  RunnerTable table;
  table.Put(Record(kBorn + 1));
  table.Put(Record(kBorn));
  table.Sweep(kStart);
  EXPECT_EQ(table.Find("i-1")->m_record.Incarnation(), Start(kBorn + 1));
  table.Sweep(kStart + std::chrono::seconds(60));
  EXPECT_EQ(table.Find("i-1")->m_record.Incarnation(), Start(kBorn));
}

TEST(RunnerRestart, ReportOfARestartWhileTheStoreIsAwayIsBelieved)
{
  RunnerTable table = TableInUse();
  RunnerState& state = *table.Find("i-1");
  EXPECT_TRUE(table.RecordStart(state, kBorn + 1));
  ExpectNothingKnown(state);
  EXPECT_EQ(state.m_record.Incarnation(), Start(kBorn + 1));
  EXPECT_FALSE(table.RecordStart(state, kBorn));
  table.Put(Record(kBorn, 9)); // of before the outage
  EXPECT_EQ(state.m_record.Incarnation(), Start(kBorn + 1));
  state.m_ownLoad = { 1, 10 };
  table.Put(Record(kBorn + 1, 9));
  EXPECT_EQ(state.m_ownLoad, (RunnerLoad{ 1, 10 }));
}

TEST(RunnerRestart, ReportWithoutItsStartChangesNoIncarnation)
{
  RunnerTable table = TableInUse();
  RunnerState& state = *table.Find("i-1");
  EXPECT_TRUE(table.RecordStart(state, 0));
  EXPECT_EQ(state.m_ownLoad, (RunnerLoad{ 3, 900 }));
  table.Put(Record(kMissing));
  EXPECT_TRUE(table.RecordStart(state, kBorn));
  EXPECT_EQ(state.m_record.Incarnation(), Start(kMissing));
}

TEST(RunnerRestart, ResponseToTheFormerStartFindsNoRunner)
{
  RunnerTable table = TableInUse();
  table.Put(Record(kBorn + 1));
  EXPECT_EQ(table.Find(Start(kBorn)), nullptr);
  EXPECT_NE(table.Find(Start(kBorn + 1)), nullptr);
}

TEST(RunnerRestart, OlderGatewayNamesAStartByItsCreation)
{
  RunnerTable table;
  table.Put(Record(kBorn, 7));
  EXPECT_EQ(table.Resolve({ "i-1", 7 }), Start(kBorn));
  EXPECT_NE(table.Resolve({ "i-1", 6 }), Start(kBorn));
  EXPECT_NE(table.Resolve({ "i-1", 7, kBorn - 1 }), Start(kBorn));
}

TEST(RunnerRestart, RunnerOfASharedAddressIsFoundByItsStart)
{
  RunnerTable table = TableInUse();
  RunnerRecord second = Record(kBorn + 1);
  second.m_id = "i-2";
  table.Put(second);
  EXPECT_EQ(table.FindByAddress(second.m_address, kBorn + 1)->m_record.m_id,
            "i-2");
  EXPECT_EQ(table.FindByAddress(second.m_address, 0)->m_record.m_id, "i-1");
}

} // namespace

} // namespace siskindeal

// Tests a gateway's runner table, request placement and version tracking.

#include "dispatch/placement_p.h"

#include <gtest/gtest.h>

#include <set>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };
const std::string kModel = "booking-7b";

RunnerRecord
Runner(const std::string& aId, const std::string& aPlace = "kin-a")
{
  RunnerRecord runner;
  runner.m_id = aId;
  runner.m_service = "caddie";
  runner.m_address = { "10.0.0.1",
                       static_cast<std::uint16_t>(1000 + aId.size()) };
  runner.m_place = aPlace;
  runner.m_slots = 16;
  runner.m_versions[kModel] = 1;
  return runner;
}

ServiceRecord
Engine()
{
  ServiceRecord service;
  service.m_name = "caddie";
  EngineProfile engine;
  engine.m_slots = 16;
  engine.m_stepMs = 6.73;
  engine.m_promptTokensPerMs = 30.6;
  engine.m_stepsPerPass = 6;
  engine.m_typicalPromptTokens = 964;
  engine.m_typicalAnswerTokens = 119;
  service.m_engine = engine;
  return service;
}

RequestShape
Shape()
{
  RequestShape shape;
  shape.m_service = "caddie";
  shape.m_model = kModel;
  shape.m_promptTokens = 1000;
  shape.m_target = milliseconds(400);
  shape.m_timeLeft = milliseconds(6000);
  return shape;
}

Placer
NewPlacer()
{
  return { "kin-a", { { "kin-a", "kingston" }, { "mbj-a", "montego" } }, 7 };
}

std::string
RunnerOf(const Decision& aDecision)
{
  const auto* placement = std::get_if<Placement>(&aDecision);
  return placement == nullptr ? "refused" : placement->m_runner;
}

TEST(RunnerTable, RemovesRunnerAtOnceWhenItLeavesTheList)
{
  RunnerTable table;
  table.Replace({ Runner("a"), Runner("b") }, kStart);
  table.Remove("a", kStart);
  EXPECT_EQ(table.Usable("caddie").size(), 1U);
}

TEST(RunnerTable, KeepsMissingRunnersForATimeAfterAListFailure)
{
  RunnerTable table;
  table.Replace({ Runner("a"), Runner("b") }, kStart);
  table.RecordListFailure(kStart);
  table.Replace({}, kStart + milliseconds(500));
  EXPECT_EQ(table.Usable("caddie").size(), 2U);
  table.Put(Runner("a"));
  table.Sweep(kStart + milliseconds(5000));
  ASSERT_EQ(table.Usable("caddie").size(), 1U);
  EXPECT_EQ(table.Usable("caddie").front()->m_record.m_id, "a");
}

TEST(RunnerTable, DropsMissingRunnersOnceAListFailureIsRuledOut)
{
  for (const bool isRebuilt : { false, true }) {
    SCOPED_TRACE(isRebuilt);
    RunnerTable table;
    table.Replace({ Runner("a"), Runner("b") }, kStart);
    if (isRebuilt) {
      table.RecordListRebuilt(kStart);
    }
    table.RecordListFailure(kStart);
    table.Remove("a", kStart + milliseconds(100));
    EXPECT_EQ(table.Usable("caddie").size(), 2U);
    table.ForgetListFailure(kStart + milliseconds(200));
    EXPECT_EQ(table.Usable("caddie").size(), isRebuilt ? 2U : 1U);
  }
}

TEST(RunnerTable, DrainingRunnerIsNotUsable)
{
  RunnerTable table;
  RunnerRecord draining = Runner("a");
  draining.m_draining = true;
  table.Replace({ draining }, kStart);
  EXPECT_TRUE(table.Usable("caddie").empty());
}

TEST(Placement, ChoosesRunnerWithShortestPredictedWait)
{
  RunnerTable table;
  table.Replace({ Runner("a"), Runner("bb") }, kStart);
  table.Find("a")->m_ownLoad = { 12, 6000 };
  table.Find("bb")->m_peerLoad = { 3, 500 };
  Placer placer = NewPlacer();
  EXPECT_EQ(
    RunnerOf(placer.Place(
      Shape(), Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart)),
    "bb");
}

TEST(Placement, PrefersItsRegionWhileTheLatencyCostIsSmall)
{
  RunnerTable table;
  table.Replace({ Runner("near", "kin-a"), Runner("far", "mbj-a") }, kStart);
  Placer placer = NewPlacer();
  table.Find("near")->m_ownLoad = { 2, 600 };
  EXPECT_EQ(
    RunnerOf(placer.Place(
      Shape(), Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart)),
    "near");
  table.Find("near")->m_ownLoad = { 14, 9000 };
  EXPECT_EQ(
    RunnerOf(placer.Place(
      Shape(), Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart)),
    "far");
}

TEST(Placement, RequestThatWouldArriveAfterItsDeadlineIsNotSentThere)
{
  RunnerTable table;
  table.Replace({ Runner("far", "mbj-a") }, kStart);
  Placer placer = NewPlacer();
  placer.SetLinkDelays({ { "montego", milliseconds(1300) } });
  RequestShape shape = Shape();
  shape.m_target = milliseconds(2000);
  shape.m_timeLeft = milliseconds(1000);
  const Decision decision = placer.Place(
    shape, Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart);
  const auto* refusal = std::get_if<PlacementRefusal>(&decision);
  ASSERT_NE(refusal, nullptr);
  EXPECT_GE(refusal->m_predicted, milliseconds(1300));
  EXPECT_LE(refusal->m_retryAfter, milliseconds(300));
}

TEST(Placement, BusyRunnerOfItsRegionIsPreferredToAFullLink)
{
  RunnerTable table;
  table.Replace({ Runner("near", "kin-a"), Runner("far", "mbj-a") }, kStart);
  table.Find("near")->m_ownLoad = { 8, 4000 };
  Placer placer = NewPlacer();
  const auto choose = [&] {
    return RunnerOf(placer.Place(
      Shape(), Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart));
  };
  EXPECT_EQ(choose(), "far");
  placer.SetLinkDelays({ { "montego", milliseconds(250) } });
  EXPECT_EQ(choose(), "near");
  placer.SetLinkDelays({ { "montego", milliseconds(0) } });
  EXPECT_EQ(choose(), "far");
}

// The nearer runner costs less, but would be late.
TEST(Placement, RequestGoesToAnotherRegionRatherThanBeingRefused)
{
  RunnerTable table;
  table.Replace({ Runner("near", "kin-a"), Runner("far", "mbj-a") }, kStart);
  table.Find("near")->m_peerLoad = { 14, 8500 };
  table.Find("far")->m_peerLoad = { 12, 7000 };
  Placer placer = NewPlacer();
  EXPECT_EQ(
    RunnerOf(placer.Place(
      Shape(), Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart)),
    "far");
}

TEST(Placement, RunnerWhoseLimitIsUsedUpIsLeftToOthersOrRefused)
{
  RunnerTable table;
  table.Replace({ Runner("a"), Runner("bb") }, kStart);
  table.Find("bb")->m_ownLoad = { 3, 600 };
  RunnerLimits limits;
  limits.RecordResponse(
    table.Find("a")->m_record.Incarnation(), 0.5, kStart, kStart);
  Placer placer = NewPlacer();
  EXPECT_EQ(RunnerOf(placer.Place(
              Shape(), Engine(), table, limits, RunnerNotices(), {}, kStart)),
            "bb");
  const Decision decision = placer.Place(Shape(),
                                         Engine(),
                                         table,
                                         limits,
                                         RunnerNotices(),
                                         { Runner("bb").Incarnation() },
                                         kStart);
  const auto* refusal = std::get_if<PlacementRefusal>(&decision);
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->m_reason, "the runners' limits are used up");
  EXPECT_GT(refusal->m_retryAfter.count(), 0);
}

TEST(Placement, RefusesRequestThatWouldBeLateWithRetryAfter)
{
  RunnerTable table;
  table.Replace({ Runner("a") }, kStart);
  table.Find("a")->m_peerLoad = { 40, 20000 };
  Placer placer = NewPlacer();
  const Decision decision = placer.Place(
    Shape(), Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart);
  const auto* refusal = std::get_if<PlacementRefusal>(&decision);
  ASSERT_NE(refusal, nullptr);
  EXPECT_GT(refusal->m_retryAfter, milliseconds(0));
  EXPECT_LT(refusal->m_retryAfter,
            milliseconds(2000)); // a third of the remaining time
}

// A caller's retry is already late. Placing it ahead of a new request would
// make that request late too.
TEST(Placement, CallerRetryGetsOnlyCapacityThatNewRequestsLeave)
{
  RunnerTable table;
  table.Replace({ Runner("a") }, kStart);
  table.Find("a")->m_peerLoad = { 15, 2000 };
  Placer placer = NewPlacer();
  RequestShape shape = Shape();
  EXPECT_EQ(
    RunnerOf(placer.Place(
      shape, Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart)),
    "a");
  shape.m_isCallerRetry = true;
  EXPECT_EQ(
    RunnerOf(placer.Place(
      shape, Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart)),
    "refused");
  table.Find("a")->m_peerLoad = { 3, 0 };
  EXPECT_EQ(
    RunnerOf(placer.Place(
      shape, Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart)),
    "a");
}

// Its prompt takes 98 ms at an idle runner and 60 of the 160 ms of spare
// capacity are used before that.
TEST(Placement, CallerRetryWithALongPromptGetsSpareCapacity)
{
  RunnerTable table;
  table.Replace({ Runner("a") }, kStart);
  Placer placer = NewPlacer();
  RequestShape shape = Shape();
  shape.m_promptTokens = 3000;
  shape.m_isCallerRetry = true;
  const auto place = [&] {
    return RunnerOf(placer.Place(
      shape, Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart));
  };
  EXPECT_EQ(place(), "a");
  table.Find("a")->m_peerLoad = { 6, 1000 };
  EXPECT_EQ(place(), "a");
  table.Find("a")->m_peerLoad = { 6, 8000 };
  EXPECT_EQ(place(), "refused");
}

// The first byte comes after the target even at an idle runner.
TEST(Placement, RequestThatCanNotBeInTimeAnywhereGetsSpareCapacity)
{
  RunnerTable table;
  table.Replace({ Runner("a") }, kStart);
  Placer placer = NewPlacer();
  RequestShape shape = Shape();
  shape.m_promptTokens = 12000;
  const auto place = [&] {
    return RunnerOf(placer.Place(
      shape, Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart));
  };
  EXPECT_EQ(place(), "a");
  table.Find("a")->m_peerLoad = { 15, 1000 };
  EXPECT_EQ(place(), "refused");
}

// The best places are shared among gateways, so that a request may get another
// runner than the best one.
TEST(Placement, RequestIsNotSentWhereItsDeadlineWouldPass)
{
  constexpr int kRequests = 200;
  RunnerTable table;
  table.Replace({ Runner("a"), Runner("bb") }, kStart);
  table.Find("bb")->m_peerLoad = { 10, 9000 };
  Placer placer = NewPlacer();
  placer.SetPeers(30, milliseconds(1000));
  RequestShape shape = Shape();
  shape.m_target = milliseconds(2000);
  shape.m_timeLeft = milliseconds(200);
  for (int i = 0; i < kRequests; ++i) {
    const Decision decision = placer.Place(
      shape, Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart);
    if (const auto* placement = std::get_if<Placement>(&decision)) {
      ASSERT_LE(placement->m_predicted, shape.m_timeLeft)
        << placement->m_runner;
    }
  }
}

TEST(Placement, AvoidedRunnerIsUsedOnlyIfNoOtherIsEligible)
{
  RunnerTable table;
  table.Replace({ Runner("a"), Runner("bb") }, kStart);
  table.Find("a")->m_avoidUntil = kStart + milliseconds(100);
  table.Find("bb")->m_ownLoad = { 10, 4000 };
  Placer placer = NewPlacer();
  EXPECT_EQ(
    RunnerOf(placer.Place(
      Shape(), Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart)),
    "bb");
  EXPECT_EQ(RunnerOf(placer.Place(Shape(),
                                  Engine(),
                                  table,
                                  RunnerLimits(),
                                  RunnerNotices(),
                                  { Runner("bb").Incarnation() },
                                  kStart)),
            "a");
}

struct VersionCase
{
  const char* m_name;
  std::uint64_t m_heldVersion;
  std::optional<std::uint64_t> m_minVersion;
  std::optional<std::uint64_t> m_nextVersion;
  int m_nextDueInMs;
  bool m_placed;
};

TEST(Placement, RequiresTheVersionThatIsDue)
{
  const VersionCase cases[] = {
    { "no version named", 1, {}, {}, 0, true },
    { "no weights", 0, {}, {}, 0, false },
    { "held version is older than required", 1, 2, {}, 0, false },
    { "held version is newer than required", 3, 2, {}, 0, true },
    { "next version is due during the wait", 1, {}, 2, 50, false },
    { "next version is due after the wait", 1, {}, 2, 3000, true },
  };
  for (const VersionCase& versions : cases) {
    SCOPED_TRACE(versions.m_name);
    RunnerTable table;
    RunnerRecord runner = Runner("a");
    runner.m_versions[kModel] = versions.m_heldVersion;
    table.Replace({ runner }, kStart);
    Placer placer = NewPlacer();
    RequestShape shape = Shape();
    shape.m_minVersion = versions.m_minVersion;
    if (versions.m_nextVersion) {
      shape.m_upcoming = { { *versions.m_nextVersion,
                             milliseconds(versions.m_nextDueInMs) } };
    }
    const Decision decision = placer.Place(
      shape, Engine(), table, RunnerLimits(), RunnerNotices(), {}, kStart);
    EXPECT_EQ(std::holds_alternative<Placement>(decision), versions.m_placed);
  }
}

class NoticePlacement : public testing::Test
{
protected:
  NoticePlacement()
  {
    m_shape.m_service = "get";
    m_shape.m_target = milliseconds(400);
    m_shape.m_timeLeft = std::chrono::seconds(6);
    RunnerRecord first;
    first.m_id = "i-1";
    first.m_created = kCreated;
    first.m_service = "get";
    RunnerRecord second = first;
    second.m_id = "i-2";
    m_table.Replace({ first, second }, kStart);
  }

  Decision Place(const std::set<RunnerIncarnation>& aTried = {})
  {
    return m_placer.Place(
      m_shape, {}, m_table, RunnerLimits(), m_notices, aTried, kStart);
  }

  static constexpr std::uint64_t kCreated = 7;
  const RunnerIncarnation m_first{ "i-1", kCreated };
  const RunnerIncarnation m_second{ "i-2", kCreated };
  RequestShape m_shape;
  RunnerTable m_table;
  RunnerNotices m_notices;
  Placer m_placer{ "here", {}, 7 };
};

TEST_F(NoticePlacement, LeavingAndWaitingRunnersAreLeftOut)
{
  m_notices.RecordLeaving(m_first, kStart);
  ASSERT_TRUE(std::holds_alternative<Placement>(Place()));
  EXPECT_EQ(std::get<Placement>(Place()).m_runner, "i-2");
  m_notices.RecordWait(m_second, RunnerNotices::Seconds(1), kStart);
  EXPECT_TRUE(std::holds_alternative<PlacementRefusal>(Place()));
}

TEST_F(NoticePlacement, RefusalsNameTheEarliestEndAndAreSpread)
{
  m_notices.RecordWait(m_first, RunnerNotices::Seconds(30), kStart);
  m_notices.RecordWait(m_second, RunnerNotices::Seconds(20), kStart);
  std::set<milliseconds> delays;
  for (int i = 0; i < 20; ++i) {
    const auto refusal = std::get<PlacementRefusal>(Place());
    EXPECT_GE(refusal.m_retryAfter, std::chrono::seconds(20));
    EXPECT_LT(refusal.m_retryAfter, std::chrono::seconds(21));
    delays.insert(refusal.m_retryAfter);
  }
  EXPECT_GT(delays.size(), 10U);
}

TEST_F(NoticePlacement, RunnerThatWasTriedCountsForTheTimeToReturn)
{
  m_notices.RecordLeaving(m_second, kStart);
  m_notices.RecordWait(m_first, RunnerNotices::Seconds(20), kStart);
  EXPECT_GE(std::get<PlacementRefusal>(Place({ m_first })).m_retryAfter,
            std::chrono::seconds(20));
}

TEST_F(NoticePlacement, RunnerThatRestartedSinceItWasTriedIsEligible)
{
  const RunnerIncarnation former{ "i-1", kCreated, 1764793000000 };
  m_notices.RecordLeaving(m_second, kStart);
  EXPECT_TRUE(std::holds_alternative<PlacementRefusal>(Place({ m_first })));
  EXPECT_TRUE(std::holds_alternative<Placement>(Place({ former })));
}

} // namespace

} // namespace siskindeal

// Tests what is learned of the cost of requests and of the speed of runners,
// and where placement sends requests because of it.

#include "dispatch/answer_length_p.h"
#include "dispatch/engine_model_p.h"
#include "dispatch/placement_p.h"
#include "dispatch/runner_pace_p.h"
#include "platform/dialect.h"

#include <gtest/gtest.h>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kNow{ std::chrono::hours(1) };

TEST(LoadHeader, PaceIsOptional)
{
  const auto plain = dialect::DecodeLoad("3,1,8");
  ASSERT_TRUE(plain);
  EXPECT_EQ(plain->m_pace, 0);
  // A header with a fourth number was dropped whole.
  const auto paced = dialect::DecodeLoad("3,1,8,250");
  ASSERT_TRUE(paced);
  EXPECT_EQ(paced->m_running, 3U);
  EXPECT_EQ(paced->m_pace, 2.5);
  for (const char* malformed : { "3,1", "3,1,8,x", "3,1,8,250,1", "" }) {
    EXPECT_FALSE(dialect::DecodeLoad(malformed)) << malformed;
  }
}

TEST(RunnerPace, SlowReadingFades)
{
  RunnerPace pace;
  EXPECT_EQ(pace.Expected(kNow), 1);
  pace.RecordStated({ 2.5, kNow });
  EXPECT_NEAR(pace.Expected(kNow), 2.5, 0.01);
  EXPECT_LT(pace.Expected(kNow + milliseconds(200)), 1.3);
  EXPECT_LT(pace.Expected(kNow + milliseconds(5000)), 1.1);
  // Gateways would send everything to runners that look a little faster.
  pace.RecordStated({ 1.1, kNow + milliseconds(10) });
  EXPECT_EQ(pace.Expected(kNow + milliseconds(10)), 1);
  pace.RecordStated({ 2.5, kNow + milliseconds(20) });
  // What another gateway heard before says nothing new.
  pace.RecordStated({ 1, kNow - milliseconds(50) });
  EXPECT_GT(pace.Expected(kNow + milliseconds(20)), 2.4);
  pace.RecordStated({ 1, kNow + milliseconds(50) });
  EXPECT_LT(pace.Expected(kNow + milliseconds(50)), 1.1);
}

// Avoiding a runner for longer than it is slow sent everything to the others.
TEST(RunnerPace, DurationOfSlowPeriodsIsLearned)
{
  RunnerPace lasting;
  RunnerPace brief;
  for (int i = 0; i < 100; ++i) {
    const MonotonicTime at = kNow + milliseconds(100) * i;
    lasting.RecordStated({ i % 20 < 10 ? 2.5 : 1.0, at }); // slow for 1 s
    brief.RecordStated({ i % 5 == 0 ? 2.5 : 1.0, at });    // in one reading
  }
  const MonotonicTime slowAt = kNow + milliseconds(20000);
  lasting.RecordStated({ 2.5, slowAt });
  brief.RecordStated({ 2.5, slowAt });
  EXPECT_GT(lasting.Expected(slowAt + milliseconds(100)), 1.7);
  EXPECT_LT(brief.Expected(slowAt + milliseconds(100)), 1.5);
}

TEST(RunnerPace, SlowEventsShowASlowRunner)
{
  RunnerPace pace;
  for (int i = 0; i < 8; ++i) {
    pace.RecordEventGap(5, kNow);
  }
  EXPECT_EQ(pace.Expected(kNow), 5);
  // Prompts of other requests delay some events of a sound runner.
  pace.RecordEventGap(1.6, kNow);
  EXPECT_EQ(pace.Expected(kNow), 1);
  EXPECT_EQ(pace.Expected(kNow + milliseconds(4000)), 1);
}

TEST(AnswerLengths, EstimatesAreCorrectedByRouteAndSize)
{
  AnswerLengths lengths;
  EXPECT_EQ(lengths.Expected("a", 100), 100);
  for (int i = 0; i < 40; ++i) {
    lengths.Record("a", 100, 150);
  }
  EXPECT_NEAR(lengths.Expected("a", 120), 180, 1);
  EXPECT_EQ(lengths.Expected("a", 20), 20);
  EXPECT_EQ(lengths.Expected("b", 100), 100);
  for (int i = 0; i < 1000; ++i) { // bounded, whatever callers send
    lengths.Record("r" + std::to_string(i), 100, 300);
  }
  EXPECT_EQ(lengths.Expected("r999", 100), 100);
}

class CostPlacementTest : public testing::Test
{
protected:
  void SetUp() override
  {
    m_service.m_engine = EngineProfile{ 12, 8, 0.05, 20, 5, 900, 100, {} };
    for (const char* id : { "one", "two" }) {
      RunnerRecord record;
      record.m_id = id;
      record.m_service = "chat";
      record.m_place = "here";
      m_runners.Put(record);
    }
    m_shape.m_service = "chat";
    m_shape.m_promptTokens = 800;
    m_shape.m_target = milliseconds(400);
    m_shape.m_timeLeft = milliseconds(6000);
    m_shape.m_learnsCosts = true;
  }

  Decision Place()
  {
    return m_placer.Place(m_shape, m_service, m_runners, {}, {}, {}, kNow);
  }
  std::string ChosenRunner()
  {
    const Decision decision = Place();
    const auto* placement = std::get_if<Placement>(&decision);
    return placement == nullptr ? "" : placement->m_runner;
  }

  ServiceRecord m_service;
  RunnerTable m_runners;
  RequestShape m_shape;
  Placer m_placer{ "here", { { "here", "north" } }, 1 };
};

TEST_F(CostPlacementTest, SlowRunnerIsPassedByForABusierOne)
{
  m_runners.Find("one")->m_pace.RecordStated({ 2.5, kNow });
  m_runners.Find("two")->m_ownLoad = { 6, 500, 300 };
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(ChosenRunner(), "two");
  }
}

TEST_F(CostPlacementTest, LongAnswerGoesWhereItEndsBeforeItsDeadline)
{
  for (int i = 0; i < 8; ++i) {
    m_runners.Find("one")->m_pace.RecordEventGap(4, kNow);
  }
  m_runners.Find("two")->m_ownLoad = { 11, 3000, 900 };
  m_shape.m_target = milliseconds(1500);
  m_shape.m_answerTokens = 400;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(ChosenRunner(), "two");
  }
}

// A slow machine is better than a refusal.
TEST_F(CostPlacementTest, SlowRunnerServesWhenTheOthersAreFull)
{
  for (int i = 0; i < 8; ++i) {
    m_runners.Find("one")->m_pace.RecordEventGap(6, kNow);
  }
  m_runners.Find("two")->m_ownLoad = { 30, 9000, 3000 };
  m_shape.m_target = milliseconds(1500);
  m_shape.m_targetGap = milliseconds(300);
  EXPECT_EQ(ChosenRunner(), "one");
}

// Two runners look alike by their requests; one has long answers to write.
TEST_F(CostPlacementTest, WorkLeftCountsBesideTheNumberOfRequests)
{
  m_shape.m_target = milliseconds(600);
  m_runners.Find("one")->m_ownLoad = { 14, 0, 14 * 300 };
  m_runners.Find("two")->m_ownLoad = { 14, 0, 14 * 20 };
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(ChosenRunner(), "two");
  }
}

// Runners serve the most urgent first, so that less urgent requests in their
// queue don't hold up an urgent one.
TEST_F(CostPlacementTest, UrgentRequestDoesNotWaitForLessUrgentOnes)
{
  for (const char* id : { "one", "two" }) {
    RunnerLoad& load = m_runners.Find(id)->m_ownLoad;
    load = { 20, 0, 20 * 100 };
    load.m_byLevel[2] = 20;
  }
  m_shape.m_level = 0;
  EXPECT_NE(ChosenRunner(), "");
  m_shape.m_level = 2;
  EXPECT_EQ(ChosenRunner(), "");
}

// Elsewhere decisions stay as they were.
TEST_F(CostPlacementTest, NothingChangesWhereCostsAreNotLearned)
{
  m_shape.m_learnsCosts = false;
  m_runners.Find("one")->m_ownLoad = { 6, 500 };
  m_runners.Find("two")->m_ownLoad = { 6, 500 };
  for (int i = 0; i < 8; ++i) {
    m_runners.Find("one")->m_pace.RecordEventGap(4, kNow);
  }
  const Occupancy one =
    OccupancyOf(m_shape, m_service, *m_runners.Find("one"), kNow);
  EXPECT_EQ(one.m_pace, 1);
  EXPECT_EQ(one.m_answerTokens, 0);
}

} // namespace

} // namespace siskindeal

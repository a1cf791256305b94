#include "support/fake_platform.h"

#include "platform/budget_p.h"
#include "platform/circuit_breaker_p.h"

#include <gtest/gtest.h>

#include <optional>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

// Captures the reply of a call.
template<typename T>
struct CapturedReply
{
  std::optional<T> m_value;
  std::function<void(T)> Callback()
  {
    return [this](T aValue) {
      EXPECT_FALSE(m_value.has_value()) << "answered twice";
      m_value = std::move(aValue);
    };
  }
};

TEST(FakePlatform, SupportsConditionalWritesWatchesAndCompaction)
{
  ManualClock clock;
  FakePlatform platform(clock, 1);
  CapturedReply<PlatformReply> first;
  CapturedReply<PlatformReply> second;
  platform.Put(PlatformUse::Config, { "a/1", "x", 0, "c1" }, first.Callback());
  EXPECT_FALSE(first.m_value.has_value());
  platform.Advance(milliseconds{ 50 });
  platform.Put(PlatformUse::Config, { "a/1", "y", 0, "c2" }, second.Callback());
  platform.Advance(milliseconds{ 50 });
  EXPECT_EQ(first.m_value->m_outcome, PlatformOutcome::Ok);
  EXPECT_EQ(second.m_value->m_outcome, PlatformOutcome::Conflict);
  EXPECT_EQ(second.m_value->m_object.m_changeId, "c1");

  CapturedReply<PlatformChanges> watch;
  platform.Watch(PlatformUse::Config,
                 "a/",
                 platform.Revision(),
                 milliseconds{ 1000 },
                 watch.Callback());
  platform.Advance(milliseconds{ 500 });
  EXPECT_FALSE(watch.m_value.has_value());
  EXPECT_TRUE(platform.Write("a/2", "z", 0));
  platform.Advance(milliseconds{ 50 });
  ASSERT_EQ(watch.m_value->m_objects.size(), 1U);
  EXPECT_EQ(watch.m_value->m_objects[0].m_key, "a/2");

  platform.Compact();
  CapturedReply<PlatformChanges> compacted;
  platform.Watch(
    PlatformUse::Config, "a/", 0, milliseconds{ 10 }, compacted.Callback());
  platform.Advance(milliseconds{ 50 });
  EXPECT_EQ(compacted.m_value->m_outcome, PlatformOutcome::Compacted);
}

TEST(FakePlatform, FaultOutcomesMatchEffects)
{
  struct Case
  {
    const char* m_name;
    std::function<void(FakePlatform&)> m_fault;
    PlatformOutcome m_outcome;
    bool m_takesEffect;
  };
  const Case cases[] = {
    { "outage",
      [](FakePlatform& aPlatform) { aPlatform.Faults().m_outage = true; },
      PlatformOutcome::Unavailable,
      false },
    { "rate",
      [](FakePlatform& aPlatform) { aPlatform.Faults().m_rateLimited = 1; },
      PlatformOutcome::Unavailable,
      false },
    { "lost reply",
      [](FakePlatform& aPlatform) { aPlatform.Faults().m_lostAnswers = 1; },
      PlatformOutcome::Unknown,
      true },
    { "lost request",
      [](FakePlatform& aPlatform) { aPlatform.Faults().m_lostRequests = 1; },
      PlatformOutcome::Unknown,
      false },
    { "requests cut",
      [](FakePlatform& aPlatform) { aPlatform.SetCut("c", Cut::Requests); },
      PlatformOutcome::Unknown,
      false },
    { "replies cut",
      [](FakePlatform& aPlatform) { aPlatform.SetCut("c", Cut::Answers); },
      PlatformOutcome::Unknown,
      true },
  };
  for (const auto& testCase : cases) {
    SCOPED_TRACE(testCase.m_name);
    ManualClock clock;
    FakePlatform platform(clock, 1);
    testCase.m_fault(platform);
    CapturedReply<PlatformReply> reply;
    platform.Client("c").Put(
      PlatformUse::Lease, { "k", "v", 0, "id" }, reply.Callback());
    platform.Advance(milliseconds{ 5000 });
    ASSERT_TRUE(reply.m_value.has_value());
    EXPECT_EQ(reply.m_value->m_outcome, testCase.m_outcome);
    EXPECT_EQ(platform.Stored("k").m_changeId == "id", testCase.m_takesEffect);
  }
}

TEST(PlatformBudget, UseKeepsItsReserveWhileAnotherIsBusy)
{
  ManualClock clock;
  PlatformBudget budget(20, clock.Now());
  int claims = 0;
  for (int step = 0; step < 10000; ++step) {
    clock.Advance(milliseconds{ 1 });
    claims += budget.Throttle(PlatformUse::Claim, clock.Now()) ? 0 : 1;
  }
  // The shared half and the reserve of claims over ten seconds, plus bursts.
  EXPECT_GE(claims, 120);
  EXPECT_LE(claims, 160);
  EXPECT_FALSE(budget.Throttle(PlatformUse::Lease, clock.Now()).has_value());
}

TEST(CircuitBreaker, OpensAllowsOneProbeAndCloses)
{
  ManualClock clock;
  Random random(1);
  CircuitBreaker breaker;
  for (int i = 0; i < 5; ++i) {
    ASSERT_FALSE(breaker.Reject(clock.Now()).has_value());
    breaker.OnFailure(clock.Now(), random, milliseconds{ 0 });
  }
  EXPECT_TRUE(breaker.Reject(clock.Now()).has_value());
  clock.Advance(std::chrono::seconds{ 6 });
  EXPECT_FALSE(breaker.Reject(clock.Now()).has_value());
  EXPECT_TRUE(breaker.Reject(clock.Now()).has_value()) << "a second probe";
  breaker.OnSuccess();
  EXPECT_FALSE(breaker.Reject(clock.Now()).has_value());
  EXPECT_FALSE(breaker.IsOpen());
}

} // namespace
} // namespace siskindeal

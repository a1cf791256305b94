#include "siskindeal/routing.h"

#include "siskindeal/invariant.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

std::unique_ptr<RoutingPolicy>
MakePolicy(const std::string& aName = "prefix_two_choices")
{
  return Registry<RoutingPolicy>::Instance().Make(aName);
}

RunnerReport
MakeReport(const std::string& aVm,
           std::uint32_t aRunning = 0,
           milliseconds aAge = milliseconds(0))
{
  RunnerReport report;
  report.m_vm = aVm;
  report.m_place = "kingston";
  report.m_slots = 4;
  report.m_hasLoad = true;
  report.m_running = aRunning;
  report.m_age = aAge;
  return report;
}

TEST(Routing, RandomisedRunsSelectOnlyEligibleRunners)
{
  SetAbortOnBrokenInvariant(true);
  for (const std::string policy :
       { "random", "two_choices", "prefix_two_choices" }) {
    Random random(11);
    MonotonicTime now{ std::chrono::hours(1) };
    Router router(MakePolicy(policy), 0.1, 5);
    std::map<std::string, RunnerReport> expected;
    std::multiset<std::string> inFlight;
    for (int step = 0; step < 60000; ++step) {
      now += milliseconds(random.Below(5));
      const auto vm = "vm" + std::to_string(random.Below(6));
      const auto choice = random.Below(100);
      if (choice < 20) {
        auto report = MakeReport(vm,
                                 static_cast<std::uint32_t>(random.Below(8)),
                                 milliseconds(random.Below(900)));
        report.m_acceptsRequests = random.Chance(0.8);
        report.m_classes = { random.Chance(0.8) ? "a" : "b" };
        expected[vm] = report;
        router.UpdateRunner(report, now);
      } else if (choice < 21) {
        std::vector<std::string> kept;
        kept.reserve(expected.size());
        std::erase_if(expected,
                      [&](const auto&) { return random.Chance(0.3); });
        for (const auto& [name, report] : expected) {
          kept.push_back(name);
        }
        router.Retain(kept);
      } else if (choice < 65) {
        RoutingRequest request{ "kingston", "a", random.Below(9), { vm } };
        const auto chosen = router.Choose(request, now);
        const bool possible = std::any_of(
          expected.begin(), expected.end(), [&](const auto& aEntry) {
            return aEntry.first != vm && aEntry.second.m_acceptsRequests &&
                   aEntry.second.m_classes[0] == "a";
          });
        // Ejection never leaves a service without a runner.
        ASSERT_EQ(chosen.has_value(), possible);
        if (chosen) {
          ASSERT_NE(*chosen, vm);
          ASSERT_TRUE(expected.at(*chosen).m_acceptsRequests);
          ASSERT_EQ(expected.at(*chosen).m_classes[0], "a");
          router.OnRequestSent(*chosen, request.m_prefixHash, now);
          inFlight.insert(*chosen);
        }
      } else if (choice < 95 && !inFlight.empty()) {
        const auto ended = *inFlight.begin();
        inFlight.erase(inFlight.begin());
        router.OnRequestEnded(
          ended, static_cast<RunnerOutcome>(random.Below(4)), now);
      } else {
        router.Prefixes().OnCacheEvent(
          vm, random.Below(1000), random.Below(9), random.Chance(0.5), now);
      }
      for (const auto& candidate : router.Candidates()) {
        ASSERT_GE(candidate.m_load, candidate.m_inFlight);
      }
    }
  }
}

TEST(Routing, LoadEstimateAddsRequestsSentSinceTheReport)
{
  MonotonicTime now{ std::chrono::hours(1) };
  Router router(MakePolicy(), 0.1, 5);
  router.UpdateRunner(MakeReport("vm"), now);
  now += milliseconds(10);
  router.OnRequestSent("vm", 0, now);
  router.OnRequestSent("vm", 0, now);
  EXPECT_EQ(router.Candidates()[0].m_load, 2);
  // The report predates the two requests, so they are added.
  router.UpdateRunner(MakeReport("vm", 3, milliseconds(5)), now);
  EXPECT_EQ(router.Candidates()[0].m_load, 5);
  now += milliseconds(10);
  // The report was measured after they were sent, so it includes them.
  router.UpdateRunner(MakeReport("vm", 3, milliseconds(5)), now);
  EXPECT_EQ(router.Candidates()[0].m_load, 3);
  router.OnRequestEnded("vm", RunnerOutcome::Answered, now);
  EXPECT_EQ(router.Candidates()[0].m_load, 2);
  // A late report of an older measurement is ignored.
  router.UpdateRunner(MakeReport("vm", 9, milliseconds(500)), now);
  EXPECT_EQ(router.Candidates()[0].m_load, 2);
}

TEST(Routing, PrefixAffinityStopsAtTheLoadBound)
{
  MonotonicTime now{ std::chrono::hours(1) };
  Router router(MakePolicy(), 0.1, 5);
  for (int vm = 0; vm < 8; ++vm) {
    router.UpdateRunner(MakeReport("vm" + std::to_string(vm)), now);
  }
  router.Prefixes().OnRequestSent(42, "vm3", now);
  std::map<std::string, int> counts;
  for (int request = 0; request < 16; ++request) {
    const auto chosen = router.Choose({ "kingston", "", 42, {} }, now);
    router.OnRequestSent(*chosen, 0, now);
    ++counts[*chosen];
  }
  EXPECT_GE(counts["vm3"], 2);
  EXPECT_LE(counts["vm3"], 4);
}

TEST(Routing, LateOrLostCacheEventsOnlyMarkHoldersUnconfirmed)
{
  const MonotonicTime now{ std::chrono::hours(1) };
  PrefixTable table(3);
  table.OnCacheEvent("a", 1, 42, false, now);
  table.OnCacheEvent("b", 1, 42, false, now + milliseconds(5));
  table.OnCacheEvent(
    "a", 5, 43, false, now + milliseconds(10)); // 2 to 4 are lost
  auto holders = table.Holders(42, now + milliseconds(10));
  ASSERT_EQ(holders.size(), 2U);
  EXPECT_EQ(holders[0].m_vm, "b");
  EXPECT_TRUE(holders[1].m_unconfirmed);
  table.OnRequestSent(42, "b", now + milliseconds(10));
  table.OnCacheEvent(
    "b", 2, 42, true, now + milliseconds(20)); // predates the request
  EXPECT_EQ(table.Holders(42, now + milliseconds(20)).size(), 2U);
  table.OnCacheEvent("b", 3, 42, true, now + milliseconds(9000));
  EXPECT_EQ(table.Holders(42, now + milliseconds(9000)).size(), 1U);
  for (std::uint64_t prefix = 50; prefix < 60; ++prefix) {
    table.OnRequestSent(prefix, "a", now);
  }
  EXPECT_EQ(table.Size(), 3U);
}

TEST(Routing, EjectsAtMostHalfOfAServiceAndAdmitsOneTrialAtATime)
{
  MonotonicTime now{ std::chrono::hours(1) };
  OutlierEjector ejector;
  const std::vector<std::string> vms{ "a", "b", "c", "d" };
  for (int round = 0; round < 10; ++round) {
    for (const auto& vm : vms) {
      ejector.RecordFailure(vm, vms.size(), now);
    }
  }
  EXPECT_EQ(ejector.EjectedCount(now), 2U);
  OutlierEjector single;
  for (int round = 0; round < 10; ++round) {
    single.RecordFailure("a", 1, now);
  }
  EXPECT_FALSE(single.IsEjected("a", now));
  now += OutlierEjector::kBaseEjectionTime;
  EXPECT_FALSE(ejector.IsEjected("a", now));
  ejector.OnSelected("a", now);
  EXPECT_TRUE(ejector.IsEjected("a", now)); // trial in flight
  ejector.RecordSuccess("a");
  EXPECT_FALSE(ejector.IsEjected("a", now));
}

TEST(Routing, RetryBudgetLimitsRetriesToAFractionOfRequests)
{
  RetryBudget budget(0.1);
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.Request();
    retries += budget.TryTake() ? 1 : 0;
  }
  EXPECT_LE(retries, 100 + RetryBudget::kMaxTokens);
  EXPECT_GE(retries, 100);
}

TEST(Routing, RankEntriesOmitsLeavingEntriesAndSortsByPlaceAndLoad)
{
  Random random(3);
  std::vector<EntryView> entries;
  entries.reserve(9);
  for (int index = 0; index < 9; ++index) {
    entries.push_back({ "e" + std::to_string(index),
                        index % 3 == 0 ? "burton" : "nottingham",
                        "127.0.0.1:" + std::to_string(8000 + index),
                        index == 3,
                        index != 6,
                        index == 0 ? 50U : 0U });
  }
  std::map<std::string, int> firstCounts;
  for (int round = 0; round < 900; ++round) {
    const auto ranked = RankEntries(entries, "nottingham", 9, random);
    ASSERT_EQ(ranked.size(), 8U);
    for (const auto& entry : ranked) {
      ASSERT_NE(entry.m_vm, "e3");
    }
    EXPECT_EQ(ranked.front().m_place, "nottingham");
    EXPECT_EQ(ranked.back().m_vm, "e6");
    ++firstCounts[ranked.front().m_vm];
  }
  for (const auto& [vm, count] : firstCounts) {
    EXPECT_GE(count, 100) << vm; // 150 each on average
  }
}

} // namespace
} // namespace siskindeal

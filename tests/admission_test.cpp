#include "siskindeal/admission.h"

#include "siskindeal/invariant.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

TEST(Admission, RandomisedRunsStartOrRefuseEachRequestOnce)
{
  SetAbortOnBrokenInvariant(true);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    MonotonicTime now{ std::chrono::hours(1) };
    AdmissionQueue queue({ 20, milliseconds(300) });
    // Deadlines of the requests that are neither started nor refused.
    std::map<std::uint64_t, MonotonicTime> waiting;
    std::set<std::uint64_t> running;
    std::uint64_t lastId = 0;
    const auto apply = [&](const AdmissionDecision& aChanges) {
      for (const auto id : aChanges.m_start) {
        ASSERT_EQ(waiting.count(id), 1U);
        ASSERT_LT(now, waiting[id]) << "started after its deadline";
        waiting.erase(id);
        running.insert(id);
      }
      for (const auto& refusal : aChanges.m_refuse) {
        ASSERT_EQ(waiting.erase(refusal.m_id), 1U);
        ASSERT_EQ(refusal.m_error.GetVerdict(), Verdict::NotRun);
        ASSERT_TRUE(refusal.m_error.GetReason() == Reason::Timeout ||
                    refusal.m_error.RetryAfter() > milliseconds(0));
      }
      ASSERT_EQ(queue.Running(), running.size());
      ASSERT_EQ(queue.Waiting(), waiting.size());
    };
    for (int step = 0; step < 15000; ++step) {
      now += milliseconds(random.Below(10));
      const auto choice = random.Below(100);
      if (choice < 50) {
        const auto id = ++lastId;
        waiting[id] = now + milliseconds(random.Below(800));
        apply(queue.Offer({ id,
                            "team" + std::to_string(random.Below(5)),
                            1.0 + static_cast<double>(random.Below(3)),
                            static_cast<int>(random.Below(3)),
                            waiting[id] },
                          now));
      } else if (choice < 85 && !running.empty()) {
        const auto id = *running.begin();
        running.erase(id);
        apply(queue.Finish(id, now));
      } else if (choice < 90 && !waiting.empty()) {
        const auto id = waiting.begin()->first; // its caller disconnects
        waiting.erase(id);
        apply(queue.Finish(id, now));
      } else if (choice < 95) {
        apply(
          queue.SetSlots(static_cast<std::uint32_t>(random.Below(12)), now));
      } else if (choice < 97) {
        apply(
          queue.SetOtherEntries(static_cast<std::uint32_t>(random.Below(12)),
                                1 + static_cast<std::uint32_t>(random.Below(3)),
                                now));
      } else {
        apply(queue.Tick(now));
      }
    }
  }
}

TEST(Admission, OrdersATeamsRequestsByPriorityThenDeadline)
{
  const MonotonicTime now{ std::chrono::hours(1) };
  AdmissionQueue queue({ 20, milliseconds(2000) });
  queue.Offer({ 1, "team", 1, 0, now + milliseconds(1500) }, now);
  queue.Offer({ 2, "team", 1, 0, now + milliseconds(1500) }, now);
  queue.Offer({ 3, "team", 1, 0, now + milliseconds(900) }, now);
  queue.Offer({ 4, "team", 1, 5, now + milliseconds(1500) }, now);
  std::vector<std::uint64_t> order;
  for (std::uint64_t running = 1; order.size() < 3;) {
    const auto changes = queue.Finish(running, now);
    ASSERT_EQ(changes.m_start.size(), 1U);
    running = changes.m_start[0];
    order.push_back(running);
  }
  EXPECT_EQ(order, (std::vector<std::uint64_t>{ 4, 3, 2 }));
}

TEST(Admission, ALargeTeamDoesNotStarveASmallOne)
{
  Random random(7);
  MonotonicTime now{ std::chrono::hours(1) };
  AdmissionQueue queue({ 64, milliseconds(500) });
  queue.SetSlots(10, now);
  std::multimap<MonotonicTime, std::uint64_t> ends;
  std::map<bool, int> offered;
  std::map<bool, int> started;
  std::map<std::uint64_t, bool> isSmall;
  const auto apply = [&](const AdmissionDecision& aChanges) {
    for (const auto id : aChanges.m_start) {
      ++started[isSmall[id]];
      ends.emplace(now + milliseconds(10 + random.Below(20)), id);
    }
  };
  // The capacity is about 500 requests per second. The large team sends 900 per
  // second and the small one 100.
  for (std::uint64_t id = 1; id <= 20000; ++id) {
    now += milliseconds(1);
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto ended = ends.begin()->second;
      ends.erase(ends.begin());
      apply(queue.Finish(ended, now));
    }
    isSmall[id] = id % 10 == 0;
    ++offered[isSmall[id]];
    apply(queue.Offer(
      { id, isSmall[id] ? "small" : "large", 1, 0, now + milliseconds(2000) },
      now));
  }
  EXPECT_GE(started[true], offered[true] * 95 / 100);
  EXPECT_GE(started[true] + started[false], 9000);
}

TEST(Admission, TeamRateIsEnforcedWhileEntriesJoinAndLeave)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Random random(seed);
    MonotonicTime now{ std::chrono::hours(1) };
    const TeamConfig config{ 1, 200, 20 };
    std::map<std::string, TeamLimiter> entries;
    std::deque<MonotonicTime> admitted;
    int entryCount = 0;
    std::size_t maxAdmitted = 0;
    std::uint64_t totalAdmitted = 0;
    for (int step = 0; step < 30000; ++step) {
      now += milliseconds(1);
      if (entries.size() < 2 || (entries.size() < 6 && random.Chance(0.0005))) {
        const auto name = "entry" + std::to_string(++entryCount);
        auto& added = entries[name];
        added.SetTeams({ { "team", config } }, config);
        for (auto& [other, limiter] : entries) {
          if (other != name) {
            limiter.Merge(name, {});
            added.Merge(other, limiter.Usage(now));
          }
        }
      } else if (entries.size() > 2 && random.Chance(0.0005)) {
        const auto removed = entries.begin()->first;
        entries.erase(removed);
        for (auto& [other, limiter] : entries) {
          limiter.RemoveEntry(removed);
        }
      }
      if (step % 100 == 0) {
        for (auto& [from, limiter] : entries) {
          for (auto& [to, other] : entries) {
            if (from != to) {
              other.Merge(from, limiter.Usage(now));
            }
          }
        }
      }
      auto& entry =
        std::next(entries.begin(),
                  static_cast<std::ptrdiff_t>(random.Below(entries.size())))
          ->second;
      const auto refusal = entry.Admit("team", now); // 1000 per second
      if (refusal) {
        ASSERT_EQ(refusal->GetVerdict(), Verdict::NotRun);
        ASSERT_GT(refusal->RetryAfter(), milliseconds(0));
        continue;
      }
      ++totalAdmitted;
      admitted.push_back(now);
      while (now - admitted.front() > milliseconds(2000)) {
        admitted.pop_front();
      }
      maxAdmitted = std::max(maxAdmitted, admitted.size());
    }
    // Per 2 s window: twice the rate, the bursts, and a margin for share
    // changes.
    EXPECT_LE(maxAdmitted, 2 * 200 + 2 * 20 + 40) << "seed " << seed;
    EXPECT_GE(totalAdmitted, 30U * 200 * 95 / 100) << "seed " << seed;
  }
}

} // namespace
} // namespace siskindeal

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

TEST(Admission, EachRequestIsStartedOrRefusedOnceInLongRandomisedRuns)
{
  SetAbortOnBrokenInvariant(true);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    MonotonicTime now{ std::chrono::hours(1) };
    AdmissionQueue queue({ 20, milliseconds(300) });
    std::map<std::uint64_t, MonotonicTime> open; // neither started nor refused
    std::set<std::uint64_t> running;
    std::uint64_t ids = 0;
    const auto take = [&](const AdmissionChanges& aChanges) {
      for (const auto id : aChanges.m_start) {
        ASSERT_EQ(open.count(id), 1U);
        ASSERT_LT(now, open[id]) << "started after its deadline";
        open.erase(id);
        running.insert(id);
      }
      for (const auto& refusal : aChanges.m_refuse) {
        ASSERT_EQ(open.erase(refusal.m_id), 1U);
        ASSERT_EQ(refusal.m_error.GetVerdict(), Verdict::NotRun);
        ASSERT_TRUE(refusal.m_error.GetReason() == Reason::Timeout ||
                    refusal.m_error.RetryAfter() > milliseconds(0));
      }
      ASSERT_EQ(queue.Running(), running.size());
      ASSERT_EQ(queue.Waiting(), open.size());
    };
    for (int step = 0; step < 15000; ++step) {
      now += milliseconds(random.Below(10));
      const auto choice = random.Below(100);
      if (choice < 50) {
        const auto id = ++ids;
        open[id] = now + milliseconds(random.Below(800));
        take(queue.Offer({ id,
                           "team" + std::to_string(random.Below(5)),
                           1.0 + static_cast<double>(random.Below(3)),
                           static_cast<int>(random.Below(3)),
                           open[id] },
                         now));
      } else if (choice < 85 && !running.empty()) {
        const auto id = *running.begin();
        running.erase(id);
        take(queue.Finish(id, now));
      } else if (choice < 90 && !open.empty()) {
        const auto id = open.begin()->first; // its caller hangs up
        open.erase(id);
        take(queue.Finish(id, now));
      } else if (choice < 95) {
        take(queue.SetSlots(static_cast<std::uint32_t>(random.Below(12)), now));
      } else if (choice < 97) {
        take(queue.SetOthers(static_cast<std::uint32_t>(random.Below(12)),
                             1 + static_cast<std::uint32_t>(random.Below(3)),
                             now));
      } else {
        take(queue.Tick(now));
      }
    }
  }
}

TEST(Admission, AHigherPriorityAndAnEarlierDeadlineGoFirstWithinATeam)
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
  const auto take = [&](const AdmissionChanges& aChanges) {
    for (const auto id : aChanges.m_start) {
      ++started[isSmall[id]];
      ends.emplace(now + milliseconds(10 + random.Below(20)), id);
    }
  };
  // About 500 a second fit; 900 of the large team and 100 of the small come.
  for (std::uint64_t id = 1; id <= 20000; ++id) {
    now += milliseconds(1);
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto ended = ends.begin()->second;
      ends.erase(ends.begin());
      take(queue.Finish(ended, now));
    }
    isSmall[id] = id % 10 == 0;
    ++offered[isSmall[id]];
    take(queue.Offer(
      { id, isSmall[id] ? "small" : "large", 1, 0, now + milliseconds(2000) },
      now));
  }
  EXPECT_GE(started[true], offered[true] * 95 / 100);
  EXPECT_GE(started[true] + started[false], 9000);
}

TEST(Admission, ATeamsRateHoldsWhileEntriesComeAndGo)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Random random(seed);
    MonotonicTime now{ std::chrono::hours(1) };
    const TeamConfig config{ 1, 200, 20 };
    std::map<std::string, TeamLimiter> entries;
    std::deque<MonotonicTime> admitted;
    int names = 0;
    std::size_t most = 0;
    std::uint64_t total = 0;
    for (int step = 0; step < 30000; ++step) {
      now += milliseconds(1);
      if (entries.size() < 2 || (entries.size() < 6 && random.Chance(0.0005))) {
        const auto name = "entry" + std::to_string(++names);
        auto& fresh = entries[name];
        fresh.SetTeams({ { "team", config } }, config);
        for (auto& [other, limiter] : entries) {
          if (other != name) {
            limiter.Merge(name, {});
            fresh.Merge(other, limiter.Usage(now));
          }
        }
      } else if (entries.size() > 2 && random.Chance(0.0005)) {
        const auto gone = entries.begin()->first;
        entries.erase(gone);
        for (auto& [other, limiter] : entries) {
          limiter.Forget(gone);
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
      const auto refusal = entry.Take("team", now); // a thousand a second
      if (refusal) {
        ASSERT_EQ(refusal->GetVerdict(), Verdict::NotRun);
        ASSERT_GT(refusal->RetryAfter(), milliseconds(0));
        continue;
      }
      ++total;
      admitted.push_back(now);
      while (now - admitted.front() > milliseconds(2000)) {
        admitted.pop_front();
      }
      most = std::max(most, admitted.size());
    }
    // Any 2 s: twice the rate, the burst, and what changing shares let through.
    EXPECT_LE(most, 2 * 200 + 2 * 20 + 40) << "seed " << seed;
    EXPECT_GE(total, 30U * 200 * 95 / 100) << "seed " << seed;
  }
}

} // namespace
} // namespace siskindeal

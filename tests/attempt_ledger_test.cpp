#include "agent/run_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace siskindeal {
namespace {

TEST(AttemptLedger, AnAttemptIsEitherStartedOrAbandoned)
{
  const MonotonicTime now{ std::chrono::hours(1) };
  const std::chrono::milliseconds age(5);
  AttemptLedger ledger;
  EXPECT_TRUE(ledger.TryCancel("late-1", age, now));
  EXPECT_FALSE(ledger.TryStart("late-1", now));
  EXPECT_TRUE(ledger.TryCancel("late-1", age, now)) << "repeated call";
  EXPECT_TRUE(ledger.TryStart("r-1", now));
  EXPECT_FALSE(ledger.TryStart("r-1", now)) << "duplicate call";
  EXPECT_FALSE(ledger.TryCancel("r-1", age, now));
}

// More attempts than the ledger holds arrive or are abandoned, in any order and
// long after they were sent.
TEST(AttemptLedger, AnAbandonedAttemptNeverStartsAfterEviction)
{
  constexpr int kSteps = 600000;
  constexpr std::uint64_t kMaxTransitSeconds =
    std::chrono::duration_cast<std::chrono::seconds>(kMaxTransitTime).count();
  Random random(7);
  AttemptLedger ledger;
  MonotonicTime now{ std::chrono::hours(1) };
  struct Sent
  {
    std::string m_key;
    MonotonicTime m_sentAt;
  };
  std::vector<Sent> inTransit;
  std::set<std::string> started;
  std::set<std::string> abandoned;
  std::size_t failedAbandons = 0;
  for (int step = 0; step < kSteps; ++step) {
    now += std::chrono::milliseconds(random.Below(4));
    inTransit.push_back({ AttemptKey("r" + std::to_string(step), 1), now });
    const auto picked = random.Below(inTransit.size());
    const auto sent = inTransit[picked];
    if (now - sent.m_sentAt > std::chrono::seconds(kMaxTransitSeconds)) {
      inTransit[picked] = inTransit.back();
      inTransit.pop_back();
      continue;
    }
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(
      now - sent.m_sentAt + std::chrono::milliseconds(1));
    if (random.Chance(0.3)) {
      if (ledger.TryCancel(sent.m_key, age, now)) {
        ASSERT_EQ(started.count(sent.m_key), 0U);
        abandoned.insert(sent.m_key);
      } else {
        ++failedAbandons;
      }
      continue;
    }
    if (ledger.TryStart(sent.m_key, now)) {
      ASSERT_EQ(abandoned.count(sent.m_key), 0U);
      started.insert(sent.m_key);
    }
    // The call may be delivered again, or abandoned after it has run.
    if (random.Chance(0.7)) {
      inTransit[picked] = inTransit.back();
      inTransit.pop_back();
    }
  }
  EXPECT_GT(started.size(), kMaxTrackedAttempts);
  EXPECT_GT(abandoned.size(), 1000U);
  EXPECT_GT(failedAbandons, 1000U);
}

} // namespace
} // namespace siskindeal

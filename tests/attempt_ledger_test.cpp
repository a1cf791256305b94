#include "agent/run_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace siskindeal {
namespace {

TEST(AttemptLedger, PromisesAndStartsExcludeEachOther)
{
  const MonotonicTime now{ std::chrono::hours(1) };
  const std::chrono::milliseconds age(5);
  AttemptLedger ledger;
  EXPECT_TRUE(ledger.GiveUp("late-1", age, now));
  EXPECT_FALSE(ledger.TryStart("late-1", now));
  EXPECT_TRUE(ledger.GiveUp("late-1", age, now)) << "asked again";
  EXPECT_TRUE(ledger.TryStart("r-1", now));
  EXPECT_FALSE(ledger.TryStart("r-1", now)) << "a duplicated call";
  EXPECT_FALSE(ledger.GiveUp("r-1", age, now));
}

// Attempts arrive, or are given up, in any order and long after they were sent;
// more of them than the ledger remembers.
TEST(AttemptLedger, AGivenUpAttemptNeverStartsThoughTheLedgerForgets)
{
  constexpr int kSteps = 600000;
  constexpr std::uint64_t kMostTransitSeconds =
    std::chrono::duration_cast<std::chrono::seconds>(kLongestTransit).count();
  Random random(7);
  AttemptLedger ledger;
  MonotonicTime now{ std::chrono::hours(1) };
  struct Sent
  {
    std::string m_key;
    MonotonicTime m_at;
  };
  std::vector<Sent> onTheWay;
  std::set<std::string> started;
  std::set<std::string> promised;
  std::size_t refusedPromises = 0;
  for (int step = 0; step < kSteps; ++step) {
    now += std::chrono::milliseconds(random.Below(4));
    onTheWay.push_back({ AttemptKey("r" + std::to_string(step), 1), now });
    const auto picked = random.Below(onTheWay.size());
    const auto sent = onTheWay[picked];
    if (now - sent.m_at > std::chrono::seconds(kMostTransitSeconds)) {
      onTheWay[picked] = onTheWay.back();
      onTheWay.pop_back();
      continue;
    }
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(
      now - sent.m_at + std::chrono::milliseconds(1));
    if (random.Chance(0.3)) {
      if (ledger.GiveUp(sent.m_key, age, now)) {
        ASSERT_EQ(started.count(sent.m_key), 0U);
        promised.insert(sent.m_key);
      } else {
        ++refusedPromises;
      }
      continue;
    }
    if (ledger.TryStart(sent.m_key, now)) {
      ASSERT_EQ(promised.count(sent.m_key), 0U);
      started.insert(sent.m_key);
    }
    // The call may be delivered again later, or given up after it has run.
    if (random.Chance(0.7)) {
      onTheWay[picked] = onTheWay.back();
      onTheWay.pop_back();
    }
  }
  EXPECT_GT(started.size(), kMostRememberedAttempts);
  EXPECT_GT(promised.size(), 1000U);
  EXPECT_GT(refusedPromises, 1000U);
}

} // namespace
} // namespace siskindeal

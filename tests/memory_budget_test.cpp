// Tests which messages are ended when the memory for them is used up.

#include "net/memory_budget_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace siskindeal {

namespace {

constexpr std::size_t kLimit = 1000;

// A message that may be ended, unless it is needed.
struct Holder
{
  std::optional<MemoryBudget::Account> m_account;
  std::size_t m_bytes = 0;
  bool m_isNeeded = false;
  bool m_isEnded = false;
};

class MemoryBudgetTest : public testing::Test
{
protected:
  MemoryBudgetTest() { MemoryBudget::Of(m_loop).SetLimit(kLimit); }

  Holder& Add(bool aIsNeeded)
  {
    Holder& holder = *m_holders.emplace_back(std::make_unique<Holder>());
    holder.m_isNeeded = aIsNeeded;
    holder.m_account.emplace(m_loop, "test", [this, &holder] {
      if (holder.m_isNeeded) {
        return false;
      }
      ExpectIsLargest(holder);
      holder.m_isEnded = true;
      holder.m_bytes = 0;
      holder.m_account.reset();
      return true;
    });
    return holder;
  }

  static void Set(Holder& aHolder, std::size_t aBytes)
  {
    if (!aHolder.m_isEnded) {
      aHolder.m_bytes = aBytes;
      aHolder.m_account->Set(aBytes);
    }
  }

  void ExpectIsLargest(const Holder& aEnded) const
  {
    for (const auto& holder : m_holders) {
      EXPECT_TRUE(holder->m_isNeeded || holder->m_bytes <= aEnded.m_bytes);
    }
  }

  std::size_t Sum() const
  {
    std::size_t sum = 0;
    for (const auto& holder : m_holders) {
      sum += holder->m_bytes;
    }
    return sum;
  }

  // Runs what is due in the loop.
  void Poll()
  {
    m_loop.restart();
    m_loop.poll();
  }

  Loop m_loop{ 1 };
  std::vector<std::unique_ptr<Holder>> m_holders;
};

TEST_F(MemoryBudgetTest, LargestIsEndedAndOthersGoOn)
{
  Holder& small = Add(false);
  Holder& large = Add(false);
  Set(small, 300);
  Set(large, 701);
  EXPECT_FALSE(large.m_isEnded) << "never from within Set";
  Poll();
  EXPECT_TRUE(large.m_isEnded);
  EXPECT_FALSE(small.m_isEnded);
}

TEST_F(MemoryBudgetTest, WhatIsNeededIsLeftAndEndedOnceItIsNot)
{
  Holder& needed = Add(true);
  Holder& other = Add(false);
  Set(needed, 1100);
  Set(other, 10);
  Poll();
  EXPECT_TRUE(other.m_isEnded);
  EXPECT_FALSE(needed.m_isEnded);
  needed.m_isNeeded = false;
  Set(needed, 1101);
  Poll();
  EXPECT_TRUE(needed.m_isEnded);
}

TEST_F(MemoryBudgetTest, HeldStaysWithinTheLimitInRandomRuns)
{
  constexpr int kSteps = 400;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    SCOPED_TRACE(seed);
    Random random(seed);
    m_holders.clear();
    for (int step = 0; step < kSteps; ++step) {
      if (random.Chance(0.2)) {
        Add(random.Chance(0.1));
      }
      if (!m_holders.empty()) {
        auto& holder = m_holders[random.Below(m_holders.size())];
        if (random.Chance(0.1)) {
          std::swap(holder, m_holders.back());
          m_holders.pop_back(); // the message is complete
        } else {
          Set(*holder, random.Below(holder->m_isNeeded ? 40 : 400));
        }
      }
      Poll();
      ASSERT_EQ(MemoryBudget::Of(m_loop).Held(), Sum());
      const bool mayEnd = std::any_of(
        m_holders.begin(), m_holders.end(), [](const auto& aHolder) {
          return !aHolder->m_isNeeded && aHolder->m_bytes > 0;
        });
      ASSERT_TRUE(Sum() <= kLimit || !mayEnd);
    }
  }
}

} // namespace

} // namespace siskindeal

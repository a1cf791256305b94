// How the stagers of a region that start at the same moment, without gateways
// that have the configuration, read it from the store.

#include "stager/store_fallback_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{ 20 };
constexpr milliseconds kRun{ 60000 };

struct Attempts
{
  std::vector<milliseconds> m_times; // since the start
};

// Plays stagers whose reads all fail.
std::vector<Attempts>
PlayFailingReads(std::size_t aStagers, std::uint64_t aSeed)
{
  Random random(aSeed);
  const MonotonicTime start(std::chrono::hours(1));
  std::deque<StoreFallback> stagers;
  for (std::size_t i = 0; i < aStagers; ++i) {
    stagers.emplace_back(start, random);
  }
  std::vector<Attempts> attempts(aStagers);
  for (milliseconds now{ 0 }; now < kRun; now += kStep) {
    for (std::size_t i = 0; i < aStagers; ++i) {
      if (stagers[i].IsDue(start + now)) {
        stagers[i].RecordAttempt(start + now);
        attempts[i].m_times.push_back(now);
      }
    }
  }
  return attempts;
}

TEST(StoreFallback, StagersThatStartTogetherDoNotFillTheLinkWithCopies)
{
  // fcb-tee-large has 41 at most in a region, and 3.6 MB/s from the store.
  constexpr std::size_t kStagers = 41;
  constexpr double kConfigBytes = 283e3;
  constexpr double kLinkBytesPerSecond = 29e6 / 8;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    std::vector<std::size_t> perSecond(kRun.count() / 1000);
    std::size_t sent = 0;
    for (const Attempts& attempts : PlayFailingReads(kStagers, seed)) {
      for (const milliseconds time : attempts.m_times) {
        EXPECT_GE(time, StoreFallback::kGatewayTime);
        ++perSecond[time.count() / 1000];
        ++sent;
      }
    }
    // What is asked for again and again must leave most of the link to others.
    const double seconds = static_cast<double>(kRun.count()) / 1000;
    EXPECT_LE(static_cast<double>(sent) * kConfigBytes,
              kLinkBytesPerSecond * seconds / 3);
    EXPECT_LT(*std::max_element(perSecond.begin(), perSecond.end()), kStagers);
  }
}

TEST(StoreFallback, EachStagerAsksSoonAndAgain)
{
  for (const Attempts& attempts : PlayFailingReads(200, 7)) {
    ASSERT_GE(attempts.m_times.size(), 3U);
    EXPECT_LE(attempts.m_times.front(),
              StoreFallback::kGatewayTime + StoreFallback::kSpread + kStep);
    for (std::size_t i = 1; i < attempts.m_times.size(); ++i) {
      EXPECT_LE(attempts.m_times[i] - attempts.m_times[i - 1],
                StoreFallback::kMaxInterval * 3 / 2 + kStep);
    }
  }
}

} // namespace

} // namespace siskindeal

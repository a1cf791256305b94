// Plays versions of weights that are named one after the other, over a given
// clock, and checks when a runner holds what has become due.

#include "stager/fetch_target_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

const std::string kModel = "m";
constexpr milliseconds kStep{ 25 };
constexpr milliseconds kListTime{ 150 };
constexpr milliseconds kFetchTime{ 3200 }; // with the list
// Until then pieces come from the origin, which serves the two newest versions.
constexpr milliseconds kOriginTime{ 1900 };
constexpr milliseconds kLoadTime{ 1500 };
constexpr milliseconds kDueAge{ 7000 };
constexpr std::uint64_t kFirstVersion = 2;

// One stager, as all of a fleet decide alike.
class FetchRun
{
public:
  FetchRun(int aVersions, milliseconds aGap)
    : m_versions(aVersions)
    , m_gap(aGap)
  {
  }

  // Returns when the runner first held a named version, counted from when the
  // first one was named; none if it didn't before aEnd.
  std::optional<milliseconds> FirstHeld(milliseconds aEnd)
  {
    for (m_now = milliseconds(0); m_now < aEnd; m_now += kStep) {
      Step();
      if (m_loaded >= kFirstVersion) {
        return m_now;
      }
    }
    return std::nullopt;
  }

  std::uint64_t Loaded() const { return m_loaded; }

private:
  void Step()
  {
    while (m_namedCount < m_versions && m_now >= m_gap * m_namedCount) {
      m_named.Record(kModel, kFirstVersion + m_namedCount++, m_now);
    }
    if (m_loading && m_now - m_loadingSince >= kLoadTime) {
      m_loaded = *std::exchange(m_loading, std::nullopt);
    }
    const auto newest = m_named.Newest(kModel);
    if (newest && *newest > m_target &&
        (IsWithdrawn(*newest) || !FinishesFirst(*newest))) {
      m_target = *newest;
      m_fetchSince = m_now;
      m_isFetching = true;
    }
    if (m_isFetching && m_now - m_fetchSince >= kFetchTime) {
      m_isFetching = false;
      m_loading = m_target;
      m_loadingSince = m_now;
    }
  }

  bool IsWithdrawn(std::uint64_t aNewest) const
  {
    return aNewest >= m_target + 2 && m_now - m_fetchSince < kOriginTime;
  }

  bool FinishesFirst(std::uint64_t aNewest) const
  {
    const auto elapsed = m_now - m_fetchSince;
    return ShouldFinishTargetFirst(
      { m_target,
        m_isFetching && elapsed >= kListTime,
        std::chrono::duration<double>(elapsed) / kFetchTime,
        std::max(m_loaded, m_loading.value_or(0)) },
      m_named,
      kModel,
      aNewest,
      m_now);
  }

  int m_versions;
  milliseconds m_gap;
  NamedVersions m_named;
  milliseconds m_now{ 0 };
  int m_namedCount = 0;
  std::uint64_t m_target = 0;
  bool m_isFetching = false;
  milliseconds m_fetchSince{ 0 };
  std::optional<std::uint64_t> m_loading;
  milliseconds m_loadingSince{ 0 };
  std::uint64_t m_loaded = 1;
};

TEST(FetchTarget, VersionsNamedInARowDoNotKeepEachOtherFromBeingFetched)
{
  constexpr int kVersions = 40;
  for (int gapMs = 1000; gapMs <= 4000; gapMs += 100) {
    SCOPED_TRACE(gapMs);
    FetchRun run(kVersions, milliseconds(gapMs));
    const auto held = run.FirstHeld(std::chrono::seconds(60));
    ASSERT_TRUE(held);
    EXPECT_LE(*held, kDueAge);
  }
}

TEST(FetchTarget, VersionThatTheOriginWithdrewIsGivenUpForTheNewest)
{
  constexpr int kVersions = 12;
  for (int gapMs = 100; gapMs < 1000; gapMs += 100) {
    SCOPED_TRACE(gapMs);
    FetchRun run(kVersions, milliseconds(gapMs));
    const auto held = run.FirstHeld(std::chrono::seconds(60));
    ASSERT_TRUE(held);
    EXPECT_LE(*held, milliseconds(gapMs) * (kVersions - 1) + kDueAge);
  }
}

TEST(FetchTarget, NewerVersionNamedSoonReplacesTheOneBeingFetched)
{
  FetchRun run(2, milliseconds(700));
  ASSERT_TRUE(run.FirstHeld(std::chrono::seconds(60)));
  EXPECT_EQ(run.Loaded(), kFirstVersion + 1);
}

TEST(FetchTarget, NearlyCompleteVersionIsFetchedBeforeTheNextOne)
{
  FetchRun run(2, milliseconds(2500));
  ASSERT_TRUE(run.FirstHeld(std::chrono::seconds(60)));
  EXPECT_EQ(run.Loaded(), kFirstVersion);
}

} // namespace

} // namespace siskindeal

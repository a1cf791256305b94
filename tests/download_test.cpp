#include "rollout/download_p.h"

#include <gtest/gtest.h>

namespace siskindeal {
namespace {

constexpr std::uint32_t kChunks = 16;
constexpr std::chrono::milliseconds kStep{ 200 };

Manifest
MakeManifest()
{
  Manifest manifest;
  manifest.m_chunkSize = 64;
  manifest.m_size = kChunks * manifest.m_chunkSize;
  manifest.m_chunkDigests.assign(kChunks, "digest");
  return manifest;
}

// A download of VM "a", with peer "b" in its place and "c" in another. VM "b"
// is assigned to fetch the odd chunks from the origin.
class DownloadTest : public ::testing::Test
{
protected:
  DownloadTest()
    : m_download(MakeManifest(), "a", "p", "swarm", Limits(), 1)
  {
    m_download.SetPeers({ { "b", "p", "" }, { "c", "q", "" } },
                        { 0, 3, 0, 2, true },
                        true,
                        m_now);
  }

  static DownloadLimits Limits()
  {
    DownloadLimits limits;
    limits.m_window = kChunks;
    limits.m_takeoverAfter = kStep * 5;
    return limits;
  }

  void ReportHeld(const std::string& aVm)
  {
    m_download.OnPeerHave(aVm, m_reported.ToBytes(), "", m_now);
  }

  // Completes all pulls, those from peers as corrupt. Returns whether a chunk
  // assigned to b was fetched from the origin.
  bool RunPulls()
  {
    bool takenOver = false;
    for (const auto& pull : m_download.Next(m_now)) {
      takenOver = takenOver || (!pull.m_peer && pull.m_chunk % 2 == 1);
      if (pull.m_peer) {
        m_download.OnPullFailed(pull.m_id, PullFailure::Corrupt, m_now);
      } else {
        m_download.OnPullVerified(pull.m_id, m_now);
      }
    }
    return takenOver;
  }

  // Returns the number of steps until a chunk assigned to b is taken over. In
  // each step aVm reports one more odd chunk.
  int StepsUntilTakeover(const std::string& aVm)
  {
    int steps = 0;
    for (std::uint32_t chunk = 3; chunk < kChunks; chunk += 2) {
      m_now += kStep;
      ++steps;
      m_reported.Add(chunk);
      ReportHeld(aVm);
      if (RunPulls()) {
        return steps;
      }
    }
    return steps + 1;
  }

  MonotonicTime m_now{ std::chrono::seconds(1) };
  Download m_download;
  ChunkSet m_reported{ kChunks };
};

TEST_F(DownloadTest, ReportsOfUnhealthyPeerDoNotDelayTakeover)
{
  m_reported.Add(1);
  ReportHeld("b");
  while (m_download.CorruptPeers().empty()) {
    ASSERT_FALSE(RunPulls());
  }
  EXPECT_LE(StepsUntilTakeover("b"), 6);
}

TEST_F(DownloadTest, ReportsFromOtherPlaceDoNotDelayTakeover)
{
  EXPECT_LE(StepsUntilTakeover("c"), 6);
}

TEST_F(DownloadTest, ProgressOfTurnOwnerPreventsTakeover)
{
  m_reported.Add(1);
  ReportHeld("b");
  bool takenOver = false;
  for (std::uint32_t chunk = 3; chunk < kChunks && !takenOver; chunk += 2) {
    m_now += kStep;
    m_reported.Add(chunk);
    ReportHeld("b");
    for (const auto& pull : m_download.Next(m_now)) {
      takenOver = takenOver || (!pull.m_peer && pull.m_chunk % 2 == 1);
      m_download.OnPullVerified(pull.m_id, m_now);
    }
  }
  EXPECT_FALSE(takenOver);
}

TEST_F(DownloadTest, TurnReturnsToOwnerThatFetches)
{
  while (m_download.Have().Count() < kChunks / 2) {
    ASSERT_FALSE(RunPulls());
  }
  m_now += kStep * 5;
  ASSERT_TRUE(RunPulls());
  ASSERT_FALSE(m_download.Complete());
  m_reported.Add(kChunks - 1);
  ReportHeld("b");
  EXPECT_FALSE(RunPulls());
}

TEST_F(DownloadTest, NothingIsFetchedRightAfterTurnsChange)
{
  m_download.SetPeers({ { "b", "p", "" } }, { 1, 2, 1, 2, true }, true, m_now);
  EXPECT_TRUE(m_download.Next(m_now).empty());
  EXPECT_FALSE(m_download.NextPolls(m_now).empty());
  m_now += kStep * 2;
  EXPECT_FALSE(m_download.Next(m_now).empty());
}

} // namespace
} // namespace siskindeal

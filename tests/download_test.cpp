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

// A download of VM "a" beside "b" in its place and "c" elsewhere; the odd
// chunks are b's turn at the origin.
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

  void Tell(const std::string& aVm)
  {
    m_download.PeerHas(aVm, m_told.ToBytes(), "", m_now);
  }

  // Ends all that is asked for; whether b's turn was drawn at the origin.
  bool Draws()
  {
    bool drawn = false;
    for (const auto& pull : m_download.Next(m_now)) {
      drawn = drawn || (!pull.m_peer && pull.m_chunk % 2 == 1);
      if (pull.m_peer) {
        m_download.Failed(pull.m_id, PullFailure::Corrupt, m_now);
      } else {
        m_download.Verified(pull.m_id, m_now);
      }
    }
    return drawn;
  }

  // Steps with news of one more odd chunk each, until b's turn is taken over.
  int StepsWithNewsOf(const std::string& aVm)
  {
    int steps = 0;
    for (std::uint32_t chunk = 3; chunk < kChunks; chunk += 2) {
      m_now += kStep;
      ++steps;
      m_told.Add(chunk);
      Tell(aVm);
      if (Draws()) {
        return steps;
      }
    }
    return steps + 1;
  }

  MonotonicTime m_now{ std::chrono::seconds(1) };
  Download m_download;
  ChunkSet m_told{ kChunks };
};

TEST_F(DownloadTest, NewsOfALostPeerHoldsNoTakeoverBack)
{
  m_told.Add(1);
  Tell("b");
  while (m_download.CorruptPeers().empty()) {
    ASSERT_FALSE(Draws());
  }
  EXPECT_LE(StepsWithNewsOf("b"), 6);
}

TEST_F(DownloadTest, NewsThatAPlaceMayNotTakeHoldsNoTakeoverBack)
{
  EXPECT_LE(StepsWithNewsOf("c"), 6);
}

TEST_F(DownloadTest, NewsOfAnOwnerAtWorkHoldsTheTakeoverBack)
{
  m_told.Add(1);
  Tell("b");
  bool drawn = false;
  for (std::uint32_t chunk = 3; chunk < kChunks && !drawn; chunk += 2) {
    m_now += kStep;
    m_told.Add(chunk);
    Tell("b");
    for (const auto& pull : m_download.Next(m_now)) {
      drawn = drawn || (!pull.m_peer && pull.m_chunk % 2 == 1);
      m_download.Verified(pull.m_id, m_now);
    }
  }
  EXPECT_FALSE(drawn);
}

TEST_F(DownloadTest, ATurnIsGivenBackWhenItsOwnerDraws)
{
  while (m_download.Have().Count() < kChunks / 2) {
    ASSERT_FALSE(Draws());
  }
  m_now += kStep * 5;
  ASSERT_TRUE(Draws());
  ASSERT_FALSE(m_download.Complete());
  m_told.Add(kChunks - 1);
  Tell("b");
  EXPECT_FALSE(Draws());
}

TEST_F(DownloadTest, NothingIsDrawnRightAfterTheTurnsHaveChanged)
{
  m_download.SetPeers({ { "b", "p", "" } }, { 1, 2, 1, 2, true }, true, m_now);
  EXPECT_TRUE(m_download.Next(m_now).empty());
  EXPECT_FALSE(m_download.Polls(m_now).empty());
  m_now += kStep * 2;
  EXPECT_FALSE(m_download.Next(m_now).empty());
}

} // namespace
} // namespace siskindeal

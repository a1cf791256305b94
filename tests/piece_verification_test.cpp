// Runs the verification of staged pieces over a given clock, with slow reads
// and pauses.

#include "siskindeal/random.h"
#include "stager/piece_verification_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kPieces = 96;

// Completes reads one after the other, each kReadTime after the one before.
class Reader
{
public:
  explicit Reader(milliseconds aReadTime)
    : m_readTime(aReadTime)
    , m_requestedAt(kPieces)
  {
  }

  void Start(PieceVerification& aVerification)
  {
    while (const auto piece = aVerification.StartNext(m_now)) {
      m_requestedAt[*piece] = m_now;
      m_inFlight.push_back(*piece);
      m_mostInFlight = std::max(m_mostInFlight, m_inFlight.size());
    }
  }

  void FinishOne(PieceVerification& aVerification)
  {
    ASSERT_FALSE(m_inFlight.empty());
    m_now += m_readTime;
    aVerification.RecordIntact(m_inFlight.front());
    m_inFlight.erase(m_inFlight.begin());
  }

  // Of all pieces, in flight or not.
  milliseconds OldestRequest() const
  {
    return *std::min_element(m_requestedAt.begin(), m_requestedAt.end());
  }

  milliseconds m_now{ 1000 };
  milliseconds m_readTime;
  std::size_t m_mostInFlight = 0;

private:
  std::vector<milliseconds> m_requestedAt;
  std::vector<std::size_t> m_inFlight;
};

bool
Verify(PieceVerification& aVerification, Reader& aReader)
{
  while (!aVerification.IsTooSlow()) {
    aReader.Start(aVerification);
    if (aVerification.IsComplete(aReader.m_now)) {
      return true;
    }
    aReader.FinishOne(aVerification);
  }
  return false;
}

TEST(PieceVerification, ReadsEachPieceOnceIfReadsAreFast)
{
  PieceVerification verification(kPieces);
  Reader reader(milliseconds(2));
  EXPECT_TRUE(Verify(verification, reader));
  EXPECT_EQ(verification.Reads(), kPieces);
  EXPECT_EQ(reader.m_mostInFlight, 1U);
  EXPECT_EQ(verification.ExpiresAt(),
            milliseconds(1000) + PieceVerification::kMaxReadingAge);
}

// Guards against a load order on what was read back before a pause.
TEST(PieceVerification, ReadsBeforeAPauseAreRepeated)
{
  PieceVerification verification(kPieces);
  Reader reader(milliseconds(2));
  for (std::size_t i = 0; i < kPieces / 2; ++i) {
    reader.Start(verification);
    reader.FinishOne(verification);
  }
  reader.m_now += std::chrono::seconds(4);
  EXPECT_TRUE(Verify(verification, reader));
  EXPECT_EQ(verification.Reads(), kPieces + kPieces / 2);
}

TEST(PieceVerification, AReadInFlightDuringAPauseIsRepeated)
{
  PieceVerification verification(1);
  EXPECT_EQ(verification.StartNext(milliseconds(0)), 0U);
  verification.RecordIntact(0);
  EXPECT_FALSE(verification.IsComplete(std::chrono::seconds(4)));
  EXPECT_EQ(verification.StartNext(std::chrono::seconds(4)), 0U);
  verification.RecordIntact(0);
  EXPECT_TRUE(verification.IsComplete(std::chrono::seconds(4)));
}

// The time between two reads doesn't depend on how many are in flight here, so
// a pass never gets shorter.
TEST(PieceVerification, ReadsThatNeverFitAreGivenUp)
{
  PieceVerification verification(kPieces);
  Reader reader(PieceVerification::kMaxReadingAge / 8);
  EXPECT_FALSE(Verify(verification, reader));
  EXPECT_EQ(verification.Reads(), PieceVerification::kMaxPasses * kPieces + 1);
}

TEST(PieceVerification, NoLoadRestsOnAnExpiredReadingInLongRuns)
{
  constexpr std::uint64_t kSeeds = 300;
  constexpr std::uint64_t kPauseOdds = 60;
  std::size_t completed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    PieceVerification verification(kPieces);
    Reader reader(milliseconds(random.Below(14)));
    while (!verification.IsTooSlow()) {
      reader.Start(verification);
      if (random.Below(kPauseOdds) == 0) {
        reader.m_now += milliseconds(random.Below(5000));
      }
      if (verification.IsComplete(reader.m_now)) {
        ++completed;
        const milliseconds age = reader.m_now - reader.OldestRequest();
        ASSERT_LT(age, PieceVerification::kMaxReadingAge) << "seed " << seed;
        break;
      }
      reader.Start(verification);
      reader.FinishOne(verification);
    }
  }
  EXPECT_GT(completed, kSeeds / 2);
}

} // namespace

} // namespace siskindeal

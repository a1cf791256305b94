#include "siskindeal/digest.h"
#include "siskindeal/error.h"
#include "siskindeal/manifest.h"

#include <gtest/gtest.h>

namespace siskindeal {
namespace {

const std::string kA = Sha256Hex("a");
const std::string kB = Sha256Hex("b");

Manifest
TwoChunks()
{
  Manifest manifest;
  manifest.m_size = 15;
  manifest.m_chunkSize = 10;
  manifest.m_chunkDigests = { kA, kB };
  manifest.m_origin = "models/tee-sheet";
  return manifest;
}

TEST(Manifest, ReadsBackWhatItWrote)
{
  const auto read = ParseManifest(ToJson(TwoChunks()));
  EXPECT_EQ(read.Digest(), TwoChunks().Digest());
  EXPECT_EQ(read.m_origin, "models/tee-sheet");
  EXPECT_EQ(read.ChunkBytes(0), 10);
  EXPECT_EQ(read.ChunkBytes(1), 5);
  EXPECT_EQ(read.ChunkBytes(2), 0);
}

TEST(Manifest, DigestIsThatOfTheDocumentedText)
{
  EXPECT_EQ(
    TwoChunks().Digest(),
    Sha256Hex("siskindeal-manifest-1\n15\n10\n\n" + kA + "\n" + kB + "\n"));
}

TEST(Manifest, EveryPartButTheOriginIsPinnedByTheDigest)
{
  const auto digest = TwoChunks().Digest();
  auto moved = TwoChunks();
  moved.m_origin = "elsewhere";
  EXPECT_EQ(moved.Digest(), digest);
  auto swapped = TwoChunks();
  std::swap(swapped.m_chunkDigests[0], swapped.m_chunkDigests[1]);
  EXPECT_NE(swapped.Digest(), digest);
  auto pinned = TwoChunks();
  pinned.m_baseDigest = kA;
  EXPECT_NE(pinned.Digest(), digest);
  auto shorter = TwoChunks();
  shorter.m_size = 14;
  EXPECT_NE(shorter.Digest(), digest);
}

TEST(Manifest, RefusesWhatDoesNotAddUp)
{
  const auto chunks = R"("chunks":[")" + kA + R"(",")" + kB + R"("])";
  const std::string cases[] = {
    "",
    "[]",
    "{}",
    R"({"size":15,"chunk_size":10})",
    R"({"size":-1,"chunk_size":10,)" + chunks + "}",
    R"({"size":0,"chunk_size":10,)" + chunks + "}",
    R"({"size":15,"chunk_size":0,)" + chunks + "}",
    R"({"size":21,"chunk_size":10,)" + chunks + "}",
    R"({"size":10,"chunk_size":10,)" + chunks + "}",
    R"({"size":99999999999,"chunk_size":99999999998,)" + chunks + "}",
    R"({"size":18446744073709551615,"chunk_size":1,)" + chunks + "}",
    R"({"size":15,"chunk_size":10,"base":"tee",)" + chunks + "}",
    R"({"size":15,"chunk_size":10,"base":7,)" + chunks + "}",
    R"({"size":15,"chunk_size":10,"chunks":["A","B"]})",
  };
  for (const auto& text : cases) {
    EXPECT_THROW(ParseManifest(text), Error) << text;
  }
}

} // namespace
} // namespace siskindeal

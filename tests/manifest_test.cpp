#include "siskindeal/digest.h"
#include "siskindeal/error.h"
#include "siskindeal/manifest.h"

#include <gtest/gtest.h>

namespace siskindeal {
namespace {

const std::string kDigestA = Sha256Hex("a");
const std::string kDigestB = Sha256Hex("b");

Manifest
TwoChunkManifest()
{
  Manifest manifest;
  manifest.m_size = 15;
  manifest.m_chunkSize = 10;
  manifest.m_chunkDigests = { kDigestA, kDigestB };
  manifest.m_origin = "models/tee-sheet";
  return manifest;
}

TEST(Manifest, RoundTripsThroughJson)
{
  const auto parsed = ParseManifest(ToJson(TwoChunkManifest()));
  EXPECT_EQ(parsed.Digest(), TwoChunkManifest().Digest());
  EXPECT_EQ(parsed.m_origin, "models/tee-sheet");
  EXPECT_EQ(parsed.ChunkBytes(0), 10);
  EXPECT_EQ(parsed.ChunkBytes(1), 5);
  EXPECT_EQ(parsed.ChunkBytes(2), 0);
}

TEST(Manifest, DigestMatchesDocumentedFormat)
{
  EXPECT_EQ(TwoChunkManifest().Digest(),
            Sha256Hex("siskindeal-manifest-1\n15\n10\n\n" + kDigestA + "\n" +
                      kDigestB + "\n"));
}

TEST(Manifest, DigestCoversEverythingButTheOrigin)
{
  const auto digest = TwoChunkManifest().Digest();
  auto otherOrigin = TwoChunkManifest();
  otherOrigin.m_origin = "elsewhere";
  EXPECT_EQ(otherOrigin.Digest(), digest);
  auto reordered = TwoChunkManifest();
  std::swap(reordered.m_chunkDigests[0], reordered.m_chunkDigests[1]);
  EXPECT_NE(reordered.Digest(), digest);
  auto withBase = TwoChunkManifest();
  withBase.m_baseDigest = kDigestA;
  EXPECT_NE(withBase.Digest(), digest);
  auto shorter = TwoChunkManifest();
  shorter.m_size = 14;
  EXPECT_NE(shorter.Digest(), digest);
}

TEST(Manifest, RejectsInconsistentAndMalformed)
{
  const auto chunks =
    R"("chunks":[")" + kDigestA + R"(",")" + kDigestB + R"("])";
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

#include "siskindeal/manifest.h"

#include "siskindeal/digest.h"
#include "siskindeal/error.h"
#include "siskindeal/json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::uint64_t kMaxChunkBytes = 16 << 20;
constexpr std::uint64_t kMaxChunks = 1 << 18;
constexpr std::size_t kSha256HexDigits = 64;

[[noreturn]] void
ThrowInvalid(const std::string& aWhat)
{
  throw Error(Reason::BadRequest, Verdict::NotRun, "manifest: " + aWhat);
}

bool
IsSha256Hex(const std::string& aText)
{
  return aText.size() == kSha256HexDigits &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return (aCharacter >= '0' && aCharacter <= '9') ||
                  (aCharacter >= 'a' && aCharacter <= 'f');
         });
}

void
ValidateManifest(const Manifest& aManifest)
{
  if (aManifest.m_size == 0) {
    ThrowInvalid("size is 0");
  }
  if (aManifest.m_chunkSize == 0 || aManifest.m_chunkSize > kMaxChunkBytes) {
    ThrowInvalid("chunk_size must be 1 to " + std::to_string(kMaxChunkBytes));
  }
  const auto chunks = (aManifest.m_size - 1) / aManifest.m_chunkSize + 1;
  if (chunks > kMaxChunks) {
    ThrowInvalid("more than " + std::to_string(kMaxChunks) + " chunks");
  }
  if (chunks != aManifest.m_chunkDigests.size()) {
    ThrowInvalid("size and chunk_size require " + std::to_string(chunks) +
                 " chunks, but chunks lists " +
                 std::to_string(aManifest.m_chunkDigests.size()));
  }
  if (!std::all_of(aManifest.m_chunkDigests.begin(),
                   aManifest.m_chunkDigests.end(),
                   IsSha256Hex)) {
    ThrowInvalid("chunks contains an entry that is not a SHA-256 digest");
  }
  if (aManifest.IsAdapter() && !IsSha256Hex(aManifest.m_baseDigest)) {
    ThrowInvalid("base is not a SHA-256 digest");
  }
}

} // namespace

std::uint64_t
Manifest::ChunkBytes(std::uint32_t aIndex) const
{
  const auto begin = aIndex * m_chunkSize;
  return begin >= m_size ? 0 : std::min(m_chunkSize, m_size - begin);
}

std::string
Manifest::Digest() const
{
  std::string text = "siskindeal-manifest-1\n" + std::to_string(m_size) + "\n" +
                     std::to_string(m_chunkSize) + "\n" + m_baseDigest + "\n";
  for (const auto& digest : m_chunkDigests) {
    text += digest + "\n";
  }
  return Sha256Hex(text);
}

Manifest
ParseManifest(const std::string& aJson)
{
  Manifest manifest;
  try {
    const auto json = ParseJson(aJson);
    json.at("size").get_to(manifest.m_size);
    json.at("chunk_size").get_to(manifest.m_chunkSize);
    json.at("chunks").get_to(manifest.m_chunkDigests);
    manifest.m_baseDigest = json.value("base", "");
    manifest.m_origin = json.value("origin", "");
  } catch (const nlohmann::json::exception& failure) {
    ThrowInvalid(failure.what());
  }
  ValidateManifest(manifest);
  return manifest;
}

std::string
ToJson(const Manifest& aManifest)
{
  return nlohmann::json{
    { "size", aManifest.m_size },
    { "chunk_size", aManifest.m_chunkSize },
    { "chunks", aManifest.m_chunkDigests },
    { "base", aManifest.m_baseDigest },
    { "origin", aManifest.m_origin }
  }.dump();
}

} // namespace siskindeal

#include "siskindeal/manifest.h"

#include "siskindeal/digest.h"
#include "siskindeal/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::uint64_t kLargestChunkBytes = 16 << 20;
constexpr std::uint64_t kMostChunks = 1 << 18;
constexpr std::size_t kDigestDigits = 64;

[[noreturn]] void
Refuse(const std::string& aWhat)
{
  throw Error(Reason::BadRequest, Verdict::NotRun, "manifest: " + aWhat);
}

bool
IsDigest(const std::string& aText)
{
  return aText.size() == kDigestDigits &&
         std::all_of(aText.begin(), aText.end(), [](char aDigit) {
           return (aDigit >= '0' && aDigit <= '9') ||
                  (aDigit >= 'a' && aDigit <= 'f');
         });
}

void
Check(const Manifest& aManifest)
{
  if (aManifest.m_size == 0) {
    Refuse("size is 0");
  }
  if (aManifest.m_chunkSize == 0 ||
      aManifest.m_chunkSize > kLargestChunkBytes) {
    Refuse("chunk_size must be 1 to " + std::to_string(kLargestChunkBytes));
  }
  const auto chunks = (aManifest.m_size - 1) / aManifest.m_chunkSize + 1;
  if (chunks > kMostChunks) {
    Refuse("more than " + std::to_string(kMostChunks) + " chunks");
  }
  if (chunks != aManifest.m_chunkDigests.size()) {
    Refuse("size and chunk_size call for " + std::to_string(chunks) +
           " chunks, chunks has " +
           std::to_string(aManifest.m_chunkDigests.size()));
  }
  if (!std::all_of(aManifest.m_chunkDigests.begin(),
                   aManifest.m_chunkDigests.end(),
                   IsDigest)) {
    Refuse("chunks holds a text that is no SHA-256");
  }
  if (aManifest.IsAdapter() && !IsDigest(aManifest.m_baseDigest)) {
    Refuse("base is no SHA-256");
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
    const auto json = nlohmann::json::parse(aJson);
    json.at("size").get_to(manifest.m_size);
    json.at("chunk_size").get_to(manifest.m_chunkSize);
    json.at("chunks").get_to(manifest.m_chunkDigests);
    manifest.m_baseDigest = json.value("base", "");
    manifest.m_origin = json.value("origin", "");
  } catch (const nlohmann::json::exception& failure) {
    Refuse(failure.what());
  }
  Check(manifest);
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

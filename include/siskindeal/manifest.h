#pragma once
// What a release of weights consists of. A release is identified by the digest
// of its manifest, never by its name, which can be moved.

#include <cstdint>
#include <string>
#include <vector>

namespace siskindeal {

struct Manifest
{
  std::uint64_t m_size = 0;      // bytes, all chunks together
  std::uint64_t m_chunkSize = 0; // bytes; the last chunk may be shorter
  std::vector<std::string> m_chunkDigests; // SHA-256, hexadecimal
  std::string m_baseDigest; // adapters: the manifest digest of the base model
  std::string m_origin;     // path at the origin; not part of the digest

  bool IsAdapter() const { return !m_baseDigest.empty(); }
  std::uint32_t ChunkCount() const
  {
    return static_cast<std::uint32_t>(m_chunkDigests.size());
  }
  // Bytes of chunk aIndex.
  std::uint64_t ChunkBytes(std::uint32_t aIndex) const;
  // SHA-256 over sizes, base and chunk digests.
  std::string Digest() const;
};

// JSON as the weight store publishes it. Throws Error (BadRequest) when sizes
// and chunk counts don't agree or a digest is malformed.
Manifest
ParseManifest(const std::string& aJson);
std::string
ToJson(const Manifest& aManifest);

} // namespace siskindeal

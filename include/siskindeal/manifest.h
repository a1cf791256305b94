#pragma once
// Describes the weights of a release: size, chunk digests and base model. A
// release is identified by the digest of its manifest, not by its name, which
// can be reassigned.

#include <cstdint>
#include <string>
#include <vector>

namespace siskindeal {

struct Manifest
{
  std::uint64_t m_size = 0;      // bytes, sum of all chunks
  std::uint64_t m_chunkSize = 0; // bytes; the last chunk may be shorter
  std::vector<std::string> m_chunkDigests; // SHA-256, hexadecimal
  std::string m_baseDigest; // adapters: the manifest digest of the base model
  std::string m_origin;     // path at the origin; not part of the digest

  bool IsAdapter() const { return !m_baseDigest.empty(); }
  std::uint32_t ChunkCount() const
  {
    return static_cast<std::uint32_t>(m_chunkDigests.size());
  }
  // Size of chunk aIndex in bytes; 0 if out of range.
  std::uint64_t ChunkBytes(std::uint32_t aIndex) const;
  // SHA-256 over sizes, base and chunk digests, as hexadecimal.
  std::string Digest() const;
};

// Parses the JSON published by the weight store. Throws Error (BadRequest) on
// malformed JSON or digests, and if sizes and chunk count are inconsistent.
Manifest
ParseManifest(const std::string& aJson);
std::string
ToJson(const Manifest& aManifest);

} // namespace siskindeal

#pragma once
// A set of chunk indexes of one manifest, as a bitmap.

#include <cstdint>
#include <string>
#include <vector>

namespace siskindeal {

class ChunkSet
{
public:
  explicit ChunkSet(std::uint32_t aChunks = 0)
    : m_chunks(aChunks)
    , m_bits(aChunks, false)
  {
  }

  std::uint32_t Size() const { return m_chunks; }
  std::uint32_t Count() const { return m_count; }
  bool Full() const { return m_count == m_chunks; }
  bool Has(std::uint32_t aIndex) const
  {
    return aIndex < m_chunks && m_bits[aIndex];
  }

  // Returns whether the set changed.
  bool Add(std::uint32_t aIndex)
  {
    if (aIndex >= m_chunks || m_bits[aIndex]) {
      return false;
    }
    m_bits[aIndex] = true;
    ++m_count;
    return true;
  }

  bool Remove(std::uint32_t aIndex)
  {
    if (!Has(aIndex)) {
      return false;
    }
    m_bits[aIndex] = false;
    --m_count;
    return true;
  }

  // One bit a chunk, least significant bit first, as on the wire.
  std::string ToBytes() const
  {
    std::string bytes((m_chunks + 7) / 8, '\0');
    for (std::uint32_t i = 0; i < m_chunks; ++i) {
      if (m_bits[i]) {
        bytes[i / 8] = static_cast<char>(bytes[i / 8] | (1 << (i % 8)));
      }
    }
    return bytes;
  }

  // Bits past aChunks are ignored and missing ones are unset.
  static ChunkSet FromBytes(const std::string& aBytes, std::uint32_t aChunks)
  {
    ChunkSet set(aChunks);
    for (std::uint32_t i = 0; i < aChunks && i / 8 < aBytes.size(); ++i) {
      if (((aBytes[i / 8] >> (i % 8)) & 1) != 0) {
        set.Add(i);
      }
    }
    return set;
  }

private:
  std::uint32_t m_chunks;
  std::uint32_t m_count = 0;
  std::vector<bool> m_bits;
};

} // namespace siskindeal

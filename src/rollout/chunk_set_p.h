#pragma once
// A set of chunk indexes of one manifest, stored as the bitmap of the wire
// format.

#include <bit>
#include <cstdint>
#include <string>

namespace siskindeal {

class ChunkSet
{
public:
  explicit ChunkSet(std::uint32_t aChunks = 0)
    : m_chunks(aChunks)
    , m_bytes((aChunks + kBitsPerByte - 1) / kBitsPerByte, '\0')
  {
  }

  // One bit per chunk, least significant bit first. Bits past aChunks are
  // ignored, missing bits are unset.
  static ChunkSet FromBytes(const std::string& aBytes, std::uint32_t aChunks)
  {
    ChunkSet set(aChunks);
    const auto size = set.m_bytes.size();
    set.m_bytes = aBytes.substr(0, size);
    set.m_bytes.resize(size, '\0');
    if (aChunks % kBitsPerByte != 0) {
      set.m_bytes.back() &=
        static_cast<char>((1 << (aChunks % kBitsPerByte)) - 1);
    }
    for (const auto byte : set.m_bytes) {
      set.m_count += std::popcount(static_cast<unsigned char>(byte));
    }
    return set;
  }

  const std::string& ToBytes() const { return m_bytes; }
  std::uint32_t Size() const { return m_chunks; }
  std::uint32_t Count() const { return m_count; }
  bool Full() const { return m_count == m_chunks; }
  bool Has(std::uint32_t aIndex) const
  {
    return aIndex < m_chunks &&
           ((m_bytes[aIndex / kBitsPerByte] >> (aIndex % kBitsPerByte)) & 1) !=
             0;
  }

  // Returns whether the set changed.
  bool Add(std::uint32_t aIndex)
  {
    if (aIndex >= m_chunks || Has(aIndex)) {
      return false;
    }
    m_bytes[aIndex / kBitsPerByte] ^=
      static_cast<char>(1 << (aIndex % kBitsPerByte));
    ++m_count;
    return true;
  }

  bool Remove(std::uint32_t aIndex)
  {
    if (!Has(aIndex)) {
      return false;
    }
    m_bytes[aIndex / kBitsPerByte] ^=
      static_cast<char>(1 << (aIndex % kBitsPerByte));
    --m_count;
    return true;
  }

  // Calls aVisit with each index in the set, in order.
  template<typename Visit>
  void ForEach(const Visit& aVisit) const
  {
    for (std::uint32_t i = 0; i < m_bytes.size(); ++i) {
      auto bits = static_cast<unsigned char>(m_bytes[i]);
      while (bits != 0) {
        const auto bit = static_cast<std::uint32_t>(std::countr_zero(bits));
        aVisit(i * kBitsPerByte + bit);
        bits &= static_cast<unsigned char>(bits - 1);
      }
    }
  }

private:
  static constexpr std::uint32_t kBitsPerByte = 8;

  std::uint32_t m_chunks;
  std::uint32_t m_count = 0;
  std::string m_bytes;
};

} // namespace siskindeal

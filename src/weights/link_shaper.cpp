#include "weights/link_shaper_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

// Share of the link for chunks; the rest keeps queues short for live requests.
constexpr double kChunkShare = 0.95;

} // namespace

LinkShaper::LinkShaper(std::uint64_t aBytesPerSecond)
  : m_bytesPerSecond(aBytesPerSecond)
{
}

std::chrono::nanoseconds
LinkShaper::Reserve(std::uint64_t aBytes, MonotonicTime aNow)
{
  if (m_bytesPerSecond == 0) {
    return std::chrono::nanoseconds{ 0 };
  }
  const auto start = std::max(m_freeAt, aNow);
  m_freeAt = start + TransmitTime(aBytes, kChunkShare);
  return start - aNow;
}

std::chrono::nanoseconds
LinkShaper::Backlog(MonotonicTime aNow) const
{
  return std::max(m_freeAt, aNow) - aNow;
}

void
LinkShaper::RecordRequestBytes(std::uint64_t aBytes, MonotonicTime aNow)
{
  if (m_bytesPerSecond != 0) {
    m_freeAt = std::max(m_freeAt, aNow) + TransmitTime(aBytes, 1);
  }
}

std::chrono::nanoseconds
LinkShaper::TransmitTime(std::uint64_t aBytes, double aShare) const
{
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
    std::chrono::duration<double>(
      static_cast<double>(aBytes) /
      (static_cast<double>(m_bytesPerSecond) * aShare)));
}

} // namespace siskindeal

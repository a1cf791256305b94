#pragma once
// Paces weight chunks on a VM's link so that they yield to live requests. Sent
// and received bytes count alike. Does no I/O; the caller passes the time.

#include "siskindeal/clock.h"

#include <cstdint>

namespace siskindeal {

class LinkShaper
{
public:
  // aBytesPerSecond is the link's capacity; 0 disables pacing.
  explicit LinkShaper(std::uint64_t aBytesPerSecond);

  // Reserves the link for a chunk; returns how long to wait before sending it.
  std::chrono::nanoseconds Reserve(std::uint64_t aBytes, MonotonicTime aNow);

  // How long a chunk reserved now would wait.
  std::chrono::nanoseconds Backlog(MonotonicTime aNow) const;

  // Counts bytes of live requests. They are not delayed but delay later chunks.
  void RecordRequestBytes(std::uint64_t aBytes, MonotonicTime aNow);

private:
  std::chrono::nanoseconds TransmitTime(std::uint64_t aBytes,
                                        double aShare) const;

  const std::uint64_t m_bytesPerSecond;
  MonotonicTime m_freeAt; // end of the last reservation
};

} // namespace siskindeal

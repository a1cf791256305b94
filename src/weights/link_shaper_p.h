#pragma once
// Paces chunks on a VM's link, sent and received together, behind its live
// requests. Decision code.

#include "siskindeal/clock.h"

#include <cstdint>

namespace siskindeal {

class LinkShaper
{
public:
  // aBytesPerSecond of the link; 0 doesn't pace.
  explicit LinkShaper(std::uint64_t aBytesPerSecond);

  // Books a chunk of aBytes; the answer is how long it must wait first.
  std::chrono::nanoseconds Reserve(std::uint64_t aBytes, MonotonicTime aNow);

  // How long a chunk booked now would wait.
  std::chrono::nanoseconds Backlog(MonotonicTime aNow) const;

  // Live bytes don't wait; later chunks wait longer.
  void NoteLive(std::uint64_t aBytes, MonotonicTime aNow);

private:
  std::chrono::nanoseconds TimeOf(std::uint64_t aBytes, double aShare) const;

  const std::uint64_t m_rate;
  MonotonicTime m_free; // when the link is free of what was booked
};

} // namespace siskindeal

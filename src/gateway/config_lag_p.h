#pragma once
// Measures for how long a gateway lacks a configuration that others have. Does
// no I/O; the caller passes the time.

#include "siskindeal/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace siskindeal {

class ConfigLag
{
public:
  // Records the newest version that any gateway advertises and the own one.
  void Record(std::uint64_t aNewest, std::uint64_t aOwn, MonotonicTime aNow)
  {
    if (aNewest <= aOwn) {
      m_since.reset();
    } else if (!m_since) {
      m_since = aNow;
    }
  }

  // For how long a newer version has been advertised; zero if none is.
  std::chrono::milliseconds Duration(MonotonicTime aNow) const
  {
    return m_since ? std::chrono::duration_cast<std::chrono::milliseconds>(
                       aNow - *m_since)
                   : std::chrono::milliseconds(0);
  }

private:
  std::optional<MonotonicTime> m_since;
};

} // namespace siskindeal

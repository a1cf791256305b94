#pragma once
// How long to wait before trying again.

#include "siskindeal/random.h"

#include <algorithm>
#include <chrono>

namespace siskindeal {

// Exponential backoff with full jitter: each wait is uniform between the least
// wait and a ceiling that doubles with every failure, so that processes which
// failed together don't come back together.
class Backoff
{
public:
  Backoff(std::chrono::milliseconds aLeast, std::chrono::milliseconds aMost)
    : m_least(aLeast)
    , m_most(aMost)
    , m_ceiling(aLeast)
  {
  }

  // The next wait; at least aAtLeast, which a refusal may have asked for.
  std::chrono::milliseconds Next(Random& aRandom,
                                 std::chrono::milliseconds aAtLeast = {})
  {
    m_ceiling = std::min(m_ceiling * 2, m_most);
    const auto spread =
      static_cast<std::uint64_t>((m_ceiling - m_least).count()) + 1;
    const auto jitter = std::chrono::milliseconds(aRandom.Below(spread));
    return std::max(m_least, aAtLeast) + jitter;
  }

  void Reset() { m_ceiling = m_least; }

private:
  std::chrono::milliseconds m_least;
  std::chrono::milliseconds m_most;
  std::chrono::milliseconds m_ceiling;
};

} // namespace siskindeal

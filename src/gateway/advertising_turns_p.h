#pragma once
// Chooses which entries of a table go into each of a series of datagrams that
// hold only some of them. Does no I/O; the caller passes the time.

#include "siskindeal/clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace siskindeal {

class AdvertisingTurns
{
public:
  AdvertisingTurns(std::chrono::milliseconds aPeriod, std::size_t aMaxPerTurn)
    : m_period(aPeriod)
    , m_maxPerTurn(aMaxPerTurn)
  {
  }

  // An entry is advertised for the period after its last change.
  void RecordChange(std::uint64_t aKey, MonotonicTime aNow);
  // Returns the entries to send now. Those in aAlways are advertised regardless
  // of the period. Entries take turns; what was never sent comes first, and of
  // those the entries with the highest rank.
  std::vector<std::uint64_t> Take(
    const std::set<std::uint64_t>& aAlways,
    const std::function<std::size_t(std::uint64_t)>& aRank,
    MonotonicTime aNow);

private:
  struct Entry
  {
    MonotonicTime m_changedAt{};
    std::uint64_t m_lastTurn = 0; // 0: not since it changed
  };

  std::chrono::milliseconds m_period;
  std::size_t m_maxPerTurn;
  std::uint64_t m_turn = 0;
  std::map<std::uint64_t, Entry> m_entries;
};

} // namespace siskindeal

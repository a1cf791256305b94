#pragma once
// Takes a bounded number of a map's entries at a time, so that successive calls
// get to all of them.

#include <cstddef>
#include <map>
#include <optional>

namespace siskindeal {

// Offers the entries after aLast, then those before, to aTake until it has
// accepted aMax of them. aLast becomes the key of the last one accepted.
template<typename Key, typename Value, typename Take>
void
TakeTurns(const std::map<Key, Value>& aEntries,
          std::optional<Key>& aLast,
          std::size_t aMax,
          Take aTake)
{
  auto next = aLast ? aEntries.upper_bound(*aLast) : aEntries.begin();
  std::size_t taken = 0;
  for (std::size_t i = 0; i < aEntries.size() && taken < aMax; ++i, ++next) {
    if (next == aEntries.end()) {
      next = aEntries.begin();
    }
    if (aTake(next->first, next->second)) {
      ++taken;
      aLast = next->first;
    }
  }
}

} // namespace siskindeal

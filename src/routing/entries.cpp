#include "siskindeal/routing.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

struct Ranked
{
  bool m_unreachable = false;
  bool m_otherPlace = false;
  double m_sortKey = 0; // weighted random
  EntryView m_entry;
};

} // namespace

std::vector<EntryView>
RankEntries(const std::vector<EntryView>& aEntries,
            const std::string& aPlace,
            std::size_t aMaxEntries,
            Random& aRandom)
{
  std::vector<Ranked> ranked;
  for (const auto& entry : aEntries) {
    if (entry.m_leaving || entry.m_httpAddress.empty()) {
      continue;
    }
    // Sorting by random^(1/weight) is weighted sampling without replacement;
    // the weight is 1 / (1 + load).
    const double sortKey = std::pow(aRandom.Unit(), 1.0 + entry.m_load);
    ranked.push_back({ !entry.m_reachable,
                       !aPlace.empty() && entry.m_place != aPlace,
                       sortKey,
                       entry });
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const Ranked& aOne, const Ranked& aTwo) {
      if (aOne.m_unreachable != aTwo.m_unreachable) {
        return aTwo.m_unreachable;
      }
      if (aOne.m_otherPlace != aTwo.m_otherPlace) {
        return aTwo.m_otherPlace;
      }
      return aOne.m_sortKey > aTwo.m_sortKey;
    });
  std::vector<EntryView> entries;
  for (auto& one : ranked) {
    if (entries.size() < aMaxEntries) {
      entries.push_back(std::move(one.m_entry));
    }
  }
  return entries;
}

} // namespace siskindeal

#include "siskindeal/routing.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

struct Ranked
{
  bool m_unreachable = false;
  bool m_elsewhere = false;
  double m_key = 0; // weighted random order
  EntryView m_entry;
};

} // namespace

std::vector<EntryView>
RankEntries(const std::vector<EntryView>& aEntries,
            const std::string& aPlace,
            std::size_t aMost,
            Random& aRandom)
{
  std::vector<Ranked> ranked;
  for (const auto& entry : aEntries) {
    if (entry.m_leaving || entry.m_httpAddress.empty()) {
      continue;
    }
    // Sorting by unit^(1/weight) draws without replacement by weight.
    const double key = std::pow(aRandom.Unit(), 1.0 + entry.m_load);
    ranked.push_back({ !entry.m_reachable,
                       !aPlace.empty() && entry.m_place != aPlace,
                       key,
                       entry });
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const Ranked& aOne, const Ranked& aTwo) {
      if (aOne.m_unreachable != aTwo.m_unreachable) {
        return aTwo.m_unreachable;
      }
      if (aOne.m_elsewhere != aTwo.m_elsewhere) {
        return aTwo.m_elsewhere;
      }
      return aOne.m_key > aTwo.m_key;
    });
  std::vector<EntryView> entries;
  for (auto& one : ranked) {
    if (entries.size() < aMost) {
      entries.push_back(std::move(one.m_entry));
    }
  }
  return entries;
}

} // namespace siskindeal

#include "gateway/advertising_turns_p.h"

#include <algorithm>
#include <tuple>

namespace siskindeal {

void
AdvertisingTurns::RecordChange(std::uint64_t aKey, MonotonicTime aNow)
{
  m_entries[aKey] = { aNow, 0 };
}

std::vector<std::uint64_t>
AdvertisingTurns::Take(const std::set<std::uint64_t>& aAlways,
                       const std::function<std::size_t(std::uint64_t)>& aRank,
                       MonotonicTime aNow)
{
  for (const std::uint64_t key : aAlways) {
    m_entries.try_emplace(key);
  }
  std::erase_if(m_entries, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_changedAt > m_period &&
           !aAlways.contains(aEntry.first);
  });
  struct Candidate
  {
    std::uint64_t m_lastTurn = 0;
    std::size_t m_rank = 0;
    std::uint64_t m_key = 0;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(m_entries.size());
  for (const auto& [key, entry] : m_entries) {
    candidates.push_back({ entry.m_lastTurn, aRank(key), key });
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aOne, const Candidate& aOther) {
              return std::tuple(aOne.m_lastTurn, aOther.m_rank, aOne.m_key) <
                     std::tuple(aOther.m_lastTurn, aOne.m_rank, aOther.m_key);
            });
  candidates.resize(std::min(candidates.size(), m_maxPerTurn));
  ++m_turn;
  std::vector<std::uint64_t> taken;
  taken.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    m_entries[candidate.m_key].m_lastTurn = m_turn;
    taken.push_back(candidate.m_key);
  }
  return taken;
}

} // namespace siskindeal

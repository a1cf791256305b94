#include "dispatch/evacuations_p.h"

namespace siskindeal {

namespace {

// A store that comes back from an older copy may have lost evacuations, which
// the operator writes again within seconds.
constexpr std::chrono::milliseconds kRewriteTime{ 3000 };

} // namespace

bool
Evacuations::Record(const EvacuationKnowledge& aKnown, MonotonicTime aNow)
{
  if (m_known && !(m_known->m_position < aKnown.m_position)) {
    return false;
  }
  const std::set<std::string> former = Places();
  if (m_known && m_known->m_position.m_era < aKnown.m_position.m_era) {
    for (const std::string& place : m_known->m_places) {
      m_kept[place] = aNow + kRewriteTime;
    }
  }
  m_known = aKnown;
  return Places() != former;
}

bool
Evacuations::Sweep(MonotonicTime aNow)
{
  const std::set<std::string> former = Places();
  std::erase_if(m_kept,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
  return Places() != former;
}

std::set<std::string>
Evacuations::Places() const
{
  std::set<std::string> places;
  if (m_known) {
    places = m_known->m_places;
  }
  for (const auto& [place, until] : m_kept) {
    places.insert(place);
  }
  return places;
}

} // namespace siskindeal

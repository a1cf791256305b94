#include "siskindeal/quarantine.h"

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

std::uint64_t
FingerprintOf(const std::string& aClassOrService,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody)
{
  const auto head = aClassOrService + '\n' + aMethod + '\n' + aPath;
  return StableHash(aBody, StableHash(head));
}

SuspicionState
SuspicionTable::StateOf(std::uint64_t aFingerprint) const
{
  const auto found = m_states.find(aFingerprint);
  if (found == m_states.end()) {
    return SuspicionState::None;
  }
  if (found->second.m_quarantined || m_inferred.contains(aFingerprint)) {
    return SuspicionState::Quarantined;
  }
  return Unexplained(found->second) == 0 ? SuspicionState::None
                                         : SuspicionState::Suspect;
}

std::size_t
SuspicionTable::Unexplained(const State& aState) const
{
  return static_cast<std::size_t>(std::count_if(
    aState.m_crashes.begin(),
    aState.m_crashes.end(),
    [&](const std::string& aCrash) { return !m_explained.contains(aCrash); }));
}

void
SuspicionTable::Changed(State& aState)
{
  aState.m_number = ++m_number;
}

std::vector<wire::Suspicion>
SuspicionTable::Crashed(const std::string& aCrash,
                        const std::vector<InFlight>& aInFlight,
                        MonotonicTime aNow)
{
  const auto before = m_number;
  std::unordered_set<std::uint64_t> fingerprints;
  for (const auto& one : aInFlight) {
    fingerprints.insert(one.m_fingerprint);
  }
  for (const auto& one : aInFlight) {
    auto& state = m_states[one.m_fingerprint];
    state.m_classOfWork = one.m_classOfWork;
    if (state.m_crashes.size() < kMostCrashes) {
      state.m_crashes.insert(aCrash);
    }
    // Its second crash, and nothing else was in flight.
    state.m_quarantined |=
      fingerprints.size() == 1 && state.m_crashes.size() > 1;
    Changed(state);
  }
  Derive();
  DropOldest();
  return ChangedAfter(before);
}

void
SuspicionTable::Derive()
{
  m_explained.clear();
  m_inferred.clear();
  for (const auto& [fingerprint, state] : m_states) {
    if (state.m_quarantined) {
      m_explained.insert(state.m_crashes.begin(), state.m_crashes.end());
    }
  }
  ByCrash byCrash;
  for (const auto& [fingerprint, state] : m_states) {
    for (const auto& crash : state.m_crashes) {
      if (!m_explained.contains(crash)) {
        byCrash[crash].push_back(fingerprint);
      }
    }
  }
  for (const auto& [fingerprint, state] : m_states) {
    if (!state.m_quarantined && Unexplained(state) >= 2 &&
        !m_succeeded.contains(fingerprint) &&
        IsSoleSuspect(fingerprint, state, byCrash)) {
      m_inferred.insert(fingerprint);
    }
  }
}

bool
SuspicionTable::IsSoleSuspect(std::uint64_t aFingerprint,
                              const State& aState,
                              const ByCrash& aByCrash)
{
  std::unordered_map<std::uint64_t, int> shared;
  for (const auto& crash : aState.m_crashes) {
    const auto found = aByCrash.find(crash);
    if (found == aByCrash.end()) {
      continue;
    }
    for (const auto other : found->second) {
      if (other != aFingerprint && ++shared[other] >= 2) {
        return false;
      }
    }
  }
  return true;
}

std::vector<wire::Suspicion>
SuspicionTable::RanWhole(std::uint64_t aFingerprint,
                         bool aAlone,
                         MonotonicTime aNow)
{
  if (m_succeeded.insert(aFingerprint).second) {
    m_succeededOrder.push_back(aFingerprint);
    if (m_succeededOrder.size() > kMostSucceeded) {
      m_succeeded.erase(m_succeededOrder.front());
      m_succeededOrder.pop_front();
    }
  }
  const auto before = m_number;
  const auto found = m_states.find(aFingerprint);
  if (found == m_states.end() || !aAlone || found->second.m_quarantined ||
      found->second.m_crashes.empty()) {
    return {};
  }
  found->second.m_crashes.clear();
  ++found->second.m_version;
  Changed(found->second);
  Derive();
  return ChangedAfter(before);
}

bool
SuspicionTable::Merge(const wire::Suspicion& aSuspicion)
{
  auto& state = m_states[aSuspicion.fingerprint()];
  const State before = state;
  if (state.m_classOfWork.empty()) {
    state.m_classOfWork = aSuspicion.class_of_work();
  }
  if (aSuspicion.release() < state.m_release) {
    return false;
  }
  if (aSuspicion.release() > state.m_release) {
    state.m_release = aSuspicion.release();
    state.m_version = 0;
    state.m_crashes.clear();
    state.m_quarantined = false;
  }
  if (aSuspicion.version() > state.m_version) {
    state.m_version = aSuspicion.version();
    state.m_crashes.clear();
  }
  if (aSuspicion.version() == state.m_version) {
    for (const auto& crash : aSuspicion.crash_ids()) {
      if (state.m_crashes.size() < kMostCrashes) {
        state.m_crashes.insert(crash);
      }
    }
  }
  state.m_quarantined |= aSuspicion.quarantined();
  SISKINDEAL_INVARIANT(state.m_release > before.m_release ||
                         !before.m_quarantined || state.m_quarantined,
                       "only an operator ends a quarantine");
  const bool changed = state.m_release != before.m_release ||
                       state.m_version != before.m_version ||
                       state.m_crashes != before.m_crashes ||
                       state.m_quarantined != before.m_quarantined;
  if (changed) {
    Changed(state);
    Derive();
    DropOldest();
  }
  return changed;
}

bool
SuspicionTable::Release(std::uint64_t aFingerprint)
{
  if (StateOf(aFingerprint) == SuspicionState::None) {
    return false;
  }
  auto& state = m_states[aFingerprint];
  ++state.m_release;
  state.m_version = 0;
  state.m_crashes.clear();
  state.m_quarantined = false;
  Changed(state);
  Derive();
  return true;
}

std::vector<SuspicionListing>
SuspicionTable::List() const
{
  std::vector<SuspicionListing> listings;
  for (const auto& [fingerprint, state] : m_states) {
    const auto of = StateOf(fingerprint);
    if (of != SuspicionState::None) {
      listings.push_back(
        { fingerprint,
          state.m_classOfWork,
          of,
          static_cast<std::uint32_t>(state.m_crashes.size()) });
    }
  }
  std::sort(
    listings.begin(), listings.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.m_fingerprint < aTwo.m_fingerprint;
    });
  return listings;
}

wire::Suspicion
SuspicionTable::ToWire(std::uint64_t aFingerprint, const State& aState) const
{
  wire::Suspicion suspicion;
  suspicion.set_fingerprint(aFingerprint);
  suspicion.set_crashes(static_cast<std::uint32_t>(aState.m_crashes.size()));
  suspicion.set_quarantined(aState.m_quarantined);
  suspicion.set_version(aState.m_version);
  suspicion.set_class_of_work(aState.m_classOfWork);
  suspicion.set_cleared(!aState.m_quarantined && aState.m_crashes.empty());
  suspicion.set_release(aState.m_release);
  for (const auto& crash : aState.m_crashes) {
    suspicion.add_crash_ids(crash);
  }
  return suspicion;
}

std::optional<wire::Suspicion>
SuspicionTable::Find(std::uint64_t aFingerprint) const
{
  const auto found = m_states.find(aFingerprint);
  if (found == m_states.end()) {
    return std::nullopt;
  }
  return ToWire(aFingerprint, found->second);
}

std::vector<wire::Suspicion>
SuspicionTable::ChangedAfter(std::uint64_t aNumber) const
{
  std::vector<wire::Suspicion> changed;
  for (const auto& [fingerprint, state] : m_states) {
    if (state.m_number > aNumber) {
      changed.push_back(ToWire(fingerprint, state));
    }
  }
  return changed;
}

void
SuspicionTable::DropOldest()
{
  while (m_states.size() > kMost) {
    auto oldest = m_states.end();
    for (auto one = m_states.begin(); one != m_states.end(); ++one) {
      const bool older =
        oldest == m_states.end() ||
        std::pair(one->second.m_quarantined, one->second.m_number) <
          std::pair(oldest->second.m_quarantined, oldest->second.m_number);
      if (older) {
        oldest = one;
      }
    }
    m_states.erase(oldest);
  }
}

} // namespace siskindeal

#include "siskindeal/quarantine.h"

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

// Unattributed crashes of a sole suspect from which a quarantine is inferred.
constexpr std::size_t kCrashesToInfer = 2;
// Crashes shared with one other fingerprint that prevent the inference.
constexpr int kSharedCrashesToExclude = 2;
// Unattributed crashes after which a fingerprint is quarantined although others
// share them. Suspects don't run in isolation where the view is partial, so a
// request that was retried beside the culprit may never be told from it.
constexpr std::size_t kCrashesToQuarantine = 3;

} // namespace

std::uint64_t
FingerprintOf(const std::string& aScope,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody)
{
  const auto head = aScope + '\n' + aMethod + '\n' + aPath;
  return StableHash(aBody, StableHash(head));
}

SuspicionState
SuspicionTable::StateOf(std::uint64_t aFingerprint) const
{
  const auto found = m_states.find(aFingerprint);
  if (found == m_states.end()) {
    return SuspicionState::None;
  }
  if (found->second.m_quarantined ||
      m_inferredQuarantines.contains(aFingerprint)) {
    return SuspicionState::Quarantined;
  }
  return CountUnattributed(found->second) == 0 ? SuspicionState::None
                                               : SuspicionState::Suspect;
}

std::size_t
SuspicionTable::CountUnattributed(const State& aState) const
{
  return static_cast<std::size_t>(
    std::count_if(aState.m_crashes.begin(),
                  aState.m_crashes.end(),
                  [&](const std::string& aCrash) {
                    return !m_attributedCrashes.contains(aCrash);
                  }));
}

void
SuspicionTable::MarkChanged(State& aState)
{
  aState.m_sequence = ++m_sequence;
}

std::vector<wire::Suspicion>
SuspicionTable::RecordCrash(const std::string& aCrash,
                            const std::vector<InFlight>& aInFlight,
                            MonotonicTime aNow)
{
  const auto before = m_sequence;
  std::unordered_set<std::uint64_t> fingerprints;
  for (const auto& request : aInFlight) {
    fingerprints.insert(request.m_fingerprint);
  }
  for (const auto& request : aInFlight) {
    auto& state = m_states[request.m_fingerprint];
    state.m_classOfWork = request.m_classOfWork;
    if (state.m_crashes.size() < kMaxCrashes) {
      state.m_crashes.insert(aCrash);
    }
    // A repeated crash with no other fingerprint in flight.
    state.m_quarantined |= m_view == CrashView::Complete &&
                           fingerprints.size() == 1 &&
                           state.m_crashes.size() > 1;
    MarkChanged(state);
  }
  RecomputeDerivedState();
  EvictOldest();
  return ChangedSince(before);
}

void
SuspicionTable::RecomputeDerivedState()
{
  m_attributedCrashes.clear();
  m_inferredQuarantines.clear();
  for (const auto& [fingerprint, state] : m_states) {
    if (state.m_quarantined) {
      m_attributedCrashes.insert(state.m_crashes.begin(),
                                 state.m_crashes.end());
    }
  }
  ByCrash byCrash;
  for (const auto& [fingerprint, state] : m_states) {
    for (const auto& crash : state.m_crashes) {
      if (!m_attributedCrashes.contains(crash)) {
        byCrash[crash].push_back(fingerprint);
      }
    }
  }
  for (const auto& [fingerprint, state] : m_states) {
    if (!state.m_quarantined &&
        IsInferredQuarantine(fingerprint, state, byCrash)) {
      m_inferredQuarantines.insert(fingerprint);
    }
  }
}

bool
SuspicionTable::IsInferredQuarantine(std::uint64_t aFingerprint,
                                     const State& aState,
                                     const ByCrash& aByCrash) const
{
  const std::size_t crashes = CountUnattributed(aState);
  if (m_view == CrashView::Partial && crashes >= kCrashesToQuarantine) {
    return true;
  }
  return crashes >= kCrashesToInfer && !m_succeeded.contains(aFingerprint) &&
         IsSoleSuspect(aFingerprint, aState, aByCrash);
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
      if (other != aFingerprint && ++shared[other] >= kSharedCrashesToExclude) {
        return false;
      }
    }
  }
  return true;
}

std::vector<wire::Suspicion>
SuspicionTable::RecordCompletion(std::uint64_t aFingerprint,
                                 bool aIsolated,
                                 MonotonicTime aNow)
{
  if (m_succeeded.insert(aFingerprint).second) {
    m_succeededOrder.push_back(aFingerprint);
    if (m_succeededOrder.size() > kMaxSucceeded) {
      m_succeeded.erase(m_succeededOrder.front());
      m_succeededOrder.pop_front();
    }
  }
  const auto before = m_sequence;
  const auto found = m_states.find(aFingerprint);
  if (found == m_states.end() || !aIsolated || found->second.m_quarantined ||
      found->second.m_crashes.empty()) {
    return {};
  }
  found->second.m_crashes.clear();
  ++found->second.m_version;
  MarkChanged(found->second);
  RecomputeDerivedState();
  return ChangedSince(before);
}

void
SuspicionTable::Confirm(std::uint64_t aFingerprint)
{
  const auto found = m_states.find(aFingerprint);
  if (found == m_states.end() || found->second.m_quarantined) {
    return;
  }
  found->second.m_quarantined = true;
  MarkChanged(found->second);
  RecomputeDerivedState();
}

bool
SuspicionTable::IsConfirmed(std::uint64_t aFingerprint) const
{
  const auto found = m_states.find(aFingerprint);
  return found != m_states.end() && found->second.m_quarantined;
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
  if (aSuspicion.version() < state.m_version &&
      aSuspicion.crash_ids_size() > 0) {
    // The sender doesn't know of the completion, perhaps since it restarted;
    // its crashes are ignored until it does.
    MarkChanged(state);
  }
  if (aSuspicion.version() > state.m_version) {
    state.m_version = aSuspicion.version();
    state.m_crashes.clear();
  }
  if (aSuspicion.version() == state.m_version) {
    for (const auto& crash : aSuspicion.crash_ids()) {
      if (state.m_crashes.size() < kMaxCrashes) {
        state.m_crashes.insert(crash);
      }
    }
  }
  state.m_quarantined |= aSuspicion.quarantined();
  SISKINDEAL_INVARIANT(state.m_release > before.m_release ||
                         !before.m_quarantined || state.m_quarantined,
                       "only an operator release ends a quarantine");
  const bool changed = state.m_release != before.m_release ||
                       state.m_version != before.m_version ||
                       state.m_crashes != before.m_crashes ||
                       state.m_quarantined != before.m_quarantined;
  if (changed) {
    MarkChanged(state);
    RecomputeDerivedState();
    EvictOldest();
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
  MarkChanged(state);
  RecomputeDerivedState();
  return true;
}

SuspicionListing
SuspicionTable::ToListing(std::uint64_t aFingerprint, const State& aState) const
{
  const auto crashes = aState.m_crashes.size();
  const auto attributed =
    aState.m_quarantined ? 0 : crashes - CountUnattributed(aState);
  return { aFingerprint,
           aState.m_classOfWork,
           StateOf(aFingerprint),
           static_cast<std::uint32_t>(crashes),
           static_cast<std::uint32_t>(attributed) };
}

std::optional<SuspicionListing>
SuspicionTable::ListingOf(std::uint64_t aFingerprint) const
{
  const auto found = m_states.find(aFingerprint);
  if (found == m_states.end() || found->second.m_crashes.empty()) {
    return std::nullopt;
  }
  return ToListing(aFingerprint, found->second);
}

std::vector<SuspicionListing>
SuspicionTable::List() const
{
  std::vector<SuspicionListing> listings;
  for (const auto& [fingerprint, state] : m_states) {
    if (StateOf(fingerprint) != SuspicionState::None) {
      listings.push_back(ToListing(fingerprint, state));
    }
  }
  std::sort(listings.begin(),
            listings.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.m_fingerprint < aRight.m_fingerprint;
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
SuspicionTable::ChangedSince(std::uint64_t aNumber) const
{
  std::vector<wire::Suspicion> changed;
  for (const auto& [fingerprint, state] : m_states) {
    if (state.m_sequence > aNumber) {
      changed.push_back(ToWire(fingerprint, state));
    }
  }
  return changed;
}

std::pair<bool, std::uint64_t>
SuspicionTable::EvictionRank(const States::value_type& aEntry) const
{
  const auto& [fingerprint, state] = aEntry;
  return { StateOf(fingerprint) == SuspicionState::Quarantined,
           state.m_sequence };
}

void
SuspicionTable::EvictOldest()
{
  while (m_states.size() > kMaxSuspicions) {
    auto oldest = m_states.end();
    for (auto it = m_states.begin(); it != m_states.end(); ++it) {
      if (oldest == m_states.end() ||
          EvictionRank(*it) < EvictionRank(*oldest)) {
        oldest = it;
      }
    }
    m_states.erase(oldest);
  }
}

} // namespace siskindeal

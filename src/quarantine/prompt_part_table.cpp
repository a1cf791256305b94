#include "quarantine/prompt_part_table_p.h"
#include "siskindeal/wire_values.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Weights of crashes from which a part is suspected, and from which it is
// quarantined. Between them, one request at a time tries the part.
constexpr std::size_t kSuspectWeight = 3;
constexpr std::size_t kQuarantineWeight = 4;
static_assert(kSuspectWeight > PromptPartTable::kMaxPerEpisode,
              "a few crashes at once suspect no part");
// Crashes from which a part is suspected even if they all happened at once.
constexpr std::size_t kManyCrashes = 5;
// A trial that has neither completed nor crashed its runner by then is ignored.
constexpr milliseconds kTrialTimeout{ 3000 };
// A part that has completed isn't suspected before this many other requests
// have completed since: most parts are cleared soon.
constexpr std::size_t kOthersToSuspect = 30;
// Time after which a completion suggests nothing even if no other requests
// complete, since most runners are down.
constexpr milliseconds kCompletionCounts{ 1000 };
constexpr milliseconds kSuspectRetryAfter{ 1000 };
constexpr milliseconds kQuarantineRetryAfter{ 30000 };
// Time from the last crash of a quarantined part to the next trial. Doubles
// with each further crash that counts.
constexpr milliseconds kFirstRetrial{ 30000 };
constexpr std::size_t kMaxDoublings = 10;

// How well a part explains crashes; the members are compared in order.
struct Explanation
{
  std::size_t m_cappedWeight = 0; // at most kQuarantineWeight
  bool m_neverCompleted = false;
  std::size_t m_weight = 0;
  std::size_t m_crashes = 0;

  bool operator<(const Explanation& aOther) const
  {
    return std::tie(m_cappedWeight, m_neverCompleted, m_weight, m_crashes) <
           std::tie(aOther.m_cappedWeight,
                    aOther.m_neverCompleted,
                    aOther.m_weight,
                    aOther.m_crashes);
  }
};

bool
IsSuspicious(const Explanation& aExplanation)
{
  return aExplanation.m_weight >= kSuspectWeight ||
         aExplanation.m_crashes >= kManyCrashes;
}

using CrashTimes = std::map<std::uint64_t, MonotonicTime>; // by id

MonotonicTime
LatestOf(const CrashTimes& aCrashes)
{
  MonotonicTime latest{};
  for (const auto& [id, at] : aCrashes) {
    latest = std::max(latest, at);
  }
  return latest;
}

void
EncodeLatest(const CrashTimes& aCrashes,
             MonotonicTime aNow,
             google::protobuf::RepeatedPtrField<v1::PartSuspicion::Crash>& aTo)
{
  std::vector<std::pair<MonotonicTime, std::uint64_t>> latest;
  latest.reserve(aCrashes.size());
  for (const auto& [id, at] : aCrashes) {
    latest.emplace_back(at, id);
  }
  std::sort(latest.rbegin(), latest.rend());
  latest.resize(std::min(latest.size(), PromptPartTable::kMaxExported));
  for (const auto& [at, id] : latest) {
    const auto age = std::chrono::duration_cast<milliseconds>(aNow - at);
    v1::PartSuspicion::Crash& crash = *aTo.Add();
    crash.set_id(id);
    crash.set_age_ms(
      static_cast<std::uint64_t>(std::max(age, milliseconds(0)).count()));
  }
}

} // namespace

void
PromptPartTable::MarkChanged(Evidence& aEvidence)
{
  aEvidence.m_sequence = ++m_sequence;
}

void
PromptPartTable::AddCrash(Evidence& aEvidence,
                          std::uint64_t aId,
                          MonotonicTime aAt)
{
  if (aEvidence.m_cleared.contains(aId)) {
    MarkChanged(aEvidence); // the sender hasn't heard of the completion
    return;
  }
  if (aEvidence.m_crashes.size() < kMaxCrashes &&
      aEvidence.m_crashes.try_emplace(aId, aAt).second) {
    aEvidence.m_trialUntil = {};
    MarkChanged(aEvidence);
  }
}

void
PromptPartTable::ClearCrash(Evidence& aEvidence,
                            std::uint64_t aId,
                            MonotonicTime aAt)
{
  const bool wasEvidence = aEvidence.m_crashes.erase(aId) > 0;
  if (aEvidence.m_crashes.empty()) {
    aEvidence.m_othersComplete = false;
    // A completion from before all crashes suggests nothing about them.
    aEvidence.m_lastCompletion.reset();
  }
  aEvidence.m_cleared.try_emplace(aId, aAt);
  if (aEvidence.m_cleared.size() > kMaxCleared) {
    aEvidence.m_cleared.erase(
      std::min_element(aEvidence.m_cleared.begin(),
                       aEvidence.m_cleared.end(),
                       [](const auto& aOne, const auto& aOther) {
                         return aOne.second < aOther.second;
                       }));
  }
  if (wasEvidence) {
    aEvidence.m_trialUntil = {};
    MarkChanged(aEvidence);
  }
}

void
PromptPartTable::RecordCrash(const RunnerCrash& aCrash,
                             const std::vector<PromptPart>& aParts)
{
  for (const PromptPart part : aParts) {
    AddCrash(m_evidence[part], aCrash.m_id, aCrash.m_at);
  }
  Evict();
  Attribute(aCrash.m_at);
}

void
PromptPartTable::RecordCompletion(const std::vector<PromptPart>& aParts,
                                  MonotonicTime aSentAt,
                                  MonotonicTime aNow)
{
  if (m_evidence.empty()) {
    return;
  }
  for (auto& [part, evidence] : m_evidence) {
    if (evidence.m_crashes.empty()) {
      continue;
    }
    if (std::find(aParts.begin(), aParts.end(), part) == aParts.end()) {
      if (!std::exchange(evidence.m_othersComplete, true)) {
        MarkChanged(evidence);
      }
      if (evidence.m_lastCompletion) {
        ++evidence.m_lastCompletion->m_othersSince;
      }
      continue;
    }
    evidence.m_lastCompletion = { aNow, 0 };
    const Crashes crashes = evidence.m_crashes;
    for (const auto& [id, at] : crashes) {
      if (at <= aSentAt) {
        ClearCrash(evidence, id, at);
      }
    }
  }
  Attribute(aNow);
}

bool
PromptPartTable::RecordTrial(const std::vector<PromptPart>& aParts,
                             MonotonicTime aNow)
{
  bool isTrial = false;
  for (const PromptPart part : aParts) {
    if (m_blamed.contains(part)) {
      m_evidence[part].m_trialUntil = aNow + kTrialTimeout;
      isTrial = true;
    }
  }
  return isTrial;
}

std::size_t
PromptPartTable::WeightOf(const Crashes& aCrashes)
{
  std::vector<MonotonicTime> times;
  times.reserve(aCrashes.size());
  for (const auto& [id, at] : aCrashes) {
    times.push_back(at);
  }
  std::sort(times.begin(), times.end());
  std::size_t weight = 0;
  std::size_t inEpisode = 0;
  MonotonicTime start{};
  for (const MonotonicTime at : times) {
    if (weight == 0 || at - start >= kEpisode) {
      inEpisode = 0;
      start = at;
    }
    weight += ++inEpisode <= kMaxPerEpisode ? 1 : 0;
  }
  return weight;
}

bool
PromptPartTable::CompletedLately(const Evidence& aEvidence, MonotonicTime aNow)
{
  if (!aEvidence.m_lastCompletion ||
      aNow - aEvidence.m_lastCompletion->m_at > kCompletionCounts ||
      aEvidence.m_lastCompletion->m_othersSince >= kOthersToSuspect) {
    return false;
  }
  Crashes since = aEvidence.m_crashes;
  std::erase_if(since, [&](const auto& aCrash) {
    return aCrash.second <= aEvidence.m_lastCompletion->m_at;
  });
  return WeightOf(since) < kSuspectWeight;
}

PromptPartTable::Crashes
PromptPartTable::Unexplained(const Evidence& aEvidence,
                             const Crashes& aExplained) const
{
  Crashes unexplained = aEvidence.m_crashes;
  std::erase_if(unexplained, [&](const auto& aCrash) {
    return aExplained.contains(aCrash.first);
  });
  return unexplained;
}

void
PromptPartTable::Attribute(MonotonicTime aNow)
{
  m_blamed.clear();
  m_groups.clear();
  Candidates candidates;
  for (const auto& [part, evidence] : m_evidence) {
    if (evidence.m_othersComplete && !CompletedLately(evidence, aNow) &&
        evidence.m_crashes.size() >= kSuspectWeight) {
      candidates.emplace_back(part, &evidence);
    }
  }
  // Greedy set cover: the part with most crashes explains its crashes first.
  Crashes explained;
  for (;;) {
    Explanation best;
    Crashes covered;
    for (const auto& [part, evidence] : candidates) {
      Crashes unexplained = Unexplained(*evidence, explained);
      const std::size_t weight = WeightOf(unexplained);
      const Explanation next{ std::min(weight, kQuarantineWeight),
                              !evidence->m_lastCompletion.has_value(),
                              weight,
                              unexplained.size() };
      if (IsSuspicious(next) && best < next) {
        best = next;
        covered = std::move(unexplained);
      }
    }
    if (covered.empty()) {
      break;
    }
    const MonotonicTime lastCrash = LatestOf(covered);
    std::vector<PromptPart> group;
    for (const auto& [part, evidence] : candidates) {
      if (!m_blamed.contains(part) &&
          Unexplained(*evidence, explained) == covered) {
        group.push_back(part);
        m_blamed[part] = { best.m_weight, lastCrash, m_groups.size() };
      }
    }
    m_groups.push_back(std::move(group));
    explained.insert(covered.begin(), covered.end());
  }
  BlameRivals(candidates, explained);
}

void
PromptPartTable::BlameRivals(const Candidates& aCandidates,
                             const Crashes& aExplained)
{
  if (m_blamed.empty()) {
    return;
  }
  for (const auto& [part, evidence] : aCandidates) {
    if (m_blamed.contains(part) ||
        WeightOf(evidence->m_crashes) < kQuarantineWeight ||
        Unexplained(*evidence, aExplained).empty()) {
      continue;
    }
    m_blamed[part] = { kSuspectWeight,
                       LatestOf(evidence->m_crashes),
                       m_groups.size() };
    m_groups.push_back({ part });
  }
}

bool
PromptPartTable::IsConfirmed(const Blame& aBlame,
                             const std::vector<PromptPart>& aParts) const
{
  const std::vector<PromptPart>& group = m_groups[aBlame.m_group];
  return aBlame.m_weight >= kQuarantineWeight &&
         std::all_of(group.begin(), group.end(), [&](PromptPart aPart) {
           return std::find(aParts.begin(), aParts.end(), aPart) !=
                  aParts.end();
         });
}

PartDecision
PromptPartTable::Decide(const std::vector<PromptPart>& aParts,
                        const MayTry& aMayTry,
                        MonotonicTime aNow) const
{
  PartDecision decision;
  if (m_blamed.empty()) {
    return decision;
  }
  for (const PromptPart part : aParts) {
    const auto found = m_blamed.find(part);
    if (found == m_blamed.end()) {
      continue;
    }
    const PartDecision next = DecidePart(
      part, found->second, IsConfirmed(found->second, aParts), aMayTry, aNow);
    if (next.m_verdict > decision.m_verdict ||
        next.m_retryAfter > decision.m_retryAfter) {
      decision = next;
    }
  }
  return decision;
}

PartDecision
PromptPartTable::DecidePart(PromptPart aPart,
                            const Blame& aBlame,
                            bool aConfirmed,
                            const MayTry& aMayTry,
                            MonotonicTime aNow) const
{
  MonotonicTime nextTrial{};
  if (aConfirmed) {
    const std::size_t doublings =
      std::min(aBlame.m_weight - kQuarantineWeight, kMaxDoublings);
    nextTrial = aBlame.m_lastCrash + kFirstRetrial * (1U << doublings);
  }
  const bool tried = aNow < m_evidence.at(aPart).m_trialUntil;
  // Parts that always come together are tried by the same gateway.
  const PromptPart representative = m_groups[aBlame.m_group].front();
  if (!tried && aNow >= nextTrial && aMayTry(representative)) {
    return { PartVerdict::Trial, milliseconds(0), aPart };
  }
  return { PartVerdict::Refuse,
           aConfirmed ? kQuarantineRetryAfter : kSuspectRetryAfter,
           aPart };
}

bool
PromptPartTable::Merge(const v1::PartSuspicion& aSuspicion, MonotonicTime aNow)
{
  const std::uint64_t before = m_sequence;
  Evidence& evidence = m_evidence[aSuspicion.part()];
  for (const v1::PartSuspicion::Crash& crash : aSuspicion.cleared()) {
    ClearCrash(evidence, crash.id(), aNow - MillisFromWire(crash.age_ms()));
  }
  for (const v1::PartSuspicion::Crash& crash : aSuspicion.crashes()) {
    AddCrash(evidence, crash.id(), aNow - MillisFromWire(crash.age_ms()));
  }
  if (aSuspicion.others_complete() && !evidence.m_crashes.empty() &&
      !std::exchange(evidence.m_othersComplete, true)) {
    MarkChanged(evidence);
  }
  const bool changed = m_sequence != before;
  if (changed) {
    Evict();
    Attribute(aNow);
  }
  return changed;
}

std::vector<SuspectedPart>
PromptPartTable::Suspected() const
{
  std::vector<SuspectedPart> suspected;
  for (const auto& [part, blame] : m_blamed) {
    suspected.push_back({ part,
                          m_evidence.at(part).m_crashes.size(),
                          blame.m_weight >= kQuarantineWeight });
  }
  return suspected;
}

std::vector<PromptPart>
PromptPartTable::ChangedSince(std::uint64_t aNumber) const
{
  std::vector<PromptPart> changed;
  for (const auto& [part, evidence] : m_evidence) {
    if (evidence.m_sequence > aNumber) {
      changed.push_back(part);
    }
  }
  return changed;
}

std::size_t
PromptPartTable::CrashCount(PromptPart aPart) const
{
  const auto found = m_evidence.find(aPart);
  return found == m_evidence.end() ? 0 : found->second.m_crashes.size();
}

v1::PartSuspicion
PromptPartTable::Export(PromptPart aPart, MonotonicTime aNow) const
{
  v1::PartSuspicion suspicion;
  suspicion.set_part(aPart);
  const auto found = m_evidence.find(aPart);
  if (found == m_evidence.end()) {
    return suspicion;
  }
  suspicion.set_others_complete(found->second.m_othersComplete);
  EncodeLatest(found->second.m_crashes, aNow, *suspicion.mutable_crashes());
  EncodeLatest(found->second.m_cleared, aNow, *suspicion.mutable_cleared());
  return suspicion;
}

void
PromptPartTable::Evict()
{
  while (m_evidence.size() > kMaxParts) {
    // Blamed parts are evicted last, of the others the least recently changed.
    const auto oldest =
      std::min_element(m_evidence.begin(),
                       m_evidence.end(),
                       [&](const auto& aOne, const auto& aOther) {
                         return std::pair(m_blamed.contains(aOne.first),
                                          aOne.second.m_sequence) <
                                std::pair(m_blamed.contains(aOther.first),
                                          aOther.second.m_sequence);
                       });
    m_evidence.erase(oldest);
  }
}

} // namespace siskindeal

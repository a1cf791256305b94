#include "siskindeal/routing.h"

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"

#include <algorithm>
#include <unordered_set>

namespace siskindeal {

namespace {

constexpr std::size_t kMostChanges = 4096; // kept between two load reports
constexpr std::size_t kNone = static_cast<std::size_t>(-1);

} // namespace

void
RetryBudget::Request()
{
  m_tokens = std::min(kMost, m_tokens + m_earn);
}

bool
RetryBudget::Take()
{
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

Router::Router(std::unique_ptr<RoutingPolicy> aPolicy,
               double aRetriesPerRequest,
               std::uint64_t aSeed)
  : m_policy(std::move(aPolicy))
  , m_retries(aRetriesPerRequest)
  , m_random(aSeed)
{
}

std::size_t
Router::Find(const std::string& aVm) const
{
  const auto found = m_index.find(aVm);
  return found == m_index.end() ? kNone : found->second;
}

void
Router::Report(const RunnerReport& aReport, MonotonicTime aNow)
{
  auto index = Find(aReport.m_vm);
  if (index == kNone) {
    index = m_candidates.size();
    m_index[aReport.m_vm] = index;
    m_candidates.emplace_back().m_vm = aReport.m_vm;
    m_reported.emplace_back();
  }
  auto& candidate = m_candidates[index];
  candidate.m_place = aReport.m_place;
  candidate.m_slots = std::max(1U, aReport.m_slots);
  candidate.m_takesWork = aReport.m_takesWork;
  candidate.m_classes = aReport.m_classes;
  auto& reported = m_reported[index];
  const auto measured = aNow - aReport.m_age;
  if (aReport.m_hasLoad &&
      (!reported.m_known || measured > reported.m_measured)) {
    reported.m_known = true;
    reported.m_measured = measured;
    reported.m_requests = aReport.m_running + aReport.m_waiting;
    while (!reported.m_changes.empty() &&
           reported.m_changes.front().m_at <= measured) {
      reported.m_delta -= reported.m_changes.front().m_delta;
      reported.m_changes.pop_front();
    }
  }
  Refresh(index);
}

void
Router::SetEntries(std::uint32_t aEntries)
{
  m_entries = std::max(1U, aEntries);
}

void
Router::Retain(const std::vector<std::string>& aVms)
{
  const std::unordered_set<std::string> kept(aVms.begin(), aVms.end());
  for (std::size_t index = 0; index < m_candidates.size();) {
    const std::string vm = m_candidates[index].m_vm;
    if (kept.contains(vm)) {
      ++index;
      continue;
    }
    m_prefixes.Forget(vm);
    m_ejector.Forget(vm);
    m_candidates[index] = std::move(m_candidates.back());
    m_reported[index] = std::move(m_reported.back());
    m_candidates.pop_back();
    m_reported.pop_back();
    m_index.erase(vm);
    if (index < m_candidates.size()) {
      m_index[m_candidates[index].m_vm] = index;
    }
  }
}

void
Router::Refresh(std::size_t aIndex)
{
  auto& candidate = m_candidates[aIndex];
  double load = candidate.m_inFlight;
  const auto& reported = m_reported[aIndex];
  if (reported.m_known) {
    const double corrected =
      reported.m_requests + reported.m_delta * static_cast<double>(m_entries);
    load = std::max(load, corrected);
  }
  candidate.m_load = load;
}

void
Router::Record(std::size_t aIndex, int aDelta, MonotonicTime aNow)
{
  auto& reported = m_reported[aIndex];
  if (!reported.m_known) {
    Refresh(aIndex);
    return;
  }
  reported.m_changes.push_back({ aNow, aDelta });
  reported.m_delta += aDelta;
  if (reported.m_changes.size() > kMostChanges) {
    reported.m_delta -= reported.m_changes.front().m_delta;
    reported.m_requests += reported.m_changes.front().m_delta;
    reported.m_changes.pop_front();
  }
  Refresh(aIndex);
}

void
Router::MarkEjected(MonotonicTime aNow)
{
  const bool any = m_ejector.Ejected(aNow) > 0;
  if (!any && !m_marked) {
    return;
  }
  for (auto& candidate : m_candidates) {
    candidate.m_ejected = any && m_ejector.IsEjected(candidate.m_vm, aNow);
  }
  m_marked = any;
}

std::optional<std::string>
Router::Choose(const RoutingRequest& aRequest, MonotonicTime aNow)
{
  MarkEjected(aNow);
  auto chosen =
    m_policy->Choose(m_candidates, aRequest, m_prefixes, aNow, m_random);
  if (!chosen && m_marked) {
    for (auto& candidate : m_candidates) {
      candidate.m_ejected = false;
    }
    chosen =
      m_policy->Choose(m_candidates, aRequest, m_prefixes, aNow, m_random);
  }
  if (!chosen) {
    return std::nullopt;
  }
  const auto& candidate = m_candidates[*chosen];
  SISKINDEAL_INVARIANT(
    IsEligible(candidate, aRequest),
    "a policy chooses only runners that may take the request");
  m_ejector.Chosen(candidate.m_vm, aNow);
  return candidate.m_vm;
}

void
Router::Sent(const std::string& aVm,
             std::uint64_t aPrefixHash,
             MonotonicTime aNow)
{
  const auto index = Find(aVm);
  if (index == kNone) {
    return;
  }
  ++m_candidates[index].m_inFlight;
  Record(index, 1, aNow);
  m_prefixes.Sent(aPrefixHash, aVm, aNow);
}

void
Router::Ended(const std::string& aVm,
              RunnerOutcome aOutcome,
              MonotonicTime aNow)
{
  const auto index = Find(aVm);
  // The runner may have been dropped, or dropped and reported again, meanwhile.
  if (index == kNone || m_candidates[index].m_inFlight == 0) {
    return;
  }
  --m_candidates[index].m_inFlight;
  Record(index, -1, aNow);
  switch (aOutcome) {
    case RunnerOutcome::Answered:
      m_ejector.Succeeded(aVm);
      return;
    case RunnerOutcome::Failed:
      m_ejector.Failed(aVm, m_candidates.size(), aNow);
      return;
    case RunnerOutcome::Busy:
    case RunnerOutcome::GivenUp:
      return;
  }
}

std::uint32_t
Router::Slots() const
{
  std::uint32_t slots = 0;
  for (const auto& candidate : m_candidates) {
    slots += candidate.m_takesWork ? candidate.m_slots : 0;
  }
  return slots;
}

std::optional<std::string>
Router::TrialRunner(std::uint64_t aFingerprint,
                    const RoutingRequest& aRequest) const
{
  std::optional<std::string> best;
  std::uint64_t bestScore = 0;
  for (const auto& candidate : m_candidates) {
    if (!IsEligible(candidate, aRequest)) {
      continue;
    }
    const auto score = StableHash(candidate.m_vm, aFingerprint);
    if (!best || score > bestScore) {
      best = candidate.m_vm;
      bestScore = score;
    }
  }
  return best;
}

} // namespace siskindeal

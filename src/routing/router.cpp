#include "siskindeal/routing.h"

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"

#include <algorithm>
#include <unordered_set>

namespace siskindeal {

namespace {

// In-flight changes kept per runner between two load reports.
constexpr std::size_t kMaxChanges = 4096;
constexpr std::size_t kNoIndex = static_cast<std::size_t>(-1);

} // namespace

void
RetryBudget::Request()
{
  m_tokens = std::min(kMaxTokens, m_tokens + m_tokensPerRequest);
}

bool
RetryBudget::TryTake()
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
Router::FindIndex(const std::string& aVm) const
{
  const auto found = m_index.find(aVm);
  return found == m_index.end() ? kNoIndex : found->second;
}

void
Router::UpdateRunner(const RunnerReport& aReport, MonotonicTime aNow)
{
  auto index = FindIndex(aReport.m_vm);
  if (index == kNoIndex) {
    index = m_candidates.size();
    m_index[aReport.m_vm] = index;
    m_candidates.emplace_back().m_vm = aReport.m_vm;
    m_reportedLoads.emplace_back();
  }
  auto& candidate = m_candidates[index];
  candidate.m_place = aReport.m_place;
  candidate.m_slots = std::max(1U, aReport.m_slots);
  candidate.m_acceptsRequests = aReport.m_acceptsRequests;
  candidate.m_classes = aReport.m_classes;
  auto& reported = m_reportedLoads[index];
  const auto measuredAt = aNow - aReport.m_age;
  if (aReport.m_hasLoad &&
      (!reported.m_hasReport || measuredAt > reported.m_measuredAt)) {
    reported.m_hasReport = true;
    reported.m_measuredAt = measuredAt;
    reported.m_requests = aReport.m_running + aReport.m_waiting;
    while (!reported.m_changes.empty() &&
           reported.m_changes.front().m_at <= measuredAt) {
      reported.m_netChange -= reported.m_changes.front().m_delta;
      reported.m_changes.pop_front();
    }
  }
  RefreshLoad(index);
}

void
Router::SetEntries(std::uint32_t aEntryCount)
{
  m_entryCount = std::max(1U, aEntryCount);
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
    m_prefixes.RemoveVm(vm);
    m_ejector.RemoveVm(vm);
    m_candidates[index] = std::move(m_candidates.back());
    m_reportedLoads[index] = std::move(m_reportedLoads.back());
    m_candidates.pop_back();
    m_reportedLoads.pop_back();
    m_index.erase(vm);
    if (index < m_candidates.size()) {
      m_index[m_candidates[index].m_vm] = index;
    }
  }
}

void
Router::RefreshLoad(std::size_t aIndex)
{
  auto& candidate = m_candidates[aIndex];
  double load = candidate.m_inFlight;
  const auto& reported = m_reportedLoads[aIndex];
  if (reported.m_hasReport) {
    const double corrected =
      reported.m_requests +
      reported.m_netChange * static_cast<double>(m_entryCount);
    load = std::max(load, corrected);
  }
  candidate.m_load = load;
}

void
Router::RecordChange(std::size_t aIndex, int aDelta, MonotonicTime aNow)
{
  auto& reported = m_reportedLoads[aIndex];
  if (!reported.m_hasReport) {
    RefreshLoad(aIndex);
    return;
  }
  reported.m_changes.push_back({ aNow, aDelta });
  reported.m_netChange += aDelta;
  if (reported.m_changes.size() > kMaxChanges) {
    reported.m_netChange -= reported.m_changes.front().m_delta;
    reported.m_requests += reported.m_changes.front().m_delta;
    reported.m_changes.pop_front();
  }
  RefreshLoad(aIndex);
}

void
Router::MarkEjected(MonotonicTime aNow)
{
  const bool any = m_ejector.EjectedCount(aNow) > 0;
  if (!any && !m_anyEjected) {
    return;
  }
  for (auto& candidate : m_candidates) {
    candidate.m_ejected = any && m_ejector.IsEjected(candidate.m_vm, aNow);
  }
  m_anyEjected = any;
}

std::optional<std::string>
Router::Choose(const RoutingRequest& aRequest, MonotonicTime aNow)
{
  MarkEjected(aNow);
  auto chosen =
    m_policy->Choose(m_candidates, aRequest, m_prefixes, aNow, m_random);
  if (!chosen && m_anyEjected) {
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
  SISKINDEAL_INVARIANT(IsEligible(candidate, aRequest),
                       "a policy selects only eligible runners");
  m_ejector.OnSelected(candidate.m_vm, aNow);
  return candidate.m_vm;
}

void
Router::OnRequestSent(const std::string& aVm,
                      std::uint64_t aPrefixHash,
                      MonotonicTime aNow)
{
  const auto index = FindIndex(aVm);
  if (index == kNoIndex) {
    return;
  }
  ++m_candidates[index].m_inFlight;
  RecordChange(index, 1, aNow);
  m_prefixes.OnRequestSent(aPrefixHash, aVm, aNow);
}

void
Router::OnRequestEnded(const std::string& aVm,
                       RunnerOutcome aOutcome,
                       MonotonicTime aNow)
{
  const auto index = FindIndex(aVm);
  // The runner may have been removed since, or removed and reported again.
  if (index == kNoIndex || m_candidates[index].m_inFlight == 0) {
    return;
  }
  --m_candidates[index].m_inFlight;
  RecordChange(index, -1, aNow);
  switch (aOutcome) {
    case RunnerOutcome::Answered:
      m_ejector.RecordSuccess(aVm);
      return;
    case RunnerOutcome::Failed:
      m_ejector.RecordFailure(aVm, m_candidates.size(), aNow);
      return;
    case RunnerOutcome::Busy:
    case RunnerOutcome::Abandoned:
      return;
  }
}

std::uint32_t
Router::Slots() const
{
  std::uint32_t slots = 0;
  for (const auto& candidate : m_candidates) {
    slots += candidate.m_acceptsRequests ? candidate.m_slots : 0;
  }
  return slots;
}

std::optional<std::string>
Router::IsolationRunner(std::uint64_t aFingerprint,
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

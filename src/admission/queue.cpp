#include "siskindeal/admission.h"

#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr double kServiceTimeSmoothing = 0.05; // weight of a new sample
constexpr double kMinServiceSeconds = 1e-4;    // charged for any request
constexpr std::chrono::milliseconds kMinRetryAfter{ 50 };
constexpr double kMaxEstimatedWaitSeconds = 60.0;
constexpr double kMinWeight = 1e-3;
constexpr int kMaxPriority = 10;
// In-flight counts of other entries arrive late, so slightly more requests than
// slots are admitted to keep the runners busy.
constexpr double kSlotOvercommit = 1.2;

// A request of higher priority is charged less of its team's share, so that it
// precedes other teams' requests without starving them.
double
ShareWeight(const AdmissionRequest& aRequest)
{
  const int priority = std::clamp(aRequest.m_priority, 0, kMaxPriority);
  return std::max(kMinWeight, aRequest.m_weight) * (1 + priority);
}

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionLimits& aLimits)
  : m_limits(aLimits)
{
}

std::uint32_t
AdmissionQueue::Capacity() const
{
  const auto entries = std::max(1U, m_entryCount);
  const auto slots = static_cast<std::uint32_t>(m_slots * kSlotOvercommit);
  const auto equal = (slots + entries - 1) / entries;
  const auto left = slots > m_othersInFlight ? slots - m_othersInFlight : 0;
  return std::max({ 1U, equal, left });
}

AdmissionDecision
AdmissionQueue::SetSlots(std::uint32_t aSlots, MonotonicTime aNow)
{
  m_slots = aSlots;
  return Tick(aNow);
}

AdmissionDecision
AdmissionQueue::SetOtherEntries(std::uint32_t aInFlight,
                                std::uint32_t aEntryCount,
                                MonotonicTime aNow)
{
  m_othersInFlight = aInFlight;
  m_entryCount = aEntryCount;
  return Tick(aNow);
}

std::chrono::milliseconds
AdmissionQueue::EstimateWait(const std::string& aTeam, double aWeight) const
{
  double otherWeights = 0;
  std::size_t ahead = 0;
  for (const auto& [name, team] : m_teams) {
    if (name == aTeam) {
      ahead = team.m_waiting.size();
    } else if (!team.m_waiting.empty()) {
      otherWeights += team.m_weight;
    }
  }
  const double weight = std::max(kMinWeight, aWeight);
  const double share = weight / (weight + otherWeights);
  const double perSecond =
    Capacity() / std::max(kMinServiceSeconds, m_serviceSeconds);
  const double seconds = static_cast<double>(ahead + 1) / (perSecond * share);
  return std::chrono::milliseconds(static_cast<std::int64_t>(
    std::min(kMaxEstimatedWaitSeconds, seconds) * 1000));
}

Error
AdmissionQueue::MakeRefusal(const std::string& aTeam,
                            double aWeight,
                            const std::string& aMessage) const
{
  return Error(Reason::Overloaded,
               Verdict::NotRun,
               aMessage,
               std::max(kMinRetryAfter, EstimateWait(aTeam, aWeight)));
}

void
AdmissionQueue::Start(const AdmissionRequest& aRequest,
                      MonotonicTime aNow,
                      AdmissionDecision& aChanges)
{
  auto& team = m_teams[aRequest.m_team];
  const double weight = ShareWeight(aRequest);
  team.m_virtualTime = std::max(team.m_virtualTime, m_virtualTime);
  m_virtualTime = team.m_virtualTime;
  team.m_virtualTime += m_serviceSeconds / weight;
  ++team.m_running;
  const bool added =
    m_running
      .emplace(
        aRequest.m_id,
        RunningRequest{ aRequest.m_team, aNow, m_serviceSeconds, weight })
      .second;
  SISKINDEAL_INVARIANT(added, "a request is started at most once");
  aChanges.m_start.push_back(aRequest.m_id);
}

void
AdmissionQueue::RefuseExpired(MonotonicTime aNow, AdmissionDecision& aChanges)
{
  if (m_waiting == 0) {
    return;
  }
  for (auto& entry : m_teams) {
    auto& team = entry.second;
    std::erase_if(team.m_waiting, [&](const WaitingRequest& aWaiting) {
      if (aNow < aWaiting.m_latestStart) {
        return false;
      }
      aChanges.m_refuse.push_back(
        { aWaiting.m_request.m_id,
          MakeRefusal(
            entry.first,
            team.m_weight,
            "no runner became free before the wait limit or the deadline") });
      --m_waiting;
      return true;
    });
  }
}

void
AdmissionQueue::StartWaiting(MonotonicTime aNow, AdmissionDecision& aChanges)
{
  while (m_waiting > 0 && m_running.size() < Capacity()) {
    Team* next = nullptr;
    for (auto& [name, team] : m_teams) {
      if (!team.m_waiting.empty() &&
          (next == nullptr || team.m_virtualTime < next->m_virtualTime)) {
        next = &team;
      }
    }
    const auto request = next->m_waiting.front().m_request;
    next->m_waiting.erase(next->m_waiting.begin());
    --m_waiting;
    Start(request, aNow, aChanges);
  }
  CheckInvariants();
}

bool
AdmissionQueue::MakeRoom(const AdmissionRequest& aRequest,
                         MonotonicTime aNow,
                         AdmissionDecision& aChanges)
{
  Team* longestTeam = nullptr;
  std::string longestName;
  double maxLength = 0;
  for (auto& [name, team] : m_teams) {
    const double length =
      static_cast<double>(team.m_waiting.size()) / team.m_weight;
    if (length > maxLength) {
      maxLength = length;
      longestTeam = &team;
      longestName = name;
    }
  }
  const auto own = m_teams.find(aRequest.m_team);
  const double ownLength =
    own == m_teams.end() ? 0
                         : static_cast<double>(own->second.m_waiting.size()) /
                             own->second.m_weight;
  if (longestTeam == nullptr) {
    return false;
  }
  const auto& last = longestTeam->m_waiting.back().m_request;
  const bool ownTeam = longestName == aRequest.m_team;
  if (ownTeam ? last.m_priority >= aRequest.m_priority
              : ownLength >= maxLength) {
    return false;
  }
  aChanges.m_refuse.push_back({ last.m_id,
                                MakeRefusal(longestName,
                                            longestTeam->m_weight,
                                            "the admission queue is full") });
  longestTeam->m_waiting.pop_back();
  --m_waiting;
  return true;
}

AdmissionDecision
AdmissionQueue::Offer(const AdmissionRequest& aRequest, MonotonicTime aNow)
{
  AdmissionDecision changes;
  RefuseExpired(aNow, changes);
  StartWaiting(aNow, changes);
  if (aNow >= aRequest.m_deadline) {
    changes.m_refuse.push_back({ aRequest.m_id,
                                 Error(Reason::Timeout,
                                       Verdict::NotRun,
                                       "the request deadline has passed") });
    return changes;
  }
  if (m_waiting == 0 && m_running.size() < Capacity()) {
    m_teams[aRequest.m_team].m_weight = std::max(kMinWeight, aRequest.m_weight);
    Start(aRequest, aNow, changes);
    return changes;
  }
  const auto latestStart =
    std::min(aRequest.m_deadline, aNow + m_limits.m_maxWait);
  if (aNow + EstimateWait(aRequest.m_team, aRequest.m_weight) > latestStart) {
    changes.m_refuse.push_back(
      { aRequest.m_id,
        MakeRefusal(
          aRequest.m_team,
          aRequest.m_weight,
          "the expected wait exceeds the wait limit or the deadline") });
    return changes;
  }
  if (m_waiting >= m_limits.m_maxWaiting &&
      !MakeRoom(aRequest, aNow, changes)) {
    changes.m_refuse.push_back({ aRequest.m_id,
                                 MakeRefusal(aRequest.m_team,
                                             aRequest.m_weight,
                                             "the admission queue is full") });
    return changes;
  }
  auto& team = m_teams[aRequest.m_team];
  team.m_weight = std::max(kMinWeight, aRequest.m_weight);
  const auto position = std::upper_bound(
    team.m_waiting.begin(),
    team.m_waiting.end(),
    aRequest,
    [](const AdmissionRequest& aOne, const WaitingRequest& aTwo) {
      if (aOne.m_priority != aTwo.m_request.m_priority) {
        return aOne.m_priority > aTwo.m_request.m_priority;
      }
      return aOne.m_deadline < aTwo.m_request.m_deadline;
    });
  team.m_waiting.insert(position, { aRequest, latestStart });
  ++m_waiting;
  CheckInvariants();
  return changes;
}

AdmissionDecision
AdmissionQueue::Finish(std::uint64_t aId, MonotonicTime aNow)
{
  AdmissionDecision changes;
  const auto found = m_running.find(aId);
  if (found != m_running.end()) {
    const double seconds = std::max(
      kMinServiceSeconds,
      std::chrono::duration<double>(aNow - found->second.m_startedAt).count());
    m_serviceSeconds += kServiceTimeSmoothing * (seconds - m_serviceSeconds);
    const auto team = m_teams.find(found->second.m_team);
    team->second.m_virtualTime +=
      (seconds - found->second.m_chargedSeconds) / found->second.m_weight;
    --team->second.m_running;
    const bool idle = team->second.m_running == 0 &&
                      team->second.m_waiting.empty() &&
                      team->second.m_virtualTime <= m_virtualTime;
    if (idle) {
      m_teams.erase(team);
    }
    m_running.erase(found);
  } else {
    // The caller disconnected while the request was queued.
    for (auto& [name, team] : m_teams) {
      m_waiting -=
        std::erase_if(team.m_waiting, [&](const WaitingRequest& aWaiting) {
          return aWaiting.m_request.m_id == aId;
        });
    }
  }
  RefuseExpired(aNow, changes);
  StartWaiting(aNow, changes);
  return changes;
}

AdmissionDecision
AdmissionQueue::Tick(MonotonicTime aNow)
{
  AdmissionDecision changes;
  RefuseExpired(aNow, changes);
  StartWaiting(aNow, changes);
  return changes;
}

void
AdmissionQueue::CheckInvariants() const
{
  std::size_t waiting = 0;
  std::size_t running = 0;
  for (const auto& [name, team] : m_teams) {
    waiting += team.m_waiting.size();
    running += team.m_running;
  }
  SISKINDEAL_INVARIANT(waiting == m_waiting,
                       "the count of waiting requests is correct");
  SISKINDEAL_INVARIANT(running == m_running.size(),
                       "each running request belongs to a team");
  SISKINDEAL_INVARIANT(m_waiting <= std::max(1U, m_limits.m_maxWaiting),
                       "the admission queue is bounded");
  SISKINDEAL_INVARIANT(m_waiting == 0 || m_running.size() >= Capacity(),
                       "no request waits while a slot is free");
}

} // namespace siskindeal

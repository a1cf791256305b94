#include "siskindeal/admission.h"

#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr double kSmooth = 0.05;       // weight of a new service time
constexpr double kLeastSeconds = 1e-4; // charged for any request
constexpr std::chrono::milliseconds kLeastRetryAfter{ 50 };
constexpr double kLeastWeight = 1e-3;
constexpr int kMostPriority = 10;
// What the other entries have in flight is known late; a few requests more than
// slots keep the runners busy meanwhile.
constexpr double kHeadroom = 1.2;

// A higher priority is charged less of its team's share, so that it goes ahead
// of other teams' work without ever shutting it out.
double
ShareWeight(const AdmissionRequest& aRequest)
{
  const int priority = std::clamp(aRequest.m_priority, 0, kMostPriority);
  return std::max(kLeastWeight, aRequest.m_weight) * (1 + priority);
}

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionLimits& aLimits)
  : m_limits(aLimits)
{
}

std::uint32_t
AdmissionQueue::Capacity() const
{
  const auto entries = std::max(1U, m_entries);
  const auto slots = static_cast<std::uint32_t>(m_slots * kHeadroom);
  const auto equal = (slots + entries - 1) / entries;
  const auto left = slots > m_othersInFlight ? slots - m_othersInFlight : 0;
  return std::max({ 1U, equal, left });
}

AdmissionChanges
AdmissionQueue::SetSlots(std::uint32_t aSlots, MonotonicTime aNow)
{
  m_slots = aSlots;
  return Tick(aNow);
}

AdmissionChanges
AdmissionQueue::SetOthers(std::uint32_t aInFlight,
                          std::uint32_t aEntries,
                          MonotonicTime aNow)
{
  m_othersInFlight = aInFlight;
  m_entries = aEntries;
  return Tick(aNow);
}

std::chrono::milliseconds
AdmissionQueue::WaitOf(const std::string& aTeam, double aWeight) const
{
  double weights = 0;
  std::size_t ahead = 0;
  for (const auto& [name, team] : m_teams) {
    if (name == aTeam) {
      ahead = team.m_waiting.size();
    } else if (!team.m_waiting.empty()) {
      weights += team.m_weight;
    }
  }
  const double weight = std::max(kLeastWeight, aWeight);
  const double share = weight / (weight + weights);
  const double perSecond =
    Capacity() / std::max(kLeastSeconds, m_serviceSeconds);
  const double seconds = static_cast<double>(ahead + 1) / (perSecond * share);
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(std::min(60.0, seconds) * 1000));
}

Error
AdmissionQueue::Refusal(const std::string& aTeam,
                        double aWeight,
                        const std::string& aWhat) const
{
  return Error(Reason::Overloaded,
               Verdict::NotRun,
               aWhat,
               std::max(kLeastRetryAfter, WaitOf(aTeam, aWeight)));
}

void
AdmissionQueue::Start(const AdmissionRequest& aRequest,
                      MonotonicTime aNow,
                      AdmissionChanges& aChanges)
{
  auto& team = m_teams[aRequest.m_team];
  const double weight = ShareWeight(aRequest);
  team.m_virtualTime = std::max(team.m_virtualTime, m_virtualTime);
  m_virtualTime = team.m_virtualTime;
  team.m_virtualTime += m_serviceSeconds / weight;
  ++team.m_running;
  const bool added =
    m_running
      .emplace(aRequest.m_id,
               Started{ aRequest.m_team, aNow, m_serviceSeconds, weight })
      .second;
  SISKINDEAL_INVARIANT(added, "a request is started once");
  aChanges.m_start.push_back(aRequest.m_id);
}

void
AdmissionQueue::Expire(MonotonicTime aNow, AdmissionChanges& aChanges)
{
  if (m_waiting == 0) {
    return;
  }
  for (auto& entry : m_teams) {
    auto& team = entry.second;
    std::erase_if(team.m_waiting, [&](const Waiter& aWaiting) {
      if (aNow < aWaiting.m_latestStart) {
        return false;
      }
      aChanges.m_refuse.push_back(
        { aWaiting.m_request.m_id,
          Refusal(entry.first, team.m_weight, "no runner was free in time") });
      --m_waiting;
      return true;
    });
  }
}

void
AdmissionQueue::Fill(MonotonicTime aNow, AdmissionChanges& aChanges)
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
                         AdmissionChanges& aChanges)
{
  Team* longest = nullptr;
  std::string longestName;
  double most = 0;
  for (auto& [name, team] : m_teams) {
    const double length =
      static_cast<double>(team.m_waiting.size()) / team.m_weight;
    if (length > most) {
      most = length;
      longest = &team;
      longestName = name;
    }
  }
  const auto own = m_teams.find(aRequest.m_team);
  const double ownLength =
    own == m_teams.end() ? 0
                         : static_cast<double>(own->second.m_waiting.size()) /
                             own->second.m_weight;
  if (longest == nullptr) {
    return false;
  }
  const auto& last = longest->m_waiting.back().m_request;
  const bool ownTeam = longestName == aRequest.m_team;
  if (ownTeam ? last.m_priority >= aRequest.m_priority : ownLength >= most) {
    return false;
  }
  aChanges.m_refuse.push_back(
    { last.m_id,
      Refusal(longestName, longest->m_weight, "the queue is full") });
  longest->m_waiting.pop_back();
  --m_waiting;
  return true;
}

AdmissionChanges
AdmissionQueue::Offer(const AdmissionRequest& aRequest, MonotonicTime aNow)
{
  AdmissionChanges changes;
  Expire(aNow, changes);
  Fill(aNow, changes);
  if (aNow >= aRequest.m_deadline) {
    changes.m_refuse.push_back(
      { aRequest.m_id,
        Error(Reason::Timeout, Verdict::NotRun, "the deadline has passed") });
    return changes;
  }
  if (m_waiting == 0 && m_running.size() < Capacity()) {
    m_teams[aRequest.m_team].m_weight =
      std::max(kLeastWeight, aRequest.m_weight);
    Start(aRequest, aNow, changes);
    return changes;
  }
  const auto latest =
    std::min(aRequest.m_deadline, aNow + m_limits.m_longestWait);
  if (aNow + WaitOf(aRequest.m_team, aRequest.m_weight) > latest) {
    changes.m_refuse.push_back({ aRequest.m_id,
                                 Refusal(aRequest.m_team,
                                         aRequest.m_weight,
                                         "no runner will be free in time") });
    return changes;
  }
  if (m_waiting >= m_limits.m_queue && !MakeRoom(aRequest, aNow, changes)) {
    changes.m_refuse.push_back(
      { aRequest.m_id,
        Refusal(aRequest.m_team, aRequest.m_weight, "the queue is full") });
    return changes;
  }
  auto& team = m_teams[aRequest.m_team];
  team.m_weight = std::max(kLeastWeight, aRequest.m_weight);
  const auto place =
    std::upper_bound(team.m_waiting.begin(),
                     team.m_waiting.end(),
                     aRequest,
                     [](const AdmissionRequest& aOne, const Waiter& aTwo) {
                       if (aOne.m_priority != aTwo.m_request.m_priority) {
                         return aOne.m_priority > aTwo.m_request.m_priority;
                       }
                       return aOne.m_deadline < aTwo.m_request.m_deadline;
                     });
  team.m_waiting.insert(place, { aRequest, latest });
  ++m_waiting;
  CheckInvariants();
  return changes;
}

AdmissionChanges
AdmissionQueue::Finish(std::uint64_t aId, MonotonicTime aNow)
{
  AdmissionChanges changes;
  const auto found = m_running.find(aId);
  if (found != m_running.end()) {
    const double seconds = std::max(
      kLeastSeconds,
      std::chrono::duration<double>(aNow - found->second.m_started).count());
    m_serviceSeconds += kSmooth * (seconds - m_serviceSeconds);
    const auto team = m_teams.find(found->second.m_team);
    team->second.m_virtualTime +=
      (seconds - found->second.m_charged) / found->second.m_weight;
    --team->second.m_running;
    const bool idle = team->second.m_running == 0 &&
                      team->second.m_waiting.empty() &&
                      team->second.m_virtualTime <= m_virtualTime;
    if (idle) {
      m_teams.erase(team);
    }
    m_running.erase(found);
  } else {
    // The caller hung up while the request waited.
    for (auto& [name, team] : m_teams) {
      m_waiting -= std::erase_if(team.m_waiting, [&](const Waiter& aWaiting) {
        return aWaiting.m_request.m_id == aId;
      });
    }
  }
  Expire(aNow, changes);
  Fill(aNow, changes);
  return changes;
}

AdmissionChanges
AdmissionQueue::Tick(MonotonicTime aNow)
{
  AdmissionChanges changes;
  Expire(aNow, changes);
  Fill(aNow, changes);
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
  SISKINDEAL_INVARIANT(waiting == m_waiting, "each waiting request is counted");
  SISKINDEAL_INVARIANT(running == m_running.size(),
                       "each running request belongs to a team");
  SISKINDEAL_INVARIANT(m_waiting <= std::max(1U, m_limits.m_queue),
                       "the queue is bounded");
  SISKINDEAL_INVARIANT(m_waiting == 0 || m_running.size() >= Capacity(),
                       "no request waits while a slot is free");
}

} // namespace siskindeal

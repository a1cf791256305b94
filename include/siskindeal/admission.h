#pragma once
// Rate limits per team, and the bounded fair queue in front of a service.
// Does no I/O; callers hold the Routing lock and pass the time.

#include "siskindeal/clock.h"
#include "siskindeal/error.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/rpc.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskindeal {

// Requests per second, exponentially smoothed over about one second.
class DemandMeter
{
public:
  void RecordRequest(MonotonicTime aNow);
  double RequestsPerSecond(MonotonicTime aNow) const;

private:
  double m_perSecond = 0;
  MonotonicTime m_updatedAt;
};

// Enforces each team's request rate over all entries. Entries report their
// demand to each other, and each entry gets a share of the rate in proportion
// to its share of the team's demand. Without demand the shares are equal.
class TeamLimiter
{
public:
  void SetTeams(std::map<std::string, TeamConfig> aTeams,
                const TeamConfig& aDefault);
  const TeamConfig& ConfigOf(const std::string& aTeam) const;

  // Records a request; returns an error if the team exceeds its rate.
  std::optional<Error> Admit(const std::string& aTeam, MonotonicTime aNow);

  // Replaces the demand reported by another entry.
  void Merge(const std::string& aEntryVm,
             const std::vector<wire::TeamUsage>& aUsage);
  // Removes an entry that has left or is lost.
  void RemoveEntry(const std::string& aEntryVm);
  // Returns this entry's demand, for the other entries.
  std::vector<wire::TeamUsage> Usage(MonotonicTime aNow) const;

  // Returns this entry's share of the team's rate, 0 to 1.
  double ShareOf(const std::string& aTeam, MonotonicTime aNow) const;

  static constexpr std::size_t kMaxTeams = 4096;

private:
  struct Team
  {
    DemandMeter m_demand;
    double m_tokens = -1; // negative before the first request
    MonotonicTime m_refilledAt;
  };
  Team& FindOrCreate(const std::string& aTeam, MonotonicTime aNow);

  std::map<std::string, TeamConfig> m_configs;
  TeamConfig m_defaultConfig;
  std::unordered_map<std::string, Team> m_teams;
  // Requests per second of other entries, by entry and team.
  std::unordered_map<std::string, std::map<std::string, double>> m_remoteDemand;
};

struct AdmissionLimits
{
  std::uint32_t m_maxWaiting = 256; // queued requests of all teams
  std::chrono::milliseconds m_maxWait{ 2000 };
};

struct AdmissionRequest
{
  std::uint64_t m_id = 0; // unique among active requests
  std::string m_team;
  double m_weight = 1; // weight of the team
  int m_priority = 0;  // higher is served first
  MonotonicTime m_deadline;
};

struct AdmissionRefusal
{
  std::uint64_t m_id = 0;
  Error m_error;
};

// Result of a call: requests to start now, and requests to refuse now.
struct AdmissionDecision
{
  std::vector<std::uint64_t> m_start;
  std::vector<AdmissionRefusal> m_refuse;
};

// Queue of the requests of one service that wait for a runner. Runner time is
// shared between teams by weight (weighted fair queueing). Within a team,
// higher priority is served first, then the earlier deadline. A request that is
// not expected to start in time is refused when it is offered.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(const AdmissionLimits& aLimits);

  // Sets how many concurrent requests the service's runners accept in total.
  AdmissionDecision SetSlots(std::uint32_t aSlots, MonotonicTime aNow);
  // Sets the requests in flight from the other entries, and the number of
  // entries, including this one.
  AdmissionDecision SetOtherEntries(std::uint32_t aInFlight,
                                    std::uint32_t aEntryCount,
                                    MonotonicTime aNow);

  AdmissionDecision Offer(const AdmissionRequest& aRequest, MonotonicTime aNow);
  // Removes a request that has ended or whose caller has disconnected.
  AdmissionDecision Finish(std::uint64_t aId, MonotonicTime aNow);
  // Refuses the requests whose latest start has passed, and starts others.
  AdmissionDecision Tick(MonotonicTime aNow);

  std::uint32_t Running() const { return m_running.size(); }
  std::uint32_t Waiting() const { return m_waiting; }
  // Returns how many requests this entry may have in flight to the service.
  std::uint32_t Capacity() const;

private:
  struct WaitingRequest
  {
    AdmissionRequest m_request;
    MonotonicTime m_latestStart;
  };
  struct Team
  {
    double m_weight = 1;
    double m_virtualTime = 0; // runner seconds / weight
    std::uint32_t m_running = 0;
    std::vector<WaitingRequest> m_waiting; // in starting order
  };
  struct RunningRequest
  {
    std::string m_team;
    MonotonicTime m_startedAt;
    double m_chargedSeconds = 0;
    double m_weight = 1;
  };

  void Start(const AdmissionRequest& aRequest,
             MonotonicTime aNow,
             AdmissionDecision& aChanges);
  void StartWaiting(MonotonicTime aNow, AdmissionDecision& aChanges);
  void RefuseExpired(MonotonicTime aNow, AdmissionDecision& aChanges);
  // Makes room in a full queue: evicts the last request of the team with the
  // longest queue relative to its weight. If that is the request's own team,
  // only if its priority is lower. Returns false if no request was evicted.
  bool MakeRoom(const AdmissionRequest& aRequest,
                MonotonicTime aNow,
                AdmissionDecision& aChanges);
  std::chrono::milliseconds EstimateWait(const std::string& aTeam,
                                         double aWeight) const;
  Error MakeRefusal(const std::string& aTeam,
                    double aWeight,
                    const std::string& aMessage) const;
  void CheckInvariants() const;

  AdmissionLimits m_limits;
  std::uint32_t m_slots = 1;
  std::uint32_t m_othersInFlight = 0;
  std::uint32_t m_entryCount = 1;
  std::uint32_t m_waiting = 0;
  double m_virtualTime = 0;
  double m_serviceSeconds = 0.02; // smoothed service time
  std::map<std::string, Team> m_teams;
  std::unordered_map<std::uint64_t, RunningRequest> m_running;
};

} // namespace siskindeal

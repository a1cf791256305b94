#pragma once
// Limits and fairness between teams, and the bounded queue before a service.
// Decisions only: callers hold the Routing lock and give the time.

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

// Requests a second, smoothed over about a second.
class DemandMeter
{
public:
  void Count(MonotonicTime aNow);
  double PerSecond(MonotonicTime aNow) const;

private:
  double m_perSecond = 0;
  MonotonicTime m_at;
};

// Holds each team to its rate over all entries. An entry takes the part of the
// rate that its share of the team's demand earns; the entries tell each other
// their demand. While nothing is known each takes an equal part.
class TeamLimiter
{
public:
  void SetTeams(std::map<std::string, TeamConfig> aTeams,
                const TeamConfig& aOthers);
  const TeamConfig& ConfigOf(const std::string& aTeam) const;

  // Counts a request of the team; the refusal when it is over its rate.
  std::optional<Error> Take(const std::string& aTeam, MonotonicTime aNow);

  // What another entry said of its demand; replaces what it said before.
  void Merge(const std::string& aEntryVm,
             const std::vector<wire::TeamUsage>& aUsage);
  // An entry that is gone or has left.
  void Forget(const std::string& aEntryVm);
  // This entry's demand, for the others.
  std::vector<wire::TeamUsage> Usage(MonotonicTime aNow) const;

  // This entry's part of the team's rate, 0 to 1.
  double ShareOf(const std::string& aTeam, MonotonicTime aNow) const;

  static constexpr std::size_t kMostTeams = 4096;

private:
  struct Team
  {
    DemandMeter m_demand;
    double m_tokens = -1; // negative before the first request
    MonotonicTime m_at;
  };
  Team& Find(const std::string& aTeam, MonotonicTime aNow);

  std::map<std::string, TeamConfig> m_configs;
  TeamConfig m_others;
  std::unordered_map<std::string, Team> m_teams;
  std::unordered_map<std::string, std::map<std::string, double>> m_entries;
};

struct AdmissionLimits
{
  std::uint32_t m_queue = 256; // requests waiting, all teams
  std::chrono::milliseconds m_longestWait{ 2000 };
};

struct AdmissionRequest
{
  std::uint64_t m_id = 0; // unique among those not ended
  std::string m_team;
  double m_weight = 1; // of the team
  int m_priority = 0;  // higher goes first
  MonotonicTime m_deadline;
};

struct AdmissionRefusal
{
  std::uint64_t m_id = 0;
  Error m_error;
};

// What a call has decided: requests to pass on now, and requests that are given
// up and are to be answered at once.
struct AdmissionChanges
{
  std::vector<std::uint64_t> m_start;
  std::vector<AdmissionRefusal> m_refuse;
};

// The requests of one service that wait for a runner, and those that run.
// Between teams, time on the runners is shared by weight; within a team a
// higher priority goes first, then the earlier deadline. A request that can't
// be started in time is refused when it is offered.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(const AdmissionLimits& aLimits);

  // How many requests the service's runners take at once, over all entries.
  AdmissionChanges SetSlots(std::uint32_t aSlots, MonotonicTime aNow);
  // Requests that the other entries have at the service now, and how many
  // entries there are, this one included.
  AdmissionChanges SetOthers(std::uint32_t aInFlight,
                             std::uint32_t aEntries,
                             MonotonicTime aNow);

  AdmissionChanges Offer(const AdmissionRequest& aRequest, MonotonicTime aNow);
  // A started request has ended, or its caller has hung up.
  AdmissionChanges Finish(std::uint64_t aId, MonotonicTime aNow);
  // Gives up the requests that can't be started in time any more.
  AdmissionChanges Tick(MonotonicTime aNow);

  std::uint32_t Running() const { return m_running.size(); }
  std::uint32_t Waiting() const { return m_waiting; }
  // Requests that this entry may have at the service at once.
  std::uint32_t Capacity() const;

private:
  struct Waiter
  {
    AdmissionRequest m_request;
    MonotonicTime m_latestStart;
  };
  struct Team
  {
    double m_weight = 1;
    double m_virtualTime = 0; // seconds of runner over weight
    std::uint32_t m_running = 0;
    std::vector<Waiter> m_waiting; // in the order of starting
  };
  struct Started
  {
    std::string m_team;
    MonotonicTime m_started;
    double m_charged = 0; // seconds
    double m_weight = 1;
  };

  void Start(const AdmissionRequest& aRequest,
             MonotonicTime aNow,
             AdmissionChanges& aChanges);
  void Fill(MonotonicTime aNow, AdmissionChanges& aChanges);
  void Expire(MonotonicTime aNow, AdmissionChanges& aChanges);
  // Makes room in a full queue for a request of aTeam; false when the team
  // itself has the most waiting for its weight.
  bool MakeRoom(const AdmissionRequest& aRequest,
                MonotonicTime aNow,
                AdmissionChanges& aChanges);
  std::chrono::milliseconds WaitOf(const std::string& aTeam,
                                   double aWeight) const;
  Error Refusal(const std::string& aTeam,
                double aWeight,
                const std::string& aWhat) const;
  void CheckInvariants() const;

  AdmissionLimits m_limits;
  std::uint32_t m_slots = 1;
  std::uint32_t m_othersInFlight = 0;
  std::uint32_t m_entries = 1;
  std::uint32_t m_waiting = 0;
  double m_virtualTime = 0;
  double m_serviceSeconds = 0.02; // smoothed time on a runner
  std::map<std::string, Team> m_teams;
  std::unordered_map<std::uint64_t, Started> m_running;
};

} // namespace siskindeal

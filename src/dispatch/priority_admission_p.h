#pragma once
// Decides which requests of a service are refused when its callers want more
// than its runners can do: the less urgent first, but never all of one level.
// Gateways tell each other the work that is wanted of them, so that all of them
// reach the same shares from the same sums. Does no I/O; the caller passes the
// time.

#include "siskindeal/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace siskindeal {

// Levels of priority, 0 the most urgent. The least urgent one holds all that
// are less urgent still; runners tell as many apart.
inline constexpr std::size_t kPriorityLevels = 5;

// The level of a configured priority.
std::size_t
PriorityLevel(int aPriority);

// Work is the time for which requests occupy slots of runners. Rates are in ms
// of a slot's time a second.
struct LevelDemand
{
  double m_offered = 0;  // by all requests
  double m_returned = 0; // by those that came back after a refusal

  LevelDemand& operator+=(const LevelDemand& aOther)
  {
    m_offered += aOther.m_offered;
    m_returned += aOther.m_returned;
    return *this;
  }
};

using ServiceDemand = std::array<LevelDemand, kPriorityLevels>;

struct LevelShares
{
  double m_new = 1;      // of new requests that are admitted
  double m_returned = 1; // of those that came back
};

using ServiceShares = std::array<LevelShares, kPriorityLevels>;

// The shares that are admitted if the runners can do aCapacity. Each level gets
// a part of what an equal division would give it, so that none starves; the
// rest goes to the most urgent first. Of a level's part, a bounded share goes
// to requests that came back, before new ones: a request that came back is late
// in most cases, so that serving these alone would make all of them late.
ServiceShares
DivideCapacity(const ServiceDemand& aDemand, double aCapacity);

// What is known of a service's runners.
struct ServiceCapacity
{
  double m_slots = 0;    // of the usable runners
  double m_requests = 0; // in flight at them, of all gateways
};

struct AdmissionRequest
{
  std::string m_service;
  std::size_t m_level = 0;
  double m_work = 0; // ms of a slot's time
  bool m_hasReturned = false;
  // The same for all attempts of a caller at one request.
  std::uint64_t m_key = 0;
};

struct AdmissionDecision
{
  bool m_isAdmitted = true;
  double m_share = 1; // of the requests of its kind that are admitted
  std::chrono::milliseconds m_retryAfter{ 0 };
};

class PriorityAdmission
{
public:
  // Counts the request as offered and decides on it. Attempts at one request
  // within kEpoch get the same decision at all gateways, so that a caller gains
  // nothing by asking again at once. aWallTime: Unix time.
  AdmissionDecision Decide(const AdmissionRequest& aRequest,
                           MonotonicTime aNow,
                           std::chrono::milliseconds aWallTime);

  // What this gateway's callers want, to be told to other gateways.
  std::map<std::string, ServiceDemand> OwnDemand(MonotonicTime aNow) const;
  // Applies what another gateway, or a region's gateways together, told last.
  void RecordDemand(const std::string& aSource,
                    std::map<std::string, ServiceDemand> aDemand,
                    MonotonicTime aNow);
  // The sum of the demand told by sources for which aIsCounted.
  template<typename F>
  std::map<std::string, ServiceDemand> DemandOf(F aIsCounted,
                                                MonotonicTime aNow) const
  {
    std::map<std::string, ServiceDemand> sum;
    for (const auto& [source, told] : m_told) {
      if (aIsCounted(source) && aNow - told.m_at <= kDemandLifetime) {
        Add(sum, told.m_demand);
      }
    }
    return sum;
  }

  // Recomputes a service's shares. Call it several times a second.
  void Update(const std::string& aService,
              const ServiceCapacity& aCapacity,
              MonotonicTime aNow);
  // Forgets services that aren't prioritized any more.
  template<typename F>
  void Retain(F aIsPrioritized)
  {
    std::erase_if(m_services, [&](const auto& aEntry) {
      return !aIsPrioritized(aEntry.first);
    });
  }

  // The state of a service; null if it has had no requests.
  struct Service
  {
    struct Meter
    {
      LevelDemand m_sum; // of work; older work counts less
      MonotonicTime m_at{};
    };
    std::array<Meter, kPriorityLevels> m_meters;
    ServiceDemand m_demand{}; // of all gateways
    double m_capacity = 0;
    // Corrects the capacity that the slots suggest by how full they are.
    double m_correction = 1;
    MonotonicTime m_updatedAt{};
    ServiceShares m_shares{};
  };
  const std::map<std::string, Service>& Services() const { return m_services; }

  static constexpr std::chrono::milliseconds kEpoch{ 2000 };
  // A source that is silent for longer isn't counted any more.
  static constexpr std::chrono::milliseconds kDemandLifetime{ 2000 };

private:
  struct Told
  {
    MonotonicTime m_at{};
    std::map<std::string, ServiceDemand> m_demand; // by service
  };

  static void Add(std::map<std::string, ServiceDemand>& aSum,
                  const std::map<std::string, ServiceDemand>& aDemand);
  static LevelDemand SumAt(const Service::Meter& aMeter, MonotonicTime aNow);

  std::map<std::string, Service> m_services;
  std::map<std::string, Told> m_told; // by source
};

} // namespace siskindeal

#pragma once
// Admission control by priority: decides which requests of a service are
// refused when its demand exceeds the capacity of its runners. Less urgent
// requests are refused first, but never all of one level. Gateways report their
// demand to each other, so that all of them compute the same shares from the
// same sums. Does no I/O; the caller passes the time.

#include "siskindeal/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace siskindeal {

// Levels of priority, 0 the most urgent; the last one includes all lower
// priorities. Runners distinguish as many.
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

// Returns the shares that are admitted with that capacity. Each level is
// guaranteed a part of what an equal division would give it, so that none
// starves; the rest goes to the most urgent levels first. Within a level, a
// bounded share goes to requests that came back, before new ones: they are late
// in most cases, so that serving these alone would make all requests late.
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
  // nothing by retrying at once. aWallTime: Unix time.
  AdmissionDecision Decide(const AdmissionRequest& aRequest,
                           MonotonicTime aNow,
                           std::chrono::milliseconds aWallTime);

  // The demand at this gateway, to be reported to the others.
  std::map<std::string, ServiceDemand> OwnDemand(MonotonicTime aNow) const;
  // Applies the last report of another gateway, or of a region's gateways
  // together.
  void RecordDemand(const std::string& aSource,
                    std::map<std::string, ServiceDemand> aDemand,
                    MonotonicTime aNow);
  // The sum of the demand reported by sources for which aIsCounted.
  template<typename F>
  std::map<std::string, ServiceDemand> DemandOf(F aIsCounted,
                                                MonotonicTime aNow) const
  {
    std::map<std::string, ServiceDemand> sum;
    for (const auto& [source, report] : m_reports) {
      if (aIsCounted(source) && aNow - report.m_at <= kDemandLifetime) {
        Add(sum, report.m_demand);
      }
    }
    return sum;
  }

  // Recomputes a service's shares. Called several times a second.
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
  // Reports that aren't renewed for this long are discarded.
  static constexpr std::chrono::milliseconds kDemandLifetime{ 2000 };

private:
  struct Report
  {
    MonotonicTime m_at{};
    std::map<std::string, ServiceDemand> m_demand; // by service
  };

  static void Add(std::map<std::string, ServiceDemand>& aSum,
                  const std::map<std::string, ServiceDemand>& aDemand);
  static LevelDemand SumAt(const Service::Meter& aMeter, MonotonicTime aNow);

  std::map<std::string, Service> m_services;
  std::map<std::string, Report> m_reports; // by source
};

} // namespace siskindeal

#pragma once
// Chooses the runner for a request by the predicted time to its first byte, or
// refuses the request. Does no I/O; the caller passes time and random seed.

#include "dispatch/cold_runners_p.h"
#include "dispatch/request_shape_p.h"
#include "dispatch/runner_limits_p.h"
#include "dispatch/runner_notices_p.h"
#include "dispatch/runner_table_p.h"
#include "siskindeal/random.h"

#include <optional>
#include <set>
#include <tuple>
#include <variant>
#include <vector>

namespace siskindeal {

struct Placement
{
  std::string m_runner;                       // id
  std::chrono::milliseconds m_predicted{ 0 }; // to the first byte
  // From the first byte to the end; 0 if costs aren't learned.
  std::chrono::milliseconds m_generation{ 0 };
  std::string m_region; // of the runner
  // For which the request and its response are queued between regions; part of
  // the predicted time.
  std::chrono::milliseconds m_linkDelay{ 0 };
  RunnerLoad m_load; // of the runner, excluding this request
  // The oldest weights that the request may begin on; unset: any.
  std::optional<std::uint64_t> m_requiredVersion;
};

// What excludes all runners that could serve a request.
enum class Exclusion
{
  None, // or others than these
  Evacuated,
  NotAtHome,
};

struct PlacementRefusal
{
  std::string m_reason;
  std::chrono::milliseconds m_retryAfter{ 0 };
  std::chrono::milliseconds m_predicted{ 0 }; // at the best runner; 0: none
  std::chrono::milliseconds m_linkDelay{ 0 }; // of the link to it
  Exclusion m_exclusion = Exclusion::None;
};

using Decision = std::variant<Placement, PlacementRefusal>;

class Placer
{
public:
  Placer(std::string aPlace,
         std::map<std::string, std::string> aRegions,
         std::uint64_t aSeed)
    : m_place(std::move(aPlace))
    , m_regions(std::move(aRegions))
    , m_random(aSeed)
  {
  }

  // Chooses among the runners of the request's service, except those outside
  // its home regions, those of evacuated places, those in aTried, those whose
  // limit is used up, be it since they are cold, and those that leave or want
  // no requests.
  Decision Place(const RequestShape& aShape,
                 const ServiceRecord& aService,
                 RunnerTable& aRunners,
                 const RunnerLimits& aLimits,
                 const RunnerNotices& aNotices,
                 const std::set<RunnerIncarnation>& aTried,
                 MonotonicTime aNow);

  // Sets how many gateways send requests to the same runners, with this one,
  // and how often each reports its load to the others. The more requests arrive
  // between two reports, the more of the best runners are chosen from at
  // random, so that the gateways don't all send to the same ones.
  void SetPeers(std::size_t aGateways,
                std::chrono::milliseconds aReportInterval)
  {
    m_gateways = aGateways;
    m_reportInterval = aReportInterval;
  }

  // Sets for how long a request to a region and its response are queued on the
  // way, as measured; 0 for regions that aren't listed.
  void SetLinkDelays(std::map<std::string, std::chrono::milliseconds> aDelays)
  {
    m_linkDelays = std::move(aDelays);
  }

  // Sets the places whose runners get no requests.
  void SetEvacuatedPlaces(std::set<std::string> aPlaces)
  {
    m_evacuatedPlaces = std::move(aPlaces);
  }

  ColdRunners& Cold() { return m_cold; }

private:
  // Why a runner must not get the request, by its place.
  Exclusion ExclusionOf(const RequestShape& aShape,
                        const std::string& aPlace) const;
  // The refusal if no runner is eligible. aEvacuated, aAway: how many were
  // excluded by an evacuation or by the request's homes.
  PlacementRefusal RefuseWithoutRunner(const RequestShape& aShape,
                                       std::size_t aEvacuated,
                                       std::size_t aAway);
  double DistanceMs(const std::string& aPlace) const;
  std::chrono::milliseconds LinkDelay(const std::string& aPlace) const;
  struct Candidate
  {
    const RunnerState* m_runner = nullptr;
    bool m_avoided = false;
    bool m_isSlow = false; // the response would end or pause beyond its target
    std::optional<std::chrono::milliseconds> m_excess; // unset: may be sent
    std::chrono::milliseconds m_linkDelay{ 0 };
    std::chrono::duration<double, std::milli> m_predicted{ 0 };
    double m_cost = 0;

    bool operator<(const Candidate& aOther) const
    {
      return std::tuple(m_avoided, m_excess.has_value(), m_isSlow, m_cost) <
             std::tuple(aOther.m_avoided,
                        aOther.m_excess.has_value(),
                        aOther.m_isSlow,
                        aOther.m_cost);
    }
  };

  // Requests of a service that arrived here.
  struct Arrivals
  {
    double m_recent = 0; // older ones count less
    MonotonicTime m_at{};
  };

  Decision Choose(const RequestShape& aShape,
                  const ServiceRecord& aService,
                  std::vector<Candidate> aCandidates,
                  MonotonicTime aNow);
  void RecordArrival(const std::string& aService, MonotonicTime aNow);
  // The requests that other gateways have sent and not reported yet, if as many
  // arrive at each as here.
  double UnseenRequests(const std::string& aService) const;
  std::chrono::milliseconds RetryAfter(std::chrono::milliseconds aExcess,
                                       std::chrono::milliseconds aTimeLeft);
  // The refusal if all runners that could take the request are excluded by
  // their limits or waits.
  PlacementRefusal RefuseForNow(const std::vector<RunnerIncarnation>& aLimited,
                                const std::vector<RunnerIncarnation>& aWaiting,
                                const RunnerLimits& aLimits,
                                const RunnerNotices& aNotices,
                                std::chrono::milliseconds aTimeLeft,
                                MonotonicTime aNow);

  std::string m_place;
  std::map<std::string, std::string> m_regions; // by place
  std::size_t m_gateways = 1;
  std::chrono::milliseconds m_reportInterval{ 0 };
  std::map<std::string, std::chrono::milliseconds> m_linkDelays; // by region
  std::map<std::string, Arrivals> m_arrivals;                    // by service
  std::set<std::string> m_evacuatedPlaces;
  ColdRunners m_cold;
  Random m_random;
};

} // namespace siskindeal

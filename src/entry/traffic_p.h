#pragma once
// What an entry decides about requests before and between their attempts:
// limits and the queue, the runner, suspicions. The decision classes behind one
// lock.

#include "siskindeal/admission.h"
#include "siskindeal/clock.h"
#include "siskindeal/lock_order.h"
#include "siskindeal/node_sync.h"
#include "siskindeal/quarantine.h"
#include "siskindeal/routing.h"
#include "siskindeal/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskindeal {

class Traffic
{
public:
  // Called once, under no lock: nothing when the request may go on.
  using Admitted = std::function<void(const std::optional<Error>&)>;

  Traffic(const RoutingSettings& aRouting,
          const AdmissionSettings& aAdmission,
          const std::string& aPlace,
          const Clock& aClock,
          std::uint64_t aSeed);

  void OnNodes(const FleetView& aView);
  void OnConfig(const FleetConfig& aConfig);
  void OnUsage(const std::string& aVm,
               const std::vector<wire::TeamUsage>& aUsage);
  std::vector<wire::TeamUsage> Usage();
  // Gives up what has waited too long.
  void Tick();

  struct Asked
  {
    std::string m_service;
    std::string m_team;
    int m_priority = 0;
    MonotonicTime m_deadline;
    std::uint64_t m_fingerprint = 0;
  };
  // Asks to let a request through; returns its number, for Leave.
  std::uint64_t Enter(const Asked& aAsked, Admitted aDone);
  // The request is over, or its caller has hung up. May be called twice.
  void Leave(const std::string& aService, std::uint64_t aNumber);

  // The runner for an attempt. A suspect's is the same at every entry.
  std::optional<std::string> Choose(const std::string& aService,
                                    const RoutingRequest& aRequest,
                                    std::uint64_t aFingerprint);
  void Sent(const std::string& aService,
            const std::string& aVm,
            std::uint64_t aPrefixHash);
  void Ended(const std::string& aService,
             const std::string& aVm,
             RunnerOutcome aOutcome);
  bool TakeRetry(const std::string& aService);

  SuspicionState StateOf(std::uint64_t aFingerprint);
  bool Merge(const wire::Suspicion& aSuspicion);
  std::vector<SuspicionListing> Suspicions();
  // Grows with each change of what is known; what is known.
  std::uint64_t SuspicionNumber();
  std::vector<wire::Suspicion> AllSuspicions();
  // The suspicion to spread; nothing when it isn't known.
  std::optional<wire::Suspicion> Release(std::uint64_t aFingerprint);

private:
  struct Service
  {
    Service(std::unique_ptr<RoutingPolicy> aPolicy,
            const RoutingSettings& aRouting,
            const AdmissionLimits& aLimits,
            std::uint64_t aSeed);
    Router m_router;
    AdmissionQueue m_queue;
  };
  using Calls = std::vector<std::pair<Admitted, std::optional<Error>>>;

  Service& Find(const std::string& aService)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Take(AdmissionChanges aChanges, Calls& aCalls)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void UpdateOthers(Calls& aCalls) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  static void Make(const Calls& aCalls);

  const RoutingSettings m_routing;
  const AdmissionLimits m_limits;
  const std::string m_place;
  const Clock& m_clock;
  OrderedMutex m_mutex{ LockLevel::Routing };
  std::uint64_t m_seed ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Service> m_services ABSL_GUARDED_BY(m_mutex);
  TeamLimiter m_limiter ABSL_GUARDED_BY(m_mutex);
  SuspicionTable m_suspicions ABSL_GUARDED_BY(m_mutex);
  std::map<std::uint64_t, Admitted> m_waiting ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_numbers ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint32_t m_entries ABSL_GUARDED_BY(m_mutex) = 1;
  // Requests in flight by entry and service.
  std::map<std::string, std::map<std::string, std::uint32_t>> m_others
    ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal

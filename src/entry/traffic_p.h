#pragma once
// Decides about requests before and between their attempts: rate limits,
// queueing, choice of the runner, and suspicions. Guards the decision classes
// with one lock.

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
  // Called once, without locks held; nullopt if the request is admitted.
  using AdmissionCallback = std::function<void(const std::optional<Error>&)>;

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
  // Rejects requests that have waited too long.
  void Tick();

  struct RequestInfo
  {
    std::string m_service;
    std::string m_team;
    int m_priority = 0;
    MonotonicTime m_deadline;
    std::uint64_t m_fingerprint = 0;
  };
  // Queues a request for admission. Returns an id for EndRequest.
  std::uint64_t RequestAdmission(const RequestInfo& aRequest,
                                 AdmissionCallback aDone);
  // The request has ended, or its caller has disconnected. May be called twice.
  void EndRequest(const std::string& aService, std::uint64_t aAdmissionId);

  // Selects the runner for an attempt. All entries select the same runner for a
  // suspect request.
  std::optional<std::string> Choose(const std::string& aService,
                                    const RoutingRequest& aRequest,
                                    std::uint64_t aFingerprint);
  void OnRequestSent(const std::string& aService,
                     const std::string& aVm,
                     std::uint64_t aPrefixHash);
  void OnRequestEnded(const std::string& aService,
                      const std::string& aVm,
                      RunnerOutcome aOutcome);
  bool TryTakeRetry(const std::string& aService);

  SuspicionState StateOf(std::uint64_t aFingerprint);
  bool Merge(const wire::Suspicion& aSuspicion);
  std::vector<SuspicionListing> ListSuspicions();
  // Increases with each change of the suspicions.
  std::uint64_t SuspicionSequence();
  std::vector<wire::Suspicion> AllSuspicions();
  // Returns the suspicion to broadcast, or nullopt if it is unknown.
  std::optional<wire::Suspicion> ReleaseFingerprint(std::uint64_t aFingerprint);

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
  using PendingCallbacks =
    std::vector<std::pair<AdmissionCallback, std::optional<Error>>>;

  Service& FindOrCreate(const std::string& aService)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void CollectCallbacks(AdmissionDecision aChanges,
                        PendingCallbacks& aCallbacks)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void UpdateOtherEntries(PendingCallbacks& aCallbacks)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  static void RunCallbacks(const PendingCallbacks& aCallbacks);

  const RoutingSettings m_routing;
  const AdmissionLimits m_limits;
  const std::string m_place;
  const Clock& m_clock;
  OrderedMutex m_mutex{ LockLevel::Routing };
  std::uint64_t m_seed ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Service> m_services ABSL_GUARDED_BY(m_mutex);
  TeamLimiter m_limiter ABSL_GUARDED_BY(m_mutex);
  SuspicionTable m_suspicions ABSL_GUARDED_BY(m_mutex);
  std::map<std::uint64_t, AdmissionCallback> m_pendingAdmissions
    ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_lastAdmissionId ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint32_t m_entryCount ABSL_GUARDED_BY(m_mutex) = 1;
  // In-flight requests by entry and service.
  std::map<std::string, std::map<std::string, std::uint32_t>> m_otherEntries
    ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal

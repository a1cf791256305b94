#include "traffic_p.h"

#include "siskindeal/metrics.h"
#include "siskindeal/wire_values.h"

#include <set>

namespace siskindeal {

namespace {

RunnerReport
MakeRunnerReport(const FleetNode& aNode, MonotonicTime aNow)
{
  const auto& record = aNode.m_record;
  RunnerReport report;
  report.m_vm = record.vm();
  report.m_place = record.place();
  report.m_acceptsRequests =
    record.liveness() == wire::LIVENESS_ALIVE && !record.upstream_down();
  for (const auto& serving : record.serving()) {
    report.m_classes.push_back(serving.class_of_work());
  }
  if (record.has_load()) {
    const auto sinceReceived =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow -
                                                            aNode.m_receivedAt);
    report.m_hasLoad = true;
    report.m_slots = record.load().slots();
    report.m_running = record.load().running();
    report.m_waiting = record.load().waiting();
    report.m_age =
      MillisFromWire(record.load().report_age_ms()) + sinceReceived;
  }
  return report;
}

} // namespace

Traffic::Service::Service(std::unique_ptr<RoutingPolicy> aPolicy,
                          const RoutingSettings& aRouting,
                          const AdmissionLimits& aLimits,
                          std::uint64_t aSeed)
  : m_router(std::move(aPolicy), aRouting.m_retryBudget, aSeed)
  , m_queue(aLimits)
{
}

Traffic::Traffic(const RoutingSettings& aRouting,
                 const AdmissionSettings& aAdmission,
                 const std::string& aPlace,
                 const Clock& aClock,
                 std::uint64_t aSeed)
  : m_routing(aRouting)
  , m_limits{ aAdmission.m_queue, aAdmission.m_longestWait }
  , m_place(aPlace)
  , m_clock(aClock)
  , m_seed(aSeed)
{
}

Traffic::Service&
Traffic::FindOrCreate(const std::string& aService)
{
  const auto found = m_services.find(aService);
  if (found != m_services.end()) {
    return found->second;
  }
  auto policy = Registry<RoutingPolicy>::Instance().Make(m_routing.m_policy);
  auto& service =
    m_services
      .try_emplace(aService, std::move(policy), m_routing, m_limits, ++m_seed)
      .first->second;
  service.m_router.SetEntries(m_entryCount);
  return service;
}

void
Traffic::RunCallbacks(const PendingCallbacks& aCallbacks)
{
  for (const auto& [done, refusal] : aCallbacks) {
    done(refusal);
  }
}

void
Traffic::CollectCallbacks(AdmissionDecision aChanges,
                          PendingCallbacks& aCallbacks)
{
  const auto collect = [&](std::uint64_t aAdmissionId,
                           std::optional<Error> aRefusal) {
    auto pending = m_pendingAdmissions.extract(aAdmissionId);
    if (!pending.empty()) {
      aCallbacks.emplace_back(std::move(pending.mapped()), std::move(aRefusal));
    }
  };
  for (const auto admissionId : aChanges.m_start) {
    collect(admissionId, std::nullopt);
  }
  for (auto& refusal : aChanges.m_refuse) {
    collect(refusal.m_id, std::move(refusal.m_error));
  }
}

void
Traffic::OnNodes(const FleetView& aView)
{
  PendingCallbacks callbacks;
  {
    const OrderedLock lock(m_mutex);
    const auto now = m_clock.Now();
    std::map<std::string, std::vector<std::string>> vms;
    std::set<std::string> entries;
    for (const auto& [vm, node] : aView.m_nodes) {
      const auto& record = node.m_record;
      if (record.role() == wire::ROLE_ENTRY) {
        entries.insert(vm);
        continue;
      }
      auto& router = FindOrCreate(record.service()).m_router;
      router.UpdateRunner(MakeRunnerReport(node, now), now);
      for (const auto& event : record.cache_events()) {
        router.Prefixes().OnCacheEvent(
          vm, event.sequence(), event.prefix_hash(), event.evicted(), now);
      }
      vms[record.service()].push_back(vm);
    }
    m_entryCount =
      std::max<std::uint32_t>(1U, static_cast<std::uint32_t>(entries.size()));
    for (const auto& [vm, usage] : m_otherEntries) {
      if (!entries.contains(vm)) {
        m_limiter.RemoveEntry(vm);
      }
    }
    std::erase_if(m_otherEntries, [&](const auto& aEntry) {
      return !entries.contains(aEntry.first);
    });
    for (auto& [name, service] : m_services) {
      service.m_router.SetEntries(m_entryCount);
      service.m_router.Retain(vms[name]);
      CollectCallbacks(service.m_queue.SetSlots(service.m_router.Slots(), now),
                       callbacks);
    }
    UpdateOtherEntries(callbacks);
  }
  RunCallbacks(callbacks);
}

void
Traffic::UpdateOtherEntries(PendingCallbacks& aCallbacks)
{
  for (auto& [name, service] : m_services) {
    std::uint32_t inFlight = 0;
    for (const auto& [vm, services] : m_otherEntries) {
      const auto found = services.find(name);
      inFlight += found == services.end() ? 0 : found->second;
    }
    CollectCallbacks(
      service.m_queue.SetOtherEntries(inFlight, m_entryCount, m_clock.Now()),
      aCallbacks);
  }
}

void
Traffic::OnConfig(const FleetConfig& aConfig)
{
  const OrderedLock lock(m_mutex);
  m_limiter.SetTeams(aConfig.m_teams, aConfig.m_otherTeams);
}

void
Traffic::OnUsage(const std::string& aVm,
                 const std::vector<wire::TeamUsage>& aUsage)
{
  PendingCallbacks callbacks;
  {
    const OrderedLock lock(m_mutex);
    m_limiter.Merge(aVm, aUsage);
    auto& services = m_otherEntries[aVm];
    services.clear();
    for (const auto& usage : aUsage) {
      if (!usage.service().empty()) {
        services[usage.service()] = usage.in_flight();
      }
    }
    UpdateOtherEntries(callbacks);
  }
  RunCallbacks(callbacks);
}

std::vector<wire::TeamUsage>
Traffic::Usage()
{
  const OrderedLock lock(m_mutex);
  auto usage = m_limiter.Usage(m_clock.Now());
  for (const auto& [name, service] : m_services) {
    if (service.m_queue.Running() > 0) {
      auto& serviceUsage = usage.emplace_back();
      serviceUsage.set_service(name);
      serviceUsage.set_in_flight(service.m_queue.Running());
    }
  }
  return usage;
}

void
Traffic::Tick()
{
  PendingCallbacks callbacks;
  {
    const OrderedLock lock(m_mutex);
    for (auto& [name, service] : m_services) {
      CollectCallbacks(service.m_queue.Tick(m_clock.Now()), callbacks);
      SetMetric("siskindeal_waiting_requests",
                service.m_queue.Waiting(),
                { { "service", name } });
    }
  }
  RunCallbacks(callbacks);
}

std::uint64_t
Traffic::RequestAdmission(const RequestInfo& aRequest, AdmissionCallback aDone)
{
  PendingCallbacks callbacks;
  std::uint64_t admissionId = 0;
  {
    const OrderedLock lock(m_mutex);
    const auto now = m_clock.Now();
    admissionId = ++m_lastAdmissionId;
    if (m_suspicions.StateOf(aRequest.m_fingerprint) ==
        SuspicionState::Quarantined) {
      callbacks.emplace_back(std::move(aDone),
                             Error(Reason::Quarantined,
                                   Verdict::NotRun,
                                   "this request has crashed its upstreams"));
    } else if (auto refusal = m_limiter.Admit(aRequest.m_team, now)) {
      callbacks.emplace_back(std::move(aDone), std::move(refusal));
    } else {
      m_pendingAdmissions[admissionId] = std::move(aDone);
      auto& service = FindOrCreate(aRequest.m_service);
      service.m_router.Retries().Request();
      CollectCallbacks(
        service.m_queue.Offer({ admissionId,
                                aRequest.m_team,
                                m_limiter.ConfigOf(aRequest.m_team).m_weight,
                                aRequest.m_priority,
                                aRequest.m_deadline },
                              now),
        callbacks);
    }
  }
  RunCallbacks(callbacks);
  return admissionId;
}

void
Traffic::EndRequest(const std::string& aService, std::uint64_t aAdmissionId)
{
  PendingCallbacks callbacks;
  {
    const OrderedLock lock(m_mutex);
    m_pendingAdmissions.erase(aAdmissionId);
    CollectCallbacks(
      FindOrCreate(aService).m_queue.Finish(aAdmissionId, m_clock.Now()),
      callbacks);
  }
  RunCallbacks(callbacks);
}

std::optional<std::string>
Traffic::Choose(const std::string& aService,
                const RoutingRequest& aRequest,
                std::uint64_t aFingerprint)
{
  const OrderedLock lock(m_mutex);
  auto request = aRequest;
  request.m_place = m_place;
  auto& router = FindOrCreate(aService).m_router;
  if (m_suspicions.StateOf(aFingerprint) == SuspicionState::Suspect) {
    return router.IsolationRunner(aFingerprint, request);
  }
  return router.Choose(request, m_clock.Now());
}

void
Traffic::OnRequestSent(const std::string& aService,
                       const std::string& aVm,
                       std::uint64_t aPrefixHash)
{
  const OrderedLock lock(m_mutex);
  FindOrCreate(aService).m_router.OnRequestSent(
    aVm, aPrefixHash, m_clock.Now());
}

void
Traffic::OnRequestEnded(const std::string& aService,
                        const std::string& aVm,
                        RunnerOutcome aOutcome)
{
  const OrderedLock lock(m_mutex);
  FindOrCreate(aService).m_router.OnRequestEnded(aVm, aOutcome, m_clock.Now());
}

bool
Traffic::TryTakeRetry(const std::string& aService)
{
  const OrderedLock lock(m_mutex);
  return FindOrCreate(aService).m_router.Retries().TryTake();
}

SuspicionState
Traffic::StateOf(std::uint64_t aFingerprint)
{
  const OrderedLock lock(m_mutex);
  return m_suspicions.StateOf(aFingerprint);
}

bool
Traffic::Merge(const wire::Suspicion& aSuspicion)
{
  const OrderedLock lock(m_mutex);
  return m_suspicions.Merge(aSuspicion);
}

std::vector<SuspicionListing>
Traffic::ListSuspicions()
{
  const OrderedLock lock(m_mutex);
  return m_suspicions.List();
}

std::uint64_t
Traffic::SuspicionSequence()
{
  const OrderedLock lock(m_mutex);
  return m_suspicions.Number();
}

std::vector<wire::Suspicion>
Traffic::AllSuspicions()
{
  const OrderedLock lock(m_mutex);
  return m_suspicions.All();
}

std::optional<wire::Suspicion>
Traffic::ReleaseFingerprint(std::uint64_t aFingerprint)
{
  const OrderedLock lock(m_mutex);
  const auto before = m_suspicions.Number();
  if (!m_suspicions.Release(aFingerprint)) {
    return std::nullopt;
  }
  return m_suspicions.ChangedSince(before).front();
}

} // namespace siskindeal

#include "siskindeal/planner_loop.h"

#include "entry/release_cache_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/error.h"
#include "siskindeal/lease.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "siskindeal/planner.h"

#include <nlohmann/json.hpp>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 250 };
constexpr std::chrono::milliseconds kOrderTimeout{ 10000 };
constexpr std::chrono::milliseconds kMaxReleaseAgeWithLease{ 3000 };
constexpr std::chrono::milliseconds kMaxReleaseAgeWithoutLease{ 30000 };
// Manifests up to this size are sent with every fetch order.
constexpr std::size_t kMaxInlineManifestBytes = 64 << 10;

} // namespace

class PlannerLoop::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(const EntrySettings& aSettings,
       NodeClient& aAgents,
       HttpClient& aHttp,
       WorkerPool& aWorkers,
       const Clock& aClock,
       PlannerSources aSources)
    : m_settings(aSettings)
    , m_agents(aAgents)
    , m_workers(aWorkers)
    , m_clock(aClock)
    , m_sources(std::move(aSources))
    , m_releases(std::make_shared<ReleaseCache>(aSettings.m_rollout.m_storeUrl,
                                                aHttp,
                                                aClock))
    , m_planner(aSettings.m_rollout)
  {
  }

  void Tick()
  {
    {
      const OrderedLock lock(m_mutex);
      if (m_stopped) {
        return;
      }
    }
    try {
      Decide();
    } catch (const Error& failure) {
      Log(LogLevel::Error, "planning_failed", { { "what", failure.what() } });
    }
    m_workers.PostAfter(kTickInterval,
                        [self = shared_from_this()] { self->Tick(); });
  }

  void Stop()
  {
    const OrderedLock lock(m_mutex);
    m_stopped = true;
  }

  std::vector<TargetStatus> AllStatus() const
  {
    const OrderedLock lock(m_mutex);
    return m_statuses;
  }

  std::string StateJson() const
  {
    const OrderedLock lock(m_mutex);
    auto targets = nlohmann::json::array();
    for (const auto& status : m_statuses) {
      targets.push_back(nlohmann::json::parse(ToJson(status)));
    }
    return nlohmann::json{
      { "orders_sent", m_ordersSent },
      { "orders_refused", m_ordersRefused },
      { "targets", targets }
    }.dump();
  }

private:
  std::optional<std::uint64_t> TokenOf(const std::string& aService) const
  {
    return m_sources.m_token(
      TargetShard(aService, m_settings.m_lease.m_targetShards));
  }

  void ReadObjects(PlannerInput& aInput) const
  {
    for (const auto& [key, object] : m_sources.m_objects(kTargetPrefix)) {
      try {
        aInput.m_targets.push_back(
          ParseTarget(object.m_value, object.m_version));
      } catch (const Error& failure) {
        Log(LogLevel::Warning,
            "target_refused",
            { { "key", key }, { "what", failure.what() } });
      }
    }
    const std::string prefix = kCataloguePrefix;
    for (const auto& [key, object] : m_sources.m_objects(prefix)) {
      try {
        aInput.m_catalogue[key.substr(prefix.size())] =
          ParseCatalogueEntry(object.m_value);
      } catch (const Error& failure) {
        Log(LogLevel::Warning,
            "catalogue_refused",
            { { "key", key }, { "what", failure.what() } });
      }
    }
  }

  void ReadFleet(PlannerInput& aInput) const
  {
    const auto view = m_sources.m_view();
    if (!view) {
      return;
    }
    for (const auto& [vm, node] : view->m_nodes) {
      if (node.m_record.role() == wire::ROLE_AGENT &&
          node.m_record.liveness() != wire::LIVENESS_LEAVING) {
        aInput.m_vms.push_back(PlannedVmOf(node.m_record));
      }
    }
  }

  // A service is planned only after its releases have been fetched under the
  // current lease, so that a new holder doesn't revert to an outdated release.
  void ReadTokens(PlannerInput& aInput)
  {
    std::map<std::string, std::vector<std::string>> releases;
    for (const auto& target : aInput.m_targets) {
      const auto known = aInput.m_classes.find(target.m_class);
      const auto current = aInput.m_catalogue.find(target.m_class);
      if (known != aInput.m_classes.end() &&
          current != aInput.m_catalogue.end()) {
        releases[known->second.m_service].push_back(current->second.m_release);
      }
    }
    for (const auto& [service, names] : releases) {
      const auto token = TokenOf(service);
      auto& lastToken = m_lastTokens[service];
      if (token != lastToken.first) {
        lastToken = { token, m_clock.Now() };
      }
      bool refreshed = token.has_value();
      for (const auto& name : names) {
        const auto lastFetchEnd = m_releases->LastFetchEnd(name);
        const bool stale = !lastFetchEnd || *lastFetchEnd < lastToken.second;
        refreshed = refreshed && !stale;
        const auto age = token && stale ? std::chrono::milliseconds{ 0 }
                         : token        ? kMaxReleaseAgeWithLease
                                        : kMaxReleaseAgeWithoutLease;
        m_releases->Refresh(name, age);
      }
      if (refreshed) {
        aInput.m_tokens[service] = *token;
      }
    }
    aInput.m_releases = m_releases->KnownReleases();
  }

  void Decide()
  {
    const auto config = m_sources.m_config();
    if (!config) {
      return;
    }
    PlannerInput input;
    for (const auto& [name, work] : config->m_classes) {
      input.m_classes[name] = PlannedClass{ work.m_service, work.m_priority };
    }
    ReadObjects(input);
    ReadFleet(input);
    ReadTokens(input);
    Plan plan;
    {
      const OrderedLock lock(m_mutex);
      plan = m_planner.Decide(input, m_clock.Now(), m_clock.WallNow());
      m_statuses = plan.m_statuses;
    }
    for (auto& order : plan.m_orders) {
      Send(order);
    }
  }

  void Send(PlannedOrder& aOrder)
  {
    auto& request = aOrder.m_request;
    if (request.has_fetch()) {
      auto manifest = m_releases->ManifestOf(request.fetch().digest());
      if (aOrder.m_withManifest || manifest.size() <= kMaxInlineManifestBytes) {
        request.mutable_fetch()->set_manifest(std::move(manifest));
      }
    }
    // Checked last because the lease may have expired while this process was
    // paused.
    const auto token = TokenOf(aOrder.m_service);
    if (!token) {
      return OnOrderFailed(aOrder.m_vm, true, "lease expired");
    }
    request.set_shard(TargetShardName(
      TargetShard(aOrder.m_service, m_settings.m_lease.m_targetShards)));
    request.set_fencing_token(*token);
    request.set_order_id(NewId());
    m_agents.Order(aOrder.m_address,
                   request,
                   kOrderTimeout,
                   [self = shared_from_this(), vm = aOrder.m_vm](
                     const RpcStatus& aStatus, const wire::OrderReply& aReply) {
                     const bool replied = aStatus.m_outcome == RpcOutcome::Ok;
                     if (replied && aReply.accepted()) {
                       const OrderedLock lock(self->m_mutex);
                       ++self->m_ordersSent;
                       return;
                     }
                     const bool noEffect =
                       replied || aStatus.m_outcome == RpcOutcome::NotSent ||
                       aStatus.m_outcome == RpcOutcome::Refused;
                     self->OnOrderFailed(
                       vm, noEffect, replied ? aReply.what() : aStatus.m_what);
                   });
  }

  void OnOrderFailed(const std::string& aVm,
                     bool aNoEffect,
                     const std::string& aWhat)
  {
    Log(LogLevel::Warning,
        "order_failed",
        { { "agent", aVm }, { "what", aWhat } });
    CountMetric("siskindeal_orders_failed_total");
    const OrderedLock lock(m_mutex);
    ++m_ordersRefused;
    m_planner.OnOrderFailed(aVm, aNoEffect);
  }

  const EntrySettings m_settings;
  NodeClient& m_agents;
  WorkerPool& m_workers;
  const Clock& m_clock;
  const PlannerSources m_sources;
  const std::shared_ptr<ReleaseCache> m_releases;
  // The last token of each service and the time it was first seen. Used only
  // by the loop.
  std::map<std::string, std::pair<std::optional<std::uint64_t>, MonotonicTime>>
    m_lastTokens;

  mutable OrderedMutex m_mutex{ LockLevel::Rollout };
  Planner m_planner ABSL_GUARDED_BY(m_mutex);
  std::vector<TargetStatus> m_statuses ABSL_GUARDED_BY(m_mutex);
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
  std::uint64_t m_ordersSent ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint64_t m_ordersRefused ABSL_GUARDED_BY(m_mutex) = 0;
};

PlannerLoop::PlannerLoop(const EntrySettings& aSettings,
                         NodeClient& aAgents,
                         HttpClient& aHttp,
                         WorkerPool& aWorkers,
                         const Clock& aClock,
                         PlannerSources aSources)
  : m_impl(std::make_shared<Impl>(aSettings,
                                  aAgents,
                                  aHttp,
                                  aWorkers,
                                  aClock,
                                  std::move(aSources)))
{
}

PlannerLoop::~PlannerLoop()
{
  m_impl->Stop();
}

void
PlannerLoop::Start()
{
  m_impl->Tick();
}

void
PlannerLoop::Stop()
{
  m_impl->Stop();
}

std::optional<TargetStatus>
PlannerLoop::StatusOf(const std::string& aName) const
{
  for (auto& status : m_impl->AllStatus()) {
    if (status.m_name == aName) {
      return status;
    }
  }
  return std::nullopt;
}

std::vector<TargetStatus>
PlannerLoop::AllStatus() const
{
  return m_impl->AllStatus();
}

std::string
PlannerLoop::StateJson() const
{
  return m_impl->StateJson();
}

} // namespace siskindeal

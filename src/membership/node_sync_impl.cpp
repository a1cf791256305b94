#include "membership/node_sync_p.h"

#include "membership/vm_list_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/error.h"
#include "siskindeal/invariant.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <algorithm>
#include <array>
#include <utility>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{ 100 };
constexpr std::chrono::milliseconds kVmListPeriod{ 1500 };
constexpr std::chrono::milliseconds kFailingAfter{ 3000 };
// After failed reads, other entries watch the platform for this time.
constexpr std::chrono::milliseconds kWatchPauseAfterFailure{ 30000 };

constexpr std::array<const char*, 4> kWatchedPrefixes{
  kConfigPrefix,
  kTargetPrefix,
  kCataloguePrefix,
  kQuarantinePrefix,
};

std::uint64_t
UnixMillis(const Clock& aClock)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aClock.WallNow().time_since_epoch())
      .count());
}

} // namespace

NodeSyncDriver::NodeSyncDriver(const NodeSettings& aNode,
                               const MembershipSettings& aSettings,
                               wire::Role aRole,
                               const std::string& aAddress,
                               NodeSyncPorts aPorts,
                               Platform& aPlatform,
                               const Clock& aClock,
                               NodeSyncHooks aHooks,
                               ProtocolRange aProtocols)
  : m_vm(aNode.m_vm)
  , m_role(aRole)
  , m_protocols(aProtocols)
  , m_ports(std::move(aPorts))
  , m_platform(aPlatform)
  , m_clock(aClock)
  , m_hooks(std::move(aHooks))
  , m_exchange(aNode,
               aSettings,
               aRole,
               aAddress,
               UnixMillis(aClock),
               m_ports.m_seed,
               aProtocols)
  , m_view(std::make_shared<FleetView>())
{
}

void
NodeSyncDriver::Start()
{
  if (m_role == wire::ROLE_ENTRY) {
    for (const auto* prefix : kWatchedPrefixes) {
      m_watchers.push_back(MakeWatcher(prefix));
    }
  }
  TickPeriodically();
}

void
NodeSyncDriver::Stop()
{
  for (const auto& watcher : m_watchers) {
    watcher->Stop();
  }
  m_gate.Close();
}

void
NodeSyncDriver::TickSoon()
{
  m_ports.m_post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Tick();
    }
  });
}

void
NodeSyncDriver::OnExchange(const wire::ExchangeRequest& aRequest,
                           const NodeHandler::Done<wire::ExchangeReply>& aDone)
{
  wire::ExchangeReply reply;
  Exchange::Updates news;
  std::vector<wire::Suspicion> suspicions;
  {
    const OrderedLock lock(m_mutex);
    reply = m_exchange.OnRequest(aRequest, m_clock.Now(), news);
    suspicions = std::exchange(news.m_suspicions, {});
    ApplyUpdates(std::move(news));
  }
  // The hooks run before the reply, because the sender retries a suspected
  // request once it has the reply.
  for (const auto& suspicion : suspicions) {
    if (m_hooks.m_onSuspicion && m_gate.Enter()) {
      RunNotification([&] { m_hooks.m_onSuspicion(suspicion); });
      m_gate.Leave();
    }
  }
  aDone(std::move(reply));
  RunNotifications();
}

void
NodeSyncDriver::OnObjectsRead(const std::vector<PlatformObject>& aObjects)
{
  {
    const OrderedLock lock(m_mutex);
    Exchange::Updates news;
    news.m_objects = m_exchange.ApplyPlatformObjects(aObjects);
    if (news.m_objects.empty()) {
      return;
    }
    ApplyUpdates(std::move(news));
  }
  RunNotifications();
  TickSoon();
}

void
NodeSyncDriver::BroadcastSuspicion(const wire::Suspicion& aSuspicion,
                                   std::chrono::milliseconds aTimeout,
                                   std::function<void(bool)> aDone)
{
  {
    const OrderedLock lock(m_mutex);
    m_exchange.ApplySuspicion(aSuspicion);
    m_broadcasts.push_back({ m_exchange.ChangeCounter(),
                             m_clock.Now() + aTimeout,
                             std::move(aDone) });
  }
  TickSoon();
}

void
NodeSyncDriver::Leave()
{
  {
    const OrderedLock lock(m_mutex);
    m_exchange.Leave();
  }
  TickSoon();
}

std::shared_ptr<const FleetView>
NodeSyncDriver::View()
{
  const OrderedLock lock(m_mutex);
  return m_view;
}

std::uint64_t
NodeSyncDriver::Incarnation()
{
  const OrderedLock lock(m_mutex);
  return m_exchange.Incarnation();
}

std::shared_ptr<const FleetConfig>
NodeSyncDriver::Config()
{
  const OrderedLock lock(m_mutex);
  return m_config;
}

std::map<std::string, PlatformObject>
NodeSyncDriver::Objects(const std::string& aPrefix)
{
  const OrderedLock lock(m_mutex);
  std::map<std::string, PlatformObject> objects;
  for (const auto& [key, version] : m_exchange.Objects().Held(aPrefix)) {
    objects[key] = m_exchange.Objects().Find(key)->m_object;
  }
  return objects;
}

std::shared_ptr<ObjectWatcher>
NodeSyncDriver::MakeWatcher(const std::string& aPrefix)
{
  ObjectWatcher::Hooks hooks;
  hooks.m_held = [weak = weak_from_this(), aPrefix] {
    const auto self = weak.lock();
    if (!self) {
      return std::map<std::string, std::uint64_t>();
    }
    const OrderedLock lock(self->m_mutex);
    return self->m_exchange.Objects().Held(aPrefix);
  };
  hooks.m_unconfirmed = [weak = weak_from_this(), aPrefix] {
    const auto self = weak.lock();
    if (!self) {
      return false;
    }
    const OrderedLock lock(self->m_mutex);
    return self->m_exchange.Objects().HasUnconfirmed(aPrefix);
  };
  hooks.m_onObjects = [weak = weak_from_this()](const auto& aObjects) {
    if (const auto self = weak.lock()) {
      self->OnObjectsRead(aObjects);
    }
  };
  return std::make_shared<ObjectWatcher>(
    m_platform, aPrefix, StableHash(aPrefix, m_ports.m_seed), std::move(hooks));
}

void
NodeSyncDriver::TickPeriodically()
{
  Tick();
  m_ports.m_postAfter(kTickPeriod, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->TickPeriodically();
    }
  });
}

void
NodeSyncDriver::Tick()
{
  if (!m_gate.Enter()) {
    return;
  }
  auto own = m_hooks.m_ownRecord ? m_hooks.m_ownRecord() : wire::NodeRecord();
  auto usage =
    m_hooks.m_ownUsage ? m_hooks.m_ownUsage() : std::vector<wire::TeamUsage>();
  m_gate.Leave();
  const auto now = m_clock.Now();
  std::vector<Exchange::OutgoingExchange> calls;
  bool watch = false;
  {
    const OrderedLock lock(m_mutex);
    own.set_config_version(m_config ? m_config->m_version : 0);
    m_exchange.SetPlatformFailing(PlatformFailing(now));
    m_exchange.SetOwn(std::move(own), std::move(usage), now);
    Exchange::Updates news;
    news.m_nodes = m_exchange.UpdateLiveness(now);
    ApplyUpdates(std::move(news));
    calls = m_exchange.Tick(now);
    watch = m_exchange.ShouldWatch();
    CompleteBroadcasts(now);
  }
  for (auto& call : calls) {
    Call(std::move(call));
  }
  for (const auto& watcher : m_watchers) {
    watcher->Tick(now, watch);
  }
  if (watch) {
    PollVmList(now);
  }
  RunNotifications();
}

void
NodeSyncDriver::PollVmList(MonotonicTime aNow)
{
  {
    const OrderedLock lock(m_mutex);
    if (aNow < m_nextVmListAt) {
      return;
    }
    m_nextVmListAt = aNow + kVmListPeriod;
  }
  m_platform.Vms([weak = weak_from_this()](const VmList& aList) {
    const auto self = weak.lock();
    if (self && aList.m_outcome == PlatformOutcome::Ok) {
      self->OnVmList(aList.m_vms);
    }
  });
}

void
NodeSyncDriver::OnVmList(const std::vector<VmListing>& aVms)
{
  PlatformObject list{ kVmListKey, 1, VmListToJson(aVms), {}, false };
  {
    const OrderedLock lock(m_mutex);
    if (const auto* held = m_exchange.Objects().Find(kVmListKey)) {
      if (held->m_object.m_value == list.m_value) {
        return;
      }
      list.m_version = held->m_object.m_version + 1;
    }
  }
  OnObjectsRead({ list });
}

bool
NodeSyncDriver::PlatformFailing(MonotonicTime aNow)
{
  const bool failing =
    std::any_of(m_watchers.begin(), m_watchers.end(), [](const auto& aOne) {
      return aOne->Failing();
    });
  if (!failing) {
    m_failingSince.reset();
    return aNow < m_failingUntil;
  }
  if (!m_failingSince) {
    m_failingSince = aNow;
  }
  if (aNow - *m_failingSince < kFailingAfter) {
    return false;
  }
  m_failingUntil = aNow + kWatchPauseAfterFailure;
  return true;
}

void
NodeSyncDriver::ApplyUpdates(Exchange::Updates aUpdates)
{
  for (const auto& object : aUpdates.m_objects) {
    ApplyObject(object);
  }
  for (const auto& suspicion : aUpdates.m_suspicions) {
    if (m_hooks.m_onSuspicion) {
      m_notifications.emplace_back(
        [this, suspicion] { m_hooks.m_onSuspicion(suspicion); });
    }
  }
  if (!aUpdates.m_usageFrom.empty() && m_hooks.m_onUsage) {
    m_notifications.emplace_back([this, news = aUpdates] {
      m_hooks.m_onUsage(news.m_usageFrom, news.m_usage);
    });
  }
  if (aUpdates.m_nodes) {
    m_exchange.UpdateLiveness(m_clock.Now());
    m_view = MakeView();
    if (m_hooks.m_onNodes) {
      m_notifications.emplace_back(
        [this, view = m_view] { m_hooks.m_onNodes(view); });
    }
  }
}

void
NodeSyncDriver::ApplyObject(const PlatformObject& aObject)
{
  if (aObject.m_key == kVmListKey) {
    try {
      m_exchange.SetListed(VmListFromJson(aObject.m_value), m_clock.Now());
    } catch (const std::exception& malformed) {
      Log(LogLevel::Warning,
          "vm_list_malformed",
          { { "what", malformed.what() } });
    }
    return;
  }
  if (aObject.m_key == kConfigKey && !aObject.m_deleted) {
    ApplyConfig(aObject);
  }
  if (m_hooks.m_onObject) {
    m_notifications.emplace_back(
      [this, aObject] { m_hooks.m_onObject(aObject); });
  }
}

void
NodeSyncDriver::ApplyConfig(const PlatformObject& aObject)
{
  try {
    auto config = std::make_shared<FleetConfig>(
      ParseFleetConfig(aObject.m_value, aObject.m_version));
    SISKINDEAL_INVARIANT(
      !m_config || config->m_version > m_config->m_version,
      "the version of the active configuration never decreases");
    m_config = std::move(config);
  } catch (const Error& refused) {
    CountMetric("siskindeal_config_refused_total");
    Log(LogLevel::Error,
        "config_refused",
        { { "version", aObject.m_version }, { "what", refused.what() } });
    return;
  }
  SetMetric("siskindeal_config_version",
            static_cast<double>(m_config->m_version));
  if (m_hooks.m_onConfig) {
    m_notifications.emplace_back(
      [this, config = m_config] { m_hooks.m_onConfig(config); });
  }
}

std::shared_ptr<const FleetView>
NodeSyncDriver::MakeView()
{
  auto view = std::make_shared<FleetView>();
  for (const auto& [vm, row] : m_exchange.Table().Rows()) {
    if (row.m_liveness == wire::LIVENESS_GONE) {
      continue;
    }
    auto& node = view->m_nodes[vm];
    node.m_record = row.m_record;
    node.m_record.set_liveness(row.m_liveness);
    node.m_receivedAt = row.m_loadReceivedAt;
  }
  view->m_unreachablePlaces = m_exchange.Table().UnreachablePlaces();
  return view;
}

void
NodeSyncDriver::CompleteBroadcasts(MonotonicTime aNow)
{
  for (auto broadcast = m_broadcasts.begin();
       broadcast != m_broadcasts.end();) {
    const bool all = m_exchange.IsAcknowledged(broadcast->m_number);
    if (!all && aNow < broadcast->m_deadline) {
      ++broadcast;
      continue;
    }
    m_notifications.emplace_back(
      [done = broadcast->m_done, all] { done(all); });
    broadcast = m_broadcasts.erase(broadcast);
  }
}

void
NodeSyncDriver::RunNotifications()
{
  while (true) {
    std::function<void()> notification;
    {
      const OrderedLock lock(m_mutex);
      if (m_notifying || m_notifications.empty()) {
        return;
      }
      m_notifying = true;
      notification = std::move(m_notifications.front());
      m_notifications.pop_front();
    }
    if (m_gate.Enter()) {
      RunNotification(notification);
      m_gate.Leave();
    }
    const OrderedLock lock(m_mutex);
    m_notifying = false;
  }
}

void
NodeSyncDriver::RunNotification(const std::function<void()>& aNotification)
{
  try {
    aNotification();
  } catch (const std::exception& failure) {
    Log(LogLevel::Error, "hook_failed", { { "what", failure.what() } });
  }
}

} // namespace siskindeal

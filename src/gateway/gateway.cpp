#include "gateway/gateway_p.h"

#include "gateway/caller_exchange_p.h"
#include "kernel/contain_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/metrics.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 20 };
constexpr milliseconds kMaxTickDelay{ 100 }; // longer ones are logged
constexpr std::uint32_t kTicksPerHeartbeat = 7;
constexpr std::uint32_t kTicksPerSecond = 50;
// Shorter than kMaxConfigSourceAge, by which other gateways judge this one.
constexpr FeedTiming kConfigFeedTiming{ milliseconds(700), milliseconds(150) };
// Likewise. The pause lets a burst of changes take one call.
constexpr FeedTiming kRunnerFeedTiming{ milliseconds(600), milliseconds(250) };
// The shortest time within which a site requires requests to a removed runner
// to stop. In the worst case it is removed in the pause between two watches and
// the next watch stalls before the list is read again.
constexpr milliseconds kMaxRunnerRemovalDelay{ 2000 };
constexpr milliseconds kMaxStalledWatch{ 1000 };
constexpr milliseconds kStoreResponseTime{ 200 };
static_assert(kRunnerFeedTiming.m_pause * 2 + kMaxStalledWatch +
                kStoreResponseTime <=
              kMaxRunnerRemovalDelay);
// A watch that the store never answers delays a version by its wait for a whole
// region.
constexpr FeedTiming kVersionFeedTiming{ milliseconds(1000),
                                         milliseconds(400) };
// A gateway that may have missed changes of the configuration or of the runners
// for longer is listed only if no other is serving, so that callers move before
// their keys are refused.
constexpr milliseconds kMaxAdvertisedAge{ 3000 };
constexpr FeedTiming kGatewayFeedTiming{ milliseconds(20000),
                                         milliseconds(500) };
// Keys are refused this long before the revocation bound, since a stalled watch
// may miss changes for a second.
constexpr milliseconds kRevokeMargin{ 1300 };
// A draining gateway accepts callers for this many lifetimes of a directory
// answer, since they may have cached its address.
constexpr int kDrainAddressLifetimes = 3;
// Requests that are unfinished this long before the end of the grace period are
// answered, and the process exits before it is killed.
constexpr milliseconds kShutdownReserve{ 300 };
constexpr milliseconds kExitReserve{ 100 };
constexpr double kLogLinesPerSecond = 60;
constexpr double kLogBurst = 200;

std::uint64_t
NewIncarnation()
{
  // Increases with each start on a VM unless its wall clock is set back.
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace

Gateway::Gateway(const GatewaySettings& aSettings, std::string aSettingsFile)
  : m_settings(aSettings)
  , m_settingsFile(std::move(aSettingsFile))
  , m_store(AddressOfUrl(aSettings.m_platform.m_url))
  , m_pool(std::make_shared<ConnectionPool>(m_loop))
  , m_random(StableHash(NewId()))
  , m_named(aSettings.m_gateway.m_versionWithin)
  , m_placer(aSettings.m_node.m_place,
             aSettings.m_gateway.m_regions,
             StableHash(NewId()))
  , m_retries(AllowanceOf(aSettings.m_gateway), LoopNow())
  , m_suspicionStore(m_loop,
                     m_pool,
                     m_store,
                     aSettings.m_platform.m_timeout,
                     m_suspicions,
                     m_random)
  , m_peers(aSettings.m_node.m_vm,
            RegionOf(aSettings.m_gateway.m_regions, aSettings.m_node.m_place))
  , m_region(RegionOf(aSettings.m_gateway.m_regions, aSettings.m_node.m_place))
  , m_incarnation(NewIncarnation())
  , m_logTokens(kLogBurst)
  , m_tickDelay(kTickInterval)
  , m_ticker(m_loop)
  , m_registerTimer(m_loop)
  , m_reloadTimer(m_loop)
  , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
{
  MemoryBudget::Of(m_loop).SetLimit(MessageMemory(m_settings.m_node));
  m_callerListener = std::make_unique<HttpListener>(
    m_loop, m_settings.m_node.m_http, [this](const auto& aConnection) {
      std::make_shared<CallerExchange>(*this, aConnection)->Start();
    });
  m_readyListener = std::make_unique<HttpListener>(
    m_loop, m_settings.m_gateway.m_ready, [this](const auto& aConnection) {
      HandleReady(aConnection);
    });
  m_directoryListener = std::make_unique<HttpListener>(
    m_loop, m_settings.m_gateway.m_directory, [this](const auto& aConnection) {
      HandleDirectory(aConnection);
    });
  m_adminListener = std::make_unique<HttpListener>(
    m_loop, m_settings.m_node.m_rpc, [this](const auto& aConnection) {
      HandleAdmin(aConnection);
    });
  m_datagrams = std::make_unique<DatagramSocket>(
    m_loop,
    m_settings.m_node.m_rpc,
    [this](const v1::Datagram& aDatagram, const Address& aFrom) {
      OnDatagram(aDatagram, aFrom);
    });
}

Gateway::~Gateway() = default;

std::shared_ptr<ObjectFeed>
Gateway::StartFeed(std::string_view aKind,
                   FeedTiming aPace,
                   FeedCallbacks aEvents,
                   bool aActive)
{
  auto feed = std::make_shared<ObjectFeed>(
    m_loop, m_pool, m_store, std::string(aKind), aPace, std::move(aEvents));
  feed->SetActive(aActive);
  feed->Start();
  return feed;
}

void
Gateway::Run()
{
  Log(LogLevel::Info,
      "start",
      { { "callers", m_settings.m_node.m_http.ToString() },
        { "incarnation", m_incarnation } });
  AwaitSignal();
  const auto forEach = [](const auto& aChange) {
    return [aChange](const std::vector<SiteObject>& aObjects) {
      for (const SiteObject& object : aObjects) {
        Contain("store entry", [&] { aChange(object); });
      }
    };
  };
  const auto applyConfig = [this](const SiteObject& aObject) {
    OnStoredConfig(aObject);
  };
  const auto applyGateway = [this](const SiteObject& aObject) {
    OnGateway(aObject);
  };
  const auto publish = [this] {
    RecordConfigKnown(*m_configFeed->KnownUntil());
    PublishConfig();
  };
  const auto onEra = [this](std::uint64_t aEra) { OnStoreEra(aEra); };
  const auto publishRunners = [this] {
    CheckForRunnerOutage(*m_runnerFeed->KnownUntil());
    m_runnerList.Advance(m_runnerFeed->Position().m_revision);
    PublishConfig();
  };
  m_configFeed =
    StartFeed(dialect::kConfigKind,
              kConfigFeedTiming,
              { forEach(applyConfig), applyConfig, [] {}, publish, onEra },
              m_readsStore);
  m_configFollower = std::make_shared<ConfigFollower>(
    m_loop,
    m_pool,
    [this] { return OwnQuestion(); },
    [this](const v1::ConfigReply& aReply,
           milliseconds aKnownUntil,
           const std::string& aPeer) {
      OnConfigReply(aReply, aKnownUntil, aPeer);
    });
  m_runnerFeed =
    StartFeed(dialect::kRunnerKind,
              kRunnerFeedTiming,
              { [this](const auto& aObjects) { OnRunners(aObjects); },
                [this](const SiteObject& aObject) { OnRunner(aObject); },
                [] {},
                publishRunners,
                onEra },
              m_readsStore);
  m_versionFeed = StartFeed(
    dialect::kVersionKind,
    kVersionFeedTiming,
    { forEach([this](const SiteObject& aObject) { OnVersion(aObject); }),
      [this](const SiteObject& aObject) { OnVersion(aObject); },
      [] {},
      [] {},
      onEra },
    m_readsStore);
  StartEvacuationFeed();
  m_gatewayFeed =
    StartFeed(kGatewayKind,
              kGatewayFeedTiming,
              { [this](const auto& aObjects) { OnGateways(aObjects); },
                applyGateway,
                [] {},
                [this] { UpdateGatewayFeed(); } },
              /* aActive */ false);
  for (const Address& entry : m_settings.m_node.m_entries) {
    // Every gateway uses the same datagram port. The list may include this one.
    if (entry.m_host != m_settings.m_node.m_rpc.m_host) {
      m_peers.AddHint({ entry.m_host, m_settings.m_node.m_rpc.m_port });
    }
  }
  Register();
  RunEvery(m_ticker, kTickInterval, [this] { Tick(); });
  RunLoop(m_loop);
  Log(LogLevel::Info,
      "stop",
      { { "reason", m_drainingSince ? "asked to leave" : "no work left" },
        { "exchanges", m_exchanges.size() },
        { "connections", m_callerListener->Connections() },
        { "config_calls", m_configFeed->Calls() },
        { "runner_calls", m_runnerFeed->Calls() },
        { "version_calls", m_versionFeed->Calls() },
        { "gateway_calls", m_gatewayFeed->Calls() } });
}

// A step that fails must not keep the gateway from stopping.
void
Gateway::Tick()
{
  Contain("tick", [this] { RunPeriodicTasks(LoopNow()); });
  ++m_ticks;
  MaybeStop();
}

void
Gateway::RunPeriodicTasks(MonotonicTime aNow)
{
  const milliseconds delay = m_tickDelay.Record(aNow);
  if (delay > kMaxTickDelay) {
    CountMetric("siskindeal_gateway_delayed_ticks_total");
    LogRequest(
      LogLevel::Warning,
      "event loop delayed",
      { { "delay_ms", delay.count() }, { "exchanges", m_exchanges.size() } });
  }
  m_versionFeed->RecordAlive();
  m_runnerOutage.RecordAlive(BootTime());
  m_suspicionStore.Tick(aNow, m_readsStore);
  RecordRestarts();
  const auto exchanges = m_exchanges;
  for (const auto& exchange : exchanges) {
    exchange->Tick(aNow);
  }
  m_logTokens = std::min(
    kLogBurst,
    m_logTokens + kLogLinesPerSecond *
                    std::chrono::duration<double>(kTickInterval).count());
  ApplyPeerLoads();
  if (m_ticks % kTicksPerHeartbeat == 0) {
    UpdateLimits();
    UpdateColdRunners();
    UpdateNotices();
    UpdateAdmission();
    UpdateConfigSources();
    m_configServer.Tick();
    LogDueVersions();
    m_placer.SetPeers(m_peers.ServingInRegion(aNow) + 1,
                      kTickInterval * TicksPerLoadReport());
    const bool includeVersions = m_ticks % kTicksPerSecond < kTicksPerHeartbeat;
    Advertise(includeVersions);
    UpdateLinkDelays();
    LogLinkDelays();
  } else {
    SendLoadChanges();
  }
  if (m_ticks % kTicksPerSecond == 0) {
    SetMetric("siskindeal_message_bytes",
              static_cast<double>(MemoryBudget::Of(m_loop).Held()));
    SendToStagers();
    LogDatagrams();
    UpdateGatewayFeed();
    UpdateGatewayCount();
    m_runners.Sweep(aNow);
    SweepEvacuations();
    std::erase_if(m_runnerReports, [&](const auto& aEntry) {
      return m_runners.Find(aEntry.first) == nullptr;
    });
    m_pool->Sweep();
    if (m_logDropped > 0) {
      Log(
        LogLevel::Warning, "log lines dropped", { { "lines", m_logDropped } });
      m_logDropped = 0;
    }
  }
}

bool
Gateway::AcceptsCallers() const
{
  return m_routes && m_haveRunnerList && KnowsGatewayCount() &&
         KnowsEvacuations() && KnowsSuspicions() && !m_drainingSince;
}

bool
Gateway::KnowsSuspicions() const
{
  // What the other gateways know arrives by datagram in the meantime.
  constexpr milliseconds kMaxWait{ 1000 };
  return m_suspicionStore.IsRead() ||
         (m_firstConfigAt && LoopNow() - *m_firstConfigAt > kMaxWait);
}

bool
Gateway::ConfigIsFresh() const
{
  return m_configKnownUntil.has_value() &&
         ConfigAge() <= m_settings.m_gateway.m_revokeWithin - kRevokeMargin;
}

bool
Gateway::IsAdvertised() const
{
  const auto runnersKnown = m_runnerFeed->KnownUntil();
  return AcceptsCallers() && ConfigAge() <= kMaxAdvertisedAge && runnersKnown &&
         BootTime() - *runnersKnown <= kMaxAdvertisedAge &&
         !ConfigIsSuperseded();
}

milliseconds
Gateway::ConfigAge() const
{
  return m_configKnownUntil ? BootTime() - *m_configKnownUntil
                            : milliseconds(-1);
}

bool
Gateway::IsQuarantined(std::uint64_t aFingerprint) const
{
  if (!m_suspicions.IsQuarantined(aFingerprint)) {
    return false;
  }
  const MonotonicTime now = LoopNow();
  // One gateway tries it, so that it crashes one runner at most.
  const bool mayTry = IsAdvertised() &&
                      m_peers.RankFor(aFingerprint, now) == 0 &&
                      m_suspicions.IsTrialDue(aFingerprint, now);
  return !mayTry;
}

PartDecision
Gateway::DecideParts(const std::vector<PromptPart>& aParts) const
{
  const MonotonicTime now = LoopNow();
  // One gateway tries a suspected part, so that few runners are lost to it.
  const auto mayTry = [&](PromptPart aPart) {
    return IsAdvertised() && m_peers.RankFor(aPart, now) == 0;
  };
  return m_suspicions.DecideParts(aParts, mayTry, now);
}

bool
Gateway::HasEnded(const RunnerIncarnation& aRunner) const
{
  return m_crashes.HasCrashed(aRunner) || m_runners.IsReplaced(aRunner);
}

void
Gateway::RecordRestarts()
{
  for (const RunnerIncarnation& former : m_runners.TakeReplacedStarts()) {
    for (const auto& exchange : m_exchanges) {
      exchange->RecordSilence(former);
    }
    m_crashes.OnRestart(former);
  }
}

void
Gateway::Add(const std::shared_ptr<CallerExchange>& aExchange)
{
  m_exchanges.insert(aExchange);
}

void
Gateway::Remove(const std::shared_ptr<CallerExchange>& aExchange)
{
  m_exchanges.erase(aExchange);
}

void
Gateway::LogRequest(LogLevel aLevel,
                    std::string_view aEvent,
                    std::initializer_list<LogField> aFields)
{
  if (m_logTokens < 1) {
    ++m_logDropped;
    return;
  }
  m_logTokens -= 1;
  Log(aLevel, aEvent, aFields);
}

void
Gateway::StartDrain()
{
  if (m_drainingSince) {
    return;
  }
  m_drainingSince = LoopNow();
  // Counted from the signal by the settings of that moment, whatever a reload
  // says later.
  m_gracePeriod =
    std::chrono::duration<double>(m_settings.m_gateway.m_graceSeconds);
  Log(LogLevel::Info, "leaving", { { "exchanges", m_exchanges.size() } });
  m_callerListener->AnnounceClose();
  Advertise(true);
}

void
Gateway::RequestShutdown()
{
  boost::asio::post(m_loop, [this] { StartDrain(); });
}

void
Gateway::MaybeStop()
{
  if (!m_drainingSince) {
    return;
  }
  const bool isOver = UntilShutdown() < milliseconds(0);
  if (AddressMayBeCached() && !isOver) {
    return;
  }
  m_callerListener->Stop();
  m_callerListener->CloseIdle();
  if (isOver) {
    EndUnfinished();
  }
  const bool idle = m_exchanges.empty() && m_callerListener->Connections() == 0;
  const auto since = LoopNow() - *m_drainingSince;
  if (idle || since > m_gracePeriod - kExitReserve) {
    m_callerListener->RecordShutdown();
    m_loop.stop();
  }
}

milliseconds
Gateway::UntilShutdown() const
{
  return std::chrono::duration_cast<milliseconds>(
    *m_drainingSince + m_gracePeriod - kShutdownReserve - LoopNow());
}

bool
Gateway::AddressMayBeCached() const
{
  return LoopNow() - *m_drainingSince <
         m_settings.m_gateway.m_answerLifetime * kDrainAddressLifetimes;
}

bool
Gateway::CompletesBeforeStop(const std::string& aRoute,
                             milliseconds aUntilDeadline) const
{
  if (!m_drainingSince) {
    return true;
  }
  // A request may take longer than all that were seen. Once callers have other
  // addresses, a refusal costs them less than that risk.
  const auto longest =
    AddressMayBeCached() ? m_durations.Longest(aRoute) : std::nullopt;
  return CompletesBeforeExit(UntilShutdown(), aUntilDeadline, longest);
}

void
Gateway::EndUnfinished()
{
  const auto exchanges = m_exchanges;
  for (const auto& exchange : exchanges) {
    exchange->Expire("gateway is shutting down");
  }
  m_callerListener->RefuseIncomplete(kServiceUnavailable, "shutting down");
}

} // namespace siskindeal

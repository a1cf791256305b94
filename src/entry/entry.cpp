#include "entry_p.h"

#include "net/memory_budget_p.h"
#include "node/answer_p.h"
#include "node/process_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/platform_client.h"

#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace siskindeal {

namespace {

constexpr std::size_t kWorkerThreads = 4;
constexpr std::chrono::milliseconds kDrainPollInterval{ 20 };
// For callers to take the responses that are sent at the end of a drain.
constexpr std::chrono::milliseconds kLastResponseTimeout{ 500 };
constexpr std::chrono::milliseconds kUnavailableRetryAfter{ 1000 };
constexpr std::chrono::milliseconds kLeaseReleaseTimeout{ 2000 };
constexpr std::chrono::milliseconds kTickInterval{ 20 };
// Maximum time a retry waits for the other entries to receive the suspicion.
constexpr std::chrono::milliseconds kSuspicionBroadcastTimeout{ 300 };
constexpr std::size_t kMaxAdvertisedEntries = 16;

HttpServerLimits
MakeServerLimits(const EntrySettings& aSettings)
{
  HttpServerLimits limits;
  limits.m_bodyBytes = aSettings.m_http.m_bodyBytes;
  limits.m_headerBytes = aSettings.m_http.m_headerBytes;
  limits.m_connections = aSettings.m_http.m_connections;
  limits.m_messageBytes = MessageMemory(aSettings.m_node) / 2;
  return limits;
}

} // namespace

EntryNode::EntryNode(const EntrySettings& aSettings)
  : m_settings(aSettings)
  , m_pool(kWorkerThreads)
  , m_client(aSettings.m_auth, aSettings.m_node.m_vm)
  , m_platform(MakeHttpPlatform(aSettings.m_platform, m_http, m_pool, m_clock))
{
  m_http.LimitMessages(MessageMemory(m_settings.m_node) / 2);
  m_traffic = std::make_shared<Traffic>(m_settings.m_routing,
                                        m_settings.m_admission,
                                        m_settings.m_node.m_place,
                                        m_clock,
                                        StableHash(m_settings.m_node.m_vm));
  MakeQuarantineKeeper();
  m_forwarder = std::make_shared<Forwarder>(ForwarderContext{
    m_client,
    m_clock,
    [this] { return m_sync->View(); },
    m_settings.m_routing,
    m_settings.m_http.m_streams,
    m_traffic,
    [this](const wire::Suspicion& aSuspicion, std::function<void()> aDone) {
      m_sync->BroadcastSuspicion(aSuspicion,
                                 kSuspicionBroadcastTimeout,
                                 [done = std::move(aDone)](bool) { done(); });
    } });
  m_callerApi = std::make_unique<CallerApi>(CallerApiContext{
    [this] { return Config(); },
    [this] { return EntriesJson(); },
    [this](CallerRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
      m_forwarder->Forward(std::move(aRequest), std::move(aResponder));
    },
    m_settings.m_http });

  m_server = std::make_unique<NodeServer>(
    m_settings.m_node.m_rpc, m_settings.m_auth, *this);
  const auto own = AdvertisedAddress(m_settings.m_node, m_server->Port());
  // The first node record that is sent contains the HTTP port.
  m_httpServer = std::make_unique<HttpServer>(
    m_settings.m_node.m_http.m_host,
    m_settings.m_node.m_http.m_port,
    MakeServerLimits(m_settings),
    [this](const HttpRequest& aRequest,
           const std::shared_ptr<HttpResponder>& aResponder) {
      HandleHttp(aRequest, aResponder);
    });
  NodeSyncHooks hooks;
  hooks.m_ownRecord = [this] { return OwnRecord(); };
  hooks.m_onNodes = [this](const std::shared_ptr<const FleetView>& aView) {
    m_traffic->OnNodes(*aView);
  };
  hooks.m_onConfig = [this](const std::shared_ptr<const FleetConfig>& aConfig) {
    m_traffic->OnConfig(*aConfig);
  };
  hooks.m_onSuspicion = [this](const wire::Suspicion& aSuspicion) {
    m_traffic->Merge(aSuspicion);
  };
  hooks.m_onObject = [this](const PlatformObject& aObject) {
    if (aObject.m_key.starts_with(kQuarantinePrefix)) {
      m_quarantine->OnObject(aObject);
    }
  };
  hooks.m_ownUsage = [this] { return m_traffic->Usage(); };
  hooks.m_onUsage = [this](const std::string& aVm,
                           const std::vector<wire::TeamUsage>& aUsage) {
    m_traffic->OnUsage(aVm, aUsage);
  };
  m_sync = std::make_unique<NodeSync>(m_settings.m_node,
                                      m_settings.m_membership,
                                      wire::ROLE_ENTRY,
                                      own.ToString(),
                                      m_client,
                                      *m_platform,
                                      m_pool,
                                      m_clock,
                                      std::move(hooks));
  MakePlanner();
  m_operators = std::make_unique<OperatorApi>(
    *m_platform, m_clock, m_settings.m_auth, MakeOperatorView());
  m_started.store(true);
  m_sync->Start();
  m_leases->Start();
  m_planner->Start();
  m_pool.Every(kTickInterval, [this] {
    m_traffic->Tick();
    m_quarantine->Tick(m_clock.Now());
  });
  StartMemoryTrimming(m_pool);
  Log(LogLevel::Info,
      "listening",
      { { "rpc_port", m_server->Port() },
        { "http_port", m_httpServer->Port() } });
}

EntryNode::~EntryNode()
{
  m_server->Shutdown(std::chrono::milliseconds(0));
  m_planner->Stop();
  m_quarantine->Stop();
  m_pool.Stop();
  m_httpServer.reset();
  // Callbacks of calls in progress use the members that are destroyed next.
  m_http.Stop();
  m_client.Stop();
}

void
EntryNode::MakeQuarantineKeeper()
{
  QuarantineKeeper::Hooks hooks;
  hooks.m_number = [this] { return m_traffic->SuspicionSequence(); };
  hooks.m_all = [this] { return m_traffic->AllSuspicions(); };
  hooks.m_stateOf = [this](std::uint64_t aFingerprint) {
    return m_traffic->StateOf(aFingerprint);
  };
  hooks.m_merge = [this](const wire::Suspicion& aSuspicion) {
    m_traffic->Merge(aSuspicion);
  };
  hooks.m_onStored = [this](const PlatformObject& aObject) {
    m_sync->ApplyObject(aObject);
  };
  m_quarantine = std::make_shared<QuarantineKeeper>(
    *m_platform, StableHash(m_settings.m_node.m_vm, 1), std::move(hooks));
}

void
EntryNode::MakePlanner()
{
  m_leases = std::make_unique<LeaseKeeper>(m_settings.m_node.m_vm,
                                           m_settings.m_lease,
                                           *m_platform,
                                           m_pool,
                                           m_clock,
                                           [this] { return m_sync->View(); });
  PlannerSources sources;
  sources.m_view = [this] { return m_sync->View(); };
  sources.m_config = [this] { return m_sync->Config(); };
  sources.m_objects = [this](const std::string& aPrefix) {
    return m_sync->Objects(aPrefix);
  };
  sources.m_token = [this](std::uint32_t aShard) {
    return m_leases->Token(aShard);
  };
  m_planner = std::make_unique<PlannerLoop>(
    m_settings, m_client, m_http, m_pool, m_clock, std::move(sources));
}

// Releases the leases so that another entry can take over planning immediately.
void
EntryNode::StopPlanning()
{
  m_planner->Stop();
  const auto released = std::make_shared<absl::Notification>();
  m_leases->Release([released] { released->Notify(); });
  released->WaitForNotificationWithTimeout(
    absl::FromChrono(kLeaseReleaseTimeout));
}

void
EntryNode::Drain()
{
  Log(LogLevel::Info, "draining", { { "in_flight", m_forwarder->InFlight() } });
  const auto startedAt = m_clock.Now();
  m_leaving.store(true);
  m_sync->Leave();
  StopPlanning();
  std::this_thread::sleep_for(m_settings.m_routing.m_answerLifetime);
  m_rejecting.store(true);
  while (m_httpServer->InFlight() > 0 &&
         m_clock.Now() - startedAt < m_settings.m_drain.m_longest) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  m_httpServer->StopListening();
  Log(LogLevel::Info, "drained", { { "cut_off", m_httpServer->InFlight() } });
  EndUnfinished();
}

void
EntryNode::EndUnfinished()
{
  m_httpServer->EndUnfinished("this entry is stopping");
  const auto end = m_clock.Now() + kLastResponseTimeout;
  while (m_httpServer->InFlight() > 0 && m_clock.Now() < end) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

wire::NodeRecord
EntryNode::OwnRecord() const
{
  wire::NodeRecord record;
  record.set_vm(m_settings.m_node.m_vm);
  record.set_place(m_settings.m_node.m_place);
  record.set_role(wire::ROLE_ENTRY);
  record.set_http_address(
    Address{ m_settings.m_node.m_http.m_host, m_httpServer->Port() }
      .ToString());
  record.mutable_load()->set_running(
    static_cast<std::uint32_t>(m_forwarder->InFlight()));
  return record;
}

std::shared_ptr<const FleetConfig>
EntryNode::Config() const
{
  auto config = m_started.load() ? m_sync->Config() : nullptr;
  if (!config) {
    throw Error(Reason::Unavailable,
                Verdict::NotRun,
                "no configuration is known yet",
                kUnavailableRetryAfter);
  }
  return config;
}

OperatorView
EntryNode::MakeOperatorView()
{
  OperatorView view;
  view.m_statusOf = [this](const std::string& aName) {
    return m_planner->StatusOf(aName);
  };
  view.m_allStatus = [this] { return m_planner->AllStatus(); };
  view.m_targets = [this] {
    std::vector<TargetSpec> targets;
    for (const auto& [key, object] : m_sync->Objects(kTargetPrefix)) {
      targets.push_back(ParseTarget(object.m_value, object.m_version));
    }
    return targets;
  };
  view.m_configInForce = [this] {
    std::vector<ConfigInForce> rows;
    for (const auto& [vm, node] : m_sync->View()->m_nodes) {
      rows.push_back(
        { vm,
          node.m_record.place(),
          node.m_record.config_version(),
          node.m_record.liveness() != wire::LIVENESS_UNREACHABLE });
    }
    return rows;
  };
  view.m_quarantine = [this] {
    std::vector<QuarantineEntry> rows;
    for (const auto& listing : m_traffic->ListSuspicions()) {
      rows.push_back({ listing.m_fingerprint,
                       listing.m_classOfWork,
                       listing.m_crashes,
                       listing.m_state == SuspicionState::Quarantined });
    }
    return rows;
  };
  view.m_release = [this](std::uint64_t aFingerprint) {
    const auto released = m_traffic->ReleaseFingerprint(aFingerprint);
    if (released) {
      m_sync->BroadcastSuspicion(
        *released, kSuspicionBroadcastTimeout, [](bool) {});
    }
    return released.has_value();
  };
  view.m_checkConfig = [](const std::string& aJson) {
    ParseFleetConfig(aJson, 0);
  };
  view.m_checkClass = [this](const std::string& aClass) {
    if (Config()->m_classes.count(aClass) == 0) {
      throw Error(Reason::BadRequest,
                  Verdict::NotRun,
                  "unknown class of work \"" + aClass + "\"");
    }
  };
  return view;
}

// Lists the entries that callers may use. Draining entries are excluded.
std::string
EntryNode::EntriesJson()
{
  std::vector<EntryView> views;
  for (const auto& [vm, node] : m_sync->View()->m_nodes) {
    const auto& record = node.m_record;
    if (record.role() == wire::ROLE_ENTRY) {
      views.push_back({ vm,
                        record.place(),
                        record.http_address(),
                        record.liveness() == wire::LIVENESS_LEAVING ||
                          (vm == m_settings.m_node.m_vm && m_leaving.load()),
                        record.liveness() == wire::LIVENESS_ALIVE,
                        record.load().running() });
    }
  }
  nlohmann::json entries = nlohmann::json::array();
  Random random(StableHash(NewId()));
  for (const auto& entry : RankEntries(
         views, m_settings.m_node.m_place, kMaxAdvertisedEntries, random)) {
    entries.push_back(
      { { "address", entry.m_httpAddress }, { "place", entry.m_place } });
  }
  return nlohmann::json{
    { "entries", entries },
    { "lifetime_ms", m_settings.m_routing.m_answerLifetime.count() }
  }.dump();
}

std::string
EntryNode::NotReadyReason() const
{
  if (m_leaving.load()) {
    return "draining";
  }
  return m_started.load() && m_sync->Config() ? ""
                                              : "no configuration received yet";
}

void
EntryNode::HandleHttp(const HttpRequest& aRequest,
                      const std::shared_ptr<HttpResponder>& aResponder)
{
  const ProcessPages pages{ [this] { return NotReadyReason(); },
                            [this] { return StateJson(); } };
  if (ServeProcessPage(aRequest, *aResponder, m_settings.m_auth, pages)) {
    return;
  }
  if (m_started.load() && OperatorApi::Handles(aRequest.m_path)) {
    m_operators->Handle(aRequest, aResponder);
    return;
  }
  if (m_rejecting.load()) {
    RejectWhileDraining(*aResponder);
    return;
  }
  m_callerApi->Handle(aRequest, aResponder);
}

void
EntryNode::RejectWhileDraining(HttpResponder& aResponder)
{
  RespondError(
    aResponder,
    { Reason::Draining,
      Verdict::NotRun,
      "this entry is draining; use another entry",
      kUnavailableRetryAfter },
    { { "x-siskindeal-entries", EntriesJson() }, { "connection", "close" } });
}

wire::GreetReply
EntryNode::OnGreet(const wire::GreetRequest&)
{
  wire::GreetReply reply;
  reply.set_release(SISKINDEAL_VERSION);
  reply.set_vm(m_settings.m_node.m_vm);
  reply.set_role(wire::ROLE_ENTRY);
  reply.set_incarnation(m_started.load() ? m_sync->Incarnation() : 0);
  return reply;
}

void
EntryNode::OnExchange(const wire::ExchangeRequest& aRequest,
                      Done<wire::ExchangeReply> aDone)
{
  if (!m_started.load()) {
    aDone({});
    return;
  }
  m_sync->OnExchange(aRequest, aDone);
}

std::string
EntryNode::StateJson()
{
  nlohmann::json state = {
    { "role", "entry" },
    { "vm", m_settings.m_node.m_vm },
    { "place", m_settings.m_node.m_place },
    { "release", SISKINDEAL_VERSION },
    { "leaving", m_leaving.load() },
    { "in_flight", m_forwarder->InFlight() },
    { "queued_tasks", m_pool.Queued() },
  };
  if (m_started.load()) {
    state["sync"] = nlohmann::json::parse(m_sync->StateJson());
    state["planner"] = nlohmann::json::parse(m_planner->StateJson());
    state["leases"] = m_leases->Held();
  }
  return state.dump();
}

} // namespace siskindeal

#include "agent_p.h"

#include "net/memory_budget_p.h"
#include "node/answer_p.h"
#include "node/process_p.h"
#include "quarantine/quarantine_keeper_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/platform_client.h"
#include "upstream_reports_p.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace siskindeal {

namespace {

constexpr std::size_t kWorkerThreads = 2;
constexpr std::size_t kMaxHttpConnections = 32;
constexpr std::size_t kMaxCacheEvents = 64; // buffered for the next exchange
constexpr int kHttpOk = 200;
constexpr std::chrono::milliseconds kUpstreamPollTimeout{ 1000 };
constexpr std::chrono::milliseconds kDrainPollInterval{ 20 };
constexpr std::chrono::milliseconds kSuspicionPropagationTimeout{ 1000 };
// Time for the final events of finished responses to be sent at shutdown.
constexpr std::chrono::milliseconds kShutdownTimeout{ 1000 };
// Time to accept requests that were sent before the VM announced its leave.
constexpr std::chrono::milliseconds kLeaveGracePeriod{ 2000 };

// Increases with each process start as long as the wall clock is not set back.
std::uint64_t
NewIncarnation(const Clock& aClock)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      aClock.WallNow().time_since_epoch())
      .count());
}

} // namespace

AgentNode::AgentNode(const AgentSettings& aSettings)
  : m_settings(aSettings)
  , m_incarnation(NewIncarnation(m_clock))
  , m_pool(kWorkerThreads)
  , m_client(aSettings.m_auth, aSettings.m_node.m_vm)
  , m_platform(MakeHttpPlatform(aSettings.m_platform, m_http, m_pool, m_clock))
{
  m_http.LimitMessages(MessageMemory(m_settings.m_node) / 2);
  if (IsModel()) {
    m_weights = std::make_unique<WeightsAgent>(
      m_settings, MakeWeightsIo(m_http, m_client, m_pool), m_clock);
  }
  RunHooks runHooks;
  runHooks.m_acquireWeights = [this](const std::string& aDigest) {
    return m_weights->Acquire(aDigest);
  };
  runHooks.m_recordRequestBytes = [this](std::uint64_t aBytes) {
    if (m_weights) {
      m_weights->RecordRequestBytes(aBytes);
    }
  };
  runHooks.m_onWeightsLost = [this] { m_weights->Recover(); };
  if (!m_settings.m_upstream.m_acceptsIdempotencyKey) {
    m_claims = std::make_shared<ClaimLog>(m_settings.m_upstream.m_service,
                                          m_settings.m_node.m_vm,
                                          m_settings.m_claims,
                                          *m_platform,
                                          m_pool,
                                          m_clock);
    runHooks.m_claims = m_claims;
  }
  runHooks.m_publishSuspicion = [this](const wire::Suspicion& aSuspicion) {
    if (m_started.load()) {
      m_sync->BroadcastSuspicion(
        aSuspicion, kSuspicionPropagationTimeout, [](bool) {});
    }
  };
  m_runs = std::make_shared<RunService>(m_settings.m_upstream,
                                        m_http,
                                        m_clock,
                                        m_settings.m_node.m_vm,
                                        m_incarnation,
                                        std::move(runHooks));

  m_server = std::make_unique<NodeServer>(
    m_settings.m_node.m_rpc, m_settings.m_auth, *this);
  NodeSyncHooks hooks;
  hooks.m_ownRecord = [this] { return OwnRecord(); };
  hooks.m_onNodes = [this](const std::shared_ptr<const FleetView>& aView) {
    OnNodes(*aView);
  };
  hooks.m_onSuspicion = [this](const wire::Suspicion& aSuspicion) {
    m_runs->Merge(aSuspicion);
  };
  hooks.m_onObject = [this](const PlatformObject& aObject) {
    const bool isQuarantine = aObject.m_key.starts_with(kQuarantinePrefix);
    if (const auto value = isQuarantine ? ParseQuarantine(aObject.m_value)
                                        : std::optional<wire::Suspicion>()) {
      m_runs->Merge(*value);
    }
  };
  const auto advertised =
    AdvertisedAddress(m_settings.m_node, m_server->Port());
  m_sync = std::make_unique<NodeSync>(m_settings.m_node,
                                      m_settings.m_membership,
                                      wire::ROLE_AGENT,
                                      advertised.ToString(),
                                      m_client,
                                      *m_platform,
                                      m_pool,
                                      m_clock,
                                      std::move(hooks));
  m_started.store(true);
  if (m_weights) {
    m_weights->Recover();
  }
  HttpServerLimits limits;
  limits.m_connections = kMaxHttpConnections;
  limits.m_messageBytes = MessageMemory(m_settings.m_node) / 2;
  m_httpServer = std::make_unique<HttpServer>(
    m_settings.m_node.m_http.m_host,
    m_settings.m_node.m_http.m_port,
    limits,
    [this](const HttpRequest& aRequest,
           const std::shared_ptr<HttpResponder>& aResponder) {
      HandleHttp(aRequest, *aResponder);
    });
  m_sync->Start();
  m_pool.Every(m_settings.m_upstream.m_loadPeriod, [this] { PollUpstream(); });
  StartMemoryTrimming(m_pool);
  Log(LogLevel::Info,
      "listening",
      { { "rpc_port", m_server->Port() },
        { "http_port", m_httpServer->Port() } });
}

AgentNode::~AgentNode()
{
  m_server->Shutdown(kShutdownTimeout);
  if (m_weights) {
    m_weights->Stop();
  }
  m_pool.Stop();
  m_httpServer.reset();
  // Callbacks of calls in progress use the members that are destroyed next.
  m_http.Stop();
  m_client.Stop();
}

bool
AgentNode::IsModel() const
{
  return m_settings.m_upstream.m_kind == UpstreamSettings::Kind::Model;
}

void
AgentNode::Drain()
{
  Log(LogLevel::Info, "draining", { { "in_flight", m_runs->InFlight() } });
  const auto start = m_clock.Now();
  m_draining.store(true);
  m_sync->Leave();
  std::this_thread::sleep_for(kLeaveGracePeriod);
  m_runs->BeginDrain();
  while (m_runs->InFlight() > 0 &&
         m_clock.Now() - start < m_settings.m_drain.m_longest) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  Log(LogLevel::Info, "drained", { { "cut_off", m_runs->InFlight() } });
}

wire::NodeRecord
AgentNode::OwnRecord()
{
  wire::NodeRecord record;
  record.set_vm(m_settings.m_node.m_vm);
  record.set_place(m_settings.m_node.m_place);
  record.set_role(wire::ROLE_AGENT);
  record.set_service(m_settings.m_upstream.m_service);
  if (m_weights) {
    m_weights->FillRecord(record);
  }
  const OrderedLock lock(m_mutex);
  record.set_upstream_down(!m_upstream.IsUp());
  if (m_load) {
    *record.mutable_load() = *m_load;
  }
  for (const auto& event : m_cacheEvents) {
    *record.add_cache_events() = event;
  }
  return record;
}

// Distributes the claim shards among the live agents of this service.
void
AgentNode::OnNodes(const FleetView& aView)
{
  if (!m_claims) {
    return;
  }
  std::vector<std::string> agents;
  for (const auto& [vm, node] : aView.m_nodes) {
    if (node.m_record.role() == wire::ROLE_AGENT &&
        node.m_record.service() == m_settings.m_upstream.m_service &&
        node.m_record.liveness() == wire::LIVENESS_ALIVE) {
      agents.push_back(vm);
    }
  }
  m_claims->SetAgents(agents);
}

// Polls the upstream's load. Any response means that the upstream is up.
void
AgentNode::PollUpstream()
{
  {
    const OrderedLock lock(m_mutex);
    if (!m_upstream.TryBeginPoll()) {
      return;
    }
  }
  HttpClientRequest request;
  request.m_url =
    m_settings.m_upstream.m_url + (IsModel() ? "/engine/load" : "/load");
  request.m_timeout = kUpstreamPollTimeout;
  m_http.Start(std::move(request),
               [this](const HttpReply& aReply) { OnLoadReply(aReply); });
  if (IsModel()) {
    PollCacheEvents();
  }
}

void
AgentNode::OnLoadReply(const HttpReply& aReply)
{
  const bool answered = aReply.m_outcome == HttpOutcome::Answered;
  const auto load = answered && aReply.m_status == kHttpOk
                      ? ParseLoad(aReply.m_body, m_settings.m_upstream.m_slots)
                      : std::nullopt;
  const bool restarted = m_runs->RecordInstance(aReply.m_headers);
  bool changed = false;
  bool up = false;
  {
    const OrderedLock lock(m_mutex);
    changed = m_upstream.OnPolled(aReply);
    up = m_upstream.IsUp();
    m_load = load;
  }
  if (restarted && !changed && m_weights) {
    m_weights->Recover();
  }
  if (!changed) {
    return;
  }
  Log(up ? LogLevel::Info : LogLevel::Warning,
      up ? "upstream_up" : "upstream_down",
      { { "service", m_settings.m_upstream.m_service } });
  m_sync->RefreshOwnRecord();
  if (up && m_weights) {
    m_weights->Recover();
  }
}

void
AgentNode::PollCacheEvents()
{
  std::uint64_t after = 0;
  {
    const OrderedLock lock(m_mutex);
    after = m_lastCacheEvent;
  }
  HttpClientRequest request;
  request.m_url = m_settings.m_upstream.m_url +
                  "/engine/cache-events?after=" + std::to_string(after);
  request.m_timeout = kUpstreamPollTimeout;
  m_http.Start(std::move(request), [this](const HttpReply& aReply) {
    if (aReply.m_status != kHttpOk) {
      return;
    }
    const auto events = ParseCacheEvents(aReply.m_body);
    const OrderedLock lock(m_mutex);
    for (const auto& event : events) {
      m_lastCacheEvent = std::max(m_lastCacheEvent, event.sequence());
      m_cacheEvents.push_back(event);
      if (m_cacheEvents.size() > kMaxCacheEvents) {
        m_cacheEvents.pop_front();
      }
    }
  });
}

wire::GreetReply
AgentNode::OnGreet(const wire::GreetRequest&)
{
  wire::GreetReply reply;
  reply.set_release(SISKINDEAL_VERSION);
  reply.set_vm(m_settings.m_node.m_vm);
  reply.set_role(wire::ROLE_AGENT);
  reply.set_incarnation(m_started.load() ? m_sync->Incarnation() : 0);
  return reply;
}

void
AgentNode::OnExchange(const wire::ExchangeRequest& aRequest,
                      Done<wire::ExchangeReply> aDone)
{
  if (!m_started.load()) {
    aDone({});
    return;
  }
  m_sync->OnExchange(aRequest, aDone);
}

void
AgentNode::OnRun(const wire::RunRequest& aRequest,
                 std::shared_ptr<RunSink> aSink)
{
  m_runs->OnRun(aRequest, std::move(aSink));
}

void
AgentNode::OnCancel(const wire::CancelRequest& aRequest,
                    Done<wire::CancelReply> aDone)
{
  aDone(m_runs->OnCancel(aRequest));
}

void
AgentNode::OnOrder(const wire::OrderRequest& aRequest,
                   Done<wire::OrderReply> aDone)
{
  if (m_weights) {
    m_weights->OnOrder(aRequest, std::move(aDone));
    return;
  }
  wire::OrderReply reply;
  reply.set_reason(std::string(ToString(Reason::BadRequest)));
  reply.set_what("the upstream of this agent does not take weights");
  aDone(reply);
}

void
AgentNode::OnChunk(const wire::ChunkRequest& aRequest,
                   Done<wire::ChunkReply> aDone)
{
  if (m_weights) {
    m_weights->OnChunk(aRequest, std::move(aDone));
    return;
  }
  wire::ChunkReply reply;
  reply.set_missing(true);
  aDone(reply);
}

void
AgentNode::OnHave(const wire::HaveRequest& aRequest,
                  Done<wire::HaveReply> aDone)
{
  if (m_weights) {
    m_weights->OnHave(aRequest, std::move(aDone));
    return;
  }
  aDone({});
}

std::string
AgentNode::StateJson()
{
  nlohmann::json state = {
    { "role", "agent" },
    { "vm", m_settings.m_node.m_vm },
    { "place", m_settings.m_node.m_place },
    { "release", SISKINDEAL_VERSION },
    { "incarnation", m_incarnation },
    { "draining", m_draining.load() },
    { "in_flight", m_runs->InFlight() },
    { "queued_tasks", m_pool.Queued() },
  };
  if (m_started.load()) {
    state["sync"] = nlohmann::json::parse(m_sync->StateJson());
  }
  if (m_claims) {
    state["claims"] = nlohmann::json::parse(m_claims->StateJson());
  }
  if (m_weights) {
    state["weights"] = nlohmann::json::parse(m_weights->StateJson());
  }
  return state.dump();
}

std::string
AgentNode::NotReadyReason() const
{
  if (m_draining.load()) {
    return "draining";
  }
  const OrderedLock lock(m_mutex);
  return m_upstream.IsUp() ? "" : "the upstream is not responding";
}

void
AgentNode::HandleHttp(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const ProcessPages pages{ [this] { return NotReadyReason(); },
                            [this] { return StateJson(); } };
  if (!ServeProcessPage(aRequest, aResponder, m_settings.m_auth, pages)) {
    RespondError(aResponder,
                 { Reason::NotFound, Verdict::NotRun, "unknown path" });
  }
}

} // namespace siskindeal

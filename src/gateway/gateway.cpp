#include "gateway/gateway_p.h"

#include "gateway/caller_exchange_p.h"
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

constexpr milliseconds kTick{ 20 };
constexpr std::uint32_t kTicksPerBeacon = 7; // to gateways of other regions
constexpr std::uint32_t kTicksPerSecond = 50;
constexpr FeedPace kConfigPace{ milliseconds(2000), milliseconds(250) };
constexpr FeedPace kRunnerPace{ milliseconds(8000), milliseconds(400) };
constexpr FeedPace kVersionPace{ milliseconds(8000), milliseconds(400) };
constexpr FeedPace kGatewayPace{ milliseconds(20000), milliseconds(500) };
constexpr std::string_view kGatewayKind = "gateways"; // objects of our own
// A key is refused this long before its removal must be in force, since a watch
// may miss changes for a second before it ends.
constexpr milliseconds kRevokeMargin{ 1300 };
// Callers are told other addresses once the configuration is this old, before
// their keys are refused. A watch that hears nothing leaves it 2.3 s old.
constexpr milliseconds kSteerAge{ 3000 };
// Old weights get no new requests this long before they must not.
constexpr milliseconds kVersionMargin{ 1000 };
// Of a named version that was there when the list was read, until a process
// that has seen it named tells.
constexpr milliseconds kAssumedAge{ 3000 };
// A leaving gateway takes callers that kept its address for so many lifetimes
// of an answer.
constexpr int kKeptLifetimes = 3;
constexpr double kLogLinesPerSecond = 60;
constexpr double kLogBurst = 200;
constexpr milliseconds kRegisterAgain{ 700 };
constexpr std::size_t kMostListed = 64; // addresses in an answer

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

Address
StoreAddress(const std::string& aUrl)
{
  const auto scheme = aUrl.find("://");
  return ParseAddress(scheme == std::string::npos ? aUrl
                                                  : aUrl.substr(scheme + 3));
}

std::uint64_t
NewIncarnation()
{
  // Grows with each start on one VM, unless its time of day is set back.
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

std::string
RegionOf(const GatewaySettings& aSettings)
{
  const auto& regions = aSettings.m_gateway.m_regions;
  const auto found = regions.find(aSettings.m_node.m_place);
  return found == regions.end() ? aSettings.m_node.m_place : found->second;
}

RetryAllowance
AllowanceOf(const GatewayRoleSettings& aSettings)
{
  return { aSettings.m_retryRatio,
           milliseconds(
             static_cast<std::int64_t>(aSettings.m_retryWindowSeconds * 1000)),
           aSettings.m_retrySlack };
}

void
AddLoads(const RunnerTable& aRunners, v1::GatewayBeacon& aBeacon)
{
  for (const auto& [id, state] : aRunners.All()) {
    if (state.m_own == RunnerLoad{}) {
      continue;
    }
    auto& load = *aBeacon.add_loads();
    load.set_runner(id);
    load.set_requests(state.m_own.m_requests);
    load.set_prompt_tokens(state.m_own.m_promptTokens);
  }
}

} // namespace

Gateway::Gateway(const GatewaySettings& aSettings, std::string aSettingsFile)
  : m_settings(aSettings)
  , m_settingsFile(std::move(aSettingsFile))
  , m_store(StoreAddress(aSettings.m_platform.m_url))
  , m_pool(std::make_shared<ConnectionPool>(m_loop))
  , m_random(StableHash(NewId()))
  , m_placer(aSettings.m_node.m_place,
             aSettings.m_gateway.m_regions,
             StableHash(NewId()))
  , m_retries(AllowanceOf(aSettings.m_gateway))
  , m_peers(aSettings.m_node.m_vm)
  , m_region(RegionOf(aSettings))
  , m_incarnation(NewIncarnation())
  , m_logTokens(kLogBurst)
  , m_ticker(m_loop)
  , m_registerTimer(m_loop)
  , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
{
  m_callers = std::make_unique<HttpListener>(
    m_loop, m_settings.m_node.m_http, [this](const auto& aConnection) {
      std::make_shared<CallerExchange>(*this, aConnection)->Start();
    });
  m_ready = std::make_unique<HttpListener>(
    m_loop, m_settings.m_gateway.m_ready, [this](const auto& aConnection) {
      AnswerReady(aConnection);
    });
  m_directory = std::make_unique<HttpListener>(
    m_loop, m_settings.m_gateway.m_directory, [this](const auto& aConnection) {
      AnswerDirectory(aConnection);
    });
  m_pages = std::make_unique<HttpListener>(
    m_loop, m_settings.m_node.m_rpc, [this](const auto& aConnection) {
      AnswerPages(aConnection);
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
Gateway::Feed(std::string_view aKind, FeedPace aPace, FeedEvents aEvents)
{
  auto feed = std::make_shared<ObjectFeed>(
    m_loop, m_pool, m_store, std::string(aKind), aPace, std::move(aEvents));
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
  const auto each = [](const auto& aChange) {
    return [aChange](const std::vector<SiteObject>& aObjects) {
      for (const SiteObject& object : aObjects) {
        aChange(object);
      }
    };
  };
  const auto onConfig = [this](const SiteObject& aObject) {
    OnConfig(aObject);
  };
  const auto onGateway = [this](const SiteObject& aObject) {
    OnGateway(aObject);
  };
  m_configFeed = Feed(
    dialect::kConfigKind, kConfigPace, { each(onConfig), onConfig, [] {} });
  m_runnerFeed =
    Feed(dialect::kRunnerKind,
         kRunnerPace,
         { [this](const auto& aObjects) { OnRunners(aObjects); },
           [this](const SiteObject& aObject) { OnRunner(aObject); },
           [this] { m_runners.NoteListTrouble(Now()); } });
  m_versionFeed = Feed(dialect::kVersionKind,
                       kVersionPace,
                       { each([this](const SiteObject& aObject) {
                           OnVersion(aObject, kAssumedAge);
                         }),
                         [this](const SiteObject& aObject) {
                           OnVersion(aObject, milliseconds(0));
                         },
                         [] {} });
  m_gatewayFeed =
    Feed(kGatewayKind, kGatewayPace, { each(onGateway), onGateway, [] {} });
  for (const Address& entry : m_settings.m_node.m_entries) {
    // Every gateway uses the same port for datagrams.
    m_peers.Register("first " + entry.m_host,
                     { entry.m_host, m_settings.m_node.m_rpc.m_port });
  }
  Register();
  Tick();
  m_loop.run();
  Log(LogLevel::Info, "stop");
}

void
Gateway::OnConfig(const SiteObject& aObject)
{
  if (aObject.m_name != dialect::kConfigName || aObject.m_deleted) {
    return;
  }
  try {
    SiteConfig config = dialect::DecodeConfig(aObject);
    if (m_routes && config.m_version <= m_routes->Config().m_version) {
      return;
    }
    Log(LogLevel::Info,
        "configuration in force",
        { { "version", config.m_version },
          { "routes", config.m_routes.size() },
          { "teams", config.m_teams.size() } });
    for (HttpListener* listener :
         { m_callers.get(), m_ready.get(), m_directory.get() }) {
      listener->m_limits = config.m_limits;
    }
    m_routes = std::make_shared<const RouteIndex>(std::move(config));
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Error,
        "configuration left out",
        { { "reason", std::string_view(error.what()) } });
  }
}

void
Gateway::OnRunner(const SiteObject& aObject)
{
  if (aObject.m_deleted) {
    m_runners.Remove(aObject.m_name, Now());
    return;
  }
  try {
    m_runners.Put(dialect::DecodeRunner(aObject));
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "runner left out",
        { { "name", aObject.m_name },
          { "reason", std::string_view(error.what()) } });
  }
}

void
Gateway::OnRunners(const std::vector<SiteObject>& aObjects)
{
  std::vector<RunnerRecord> runners;
  for (const SiteObject& object : aObjects) {
    try {
      runners.push_back(dialect::DecodeRunner(object));
    } catch (const std::invalid_argument& error) {
      Log(LogLevel::Warning,
          "runner left out",
          { { "name", object.m_name },
            { "reason", std::string_view(error.what()) } });
    }
  }
  m_haveRunners = true;
  m_runners.Replace(runners, Now());
}

void
Gateway::OnVersion(const SiteObject& aObject, milliseconds aAge)
{
  if (aObject.m_deleted) {
    return;
  }
  try {
    const NamedVersion named = dialect::DecodeVersion(aObject);
    if (m_named.Note(named.m_model, named.m_version, BootTime() - aAge)) {
      Log(LogLevel::Info,
          "weights named",
          { { "model", named.m_model },
            { "version", named.m_version },
            { "assumed_age_ms", aAge.count() } });
    }
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "named weights left out",
        { { "name", aObject.m_name },
          { "reason", std::string_view(error.what()) } });
  }
}

void
Gateway::NoteNamed(
  const google::protobuf::RepeatedPtrField<v1::NamedAge>& aNamed)
{
  for (const v1::NamedAge& named : aNamed) {
    m_named.Note(named.model(),
                 named.version(),
                 BootTime() - milliseconds(named.age_ms()));
  }
}

void
Gateway::OnGateway(const SiteObject& aObject)
{
  if (aObject.m_deleted) {
    m_peers.Unregister(aObject.m_name);
    return;
  }
  try {
    const auto spec = nlohmann::json::parse(aObject.m_spec);
    m_peers.Register(aObject.m_name,
                     ParseAddress(spec.at("datagrams").get<std::string>()));
  } catch (const std::exception& error) {
    Log(LogLevel::Warning,
        "gateway left out",
        { { "name", aObject.m_name },
          { "reason", std::string_view(error.what()) } });
  }
  m_retries.SetEntries(m_peers.Count());
}

void
Gateway::Register()
{
  const std::string& vm = m_settings.m_node.m_vm;
  const nlohmann::json spec = {
    { "datagrams", m_settings.m_node.m_rpc.ToString() },
    { "callers", m_settings.m_node.m_http.ToString() }
  };
  const std::string body = dialect::EncodeObject(vm, spec.dump());
  const auto again = [this] {
    m_registerTimer.expires_after(kRegisterAgain);
    m_registerTimer.async_wait([this](const NetError& aError) {
      if (!aError && !m_leavingSince) {
        Register();
      }
    });
  };
  const auto replaced = [again](const WholeAnswer& aAnswer) {
    if (aAnswer.m_status != 200) {
      again();
    }
  };
  const auto created =
    [this, vm, body, again, replaced](const WholeAnswer& aAnswer) {
      constexpr int kThere = 409;
      if (aAnswer.m_status == kThere) {
        CallWhole(m_loop,
                  m_pool,
                  m_store,
                  "PUT",
                  dialect::ObjectPath(kGatewayKind, vm),
                  body,
                  m_settings.m_platform.m_timeout,
                  replaced);
      } else if (aAnswer.m_status / 100 != 2) {
        again();
      }
    };
  CallWhole(m_loop,
            m_pool,
            m_store,
            "POST",
            dialect::ListPath(kGatewayKind, {}, dialect::Freshness::Current),
            body,
            m_settings.m_platform.m_timeout,
            created);
}

void
Gateway::OnDatagram(const v1::Datagram& aDatagram, const Address& aFrom)
{
  if (aDatagram.has_gateway()) {
    NoteNamed(aDatagram.gateway().named());
    if (m_peers.Hear(aDatagram.gateway(), aFrom, Now())) {
      m_retries.SetEntries(m_peers.Count());
    }
  } else if (aDatagram.has_stager()) {
    NoteNamed(aDatagram.stager().named());
    OnStagerNotice(aDatagram.stager());
  }
}

void
Gateway::OnStagerNotice(const v1::StagerNotice& aNotice)
{
  RunnerState* runner = nullptr;
  try {
    runner = m_runners.FindByAddress(ParseAddress(aNotice.runner()));
  } catch (const std::invalid_argument&) {
    return;
  }
  if (runner == nullptr || runner->m_record.m_service != aNotice.service()) {
    return;
  }
  constexpr milliseconds kNoticeLife{ 700 }; // told again meanwhile
  runner->m_loadingUntil =
    aNotice.turn() == v1::TURN_LOADING ? Now() + kNoticeLife : MonotonicTime{};
  if (!aNotice.model().empty() && aNotice.turn() != v1::TURN_LOADING) {
    runner->m_record.m_versions[aNotice.model()] = aNotice.loaded();
  }
}

v1::Datagram
Gateway::Beacon() const
{
  v1::Datagram datagram;
  v1::GatewayBeacon& beacon = *datagram.mutable_gateway();
  beacon.set_vm(m_settings.m_node.m_vm);
  beacon.set_incarnation(m_incarnation);
  beacon.set_region(m_region);
  beacon.set_callers(m_settings.m_node.m_http.ToString());
  beacon.set_serving(TakesCallers() && ConfigAge() <= kSteerAge);
  return datagram;
}

// Gateways of one region mostly choose among the same runners, so they hear of
// each change at once; those of other regions more seldom.
void
Gateway::TellRegion()
{
  v1::Datagram datagram = Beacon();
  AddLoads(m_runners, *datagram.mutable_gateway());
  std::string told = datagram.SerializeAsString();
  if (told == m_toldRegion) {
    return;
  }
  m_toldRegion = std::move(told);
  for (const Address& address : m_peers.InRegion(m_region)) {
    m_datagrams->Send(datagram, address);
  }
}

void
Gateway::TellEveryone()
{
  v1::Datagram datagram = Beacon();
  AddLoads(m_runners, *datagram.mutable_gateway());
  if (m_ticks % kTicksPerSecond == 0) {
    TellNamed(
      m_named, BootTime(), *datagram.mutable_gateway()->mutable_named());
  }
  for (const Address& address : m_peers.Everyone()) {
    if (address.m_host != m_settings.m_node.m_rpc.m_host) {
      m_datagrams->Send(datagram, address);
    }
  }
}

// Stagers tell back to the gateways that they hear.
void
Gateway::TellStagers()
{
  v1::Datagram datagram = Beacon();
  TellNamed(m_named, BootTime(), *datagram.mutable_gateway()->mutable_named());
  if (!m_routes) {
    return;
  }
  for (const auto& [id, state] : m_runners.All()) {
    if (m_routes->Service(state.m_record.m_service).m_engine) {
      m_datagrams->Send(
        datagram,
        { state.m_record.m_address.m_host, m_settings.m_node.m_rpc.m_port });
    }
  }
}

void
Gateway::ApplyPeerLoads()
{
  const auto loads = m_peers.Loads(Now());
  for (auto& [id, state] : m_runners.All()) {
    const auto found = loads.find(id);
    state.m_others = found == loads.end() ? RunnerLoad{} : found->second;
  }
}

void
Gateway::Tick()
{
  m_ticker.expires_after(kTick);
  m_ticker.async_wait([this](const NetError& aError) {
    if (!aError) {
      Tick();
    }
  });
  const MonotonicTime now = Now();
  const auto exchanges = m_exchanges;
  for (const auto& exchange : exchanges) {
    exchange->Tick(now);
  }
  m_logTokens =
    std::min(kLogBurst,
             m_logTokens + kLogLinesPerSecond *
                             std::chrono::duration<double>(kTick).count());
  ApplyPeerLoads();
  if (m_ticks % kTicksPerBeacon == 0) {
    TellEveryone();
  } else {
    TellRegion();
  }
  if (m_ticks % kTicksPerSecond == 0) {
    TellStagers();
    m_runners.Sweep(now);
    m_pool->Sweep();
    if (m_logDropped > 0) {
      Log(LogLevel::Warning, "lines left out", { { "lines", m_logDropped } });
      m_logDropped = 0;
    }
  }
  ++m_ticks;
  MaybeStop();
}

bool
Gateway::TakesCallers() const
{
  return m_routes && m_haveRunners && !m_leavingSince;
}

bool
Gateway::ConfigIsFresh() const
{
  return m_configFeed->KnownUntil().has_value() &&
         ConfigAge() <= m_settings.m_gateway.m_revokeWithin - kRevokeMargin;
}

milliseconds
Gateway::ConfigAge() const
{
  const auto known = m_configFeed->KnownUntil();
  return known ? BootTime() - *known : milliseconds(-1);
}

void
Gateway::SetVersions(RequestShape& aShape) const
{
  const milliseconds now = BootTime();
  const milliseconds within =
    m_settings.m_gateway.m_versionWithin - kVersionMargin;
  aShape.m_leastVersion = m_named.NamedFor(aShape.m_model, within, now);
  aShape.m_nextVersion = m_named.After(aShape.m_model, aShape.m_leastVersion);
  aShape.m_nextDueIn =
    within - (now - m_named.NamedAt(aShape.m_model, aShape.m_nextVersion));
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
Gateway::AnswerReady(const std::shared_ptr<ServerConnection>& aConnection)
{
  const std::string_view target = aConnection->Request().m_target;
  if (target.substr(0, target.find('?')) != dialect::kReadyPath) {
    aConnection->SendWhole(404, {}, {}, "no such page");
    return;
  }
  if (TakesCallers()) {
    aConnection->SendWhole(200, {}, {}, "ready");
  } else {
    aConnection->SendWhole(
      503, {}, {}, m_leavingSince ? "leaving" : "nothing is known yet");
  }
}

void
Gateway::AnswerDirectory(const std::shared_ptr<ServerConnection>& aConnection)
{
  const std::string_view target = aConnection->Request().m_target;
  if (target.substr(0, target.find('?')) != dialect::kResolvePath) {
    aConnection->SendWhole(404, {}, {}, "no such page");
    return;
  }
  std::vector<Address> addresses = m_peers.Serving(Now());
  if (TakesCallers() && (ConfigAge() <= kSteerAge || addresses.empty())) {
    addresses.push_back(m_settings.m_node.m_http);
  }
  if (addresses.empty()) {
    aConnection->SendWhole(503, {}, {}, "no gateway serves");
    return;
  }
  // Fisher-Yates, so that a cut list isn't the same for all.
  for (std::size_t i = addresses.size(); i > 1; --i) {
    std::swap(addresses[i - 1], addresses[m_random.Below(i)]);
  }
  addresses.resize(std::min(addresses.size(), kMostListed));
  HttpFields fields;
  fields.Add("Content-Type", "application/json");
  aConnection->SendWhole(
    200,
    {},
    fields,
    dialect::EncodeDirectory(addresses, m_settings.m_gateway.m_answerLifetime));
}

void
Gateway::AnswerPages(const std::shared_ptr<ServerConnection>& aConnection)
{
  const std::string& target = aConnection->Request().m_target;
  if (target == "/metrics") {
    aConnection->SendWhole(200, {}, {}, MetricsText());
  } else if (target == "/state") {
    aConnection->SendWhole(200, {}, {}, StateJson());
  } else {
    aConnection->SendWhole(404, {}, {}, "no such page");
  }
}

std::string
Gateway::StateJson() const
{
  nlohmann::json runners = nlohmann::json::array();
  for (const auto& [id, state] : m_runners.All()) {
    runners.push_back({ { "id", id },
                        { "service", state.m_record.m_service },
                        { "address", state.m_record.m_address.ToString() },
                        { "draining", state.m_record.m_draining },
                        { "missing", state.m_missingSince.has_value() },
                        { "own", state.m_own.m_requests },
                        { "others", state.m_others.m_requests },
                        { "told", state.m_toldRequests },
                        { "versions", state.m_record.m_versions } });
  }
  return nlohmann::json{
    { "vm", m_settings.m_node.m_vm },
    { "config", m_routes ? m_routes->Config().m_version : 0 },
    { "config_age_ms", ConfigAge().count() },
    { "exchanges", m_exchanges.size() },
    { "gateways", m_peers.Count() },
    { "idle_connections", m_pool->Idle() },
    { "leaving", m_leavingSince.has_value() },
    { "runners", std::move(runners) }
  }.dump(2);
}

void
Gateway::AwaitSignal()
{
  m_signals.async_wait([this](const NetError& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      Reload();
    } else {
      Leave();
    }
    AwaitSignal();
  });
}

// Takes over what may change while the process runs: all of [gateway] but its
// addresses. Settings that are refused change nothing.
void
Gateway::Reload()
{
  if (m_settingsFile.empty()) {
    return;
  }
  try {
    const GatewaySettings settings = ReadGatewaySettings(m_settingsFile);
    m_settings.m_gateway = settings.m_gateway;
    Log(LogLevel::Info, "settings read again");
  } catch (const SettingsError& error) {
    Log(LogLevel::Error,
        "settings refused",
        { { "reason", std::string_view(error.what()) } });
  }
}

void
Gateway::Leave()
{
  if (m_leavingSince) {
    return;
  }
  m_leavingSince = Now();
  Log(LogLevel::Info, "leaving", { { "exchanges", m_exchanges.size() } });
  m_callers->SayClose();
  TellEveryone();
}

void
Gateway::AskToLeave()
{
  boost::asio::post(m_loop, [this] { Leave(); });
}

void
Gateway::MaybeStop()
{
  if (!m_leavingSince) {
    return;
  }
  const auto since = Now() - *m_leavingSince;
  constexpr milliseconds kLastAnswers{ 300 };
  // Callers that kept the address come until then.
  const bool kept =
    since < m_settings.m_gateway.m_answerLifetime * kKeptLifetimes;
  const auto most =
    std::chrono::duration<double>(m_settings.m_gateway.m_graceSeconds) -
    kLastAnswers;
  if (kept) {
    return;
  }
  m_callers->Stop();
  m_callers->CloseIdle();
  const bool idle = m_exchanges.empty() && m_callers->Connections() == 0;
  if (idle || since > most) {
    m_loop.stop();
  }
}

} // namespace siskindeal

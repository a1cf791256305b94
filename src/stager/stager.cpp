#include "stager/stager_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 25 };
constexpr milliseconds kRestingPoll{ 300 }; // of the runner's report
constexpr milliseconds kBusyPoll{ 60 };
constexpr milliseconds kRestingTell{ 1000 };
constexpr milliseconds kBusyTell{ 150 };
constexpr milliseconds kPeerSilence{ 3500 };
constexpr milliseconds kGatewaySilence{ 4000 };
constexpr milliseconds kPeersAge{ 4000 }; // of the list of runners, while busy
constexpr milliseconds kConfigRetry{ 1000 };
constexpr milliseconds kRunnerTime{ 800 };
constexpr milliseconds kStoreTime{ 1500 };
constexpr milliseconds kLongestDrain{ 2500 }; // of work that can't go on
constexpr milliseconds kDoneBefore{ 1000 };   // the version is due
constexpr milliseconds kLoadTime{ 2500 };     // then the order is given again
// A version that was named so long before the next one has most of its pieces
// in the fleet; the next one can wait so long and still be there in time.
constexpr milliseconds kUnderWay{ 1500 };
constexpr milliseconds kNewerWaits{ 2200 };
// It waits longer for a version of which so much is here.
constexpr double kNearlyThere = 0.75;
constexpr milliseconds kNewerWaitsLonger{ 3500 };
constexpr milliseconds kLeastTurns{ 1000 }; // for all runners to load it
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr FeedPace kVersionPace{ milliseconds(10000), milliseconds(300) };

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

std::string
RegionOf(const StagerSettings& aSettings, const std::string& aPlace)
{
  const auto found = aSettings.m_stager.m_regions.find(aPlace);
  return found == aSettings.m_stager.m_regions.end() ? aPlace : found->second;
}

const char*
Name(int aStage)
{
  constexpr const char* kNames[] = { "resting",   "listing", "checking",
                                     "fetching",  "staged",  "draining",
                                     "verifying", "loading" };
  return kNames[aStage];
}

// Whether every request that may run at a service can go on at another runner.
bool
StreamsMayBeCut(const SiteConfig& aConfig, const std::string& aService)
{
  return std::all_of(
    aConfig.m_routes.begin(), aConfig.m_routes.end(), [&](const auto& aRoute) {
      const bool here = std::any_of(
        aRoute.m_shares.begin(),
        aRoute.m_shares.end(),
        [&](const auto& aShare) { return aShare.m_service == aService; });
      return !here || aRoute.MayRepeat();
    });
}

std::string
EncodeHeld(const PieceSet& aHeld)
{
  std::string bits((aHeld.size() + 7) / 8, '\0');
  for (std::size_t i = 0; i < aHeld.size(); ++i) {
    if (aHeld[i]) {
      bits[i / 8] = static_cast<char>(bits[i / 8] | (1 << (i % 8)));
    }
  }
  return bits;
}

PieceSet
DecodeHeld(const std::string& aBits)
{
  PieceSet held(aBits.size() * 8);
  for (std::size_t i = 0; i < held.size(); ++i) {
    held[i] = (aBits[i / 8] >> (i % 8) & 1) != 0;
  }
  return held;
}

} // namespace

Stager::Stager(const StagerSettings& aSettings)
  : m_settings(aSettings)
  , m_store(StoreAddress(aSettings.m_platform.m_url))
  , m_pool(std::make_shared<ConnectionPool>(m_loop))
  , m_random(StableHash(NewId()))
  , m_region(RegionOf(aSettings, aSettings.m_node.m_place))
  , m_link(static_cast<std::uint64_t>(aSettings.m_stager.m_linkMegabits *
                                      kBytesPerMegabit))
  , m_uploadTimer(m_loop)
  , m_ticker(m_loop)
  , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
{
}

Stager::~Stager() = default;

void
Stager::Run()
{
  Log(LogLevel::Info,
      "start",
      { { "runner", m_settings.m_stager.m_runner.ToString() } });
  AwaitSignal();
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
  const auto onVersion = [this](const SiteObject& aObject) {
    OnVersion(aObject);
  };
  m_versionFeed = std::make_shared<ObjectFeed>(
    m_loop,
    m_pool,
    m_store,
    std::string(dialect::kVersionKind),
    kVersionPace,
    FeedEvents{ [onVersion](const std::vector<SiteObject>& aObjects) {
                 for (const SiteObject& object : aObjects) {
                   onVersion(object);
                 }
               },
                onVersion,
                [] {} });
  m_versionFeed->Start();
  Tick();
  m_loop.run();
  Log(LogLevel::Info, "stop");
}

void
Stager::AwaitSignal()
{
  m_signals.async_wait([this](const NetError& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal != SIGHUP) { // nothing of its settings changes while it runs
      m_loop.stop();
      return;
    }
    AwaitSignal();
  });
}

void
Stager::OnVersion(const SiteObject& aObject)
{
  if (aObject.m_deleted) {
    return;
  }
  try {
    const NamedVersion named = dialect::DecodeVersion(aObject);
    if (!m_named.Note(named.m_model, named.m_version, BootTime())) {
      return;
    }
    Log(LogLevel::Info,
        "weights named",
        { { "model", named.m_model }, { "version", named.m_version } });
    ReadPeers();
    ReadConfig();
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "named weights left out",
        { { "name", aObject.m_name },
          { "reason", std::string_view(error.what()) } });
  }
}

void
Stager::ReadConfig()
{
  m_configReadAt = Now();
  CallWhole(
    m_loop,
    m_pool,
    m_store,
    "GET",
    dialect::ListPath(dialect::kConfigKind, {}, dialect::Freshness::MayBeStale),
    {},
    kStoreTime,
    [this](const WholeAnswer& aAnswer) { OnConfig(aAnswer); });
}

void
Stager::OnConfig(const WholeAnswer& aAnswer)
{
  if (aAnswer.m_status != 200) {
    return; // read again soon
  }
  try {
    for (const SiteObject& object :
         dialect::DecodeList(aAnswer.m_body).m_objects) {
      if (object.m_name != dialect::kConfigName) {
        continue;
      }
      const SiteConfig config = dialect::DecodeConfig(object);
      m_mayCut = StreamsMayBeCut(config, m_settings.m_stager.m_service);
      for (const auto& [name, service] : config.m_services) {
        if (service.m_origin) {
          m_origin = service.m_origin;
          m_originRegion = RegionOf(m_settings, service.m_place);
        }
        if (name == m_settings.m_stager.m_service) {
          m_service = service;
        }
      }
    }
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Error,
        "configuration left out",
        { { "reason", std::string_view(error.what()) } });
  }
  if (m_service && m_service->m_engine &&
      !m_service->m_engine->m_models.empty()) {
    m_model = m_service->m_engine->m_models.front();
  }
}

void
Stager::ReadPeers()
{
  m_peersReadAt = Now();
  CallWhole(
    m_loop,
    m_pool,
    m_store,
    "GET",
    dialect::ListPath(dialect::kRunnerKind, {}, dialect::Freshness::MayBeStale),
    {},
    kStoreTime,
    [this](const WholeAnswer& aAnswer) { OnPeers(aAnswer); });
}

void
Stager::OnPeers(const WholeAnswer& aAnswer)
{
  if (aAnswer.m_status != 200) {
    return;
  }
  try {
    for (const SiteObject& object :
         dialect::DecodeList(aAnswer.m_body).m_objects) {
      const RunnerRecord runner = dialect::DecodeRunner(object);
      if (runner.m_service == m_settings.m_stager.m_service &&
          runner.m_address.m_host != m_settings.m_node.m_rpc.m_host) {
        // Every process uses the same port for datagrams.
        m_peerHosts[runner.m_address.m_host] = {
          runner.m_address.m_host, m_settings.m_node.m_rpc.m_port
        };
      }
    }
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "runners left out",
        { { "reason", std::string_view(error.what()) } });
  }
}

void
Stager::OnDatagram(const v1::Datagram& aDatagram, const Address& aFrom)
{
  if (aDatagram.has_gateway()) {
    const std::string key = aFrom.ToString();
    if (m_gateways.count(key) == 0) {
      m_toldAt = {}; // it learns at once what this runner holds
    }
    m_gateways[key] = Now();
    m_gatewayAddresses[key] = aFrom;
    return;
  }
  if (!aDatagram.has_stager()) {
    return;
  }
  const v1::StagerNotice& notice = aDatagram.stager();
  if (notice.service() != m_settings.m_stager.m_service ||
      notice.vm() == m_settings.m_node.m_vm) {
    return;
  }
  if (m_peers.count(notice.vm()) == 0) {
    m_toldAt = {};
  }
  Peer& peer = m_peers[notice.vm()];
  m_peerHosts[aFrom.m_host] = aFrom;
  peer.m_notice = notice;
  peer.m_stager.m_vm = notice.vm();
  peer.m_stager.m_address = aFrom;
  peer.m_stager.m_region = RegionOf(m_settings, notice.place());
  peer.m_stager.m_heardAt = Now();
}

bool
Stager::KeepsRunnerFree() const
{
  return m_stage == Stage::Draining || m_stage == Stage::Verifying ||
         m_stage == Stage::Loading;
}

void
Stager::Tell()
{
  m_toldAt = Now();
  v1::Datagram datagram;
  v1::StagerNotice& notice = *datagram.mutable_stager();
  notice.set_vm(m_settings.m_node.m_vm);
  notice.set_runner(m_settings.m_stager.m_runner.ToString());
  notice.set_service(m_settings.m_stager.m_service);
  notice.set_place(m_settings.m_node.m_place);
  notice.set_model(m_model);
  notice.set_loaded(Loaded());
  if (m_plan) {
    notice.set_fetching(m_pieces.m_version);
    notice.set_held(EncodeHeld(m_plan->Held()));
  }
  notice.set_turn(KeepsRunnerFree()          ? v1::TURN_LOADING
                  : m_stage == Stage::Staged ? v1::TURN_STAGED
                                             : v1::TURN_SERVING);
  notice.set_still_running(m_report.m_running);
  TellNamed(m_named, BootTime(), *notice.mutable_named());
  const MonotonicTime now = Now();
  for (const auto& [host, address] : m_peerHosts) {
    m_datagrams->Send(datagram, address);
  }
  notice.clear_held();
  for (const auto& [key, heardAt] : m_gateways) {
    if (now - heardAt < kGatewaySilence && m_runnerAnswers) {
      m_datagrams->Send(datagram, m_gatewayAddresses[key]);
    }
  }
}

void
Stager::Tick()
{
  m_ticker.expires_after(kTick);
  m_ticker.async_wait([this](const NetError& aError) {
    if (!aError) {
      Tick();
    }
  });
  const MonotonicTime now = Now();
  const bool resting = m_stage == Stage::Resting;
  if (m_model.empty() && now - m_configReadAt >= kConfigRetry) {
    ReadConfig();
    ReadPeers();
  }
  if (!resting && now - m_peersReadAt >= kPeersAge) {
    ReadPeers();
  }
  const bool quick = KeepsRunnerFree() && m_stage != Stage::Verifying;
  if (!m_polling && now - m_pollAt >= (quick ? kBusyPoll : kRestingPoll)) {
    PollRunner();
  }
  Step();
  if (now - m_toldAt >= (resting ? kRestingTell : kBusyTell)) {
    Tell();
  }
}

void
Stager::PollRunner()
{
  m_polling = true;
  m_pollAt = Now();
  CallRunner("GET",
             std::string(dialect::kReportPath),
             {},
             [this](const WholeAnswer& aAnswer) {
               m_polling = false;
               OnReport(aAnswer);
             });
}

void
Stager::OnReport(const WholeAnswer& aAnswer)
{
  const bool answered = aAnswer.m_status == 200;
  if (answered != m_runnerAnswers) {
    Log(LogLevel::Info,
        answered ? "runner answers" : "runner lost",
        { { "reason", aAnswer.m_failure } });
  }
  m_runnerAnswers = answered;
  if (!answered) {
    m_report = {};
    return;
  }
  try {
    m_report = dialect::DecodeReport(aAnswer.m_body);
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "report left out",
        { { "reason", std::string_view(error.what()) } });
  }
}

std::uint64_t
Stager::Loaded() const
{
  const auto found = m_report.m_versions.find(m_model);
  return found == m_report.m_versions.end() ? 0 : found->second;
}

void
Stager::Enter(Stage aStage)
{
  if (m_stage == aStage) {
    return;
  }
  Log(LogLevel::Info,
      "weights stage",
      { { "stage", Name(static_cast<int>(aStage)) },
        { "version", m_target },
        { "loaded", Loaded() },
        { "since_named_ms", SinceNamed(m_target).count() } });
  m_stage = aStage;
  m_stageAt = Now();
  Tell();
}

milliseconds
Stager::SinceNamed(std::uint64_t aVersion) const
{
  return BootTime() - m_named.NamedAt(m_model, aVersion);
}

double
Stager::HeldShare() const
{
  if (!m_plan) {
    return 0;
  }
  const PieceSet& held = m_plan->Held();
  return static_cast<double>(std::count(held.begin(), held.end(), true)) /
         static_cast<double>(held.size());
}

// Whether the version being brought goes first although a newer one is named:
// it is well on its way, will be due before the newer one can be there, and the
// newer one still has time.
bool
Stager::FinishesTargetFirst(std::uint64_t aNewest) const
{
  const milliseconds newer = SinceNamed(aNewest);
  const milliseconds apart = SinceNamed(m_target) - newer;
  return m_stage != Stage::Resting && m_stage != Stage::Listing &&
         Loaded() < m_target &&
         m_named.NamedAt(m_model, m_target).count() > 0 && apart >= kUnderWay &&
         newer <
           (HeldShare() >= kNearlyThere ? kNewerWaitsLonger : kNewerWaits);
}

// Goes on with what the runner needs next.
void
Stager::Step()
{
  if (m_model.empty() || !m_runnerAnswers) {
    return;
  }
  const std::uint64_t newest = m_named.Newest(m_model);
  if (newest > m_target && m_stage != Stage::Loading &&
      !FinishesTargetFirst(newest)) {
    m_target = newest;
    BeginVersion();
    return;
  }
  const MonotonicTime now = Now();
  switch (m_stage) {
    case Stage::Resting:
      // With no list yet it isn't known what can be passed on to peers.
      if (Loaded() == 0 || Loaded() < m_target || !m_plan) {
        BeginVersion();
      } else if (!m_plan->Complete()) {
        Enter(Stage::Fetching); // a piece was found spoilt
      }
      break;
    case Stage::Listing:
      if (now >= m_retryAt) {
        ListPieces();
      }
      break;
    case Stage::Fetching:
      FetchMore();
      break;
    case Stage::Staged:
      MaybeTakeTurn();
      break;
    case Stage::Draining: {
      const bool free = m_report.m_running + m_report.m_waiting == 0 &&
                        m_pollAt > m_stageAt && !m_polling;
      if (free || now - m_stageAt >= m_drain) {
        AfterCheck();
      }
      break;
    }
    case Stage::Loading:
      if (Loaded() >= m_target) {
        Enter(Stage::Resting);
      } else if (now - m_stageAt >= kLoadTime && !m_report.m_busy) {
        BeginVersion();
      }
      break;
    case Stage::Checking:
    case Stage::Verifying:
      break;
  }
}

void
Stager::MaybeTakeTurn()
{
  const MonotonicTime now = Now();
  TurnInputs inputs;
  inputs.m_vm = m_settings.m_node.m_vm;
  inputs.m_versionKey = VersionKey();
  inputs.m_empty = Loaded() == 0;
  inputs.m_timeLeft =
    m_settings.m_stager.m_versionWithin - kDoneBefore - SinceNamed(m_target);
  if (m_named.Newest(m_model) > m_target) {
    inputs.m_timeLeft = std::min(
      inputs.m_timeLeft,
      std::max(kLeastTurns, kNewerWaits - SinceNamed(m_named.Newest(m_model))));
  }
  for (const auto& [vm, peer] : m_peers) {
    if (now - peer.m_stager.m_heardAt < kPeerSilence) {
      inputs.m_peers.push_back({ vm,
                                 peer.m_notice.loaded() >= m_target,
                                 peer.m_notice.turn() == v1::TURN_STAGED,
                                 peer.m_notice.turn() == v1::TURN_LOADING });
    }
  }
  const Turn turn = DecideTurn(inputs);
  if (!turn.m_now) {
    return;
  }
  m_drain = m_mayCut ? turn.m_drain : kLongestDrain;
  Enter(Stage::Draining);
}

void
Stager::OrderLoad()
{
  Enter(Stage::Loading);
  CallRunner("POST",
             std::string(dialect::kOrderPath),
             dialect::EncodeLoadOrder(m_model,
                                      m_target,
                                      m_report.m_sequence,
                                      m_mayCut ? dialect::RunningWork::Cut
                                               : dialect::RunningWork::Finish),
             [this](const WholeAnswer& aAnswer) { OnOrdered(aAnswer); });
}

void
Stager::OnOrdered(const WholeAnswer& aAnswer)
{
  Log(LogLevel::Info,
      "load ordered",
      { { "version", m_target },
        { "status", aAnswer.m_status },
        { "body", std::string_view(aAnswer.m_body).substr(0, 200) },
        { "reason", aAnswer.m_failure } });
  CountMetric("siskindeal_stager_orders_total",
              { { "status", std::to_string(aAnswer.m_status) } });
}

void
Stager::CallRunner(std::string_view aMethod,
                   const std::string& aTarget,
                   std::string aBody,
                   std::function<void(WholeAnswer)> aDone)
{
  CallWhole(m_loop,
            m_pool,
            m_settings.m_stager.m_runner,
            aMethod,
            aTarget,
            std::move(aBody),
            kRunnerTime,
            std::move(aDone));
}

std::vector<StagerPeer>
Stager::FetchPeers() const
{
  std::vector<StagerPeer> peers;
  for (const auto& [vm, peer] : m_peers) {
    peers.push_back(peer.m_stager);
    if (peer.m_notice.fetching() == m_pieces.m_version) {
      peers.back().m_held = DecodeHeld(peer.m_notice.held());
    }
  }
  return peers;
}

std::string
Stager::VersionKey() const
{
  return m_model + " " + std::to_string(m_target);
}

void
Stager::AnswerPages(const std::shared_ptr<ServerConnection>& aConnection)
{
  const std::string& target = aConnection->Request().m_target;
  if (target == "/metrics") {
    aConnection->SendWhole(200, {}, {}, MetricsText());
  } else if (target == "/state") {
    aConnection->SendWhole(200, {}, {}, StateJson());
  } else {
    AnswerPiece(aConnection);
  }
}

std::string
Stager::StateJson() const
{
  std::size_t held = 0;
  if (m_plan) {
    held = static_cast<std::size_t>(
      std::count(m_plan->Held().begin(), m_plan->Held().end(), true));
  }
  return nlohmann::json{
    { "vm", m_settings.m_node.m_vm },
    { "model", m_model },
    { "target", m_target },
    { "loaded", Loaded() },
    { "stage", Name(static_cast<int>(m_stage)) },
    { "held", held },
    { "peers", m_peers.size() },
    { "gateways", m_gateways.size() },
    { "running", m_report.m_running },
    { "waiting", m_report.m_waiting }
  }.dump(2);
}

} // namespace siskindeal

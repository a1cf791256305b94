#include "stager/stager_p.h"

#include "kernel/contain_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "siskindeal/wire_values.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 25 };
constexpr milliseconds kPollInterval{ 300 }; // for the runner's report
constexpr milliseconds kFastPollInterval{ 60 };
constexpr milliseconds kIdleAnnounceInterval{ 1000 };
constexpr milliseconds kBusyAnnounceInterval{ 150 };
constexpr milliseconds kPeerListMaxAge{ 4000 }; // not applied when idle
constexpr milliseconds kConfigRetryInterval{ 1000 };
constexpr milliseconds kRunnerTimeout{ 800 };
// The origin accepts fewer connections than there are stagers.
constexpr milliseconds kOriginIdleTimeout{ 200 };
constexpr std::uint32_t kTicksPerSweep = 10;
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr FeedTiming kVersionFeedTiming{ milliseconds(20000),
                                         milliseconds(300) };

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
  , m_store(AddressOfUrl(aSettings.m_platform.m_url))
  , m_pool(std::make_shared<ConnectionPool>(m_loop))
  , m_originPool(std::make_shared<ConnectionPool>(m_loop, kOriginIdleTimeout))
  , m_random(StableHash(NewId()))
  , m_region(RegionOf(aSettings.m_stager.m_regions, aSettings.m_node.m_place))
  , m_link(static_cast<std::uint64_t>(aSettings.m_stager.m_linkMegabits *
                                      kBytesPerMegabit))
  , m_uploadTimer(m_loop)
  , m_ticker(m_loop)
  , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
{
  MemoryBudget::Of(m_loop).SetLimit(MessageMemory(m_settings.m_node));
  m_httpListener = std::make_unique<HttpListener>(
    m_loop, m_settings.m_node.m_rpc, [this](const auto& aConnection) {
      ServeRequest(aConnection);
    });
  m_datagrams = std::make_unique<DatagramSocket>(
    m_loop,
    m_settings.m_node.m_rpc,
    [this](const v1::Datagram& aDatagram, const Address& aFrom) {
      OnDatagram(aDatagram, aFrom);
    });
}

Stager::~Stager() = default;

void
Stager::Run()
{
  Log(LogLevel::Info,
      "start",
      { { "runner", m_settings.m_stager.m_runner.ToString() } });
  AwaitSignal();
  const auto onVersion = [this](const SiteObject& aObject) {
    OnVersion(aObject);
  };
  m_versionFeed = std::make_shared<ObjectFeed>(
    m_loop,
    m_pool,
    m_store,
    std::string(dialect::kVersionKind),
    kVersionFeedTiming,
    FeedCallbacks{ [onVersion](const std::vector<SiteObject>& aObjects) {
                    for (const SiteObject& object : aObjects) {
                      Contain("store entry", [&] { onVersion(object); });
                    }
                  },
                   onVersion,
                   [] {} });
  m_versionFeed->SetActive(false);
  m_versionFeed->Start();
  RunEvery(m_ticker, kTickInterval, [this] { Tick(); });
  RunLoop(m_loop);
  Log(LogLevel::Info,
      "stop",
      { { "reason", "asked to leave" },
        { "connections", m_httpListener->Connections() } });
}

void
Stager::Stop()
{
  boost::asio::post(m_loop, [this] { m_loop.stop(); });
}

void
Stager::AwaitSignal()
{
  m_signals.async_wait([this](const NetError& aError, int aSignal) {
    if (aError) {
      return;
    }
    AwaitSignal();
    if (aSignal == SIGHUP) {
      Log(LogLevel::Info, "hangup_ignored"); // settings are not reloaded
    } else {
      m_loop.stop();
    }
  });
}

void
Stager::OnDatagram(const v1::Datagram& aDatagram, const Address& aFrom)
{
  if (aDatagram.has_gateway()) {
    RecordNamed(aDatagram.gateway().named());
    const std::string key = aFrom.ToString();
    if (m_gateways.count(key) == 0) {
      m_announcedAt = {}; // announces to the new gateway on the next tick
    }
    m_gateways[key] = { aFrom,
                        LoopNow(),
                        PortFromWire(aDatagram.gateway().config().port()),
                        MillisFromWire(aDatagram.gateway().config().age_ms()) };
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
  RecordNamed(notice.named());
  const std::string region =
    RegionOf(m_settings.m_stager.m_regions, notice.place());
  if (m_peers.count(aFrom.m_host) == 0 && region == m_region) {
    m_announcedAt = {};
  }
  m_peerHosts[aFrom.m_host] = region;
  m_peers[aFrom.m_host] = { { aFrom.m_host, aFrom, region, {}, LoopNow() },
                            notice };
}

bool
Stager::LoadInProgress() const
{
  return m_load && m_load->m_stage != LoadStage::Staged;
}

std::set<std::string>
Stager::AnnounceTargets()
{
  constexpr milliseconds kImportAnnounceTime{ 600 };
  constexpr std::size_t kRandomTargets = 2;
  while (!m_imported.empty() &&
         LoopNow() - m_imported.front().first > kImportAnnounceTime) {
    m_imported.pop_front();
  }
  std::set<std::string> targets;
  std::map<std::string, std::vector<std::string>> regions;
  std::vector<std::string> otherRegionHosts;
  for (const auto& [host, region] : m_peerHosts) {
    if (region == m_region) {
      targets.insert(host);
    } else {
      regions[region].push_back(host);
      otherRegionHosts.push_back(host);
    }
  }
  for (const auto& [at, piece] : m_imported) {
    for (const auto& [region, hosts] : regions) {
      const auto importers = m_plan->RegionImporters(piece, hosts);
      targets.insert(importers.begin(), importers.end());
    }
  }
  for (std::size_t i = 0; i < std::min(kRandomTargets, otherRegionHosts.size());
       ++i) {
    targets.insert(otherRegionHosts[m_random.Below(otherRegionHosts.size())]);
  }
  return targets;
}

void
Stager::Announce()
{
  m_announcedAt = LoopNow();
  v1::Datagram datagram;
  v1::StagerNotice& notice = *datagram.mutable_stager();
  notice.set_vm(m_settings.m_node.m_vm);
  notice.set_runner(m_settings.m_stager.m_runner.ToString());
  notice.set_service(m_settings.m_stager.m_service);
  notice.set_place(m_settings.m_node.m_place);
  notice.set_model(m_model);
  notice.set_loaded(LoadedVersion());
  notice.set_born(m_report.m_born);
  if (m_plan) {
    notice.set_fetching(m_pieces.m_version);
    notice.set_held(EncodeHeld(m_plan->HeldPieces()));
  }
  if (StagingOccupied()) {
    notice.set_staged(m_load->m_pieces.m_version);
  }
  notice.set_turn(LoadInProgress() ? v1::TURN_LOADING
                  : m_load         ? v1::TURN_STAGED
                                   : v1::TURN_SERVING);

  AppendNamedAges(m_named, BootTime(), *notice.mutable_named());
  const MonotonicTime now = LoopNow();
  for (const std::string& host : AnnounceTargets()) {
    // Every process uses the same port for datagrams.
    m_datagrams->Send(datagram,
                      { host, m_settings.m_node.m_rpc.m_port },
                      DatagramKind::Weights);
  }
  notice.clear_held();
  for (const auto& [key, gateway] : m_gateways) {
    if (now - gateway.m_lastSeen < kGatewayTimeout && m_runnerReachable) {
      m_datagrams->Send(datagram, gateway.m_address, DatagramKind::Weights);
    }
  }
  m_datagrams->TakeTraffic(); // adds it to the metrics
}

void
Stager::Tick()
{
  const MonotonicTime now = LoopNow();
  const bool idle = m_fetchStage == FetchStage::Resting && !m_load;
  m_versionFeed->RecordAlive();
  if (m_model.empty() && now - m_configReadAt >= kConfigRetryInterval) {
    ReadConfig();
  }
  // Peers give pieces of weights, which are fetched once the model is known.
  if (!m_model.empty() && !idle && now - m_peersReadAt >= kPeerListMaxAge) {
    ReadPeers();
  }
  const bool fastPoll =
    LoadInProgress() && m_load->m_stage != LoadStage::Verifying;
  if (!m_polling &&
      now - m_lastPollAt >= (fastPoll ? kFastPollInterval : kPollInterval)) {
    PollRunner();
  }
  Step();
  if (++m_ticks % kTicksPerSweep == 0) {
    UpdateVersionFeed();
    m_originPool->Sweep();
    m_pool->Sweep();
  }
  if (now - m_announcedAt >=
      (idle ? kIdleAnnounceInterval : kBusyAnnounceInterval)) {
    Announce();
  }
}

void
Stager::PollRunner()
{
  m_polling = true;
  m_lastPollAt = LoopNow();
  CallRunner("GET",
             std::string(dialect::kReportPath),
             {},
             [this](const BufferedResponse& aAnswer) {
               m_polling = false;
               OnReport(aAnswer);
             });
}

void
Stager::OnReport(const BufferedResponse& aAnswer)
{
  const bool reachable = aAnswer.m_status == 200;
  if (reachable != m_runnerReachable) {
    Log(LogLevel::Info,
        reachable ? "runner reachable" : "runner unreachable",
        { { "reason", aAnswer.m_failure } });
  }
  m_runnerReachable = reachable;
  if (!reachable) {
    m_report = {};
    return;
  }
  try {
    m_report = dialect::DecodeReport(aAnswer.m_body);
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "runner report rejected",
        { { "reason", std::string_view(error.what()) } });
  }
}

std::uint64_t
Stager::LoadedVersion() const
{
  const auto found = m_report.m_versions.find(m_model);
  return found == m_report.m_versions.end() ? 0 : found->second;
}

void
Stager::CallRunner(std::string_view aMethod,
                   const std::string& aTarget,
                   std::string aBody,
                   std::function<void(BufferedResponse)> aDone,
                   std::optional<milliseconds> aSendBefore)
{
  CallBuffered(m_loop,
               m_pool,
               m_settings.m_stager.m_runner,
               aMethod,
               aTarget,
               std::move(aBody),
               kRunnerTimeout,
               std::move(aDone),
               aSendBefore);
}

std::vector<StagerPeer>
Stager::PeersForFetch() const
{
  std::vector<StagerPeer> peers;
  for (const auto& [vm, peer] : m_peers) {
    peers.push_back(peer.m_stager);
    if (peer.m_notice.fetching() == m_pieces.m_version) {
      peers.back().m_held = DecodeHeld(peer.m_notice.held());
    } else if (peer.m_notice.staged() == m_pieces.m_version) {
      peers.back().m_held = PieceSet(m_pieces.m_digests.size(), true);
    }
  }
  return peers;
}

std::string
Stager::VersionKey(std::uint64_t aVersion) const
{
  return m_model + " " + std::to_string(aVersion);
}

void
Stager::ServeRequest(const std::shared_ptr<ServerConnection>& aConnection)
{
  const std::string& target = aConnection->Request().m_target;
  if (target == "/metrics") {
    aConnection->SendResponse(200, {}, {}, MetricsText());
  } else if (target == "/state") {
    aConnection->SendResponse(200, {}, {}, StateJson());
  } else if (target.rfind(std::string(kListsPath), 0) == 0) {
    ServePieceList(aConnection);
  } else {
    ServePiece(aConnection);
  }
}

std::string
Stager::StateJson() const
{
  std::size_t held = 0;
  if (m_plan) {
    held = static_cast<std::size_t>(std::count(
      m_plan->HeldPieces().begin(), m_plan->HeldPieces().end(), true));
  }
  return nlohmann::json{
    { "vm", m_settings.m_node.m_vm },
    { "model", m_model },
    { "target", m_target },
    { "loaded", LoadedVersion() },
    { "stage", StageName(m_fetchStage) },
    { "load", m_load ? StageName(m_load->m_stage) : "none" },
    { "buffered", m_buffer.size() },
    { "held", held },
    { "peers", m_peers.size() },
    { "gateways", m_gateways.size() },
    { "running", m_report.m_running },
    { "waiting", m_report.m_waiting }
  }.dump(2);
}

} // namespace siskindeal

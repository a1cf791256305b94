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
constexpr std::uint32_t kTicksPerBeacon = 7;
constexpr std::uint32_t kTicksPerSecond = 50;
constexpr FeedPace kConfigPace{ milliseconds(2000), milliseconds(250) };
constexpr FeedPace kRunnerPace{ milliseconds(8000), milliseconds(400) };
// A runner that leaves must be known so soon, by the shortest bound of a site.
// The watch may be in its pause then, and the next one may hear nothing for a
// while before the list is read anew.
constexpr milliseconds kLeaveKnownWithin{ 2000 };
constexpr milliseconds kDeafWatch{ 1000 };
constexpr milliseconds kStoreAnswers{ 200 };
static_assert(kRunnerPace.m_pause * 2 + kDeafWatch + kStoreAnswers <=
              kLeaveKnownWithin);
constexpr FeedPace kVersionPace{ milliseconds(20000), milliseconds(400) };
// Callers are told other addresses once the configuration is this old, before
// their keys are refused. A watch that hears nothing leaves it 2.3 s old.
constexpr milliseconds kSteerAge{ 3000 };
constexpr FeedPace kGatewayPace{ milliseconds(20000), milliseconds(500) };
// A key is refused this long before its removal must be in force, since a watch
// may miss changes for a second before it ends.
constexpr milliseconds kRevokeMargin{ 1300 };
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

std::uint64_t
NewIncarnation()
{
  // Grows with each start on one VM, unless its time of day is set back.
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

RetryAllowance
AllowanceOf(const GatewayRoleSettings& aSettings)
{
  return { aSettings.m_retryRatio,
           milliseconds(
             static_cast<std::int64_t>(aSettings.m_retryWindowSeconds * 1000)),
           aSettings.m_retrySlack };
}

} // namespace

Gateway::Gateway(const GatewaySettings& aSettings, std::string aSettingsFile)
  : m_settings(aSettings)
  , m_settingsFile(std::move(aSettingsFile))
  , m_store(AddressOfUrl(aSettings.m_platform.m_url))
  , m_pool(std::make_shared<ConnectionPool>(m_loop))
  , m_random(StableHash(NewId()))
  , m_placer(aSettings.m_node.m_place,
             aSettings.m_gateway.m_regions,
             StableHash(NewId()))
  , m_retries(AllowanceOf(aSettings.m_gateway))
  , m_peers(aSettings.m_node.m_vm,
            RegionOf(aSettings.m_gateway.m_regions, aSettings.m_node.m_place))
  , m_region(RegionOf(aSettings.m_gateway.m_regions, aSettings.m_node.m_place))
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
           [this] { m_runners.NoteListTrouble(LoopNow()); } });
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
    // Every gateway uses the same port for datagrams. This one may be named.
    if (entry.m_host != m_settings.m_node.m_rpc.m_host) {
      m_peers.Hint({ entry.m_host, m_settings.m_node.m_rpc.m_port });
    }
  }
  Register();
  RunEvery(m_ticker, kTick, [this] { Tick(); });
  m_loop.run();
  Log(LogLevel::Info, "stop");
}

void
Gateway::Tick()
{
  const MonotonicTime now = LoopNow();
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
    const bool withNamed = m_ticks % kTicksPerSecond < kTicksPerBeacon;
    TellAlive(withNamed);
    TellOtherRegions(withNamed);
  } else {
    TellRegion();
  }
  if (m_ticks % kTicksPerSecond == 0) {
    TellStagers();
    m_runners.Sweep(now);
    std::erase_if(m_ownRunners, [&](const auto& aEntry) {
      return m_runners.Find(aEntry.first) == nullptr;
    });
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

bool
Gateway::IsNamed() const
{
  return TakesCallers() && ConfigAge() <= kSteerAge;
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

// Takes over what may change while the process runs: the times and the retry
// allowance of [gateway]. Settings that are refused change nothing.
void
Gateway::Reload()
{
  if (m_settingsFile.empty()) {
    return;
  }
  try {
    const GatewaySettings settings = ReadGatewaySettings(m_settingsFile);
    m_settings.m_gateway = settings.m_gateway;
    m_retries.SetAllowance(AllowanceOf(settings.m_gateway));
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
  m_leavingSince = LoopNow();
  Log(LogLevel::Info, "leaving", { { "exchanges", m_exchanges.size() } });
  m_callers->SayClose();
  TellAlive(true);
  TellOtherRegions(true);
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
  const auto since = LoopNow() - *m_leavingSince;
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

// Reads the platform's configuration, from its store or from other gateways,
// and passes it on.

#include "gateway/gateway_p.h"
#include "net/gzip_p.h"
#include "siskindeal/metrics.h"
#include "siskindeal/wire_values.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// A gateway refuses requests rather than judge them by a configuration that
// others have replaced, this long before the bound on configurations.
constexpr milliseconds kConfigMargin{ 1000 };
// After a change of the store's era all gateways register again.
constexpr milliseconds kMaxRegisterDelay{ 1000 };

} // namespace

std::optional<SiteConfig>
Gateway::ReadConfig(const SiteObject& aObject, std::string_view aSource)
{
  if (aObject.m_name != dialect::kConfigName || aObject.m_deleted) {
    return std::nullopt;
  }
  try {
    return dialect::DecodeConfig(aObject);
  } catch (const std::invalid_argument& error) {
    Log(
      LogLevel::Error,
      "configuration rejected",
      { { "source", aSource }, { "reason", std::string_view(error.what()) } });
    return std::nullopt;
  }
}

bool
Gateway::ApplyConfig(SiteConfig aConfig,
                     std::size_t aBytes,
                     std::string_view aSource)
{
  if (m_routes && aConfig.m_version <= m_routes->Config().m_version) {
    return false;
  }
  Log(LogLevel::Info,
      "configuration applied",
      { { "version", aConfig.m_version },
        { "routes", aConfig.m_routes.size() },
        { "teams", aConfig.m_teams.size() },
        { "source", aSource },
        { "bytes", aBytes },
        { "known_lag_ms", m_configLag.Duration(LoopNow()).count() } });
  for (HttpListener* listener : { m_callerListener.get(),
                                  m_readyListener.get(),
                                  m_directoryListener.get() }) {
    listener->m_limits = aConfig.m_limits;
  }
  LogUnknownHomes(aConfig);
  if (!m_routes) {
    m_firstConfigAt = LoopNow();
    m_suspicionStore.ReadSoon();
  }
  m_routes = std::make_shared<const RouteIndex>(std::move(aConfig));
  std::set<std::string> routes;
  for (const Route& route : m_routes->Config().m_routes) {
    routes.insert(route.m_name);
  }
  m_durations.Retain(routes);
  UpdateColdRunners();
  return true;
}

void
Gateway::LogUnknownHomes(const SiteConfig& aConfig) const
{
  constexpr std::size_t kMaxLines = 10; // of one configuration
  const std::vector<UnknownHome> unknown =
    FindUnknownHomes(aConfig, m_settings.m_gateway.m_regions);
  CountMetric("siskindeal_gateway_unknown_home_regions_total",
              {},
              static_cast<double>(unknown.size()));
  for (std::size_t i = 0; i < std::min(unknown.size(), kMaxLines); ++i) {
    Log(LogLevel::Warning,
        "unknown home region",
        { { "entry", unknown[i].m_entry },
          { "region", unknown[i].m_region },
          { "version", aConfig.m_version },
          { "unknown", unknown.size() } });
  }
}

void
Gateway::OnStoredConfig(const SiteObject& aObject)
{
  std::optional<SiteConfig> config = ReadConfig(aObject, "store");
  if (!config) {
    return;
  }
  RecordStoredConfig({ m_configFeed->Era(), config->m_version });
  if (ApplyConfig(std::move(*config), aObject.m_spec.size(), "store")) {
    m_configSpec =
      std::make_shared<const std::string>(Compress(aObject.m_spec));
  }
}

std::vector<std::shared_ptr<ObjectFeed>>
Gateway::SharedFeeds() const
{
  std::vector<std::shared_ptr<ObjectFeed>> feeds = { m_configFeed,
                                                     m_runnerFeed,
                                                     m_versionFeed };
  if (m_evacuationFeed) {
    feeds.push_back(m_evacuationFeed);
  }
  return feeds;
}

void
Gateway::RecordStoredConfig(const StoredConfig& aStored)
{
  m_storedConfig = std::max(m_storedConfig, aStored);
}

void
Gateway::RecordConfigKnown(milliseconds aKnownUntil)
{
  // A store that has lost this version may have lost later ones too.
  const bool isLost =
    m_routes && m_storedConfig.m_version < m_routes->Config().m_version;
  if (isLost != m_configIsLost) {
    m_configIsLost = isLost;
    Log(LogLevel::Warning,
        isLost ? "configuration lost by the store"
               : "configuration in the store again",
        { { "version", m_routes ? m_routes->Config().m_version : 0 },
          { "stored", m_storedConfig.m_version },
          { "era", m_storedConfig.m_era },
          { "age_ms", ConfigAge().count() } });
  }
  if (!isLost) {
    m_configKnownUntil =
      std::max(m_configKnownUntil.value_or(aKnownUntil), aKnownUntil);
  }
}

void
Gateway::OnStoreEra(std::uint64_t aEra)
{
  if (aEra <= m_storeEra) {
    return;
  }
  const bool isFirst = m_storeEra == 0;
  m_storeEra = aEra;
  RecordStoredConfig({ aEra, 0 });
  if (isFirst) {
    return;
  }
  // Runners write their entries again.
  m_runners.RecordListRebuilt(LoopNow());
  m_suspicionStore.RecordNewEra();
  for (const auto& feed : SharedFeeds()) {
    feed->ObserveEra(aEra);
  }
  RegisterAfter(milliseconds(m_random.Below(kMaxRegisterDelay.count())));
}

void
Gateway::OnConfigReply(const v1::ConfigReply& aReply,
                       milliseconds aKnownUntil,
                       const std::string& aPeer)
{
  if (!aReply.spec().empty()) {
    SiteObject object;
    try {
      object = DecodeConfigReply(aReply);
    } catch (const std::invalid_argument& error) {
      Log(
        LogLevel::Error,
        "configuration rejected",
        { { "source", aPeer }, { "reason", std::string_view(error.what()) } });
      return;
    }
    auto config = ReadConfig(object, aPeer);
    if (config &&
        ApplyConfig(std::move(*config), object.m_spec.size(), aPeer)) {
      m_configSpec = std::make_shared<const std::string>(aReply.spec());
    }
  }
  MergeNamedVersions(aReply.named());
  if (aReply.has_runners()) {
    const milliseconds knownUntil =
      aKnownUntil + OffsetFromWire(aReply.runners().known_until_ms()) -
      OffsetFromWire(aReply.known_until_ms());
    OnRunnerListReply(
      aReply.runners(), std::min(knownUntil, BootTime()), aPeer);
  }
  if (m_routes && m_routes->Config().m_version >= aReply.version()) {
    OnConfigKnownByPeer(aReply, aKnownUntil);
  }
}

void
Gateway::OnConfigKnownByPeer(const v1::ConfigReply& aReply,
                             milliseconds aKnownUntil)
{
  if (aReply.era() < m_configFeed->Era()) {
    return;
  }
  OnStoreEra(aReply.era());
  m_configFeed->RecordKnown({ aReply.era(), aReply.revision() }, aKnownUntil);
  RecordStoredConfig({ aReply.era(),
                       aReply.has_stored_version() ? aReply.stored_version()
                                                   : aReply.version() });
  RecordConfigKnown(aKnownUntil);
  PublishConfig();
}

ConfigKnowledge
Gateway::OwnConfig() const
{
  ConfigKnowledge own;
  // Without the list, the beacons of the first seconds show who else runs.
  constexpr milliseconds kMaxListTime{ 2000 };
  const MonotonicTime knownAt =
    m_gatewaysKnownAt.value_or(m_startedAt + kMaxListTime);
  own.m_knowsOthersFor =
    std::chrono::duration_cast<milliseconds>(LoopNow() - knownAt);
  if (m_routes && m_configKnownUntil) {
    own.m_version = m_routes->Config().m_version;
    if (const auto runnersKnown = m_runnerFeed->KnownUntil()) {
      own.m_age = std::max(ConfigAge(), BootTime() - *runnersKnown);
    }
  }
  own.m_readsFirst = m_readsStore && !own.m_age &&
                     m_configFeed->Failures() == 0 &&
                     m_runnerFeed->Failures() == 0;
  return own;
}

ConfigQuestion
Gateway::OwnQuestion() const
{
  constexpr milliseconds kUnknownAge = std::chrono::hours(1);
  const ConfigKnowledge own = OwnConfig();
  ConfigQuestion question;
  question.m_version = own.m_version;
  question.m_age = own.m_age.value_or(kUnknownAge);
  question.m_runners = m_runnerList.Mark();
  return question;
}

void
Gateway::PublishConfig()
{
  const auto runnersKnown = m_runnerFeed->KnownUntil();
  if (m_routes && m_configKnownUntil && runnersKnown) {
    const StorePosition& position = m_configFeed->Position();
    m_configServer.Update(
      { m_routes->Config().m_version,
        position,
        *m_configKnownUntil,
        m_configSpec,
        *runnersKnown,
        m_storedConfig.m_era == position.m_era ? m_storedConfig.m_version : 0,
        m_runnerOutage.WithoutGapSince() });
  }
}

void
Gateway::UpdateConfigSources()
{
  const MonotonicTime now = LoopNow();
  const ConfigKnowledge own = OwnConfig();
  const std::vector<ConfigHolder> holders = m_peers.ConfigHolders(now);
  std::uint64_t newest = 0;
  for (const ConfigHolder& holder : holders) {
    newest = std::max(newest, holder.m_version);
  }
  const bool wasSuperseded = ConfigIsSuperseded();
  m_configLag.Record(newest, own.m_version, now);
  if (!wasSuperseded && ConfigIsSuperseded()) {
    CountMetric("siskindeal_gateway_config_superseded_total");
    Log(LogLevel::Warning,
        "configuration superseded",
        { { "version", own.m_version },
          { "newest", newest },
          { "age_ms", ConfigAge().count() } });
  }
  const ConfigSources sources =
    ChooseConfigSources(m_settings.m_node.m_vm, own, holders);
  if (sources.m_store != m_readsStore) {
    m_readsStore = sources.m_store;
    Log(LogLevel::Info,
        "configuration source changed",
        { { "store", sources.m_store },
          { "peer", sources.m_peer ? sources.m_peer->m_vm : "" },
          { "age_ms", ConfigAge().count() } });
  }
  for (const auto& feed : SharedFeeds()) {
    feed->SetActive(sources.m_store);
  }
  m_configFollower->Follow(sources.m_peer);
}

bool
Gateway::ConfigIsSuperseded() const
{
  const milliseconds within = m_settings.m_gateway.m_configWithin;
  return m_configLag.Duration(LoopNow()) >
         std::max(within - kConfigMargin, within / 2);
}

} // namespace siskindeal

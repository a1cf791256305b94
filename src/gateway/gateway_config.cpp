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

} // namespace

bool
Gateway::ApplyConfig(const SiteObject& aObject, std::string_view aSource)
{
  if (aObject.m_name != dialect::kConfigName || aObject.m_deleted) {
    return false;
  }
  try {
    SiteConfig config = dialect::DecodeConfig(aObject);
    if (m_routes && config.m_version <= m_routes->Config().m_version) {
      return false;
    }
    Log(LogLevel::Info,
        "configuration applied",
        { { "version", config.m_version },
          { "routes", config.m_routes.size() },
          { "teams", config.m_teams.size() },
          { "source", aSource },
          { "bytes", aObject.m_spec.size() },
          { "known_lag_ms", m_configLag.Duration(LoopNow()).count() } });
    for (HttpListener* listener : { m_callerListener.get(),
                                    m_readyListener.get(),
                                    m_directoryListener.get() }) {
      listener->m_limits = config.m_limits;
    }
    m_routes = std::make_shared<const RouteIndex>(std::move(config));
  } catch (const std::invalid_argument& error) {
    Log(
      LogLevel::Error,
      "configuration rejected",
      { { "source", aSource }, { "reason", std::string_view(error.what()) } });
    return false;
  }
  return true;
}

void
Gateway::OnStoredConfig(const SiteObject& aObject)
{
  if (ApplyConfig(aObject, "store")) {
    m_configSpec =
      std::make_shared<const std::string>(Compress(aObject.m_spec));
  }
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
    if (ApplyConfig(object, aPeer)) {
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
    m_configFeed->RecordKnown(aReply.revision(), aKnownUntil);
    PublishConfig();
  }
}

ConfigKnowledge
Gateway::OwnConfig() const
{
  ConfigKnowledge own;
  own.m_uptime =
    std::chrono::duration_cast<milliseconds>(LoopNow() - m_startedAt);
  if (m_routes && m_configFeed->KnownUntil()) {
    own.m_version = m_routes->Config().m_version;
    if (const auto runnersKnown = m_runnerFeed->KnownUntil()) {
      own.m_age = std::max(ConfigAge(), BootTime() - *runnersKnown);
    }
  }
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
  if (m_routes && m_configFeed->KnownUntil() && runnersKnown) {
    m_configServer.Update({ m_routes->Config().m_version,
                            m_configFeed->Revision(),
                            *m_configFeed->KnownUntil(),
                            m_configSpec,
                            *runnersKnown });
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
  for (const auto& feed : { m_configFeed, m_runnerFeed, m_versionFeed }) {
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

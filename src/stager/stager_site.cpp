// Reads versions, the configuration and the runner list from the platform's
// store.

#include "siskindeal/log.h"
#include "siskindeal/wire_values.h"
#include "site/config_relay_p.h"
#include "site/site_objects_p.h"
#include "stager/stager_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStoreTimeout{ 1500 };
constexpr milliseconds kConfigMinAge{ 8000 }; // randomly up to twice as long
// Of a version found by a process that hasn't read the store before.
constexpr milliseconds kMaxAssumedAge{ 3000 };
// Gateways tell a new stager of themselves once a second.
constexpr milliseconds kGatewayDiscoveryTime{ 1500 };

void
LogRejectedConfig(const std::invalid_argument& aError)
{
  Log(LogLevel::Error,
      "configuration rejected",
      { { "reason", std::string_view(aError.what()) } });
}

// True if every route to the service allows repeating requests elsewhere.
bool
AllRequestsRepeatable(const SiteConfig& aConfig, const std::string& aService)
{
  return std::all_of(
    aConfig.m_routes.begin(), aConfig.m_routes.end(), [&](const auto& aRoute) {
      const bool served = std::any_of(
        aRoute.m_shares.begin(),
        aRoute.m_shares.end(),
        [&](const auto& aShare) { return aShare.m_service == aService; });
      return !served || aRoute.IsRetryable();
    });
}
} // namespace

void
Stager::OnVersion(const SiteObject& aObject)
{
  const auto named = ReadNamedVersion(aObject);
  if (!named) {
    return;
  }
  const milliseconds now = BootTime();
  const auto unseen = m_versionFeed->UnseenFor();
  const bool isNewest =
    unseen == milliseconds(0)
      ? m_named.Record(named->m_model, named->m_version, now)
      : m_named.RecordAssumed(named->m_model,
                              named->m_version,
                              now - unseen.value_or(kMaxAssumedAge));
  if (isNewest) {
    OnNewestVersion(named->m_model, named->m_version);
  }
}

void
Stager::UpdateVersionFeed()
{
  const MonotonicTime now = LoopNow();
  const bool gatewaysReport =
    std::any_of(m_gateways.begin(), m_gateways.end(), [&](const auto& aEntry) {
      const KnownGateway& gateway = aEntry.second;
      return now - gateway.m_lastSeen < kGatewayTimeout &&
             gateway.m_configPort != 0 && gateway.m_configAge < kGatewayTimeout;
    });
  m_versionFeed->SetActive(!gatewaysReport &&
                           now - m_startedAt >= kGatewayDiscoveryTime);
}

void
Stager::OnNewestVersion(const std::string& aModel, std::uint64_t aVersion)
{
  const auto namedAt = m_named.NamedAt(aModel, aVersion);
  Log(LogLevel::Info,
      "weights named",
      { { "model", aModel },
        { "version", aVersion },
        { "age_ms", namedAt ? (BootTime() - *namedAt).count() : 0 },
        { "assumed", !m_named.Assumed(aModel).empty() } });
  if (!m_model.empty()) {
    ReadPeers();
  }
}

// Other processes report versions too, as the store may refuse only this VM.
void
Stager::RecordNamed(
  const google::protobuf::RepeatedPtrField<v1::NamedAge>& aNamed)
{
  for (const v1::NamedAge& named : aNamed) {
    if (RecordNamedAge(m_named, named, BootTime())) {
      OnNewestVersion(named.model(), named.version());
    }
  }
}

void
Stager::ReadConfigIfStale()
{
  const milliseconds age =
    kConfigMinAge + milliseconds(m_random.Below(kConfigMinAge.count()));
  if (!m_origin || LoopNow() - m_configReadAt >= age) {
    ReadConfig();
  }
}

void
Stager::ReadConfig()
{
  if (m_readingConfig) {
    return; // a second copy would only delay the first
  }
  const MonotonicTime now = LoopNow();
  const std::optional<Address> gateway = ChooseConfigGateway();
  const bool mayAskStore = m_storeFallback.IsDue(now);
  if (gateway && !(m_gatewayFailed && mayAskStore)) {
    m_readingConfig = true;
    m_configReadAt = now;
    ReadConfigFromGateway(*gateway);
  } else if (mayAskStore) {
    m_readingConfig = true;
    m_configReadAt = now;
    m_storeFallback.RecordAttempt(now);
    ReadConfigFromStore();
  }
}

std::optional<Address>
Stager::ChooseConfigGateway()
{
  std::vector<Address> gateways;
  for (const auto& [key, gateway] : m_gateways) {
    if (gateway.m_configPort != 0 &&
        LoopNow() - gateway.m_lastSeen < kGatewayTimeout) {
      gateways.push_back({ gateway.m_address.m_host, gateway.m_configPort });
    }
  }
  if (gateways.empty()) {
    return std::nullopt;
  }
  return gateways[m_random.Below(gateways.size())];
}

void
Stager::ReadConfigFromGateway(const Address& aGateway)
{
  CallBuffered(m_loop,
               m_pool,
               aGateway,
               "GET",
               ConfigQuestion{}.Target(),
               {},
               kStoreTimeout,
               [this](const BufferedResponse& aAnswer) {
                 m_readingConfig = false;
                 v1::ConfigReply reply;
                 m_gatewayFailed = aAnswer.m_status != 200 ||
                                   !reply.ParseFromString(aAnswer.m_body) ||
                                   reply.spec().empty();
                 if (m_gatewayFailed) {
                   return; // another gateway or the store is asked next
                 }
                 try {
                   OnConfig(DecodeConfigReply(reply));
                 } catch (const std::invalid_argument& error) {
                   m_gatewayFailed = true;
                   LogRejectedConfig(error);
                 }
               });
}

void
Stager::ReadConfigFromStore()
{
  ListAllowingStale(dialect::kConfigKind,
                    [this](const BufferedResponse& aAnswer) {
                      m_readingConfig = false;
                      m_gatewayFailed = false;
                      OnStoredConfig(aAnswer);
                    });
}

// Lists objects as of some seconds ago, at a tenth of the cost to the store.
void
Stager::ListAllowingStale(std::string_view aKind,
                          std::function<void(BufferedResponse)> aDone)
{
  CallBuffered(m_loop,
               m_pool,
               m_store,
               "GET",
               dialect::ListPath(aKind, {}, dialect::Freshness::MayBeStale),
               {},
               kStoreTimeout,
               std::move(aDone));
}

void
Stager::OnStoredConfig(const BufferedResponse& aAnswer)
{
  if (aAnswer.m_status != 200) {
    return; // retried later
  }
  try {
    for (const SiteObject& object :
         dialect::DecodeList(aAnswer.m_body).m_objects) {
      if (object.m_name == dialect::kConfigName) {
        OnConfig(object);
      }
    }
  } catch (const std::invalid_argument& error) {
    LogRejectedConfig(error);
  }
}

void
Stager::OnConfig(const SiteObject& aObject)
{
  const SiteConfig config = dialect::DecodeConfig(aObject);
  m_storeFallback.RecordSuccess();
  m_requestsRepeatable =
    AllRequestsRepeatable(config, m_settings.m_stager.m_service);
  for (const auto& [name, service] : config.m_services) {
    if (service.m_origin) {
      m_origin = service.m_origin;
      m_originRegion = RegionOf(m_settings.m_stager.m_regions, service.m_place);
    }
    if (name == m_settings.m_stager.m_service) {
      m_service = service;
    }
  }
  if (m_service && m_service->m_engine &&
      !m_service->m_engine->m_models.empty()) {
    const bool isFirst = m_model.empty();
    m_model = m_service->m_engine->m_models.front();
    if (isFirst) {
      ReadPeers();
    }
  }
}

void
Stager::ReadPeers()
{
  if (m_readingPeers) {
    return;
  }
  m_readingPeers = true;
  m_peersReadAt = LoopNow();
  ListAllowingStale(dialect::kRunnerKind,
                    [this](const BufferedResponse& aAnswer) {
                      m_readingPeers = false;
                      m_peersAnsweredAt = m_peersAnsweredAt.value_or(LoopNow());
                      OnPeers(aAnswer);
                    });
}

void
Stager::OnPeers(const BufferedResponse& aAnswer)
{
  if (aAnswer.m_status != 200) {
    return;
  }
  SiteObjects objects;
  try {
    objects = dialect::DecodeList(aAnswer.m_body);
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "runner list rejected",
        { { "reason", std::string_view(error.what()) } });
    return;
  }
  LogRejected(dialect::kRunnerKind, objects);
  const std::string& ownHost = m_settings.m_node.m_rpc.m_host;
  for (const RunnerRecord& runner : ReadRunners(objects.m_objects)) {
    const std::string& host = runner.m_address.m_host;
    if (runner.m_service == m_settings.m_stager.m_service && host != ownHost) {
      m_peerHosts[host] =
        RegionOf(m_settings.m_stager.m_regions, runner.m_place);
    }
  }
}

} // namespace siskindeal

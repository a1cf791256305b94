// The gateway's own endpoints: readiness, the directory of gateways, metrics
// and state.

#include "gateway/gateway_p.h"
#include "net/query_p.h"
#include "siskindeal/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Returns true if the request is for aPath, ignoring its query; otherwise
// responds with 404.
bool
RequirePath(ServerConnection& aConnection, std::string_view aPath)
{
  const std::string_view target = aConnection.Request().m_target;
  if (target.substr(0, target.find('?')) == aPath) {
    return true;
  }
  aConnection.SendResponse(404, {}, {}, "not found");
  return false;
}
} // namespace

void
Gateway::HandleReady(const std::shared_ptr<ServerConnection>& aConnection)
{
  if (!RequirePath(*aConnection, dialect::kReadyPath)) {
    return;
  }
  if (AcceptsCallers()) {
    aConnection->SendResponse(200, {}, {}, "ready");
  } else {
    aConnection->SendResponse(
      503,
      {},
      {},
      m_drainingSince ? "leaving"
                      : "configuration, runner list or evacuations not loaded");
  }
}

void
Gateway::HandleDirectory(const std::shared_ptr<ServerConnection>& aConnection)
{
  if (!RequirePath(*aConnection, dialect::kResolvePath)) {
    return;
  }
  std::vector<ServingGateway> serving = m_peers.Serving(LoopNow());
  if (IsAdvertised() || (AcceptsCallers() && serving.empty())) {
    serving.push_back({ m_settings.m_node.m_http, m_region });
  }
  if (serving.empty()) {
    aConnection->SendResponse(503, {}, {}, "no gateway is serving");
    return;
  }
  const std::string region =
    QueryValue(aConnection->Request().m_target, dialect::kCallerRegion);
  RecordDirectoryAnswer(serving, region);
  const std::string host =
    QueryValue(aConnection->Request().m_target, dialect::kResolvedHost);
  const std::vector<Address> addresses =
    ListGateways(std::move(serving),
                 region,
                 m_routes ? m_routes->HomesOf(host) : HomeRegions(),
                 m_random);
  HttpFields fields;
  fields.Add("Content-Type", "application/json");
  aConnection->SendResponse(
    200,
    {},
    fields,
    dialect::EncodeDirectory(addresses, m_settings.m_gateway.m_answerLifetime));
}

void
Gateway::RecordDirectoryAnswer(const std::vector<ServingGateway>& aServing,
                               const std::string& aCallerRegion)
{
  constexpr std::chrono::seconds kLogInterval{ 1 };
  const auto local = static_cast<std::size_t>(std::count_if(
    aServing.begin(), aServing.end(), [&](const ServingGateway& aGateway) {
      return aGateway.m_region == aCallerRegion;
    }));
  const bool isLocal = local >= kMinListedAddresses || local == aServing.size();
  CountMetric("siskindeal_gateway_directory_answers_total",
              { { "listed", isLocal ? "own region" : "other regions" } });
  if (isLocal || LoopNow() - m_foreignAnswerLoggedAt < kLogInterval) {
    return;
  }
  m_foreignAnswerLoggedAt = LoopNow();
  LogRequest(LogLevel::Info,
             "callers told of other regions",
             { { "region", aCallerRegion },
               { "serving_there", local },
               { "serving", aServing.size() },
               { "advertised", IsAdvertised() },
               { "config_age_ms", ConfigAge().count() } });
}

void
Gateway::HandleAdmin(const std::shared_ptr<ServerConnection>& aConnection)
{
  const std::string& target = aConnection->Request().m_target;
  if (target == "/metrics") {
    aConnection->SendResponse(200, {}, {}, MetricsText());
  } else if (target == "/state") {
    aConnection->SendResponse(200, {}, {}, StateJson());
  } else if (target.rfind(std::string(kConfigPath) + "?", 0) == 0) {
    m_configServer.Answer(aConnection);
  } else {
    aConnection->SendResponse(404, {}, {}, "not found");
  }
}

std::string
Gateway::StateJson() const
{
  nlohmann::json runners = nlohmann::json::array();
  for (const auto& [id, state] : m_runners.All()) {
    const RunnerIncarnation incarnation = state.m_record.Incarnation();
    const auto limit = m_limits.LimitOf(incarnation);
    runners.push_back(
      { { "id", id },
        { "born", state.m_record.m_born },
        { "service", state.m_record.m_service },
        { "address", state.m_record.m_address.ToString() },
        { "draining", state.m_record.m_draining },
        { "missing", state.m_missingSince.has_value() },
        { "own", state.m_ownLoad.m_requests },
        { "others", state.m_peerLoad.m_requests },
        { "told", state.m_reportedRequests },
        { "limit", limit ? nlohmann::json(*limit) : nlohmann::json() },
        { "leaving", m_notices.IsLeaving(incarnation) },
        { "wait_ms", m_notices.RetryAfter({ incarnation }, LoopNow()).count() },
        { "versions", state.m_record.m_versions } });
  }
  nlohmann::json suspects = nlohmann::json::array();
  for (const SuspicionListing& one : m_suspicions.List()) {
    suspects.push_back(
      { { "fingerprint", one.m_fingerprint },
        { "crashes", one.m_crashes },
        { "quarantined", one.m_state == SuspicionState::Quarantined } });
  }
  nlohmann::json parts = nlohmann::json::array();
  for (const SuspectedPart& one : m_suspicions.SuspectedParts()) {
    parts.push_back({ { "part", one.m_part },
                      { "crashes", one.m_crashes },
                      { "quarantined", one.m_quarantined } });
  }
  return nlohmann::json{
    { "vm", m_settings.m_node.m_vm },
    { "config", m_routes ? m_routes->Config().m_version : 0 },
    { "config_age_ms", ConfigAge().count() },
    { "evacuated", m_evacuations.Places() },
    { "evacuations_known", m_evacuations.Known().has_value() },
    { "exchanges", m_exchanges.size() },
    { "gateways", m_peers.Count() },
    { "idle_connections", m_pool->IdleCount() },
    { "leaving", m_drainingSince.has_value() },
    { "runners", std::move(runners) },
    { "suspects", std::move(suspects) },
    { "suspected_parts", std::move(parts) }
  }.dump(2);
}

} // namespace siskindeal

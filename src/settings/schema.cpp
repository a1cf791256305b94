#include "settings/schema_p.h"

#include "rollout/policy_p.h"
#include "siskindeal/registry.h"
#include "siskindeal/routing.h"

namespace siskindeal {

namespace {

constexpr double kHourMs = 3600.0 * 1000;
constexpr Bounds kAtLeastOne{ 1 };
constexpr Bounds kShare{ 0, 1 };
constexpr Bounds kAnySize{ 0, 1e15 };
constexpr Bounds kDuration{ 1, 24 * kHourMs };
constexpr Bounds kRate{ 0.001, 1e9 };

void
Append(SettingTable& aTable, SettingTable aRows)
{
  for (Setting& row : aRows) {
    aTable.push_back(std::move(row));
  }
}

SettingTable
NodeRows(NodeSettings& aNode)
{
  return {
    { "node",
      "vm",
      &aNode.m_vm,
      "name of this VM, unique in the fleet",
      Need::Required },
    { "node", "place", &aNode.m_place, "place this VM is in", Need::Required },
    { "node",
      "rpc",
      &aNode.m_rpc,
      "where siskindeal's other processes connect; port 0 picks a free one",
      Need::Required },
    { "node",
      "advertise",
      &aNode.m_advertise,
      "where siskindeal's other processes reach rpc, if not at its own "
      "address" },
    { "node",
      "http",
      &aNode.m_http,
      "where callers and operators connect; on an agent only metrics, health "
      "and state",
      Need::Required },
    { "node",
      "log_level",
      WordField{ &aNode.m_logLevel, { "debug", "info", "warning", "error" } },
      "least level that is logged" },
    { "node",
      "entries",
      &aNode.m_entries,
      "rpc addresses of entries to contact first; its own is allowed" },
  };
}

SettingTable
AuthRows(AuthSettings& aAuth)
{
  return {
    { "auth",
      "active_key",
      &aAuth.m_activeKey,
      "name of the key that signs; every key listed is accepted",
      Need::Required },
    { "auth",
      "keys",
      SecretsField{ &aAuth.m_keys },
      "the shared keys by name, secrets of 16 characters or more",
      Need::Required },
  };
}

SettingTable
PlatformRows(PlatformSettings& aPlatform)
{
  return {
    { "platform",
      "url",
      UrlField{ &aPlatform.m_url },
      "the platform's object API",
      Need::Required },
    { "platform",
      "timeout",
      &aPlatform.m_timeout,
      "longest wait for an answer, a watch's own wait apart",
      Need::Optional,
      kDuration },
    { "platform",
      "reads_per_second",
      &aPlatform.m_readsPerSecond,
      "this process's budget of reads, a waiting watch counted as one",
      Need::Optional,
      kRate },
    { "platform",
      "writes_per_second",
      &aPlatform.m_writesPerSecond,
      "this process's budget of writes",
      Need::Optional,
      kRate },
  };
}

SettingTable
HttpRows(HttpSettings& aHttp)
{
  return {
    { "http",
      "body_bytes",
      BytesField{ &aHttp.m_bodyBytes },
      "largest body of a request; a larger one is refused with 413",
      Need::Optional,
      kAnySize },
    { "http",
      "header_bytes",
      BytesField{ &aHttp.m_headerBytes },
      "largest headers of a request, all together; larger ones are refused "
      "with 431",
      Need::Optional,
      kAnySize },
    { "http",
      "connections",
      &aHttp.m_connections,
      "connections of callers at once",
      Need::Optional,
      kAtLeastOne },
    { "http",
      "streams",
      &aHttp.m_streams,
      "streamed answers at once",
      Need::Optional,
      kAtLeastOne },
    { "http",
      "request_timeout",
      &aHttp.m_requestTimeout,
      "deadline of a request that names none",
      Need::Optional,
      kDuration },
  };
}

SettingTable
RoutingRows(RoutingSettings& aRouting)
{
  return {
    { "routing",
      "policy",
      WordField{ &aRouting.m_policy,
                 Registry<RoutingPolicy>::Instance().Names() },
      "routing policy" },
    { "routing",
      "answer_lifetime",
      &aRouting.m_answerLifetime,
      "how long a caller may keep the answer of GET /v1/entry",
      Need::Optional,
      kDuration },
    { "routing",
      "retries",
      &aRouting.m_retries,
      "tries of one request after the first, while it provably hasn't run or "
      "may be repeated" },
    { "routing",
      "retry_budget",
      &aRouting.m_retryBudget,
      "retries a request over the last seconds, at most",
      Need::Optional,
      kShare },
  };
}

SettingTable
AdmissionRows(AdmissionSettings& aAdmission)
{
  return {
    { "admission",
      "queue",
      &aAdmission.m_queue,
      "requests that wait for a slot, all teams together" },
    { "admission",
      "longest_wait",
      &aAdmission.m_longestWait,
      "a request that would wait longer is refused",
      Need::Optional,
      kDuration },
  };
}

SettingTable
MembershipRows(MembershipSettings& aMembership)
{
  return {
    { "membership",
      "heartbeat",
      &aMembership.m_heartbeat,
      "time between two exchanges with another process",
      Need::Optional,
      kDuration },
    { "membership",
      "unreachable_after",
      &aMembership.m_unreachableAfter,
      "silence after which a process gets no new work",
      Need::Optional,
      kDuration },
    { "membership",
      "entries_per_agent",
      &aMembership.m_entriesPerAgent,
      "entries that an agent exchanges with",
      Need::Optional,
      kAtLeastOne },
  };
}

SettingTable
LeaseRows(LeaseSettings& aLease)
{
  return {
    { "lease",
      "duration",
      &aLease.m_duration,
      "how long a planner's lease lasts unless renewed",
      Need::Optional,
      kDuration },
    { "lease",
      "target_shards",
      &aLease.m_targetShards,
      "leases that the targets are divided among; the same on every entry",
      Need::Optional,
      { 1, 1024 } },
  };
}

SettingTable
RolloutRows(RolloutSettings& aRollout)
{
  return {
    { "rollout",
      "policy",
      WordField{ &aRollout.m_policy,
                 RolloutPolicyRegistry::Instance().Names() },
      "rollout policy" },
    { "rollout",
      "time_weight",
      &aRollout.m_timeWeight,
      "1: only time to N replicas counts; 0: only origin bytes count; a target "
      "may say otherwise",
      Need::Optional,
      kShare },
    { "rollout",
      "most_out_of_service",
      &aRollout.m_mostOutOfService,
      "VMs of a service that a change takes out of service at once",
      Need::Optional,
      kAtLeastOne },
    { "rollout",
      "store_url",
      UrlField{ &aRollout.m_storeUrl },
      "the weight store, which knows the manifests of releases",
      Need::Optional },
  };
}

SettingTable
DrainRows(DrainSettings& aDrain)
{
  return {
    { "drain",
      "longest",
      &aDrain.m_longest,
      "after SIGTERM, how long requests in progress may take to end",
      Need::Optional,
      kDuration },
  };
}

SettingTable
UpstreamRows(UpstreamSettings& aUpstream)
{
  return {
    { "upstream",
      "service",
      &aUpstream.m_service,
      "service that the upstream on this VM belongs to",
      Need::Required },
    { "upstream",
      "url",
      UrlField{ &aUpstream.m_url },
      "the upstream on this VM",
      Need::Required },
    { "upstream",
      "kind",
      &aUpstream.m_kind,
      "a model engine, or any other HTTP service" },
    { "upstream",
      "checks_orders",
      &aUpstream.m_checksOrders,
      "the engine itself refuses an order with an old fencing token" },
    { "upstream",
      "checks_callers",
      &aUpstream.m_checksCallers,
      "the upstream authenticates who gives it an order; else only its agent "
      "may reach it" },
    { "upstream",
      "accepts_idempotency_key",
      &aUpstream.m_acceptsIdempotencyKey,
      "the upstream drops duplicates by idempotency key itself" },
    { "upstream",
      "slots",
      &aUpstream.m_slots,
      "requests that the upstream runs at once",
      Need::Optional,
      kAtLeastOne },
    { "upstream",
      "load_period",
      &aUpstream.m_loadPeriod,
      "time between two readings of the upstream's load",
      Need::Optional,
      kDuration },
  };
}

SettingTable
WeightsRows(WeightsSettings& aWeights)
{
  return {
    { "weights",
      "store_url",
      UrlField{ &aWeights.m_storeUrl },
      "the weight store and origin; required for a model engine" },
    { "weights",
      "window",
      &aWeights.m_window,
      "chunks held in memory at once",
      Need::Optional,
      { 1, 64 } },
    { "weights",
      "upload_slots",
      &aWeights.m_uploadSlots,
      "chunks served to peers at once",
      Need::Optional,
      { 0, 64 } },
    { "weights",
      "link_bytes_per_second",
      BytesField{ &aWeights.m_linkBytesPerSecond },
      "most that weights take of the VM's link, in and out together; 0: no "
      "limit by the agent",
      Need::Optional,
      kAnySize },
    { "weights",
      "chunk_timeout",
      &aWeights.m_chunkTimeout,
      "a chunk that takes longer is asked for elsewhere",
      Need::Optional,
      kDuration },
  };
}

SettingTable
ClaimRows(ClaimSettings& aClaims)
{
  return {
    { "claims",
      "retention",
      &aClaims.m_retention,
      "how long the outcome of a request with a key is remembered",
      Need::Optional,
      kDuration },
    { "claims",
      "most",
      &aClaims.m_most,
      "claims remembered; beyond it new ones are refused with \"not run\"",
      Need::Optional,
      kAtLeastOne },
    { "claims",
      "answer_bytes",
      BytesField{ &aClaims.m_answerBytes },
      "stored answers, all together",
      Need::Optional,
      kAnySize },
    { "claims",
      "commit_period",
      &aClaims.m_commitPeriod,
      "least time between two writes of a shard; claims are gathered meanwhile",
      Need::Optional,
      kDuration },
  };
}

SettingTable
GatewayRows(GatewayRoleSettings& aGateway)
{
  return {
    { "gateway",
      "ready",
      &aGateway.m_ready,
      "where the platform asks whether this gateway takes callers",
      Need::Required },
    { "gateway",
      "directory",
      &aGateway.m_directory,
      "where callers ask for the addresses to connect to",
      Need::Required },
    { "gateway",
      "regions",
      NamesField{ &aGateway.m_regions },
      "the region of each place" },
    { "gateway",
      "answer_lifetime",
      &aGateway.m_answerLifetime,
      "how long callers keep the addresses that they are told",
      Need::Optional,
      kDuration },
    { "gateway",
      "revoke_within",
      &aGateway.m_revokeWithin,
      "longest use of a key after its removal; keyed requests are refused "
      "while the configuration may be older",
      Need::Optional,
      kDuration },
    { "gateway",
      "version_within",
      &aGateway.m_versionWithin,
      "longest use of old weights after new ones are named",
      Need::Optional,
      kDuration },
    { "gateway",
      "grace_seconds",
      &aGateway.m_graceSeconds,
      "seconds between SIGTERM and SIGKILL",
      Need::Optional,
      kRate },
    { "gateway",
      "retry_ratio",
      &aGateway.m_retryRatio,
      "further sends to a service's runners for each request, over all "
      "gateways",
      Need::Optional,
      kShare },
    { "gateway",
      "retry_window_seconds",
      &aGateway.m_retryWindowSeconds,
      "seconds over which retry_ratio and retry_slack hold",
      Need::Optional,
      kRate },
    { "gateway",
      "retry_slack",
      &aGateway.m_retrySlack,
      "further sends in a window beside retry_ratio, over all gateways",
      Need::Optional,
      kRate },
  };
}

SettingTable
StagerRows(StagerRoleSettings& aStager)
{
  return {
    { "stager",
      "runner",
      &aStager.m_runner,
      "address of this VM's model runner",
      Need::Required },
    { "stager",
      "service",
      &aStager.m_service,
      "service that the runner belongs to",
      Need::Required },
    { "stager",
      "regions",
      NamesField{ &aStager.m_regions },
      "the region of each place" },
    { "stager",
      "version_within",
      &aStager.m_versionWithin,
      "longest time from the naming of new weights until the runner has them",
      Need::Optional,
      kDuration },
    { "stager",
      "link_megabits",
      &aStager.m_linkMegabits,
      "megabits a second of this VM's link, which pieces share with the "
      "runner's answers; 0 doesn't pace them",
      Need::Optional,
      kAnySize },
  };
}

SettingTable
ClientRows(ClientSettings& aClient)
{
  return {
    { "client",
      "entries",
      &aClient.m_entries,
      "HTTP addresses of entries, tried in this order",
      Need::Required },
    { "client",
      "timeout",
      &aClient.m_timeout,
      "longest wait for one entry's answer",
      Need::Optional,
      kDuration },
  };
}

} // namespace

SettingTable
TableOf(EntrySettings& aSettings)
{
  SettingTable table = NodeRows(aSettings.m_node);
  Append(table, AuthRows(aSettings.m_auth));
  Append(table, PlatformRows(aSettings.m_platform));
  Append(table, HttpRows(aSettings.m_http));
  Append(table, RoutingRows(aSettings.m_routing));
  Append(table, AdmissionRows(aSettings.m_admission));
  Append(table, MembershipRows(aSettings.m_membership));
  Append(table, LeaseRows(aSettings.m_lease));
  Append(table, RolloutRows(aSettings.m_rollout));
  Append(table, DrainRows(aSettings.m_drain));
  return table;
}

SettingTable
TableOf(AgentSettings& aSettings)
{
  SettingTable table = NodeRows(aSettings.m_node);
  Append(table, AuthRows(aSettings.m_auth));
  Append(table, PlatformRows(aSettings.m_platform));
  Append(table, UpstreamRows(aSettings.m_upstream));
  Append(table, WeightsRows(aSettings.m_weights));
  Append(table, ClaimRows(aSettings.m_claims));
  Append(table, MembershipRows(aSettings.m_membership));
  Append(table, DrainRows(aSettings.m_drain));
  return table;
}

SettingTable
TableOf(GatewaySettings& aSettings)
{
  SettingTable table = NodeRows(aSettings.m_node);
  Append(table, PlatformRows(aSettings.m_platform));
  Append(table, GatewayRows(aSettings.m_gateway));
  return table;
}

SettingTable
TableOf(StagerSettings& aSettings)
{
  SettingTable table = NodeRows(aSettings.m_node);
  Append(table, PlatformRows(aSettings.m_platform));
  Append(table, StagerRows(aSettings.m_stager));
  return table;
}

SettingTable
TableOf(ClientSettings& aSettings)
{
  SettingTable table = ClientRows(aSettings);
  Append(table, AuthRows(aSettings.m_auth));
  return table;
}

} // namespace siskindeal

#include "settings/schema_rows_p.h"

#include "rollout/policy_p.h"
#include "siskindeal/registry.h"
#include "siskindeal/routing.h"

namespace siskindeal {

namespace {

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
TableOf(ClientSettings& aSettings)
{
  SettingTable table = ClientRows(aSettings);
  Append(table, AuthRows(aSettings.m_auth));
  return table;
}

} // namespace siskindeal

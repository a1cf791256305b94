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
      Presence::Required },
    { "auth",
      "keys",
      SecretsField{ &aAuth.m_keys },
      "the shared keys by name, secrets of 16 characters or more",
      Presence::Required },
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
      Presence::Optional,
      kAnySize },
    { "http",
      "header_bytes",
      BytesField{ &aHttp.m_headerBytes },
      "largest headers of a request, all together; larger ones are refused "
      "with 431",
      Presence::Optional,
      kAnySize },
    { "http",
      "connections",
      &aHttp.m_connections,
      "connections of callers at once",
      Presence::Optional,
      kAtLeastOne },
    { "http",
      "streams",
      &aHttp.m_streams,
      "streamed answers at once",
      Presence::Optional,
      kAtLeastOne },
    { "http",
      "request_timeout",
      &aHttp.m_requestTimeout,
      "deadline of a request that names none",
      Presence::Optional,
      kDurationBounds },
  };
}

SettingTable
RoutingRows(RoutingSettings& aRouting)
{
  return {
    { "routing",
      "policy",
      ChoiceField{ &aRouting.m_policy,
                   Registry<RoutingPolicy>::Instance().Names() },
      "routing policy" },
    { "routing",
      "answer_lifetime",
      &aRouting.m_answerLifetime,
      "how long a caller may keep the answer of GET /v1/entry",
      Presence::Optional,
      kDurationBounds },
    { "routing",
      "retries",
      &aRouting.m_retries,
      "tries of one request after the first, while it provably hasn't run or "
      "may be repeated" },
    { "routing",
      "retry_budget",
      &aRouting.m_retryBudget,
      "retries a request over the last seconds, at most",
      Presence::Optional,
      kFraction },
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
      Presence::Optional,
      kDurationBounds },
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
      Presence::Optional,
      kDurationBounds },
    { "membership",
      "unreachable_after",
      &aMembership.m_unreachableAfter,
      "silence after which a process gets no new work",
      Presence::Optional,
      kDurationBounds },
    { "membership",
      "entries_per_agent",
      &aMembership.m_entriesPerAgent,
      "entries that an agent exchanges with",
      Presence::Optional,
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
      Presence::Optional,
      kDurationBounds },
    { "lease",
      "target_shards",
      &aLease.m_targetShards,
      "leases that the targets are divided among; the same on every entry",
      Presence::Optional,
      { 1, 1024 } },
  };
}

SettingTable
RolloutRows(RolloutSettings& aRollout)
{
  return {
    { "rollout",
      "policy",
      ChoiceField{ &aRollout.m_policy,
                   RolloutPolicyRegistry::Instance().Names() },
      "rollout policy" },
    { "rollout",
      "time_weight",
      &aRollout.m_timeWeight,
      "1: only time to N replicas counts; 0: only origin bytes count; a target "
      "may say otherwise",
      Presence::Optional,
      kFraction },
    { "rollout",
      "most_out_of_service",
      &aRollout.m_mostOutOfService,
      "VMs of a service that a change takes out of service at once",
      Presence::Optional,
      kAtLeastOne },
    { "rollout",
      "store_url",
      UrlField{ &aRollout.m_storeUrl },
      "the weight store, which knows the manifests of releases",
      Presence::Optional },
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
      Presence::Optional,
      kDurationBounds },
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
      Presence::Required },
    { "upstream",
      "url",
      UrlField{ &aUpstream.m_url },
      "the upstream on this VM",
      Presence::Required },
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
      Presence::Optional,
      kAtLeastOne },
    { "upstream",
      "load_period",
      &aUpstream.m_loadPeriod,
      "time between two readings of the upstream's load",
      Presence::Optional,
      kDurationBounds },
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
      Presence::Optional,
      { 1, 64 } },
    { "weights",
      "upload_slots",
      &aWeights.m_uploadSlots,
      "chunks served to peers at once",
      Presence::Optional,
      { 0, 64 } },
    { "weights",
      "link_bytes_per_second",
      BytesField{ &aWeights.m_linkBytesPerSecond },
      "most that weights take of the VM's link, in and out together; 0: no "
      "limit by the agent",
      Presence::Optional,
      kAnySize },
    { "weights",
      "chunk_timeout",
      &aWeights.m_chunkTimeout,
      "a chunk that takes longer is asked for elsewhere",
      Presence::Optional,
      kDurationBounds },
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
      Presence::Optional,
      kDurationBounds },
    { "claims",
      "most",
      &aClaims.m_most,
      "claims remembered; beyond it new ones are refused with \"not run\"",
      Presence::Optional,
      kAtLeastOne },
    { "claims",
      "answer_bytes",
      BytesField{ &aClaims.m_answerBytes },
      "stored answers, all together",
      Presence::Optional,
      kAnySize },
    { "claims",
      "commit_period",
      &aClaims.m_commitPeriod,
      "least time between two writes of a shard; claims are gathered meanwhile",
      Presence::Optional,
      kDurationBounds },
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
      Presence::Required },
    { "client",
      "timeout",
      &aClient.m_timeout,
      "longest wait for one entry's answer",
      Presence::Optional,
      kDurationBounds },
  };
}

} // namespace

SettingTable
MakeSettingTable(EntrySettings& aSettings)
{
  SettingTable table = NodeRows(aSettings.m_node);
  AppendRows(table, AuthRows(aSettings.m_auth));
  AppendRows(table, PlatformRows(aSettings.m_platform));
  AppendRows(table, HttpRows(aSettings.m_http));
  AppendRows(table, RoutingRows(aSettings.m_routing));
  AppendRows(table, AdmissionRows(aSettings.m_admission));
  AppendRows(table, MembershipRows(aSettings.m_membership));
  AppendRows(table, LeaseRows(aSettings.m_lease));
  AppendRows(table, RolloutRows(aSettings.m_rollout));
  AppendRows(table, DrainRows(aSettings.m_drain));
  return table;
}

SettingTable
MakeSettingTable(AgentSettings& aSettings)
{
  SettingTable table = NodeRows(aSettings.m_node);
  AppendRows(table, AuthRows(aSettings.m_auth));
  AppendRows(table, PlatformRows(aSettings.m_platform));
  AppendRows(table, UpstreamRows(aSettings.m_upstream));
  AppendRows(table, WeightsRows(aSettings.m_weights));
  AppendRows(table, ClaimRows(aSettings.m_claims));
  AppendRows(table, MembershipRows(aSettings.m_membership));
  AppendRows(table, DrainRows(aSettings.m_drain));
  return table;
}

SettingTable
MakeSettingTable(ClientSettings& aSettings)
{
  SettingTable table = ClientRows(aSettings);
  AppendRows(table, AuthRows(aSettings.m_auth));
  return table;
}

} // namespace siskindeal

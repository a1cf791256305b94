// The tables of the roles that run on a platform.

#include "settings/schema_rows_p.h"

namespace siskindeal {

namespace {

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
PlatformRoleTable(NodeSettings& aNode,
                  PlatformSettings& aPlatform,
                  const SettingTable& aRole)
{
  SettingTable table = NodeRows(aNode);
  Append(table, PlatformRows(aPlatform));
  Append(table, aRole);
  return table;
}

} // namespace

SettingTable
TableOf(GatewaySettings& aSettings)
{
  return PlatformRoleTable(
    aSettings.m_node, aSettings.m_platform, GatewayRows(aSettings.m_gateway));
}

SettingTable
TableOf(StagerSettings& aSettings)
{
  return PlatformRoleTable(
    aSettings.m_node, aSettings.m_platform, StagerRows(aSettings.m_stager));
}

} // namespace siskindeal

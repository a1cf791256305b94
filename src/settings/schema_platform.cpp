// The tables of the gateway and stager roles.

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
      Presence::Required },
    { "gateway",
      "directory",
      &aGateway.m_directory,
      "where callers ask for the addresses to connect to",
      Presence::Required },
    { "gateway",
      "regions",
      StringMapField{ &aGateway.m_regions },
      "the region of each place" },
    { "gateway",
      "answer_lifetime",
      &aGateway.m_answerLifetime,
      "how long callers keep the addresses that they are told",
      Presence::Optional,
      kDurationBounds },
    { "gateway",
      "revoke_within",
      &aGateway.m_revokeWithin,
      "longest use of a key after its removal; keyed requests are refused "
      "while the configuration may be older",
      Presence::Optional,
      kDurationBounds },
    { "gateway",
      "config_within",
      &aGateway.m_configWithin,
      "longest time until an accepted configuration is in force; before it, a "
      "gateway that lacks one that others have refuses requests",
      Presence::Optional,
      kDurationBounds },
    { "gateway",
      "version_within",
      &aGateway.m_versionWithin,
      "longest use of old weights after new ones are named",
      Presence::Optional,
      kDurationBounds },
    { "gateway",
      "evacuate_within",
      &aGateway.m_evacuateWithin,
      "longest time until no requests are sent to the runners of an evacuated "
      "place; 0s doesn't read evacuations",
      Presence::Optional,
      kOptionalDurationBounds },
    { "gateway",
      "grace_seconds",
      &aGateway.m_graceSeconds,
      "seconds between SIGTERM and SIGKILL",
      Presence::Optional,
      kPositiveNumber },
    { "gateway",
      "retry_ratio",
      &aGateway.m_retryRatio,
      "further sends to a service's runners for each request, over all "
      "gateways",
      Presence::Optional,
      kFraction },
    { "gateway",
      "retry_window_seconds",
      &aGateway.m_retryWindowSeconds,
      "seconds over which retry_ratio and retry_slack hold",
      Presence::Optional,
      kPositiveNumber },
    { "gateway",
      "retry_slack",
      &aGateway.m_retrySlack,
      "further sends in a window beside retry_ratio, over all gateways",
      Presence::Optional,
      kPositiveNumber },
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
      Presence::Required },
    { "stager",
      "service",
      &aStager.m_service,
      "service that the runner belongs to",
      Presence::Required },
    { "stager",
      "regions",
      StringMapField{ &aStager.m_regions },
      "the region of each place" },
    { "stager",
      "version_within",
      &aStager.m_versionWithin,
      "longest time from the naming of new weights until the runner has them",
      Presence::Optional,
      kDurationBounds },
    { "stager",
      "link_megabits",
      &aStager.m_linkMegabits,
      "megabits a second of this VM's link, which pieces share with the "
      "runner's answers; 0 doesn't pace them",
      Presence::Optional,
      kAnySize },
  };
}

SettingTable
PlatformRoleTable(NodeSettings& aNode,
                  PlatformSettings& aPlatform,
                  const SettingTable& aRole)
{
  SettingTable table = NodeRows(aNode);
  AppendRows(table, PlatformRows(aPlatform));
  AppendRows(table, aRole);
  return table;
}

} // namespace

SettingTable
MakeSettingTable(GatewaySettings& aSettings)
{
  return PlatformRoleTable(
    aSettings.m_node, aSettings.m_platform, GatewayRows(aSettings.m_gateway));
}

SettingTable
MakeSettingTable(StagerSettings& aSettings)
{
  return PlatformRoleTable(
    aSettings.m_node, aSettings.m_platform, StagerRows(aSettings.m_stager));
}

} // namespace siskindeal

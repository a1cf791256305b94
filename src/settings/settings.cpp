#include "siskindeal/settings.h"

#include "settings/reader_p.h"
#include "settings/values_p.h"

namespace siskindeal {

namespace {

// Two listeners conflict if they share a port, unless their IP addresses differ
// and neither is a wildcard address.
bool
ListenersConflict(const Address& aFirst, const Address& aSecond)
{
  const auto isAny = [](const Address& aAddress) {
    return aAddress.m_host == "0.0.0.0" || aAddress.m_host == "::";
  };
  return aFirst.m_port != 0 && aFirst.m_port == aSecond.m_port &&
         (aFirst.m_host == aSecond.m_host || isAny(aFirst) || isAny(aSecond));
}

void
CheckNode(const NodeSettings& aNode, SettingsReader& aReader)
{
  if (ListenersConflict(aNode.m_rpc, aNode.m_http)) {
    aReader.ReportProblem("node",
                          "http",
                          "expected a port other than that of rpc, got \"" +
                            aNode.m_http.ToString() + "\" for both");
  }
}

void
CheckAuth(const AuthSettings& aAuth, SettingsReader& aReader)
{
  if (!aAuth.m_activeKey.empty() && !aAuth.m_keys.empty() &&
      aAuth.m_keys.count(aAuth.m_activeKey) == 0) {
    aReader.ReportProblem("auth",
                          "active_key",
                          "expected a name listed in [auth.keys], got \"" +
                            aAuth.m_activeKey + "\"");
  }
}

void
CheckMembership(const MembershipSettings& aMembership, SettingsReader& aReader)
{
  if (aMembership.m_unreachableAfter <= aMembership.m_heartbeat) {
    aReader.ReportProblem(
      "membership",
      "unreachable_after",
      "expected more than heartbeat, \"" +
        FormatDuration(aMembership.m_heartbeat) + "\", got \"" +
        FormatDuration(aMembership.m_unreachableAfter) + "\"");
  }
}

// The upstream runs on the agent's VM and must not use the agent's ports.
void
CheckUpstream(const AgentSettings& aSettings, SettingsReader& aReader)
{
  const UpstreamSettings& upstream = aSettings.m_upstream;
  const auto scheme = upstream.m_url.find("://");
  if (scheme != std::string::npos) {
    const Address address = ParseAddress(upstream.m_url.substr(scheme + 3));
    if (ListenersConflict(address, aSettings.m_node.m_rpc) ||
        ListenersConflict(address, aSettings.m_node.m_http)) {
      aReader.ReportProblem(
        "upstream",
        "url",
        "expected a port other than the agent's own, got \"" + upstream.m_url +
          "\"");
    }
  }
  if (upstream.m_kind == UpstreamSettings::Kind::Model &&
      aSettings.m_weights.m_storeUrl.empty()) {
    aReader.ReportProblem("weights",
                          "store_url",
                          "missing; expected URL: a model engine requires the "
                          "weight store");
  }
}

// Reads the settings of a gateway or stager, which have no [auth] section.
template<typename Settings>
Settings
ReadPlatformRoleSettings(const std::string& aFile, const std::string& aRole)
{
  Settings settings;
  SettingsReader reader(aFile);
  reader.Fill(MakeSettingTable(settings), aRole);
  CheckNode(settings.m_node, reader);
  reader.ThrowIfInvalid();
  return settings;
}

} // namespace

SettingsKind
DetectSettingsKind(const std::string& aFile)
{
  const SettingsReader reader(aFile);
  if (reader.HasSection("client")) {
    return SettingsKind::Client;
  }
  if (reader.HasSection("gateway")) {
    return SettingsKind::Gateway;
  }
  if (reader.HasSection("stager")) {
    return SettingsKind::Stager;
  }
  return reader.HasSection("upstream") ? SettingsKind::Agent
                                       : SettingsKind::Entry;
}

EntrySettings
ReadEntrySettings(const std::string& aFile)
{
  EntrySettings settings;
  SettingsReader reader(aFile);
  reader.Fill(MakeSettingTable(settings), "entry");
  CheckNode(settings.m_node, reader);
  CheckAuth(settings.m_auth, reader);
  CheckMembership(settings.m_membership, reader);
  reader.ThrowIfInvalid();
  return settings;
}

AgentSettings
ReadAgentSettings(const std::string& aFile)
{
  AgentSettings settings;
  SettingsReader reader(aFile);
  reader.Fill(MakeSettingTable(settings), "agent");
  CheckNode(settings.m_node, reader);
  CheckAuth(settings.m_auth, reader);
  CheckMembership(settings.m_membership, reader);
  CheckUpstream(settings, reader);
  reader.ThrowIfInvalid();
  return settings;
}

GatewaySettings
ReadGatewaySettings(const std::string& aFile)
{
  return ReadPlatformRoleSettings<GatewaySettings>(aFile, "gateway");
}

StagerSettings
ReadStagerSettings(const std::string& aFile)
{
  return ReadPlatformRoleSettings<StagerSettings>(aFile, "stager");
}

ClientSettings
ReadClientSettings(const std::string& aFile)
{
  ClientSettings settings;
  SettingsReader reader(aFile);
  reader.Fill(MakeSettingTable(settings), "client");
  CheckAuth(settings.m_auth, reader);
  reader.ThrowIfInvalid();
  return settings;
}

} // namespace siskindeal

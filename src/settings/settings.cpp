#include "siskindeal/settings.h"

#include "settings/reader_p.h"
#include "settings/values_p.h"

namespace siskindeal {

namespace {

// Two listeners clash on one port unless they are on different IP numbers.
bool
Clash(const Address& aFirst, const Address& aSecond)
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
  if (Clash(aNode.m_rpc, aNode.m_http)) {
    aReader.Refuse("node",
                   "http",
                   "expected another port than rpc's, got \"" +
                     aNode.m_http.ToString() + "\" for both");
  }
}

void
CheckAuth(const AuthSettings& aAuth, SettingsReader& aReader)
{
  if (!aAuth.m_activeKey.empty() && !aAuth.m_keys.empty() &&
      aAuth.m_keys.count(aAuth.m_activeKey) == 0) {
    aReader.Refuse("auth",
                   "active_key",
                   "expected a name listed in [auth.keys], got \"" +
                     aAuth.m_activeKey + "\"");
  }
}

void
CheckMembership(const MembershipSettings& aMembership, SettingsReader& aReader)
{
  if (aMembership.m_unreachableAfter <= aMembership.m_heartbeat) {
    aReader.Refuse("membership",
                   "unreachable_after",
                   "expected more than heartbeat's \"" +
                     DurationText(aMembership.m_heartbeat) + "\", got \"" +
                     DurationText(aMembership.m_unreachableAfter) + "\"");
  }
}

// The upstream and the agent's own listeners share a VM.
void
CheckUpstream(const AgentSettings& aSettings, SettingsReader& aReader)
{
  const UpstreamSettings& upstream = aSettings.m_upstream;
  const auto scheme = upstream.m_url.find("://");
  if (scheme != std::string::npos) {
    const Address address = ParseAddress(upstream.m_url.substr(scheme + 3));
    if (Clash(address, aSettings.m_node.m_rpc) ||
        Clash(address, aSettings.m_node.m_http)) {
      aReader.Refuse("upstream",
                     "url",
                     "expected another port than the agent's own, got \"" +
                       upstream.m_url + "\"");
    }
  }
  if (upstream.m_kind == UpstreamSettings::Kind::Model &&
      aSettings.m_weights.m_storeUrl.empty()) {
    aReader.Refuse("weights",
                   "store_url",
                   "missing; expected URL: a model engine needs the weight "
                   "store");
  }
}

// The settings of a role that runs on a platform: no keys of operators.
template<typename Settings>
Settings
ReadPlatformRole(const std::string& aFile, const std::string& aRole)
{
  Settings settings;
  SettingsReader reader(aFile);
  reader.Fill(TableOf(settings), aRole);
  CheckNode(settings.m_node, reader);
  reader.Finish();
  return settings;
}

} // namespace

SettingsKind
SettingsKindOf(const std::string& aFile)
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
  reader.Fill(TableOf(settings), "entry");
  CheckNode(settings.m_node, reader);
  CheckAuth(settings.m_auth, reader);
  CheckMembership(settings.m_membership, reader);
  reader.Finish();
  return settings;
}

AgentSettings
ReadAgentSettings(const std::string& aFile)
{
  AgentSettings settings;
  SettingsReader reader(aFile);
  reader.Fill(TableOf(settings), "agent");
  CheckNode(settings.m_node, reader);
  CheckAuth(settings.m_auth, reader);
  CheckMembership(settings.m_membership, reader);
  CheckUpstream(settings, reader);
  reader.Finish();
  return settings;
}

GatewaySettings
ReadGatewaySettings(const std::string& aFile)
{
  return ReadPlatformRole<GatewaySettings>(aFile, "gateway");
}

StagerSettings
ReadStagerSettings(const std::string& aFile)
{
  return ReadPlatformRole<StagerSettings>(aFile, "stager");
}

ClientSettings
ReadClientSettings(const std::string& aFile)
{
  ClientSettings settings;
  SettingsReader reader(aFile);
  reader.Fill(TableOf(settings), "client");
  CheckAuth(settings.m_auth, reader);
  reader.Finish();
  return settings;
}

} // namespace siskindeal

#pragma once
// The settings of a process, read from one TOML file. Every key is checked; an
// unknown key, a wrong type, a duration without unit or an address that doesn't
// parse refuses the file whole. docs/OPERATING.md lists every key with its
// unit.

#include <chrono>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace siskindeal {

// A host, as an IP number, and a port. Port 0 asks for a free one.
struct Address
{
  std::string m_host;
  std::uint16_t m_port = 0;

  // "127.0.0.1:8080", or "[::1]:8080" for IPv6.
  std::string ToString() const;
  bool operator==(const Address&) const = default;
};

// Reads "IP:PORT"; throws std::invalid_argument saying what was expected.
Address
ParseAddress(const std::string& aText);

// [node]: what every process has.
struct NodeSettings
{
  std::string m_vm;
  std::string m_place;
  Address m_rpc;       // for siskindeal's own processes
  Address m_advertise; // where they reach it, if not at m_rpc
  Address m_http;      // entries: callers; agents: metrics, health and state
  std::string m_logLevel = "info";
  std::vector<Address> m_entries; // entries to contact first, own one allowed
};

// [auth]: keys shared by siskindeal's processes and its operators. Calls are
// signed with the active key; any key listed is accepted, so that keys rotate.
struct AuthSettings
{
  std::string m_activeKey;
  std::map<std::string, std::string> m_keys; // id to secret
};

// [platform]
struct PlatformSettings
{
  std::string m_url;
  std::chrono::milliseconds m_timeout{ 2000 };
  double m_readsPerSecond = 20;  // this process's budget
  double m_writesPerSecond = 40; // this process's budget
};

// [http]: limits towards callers.
struct HttpSettings
{
  std::size_t m_bodyBytes = 1 << 20;
  std::size_t m_headerBytes = 16 << 10;
  std::size_t m_connections = 1024;
  std::size_t m_streams = 512;
  std::chrono::milliseconds m_requestTimeout{ 30000 };
};

// [routing]
struct RoutingSettings
{
  std::string m_policy = "prefix_two_choices";
  std::chrono::milliseconds m_answerLifetime{ 1000 }; // of GET /v1/entry
  std::uint32_t m_retries = 2;
  double m_retryBudget = 0.1; // retries a request, over the last seconds
};

// [admission]
struct AdmissionSettings
{
  std::uint32_t m_queue = 256; // requests waiting, all teams
  std::chrono::milliseconds m_longestWait{ 2000 };
};

// [membership]
struct MembershipSettings
{
  std::chrono::milliseconds m_heartbeat{ 500 };
  std::chrono::milliseconds m_unreachableAfter{ 2500 };
  std::uint32_t m_entriesPerAgent = 2;
};

// [lease]
struct LeaseSettings
{
  std::chrono::milliseconds m_duration{ 6000 };
  std::uint32_t m_targetShards = 4;
};

// [rollout]
struct RolloutSettings
{
  std::string m_policy = "swarm";
  double m_timeWeight = 0.5; // 1: only time counts; 0: only origin bytes count
  std::uint32_t m_mostOutOfService = 1; // VMs of a service at once, by change
  std::string m_storeUrl;               // weight store, for manifests
};

// [drain]
struct DrainSettings
{
  std::chrono::milliseconds m_longest{ 600000 }; // streams end by themselves
};

// [upstream] of an agent.
struct UpstreamSettings
{
  enum class Kind
  {
    Model,
    Plain,
  };

  std::string m_service;
  std::string m_url;
  Kind m_kind = Kind::Plain;
  bool m_checksOrders = false;          // refuses old fencing numbers itself
  bool m_checksCallers = false;         // authenticates who gives orders
  bool m_acceptsIdempotencyKey = false; // drops duplicates by key itself
  std::uint32_t m_slots = 16;           // requests it runs at once
  std::chrono::milliseconds m_loadPeriod{ 500 };
};

// [weights] of an agent.
struct WeightsSettings
{
  std::string m_storeUrl;
  std::uint32_t m_window = 8;             // chunks in memory at once
  std::uint32_t m_uploadSlots = 4;        // chunks served to peers at once
  std::uint64_t m_linkBytesPerSecond = 0; // 0: not shaped by the agent
  std::chrono::milliseconds m_chunkTimeout{ 5000 };
};

// [claims] of an agent: the record of requests that run at most once.
struct ClaimSettings
{
  std::chrono::milliseconds m_retention{ 600000 };
  std::uint32_t m_most = 100000;         // claims remembered
  std::uint64_t m_answerBytes = 2 << 20; // stored answers, all together
  std::chrono::milliseconds m_commitPeriod{ 50 }; // least, between two writes
};

struct EntrySettings
{
  NodeSettings m_node;
  AuthSettings m_auth;
  PlatformSettings m_platform;
  HttpSettings m_http;
  RoutingSettings m_routing;
  AdmissionSettings m_admission;
  MembershipSettings m_membership;
  LeaseSettings m_lease;
  RolloutSettings m_rollout;
  DrainSettings m_drain;
};

struct AgentSettings
{
  NodeSettings m_node;
  AuthSettings m_auth;
  PlatformSettings m_platform;
  UpstreamSettings m_upstream;
  WeightsSettings m_weights;
  ClaimSettings m_claims;
  MembershipSettings m_membership;
  DrainSettings m_drain;
};

// [gateway]: what a gateway has beside [node] and [platform].
struct GatewayRoleSettings
{
  Address m_ready;     // where the platform asks whether it takes callers
  Address m_directory; // where callers ask for addresses to connect to
  std::map<std::string, std::string> m_regions;       // of each place
  std::chrono::milliseconds m_answerLifetime{ 1000 }; // of a directory answer
  std::chrono::milliseconds m_revokeWithin{ 5000 }; // keys, from their removal
  std::chrono::milliseconds m_versionWithin{
    8000
  };                         // weights, from their naming
  double m_graceSeconds = 8; // from SIGTERM to SIGKILL
  double m_retryRatio = 0.2; // further sends a request, over all gateways
  double m_retryWindowSeconds = 10;
  double m_retrySlack = 100; // further sends a window beside the ratio
};

struct GatewaySettings
{
  NodeSettings m_node;
  PlatformSettings m_platform;
  GatewayRoleSettings m_gateway;
};

// [stager]: what a stager has beside [node] and [platform].
struct StagerRoleSettings
{
  Address m_runner;                             // the model runner of this VM
  std::string m_service;                        // that it belongs to
  std::map<std::string, std::string> m_regions; // of each place
  std::chrono::milliseconds m_versionWithin{
    8000
  };                         // weights, from their naming
  double m_linkMegabits = 0; // a second, of this VM's link; 0: not paced
};

struct StagerSettings
{
  NodeSettings m_node;
  PlatformSettings m_platform;
  StagerRoleSettings m_stager;
};

// The operators' client: what [client] and [auth] of its file say.
struct ClientSettings
{
  std::vector<Address> m_entries; // HTTP addresses, tried in this order
  std::chrono::milliseconds m_timeout{ 10000 };
  AuthSettings m_auth;
};

// One key as the manual lists it.
struct SettingDescription
{
  std::string m_section;
  std::string m_key;
  std::string m_type;    // with its unit
  std::string m_default; // empty: none
  std::string m_help;
  bool m_required = false;
  std::string m_usedBy; // roles, "client", with ", " between
};

// Every key there is, in the manual's order.
std::vector<SettingDescription>
DescribeSettings();

// A settings file that is refused. The message holds file, line and what was
// expected, one problem a line.
class SettingsError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Which kind of file one is, by its sections: [client] is in a client's,
// [upstream] in an agent's, [gateway] and [stager] in those of their roles.
// Throws SettingsError when it isn't TOML.
enum class SettingsKind
{
  Entry,
  Agent,
  Gateway,
  Stager,
  Client,
};
SettingsKind
SettingsKindOf(const std::string& aFile);

// Read a file; throw SettingsError with every problem found.
EntrySettings
ReadEntrySettings(const std::string& aFile);
AgentSettings
ReadAgentSettings(const std::string& aFile);
GatewaySettings
ReadGatewaySettings(const std::string& aFile);
StagerSettings
ReadStagerSettings(const std::string& aFile);
ClientSettings
ReadClientSettings(const std::string& aFile);

} // namespace siskindeal

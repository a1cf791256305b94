#pragma once
// Settings of a process, read from one TOML file. The whole file is rejected
// for an unknown key, a wrong type, a duration without a unit or an address
// that does not parse. docs/OPERATING.md lists every key with its unit.

#include <chrono>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace siskindeal {

// An IP address and a port. Port 0 binds to any free port.
struct Address
{
  std::string m_host;
  std::uint16_t m_port = 0;

  // "127.0.0.1:8080", or "[::1]:8080" for IPv6.
  std::string ToString() const;
  bool operator==(const Address&) const = default;
};

// Parses "IP:PORT"; throws std::invalid_argument with the expected format.
Address
ParseAddress(const std::string& aText);

// [node]: settings common to every process.
struct NodeSettings
{
  std::string m_vm;
  std::string m_place;
  Address m_rpc;       // listener for other siskindeal processes
  Address m_advertise; // address peers connect to, if it differs from m_rpc
  Address m_http;      // entries: callers; agents: metrics, health and state
  std::string m_logLevel = "info";
  std::vector<Address> m_entries; // contacted at startup; may include itself
  double m_memoryMegabytes = 0;   // that the process may use; 0: the VM's

  bool operator==(const NodeSettings&) const = default;
};

// [auth]: keys shared by siskindeal processes and operators. Calls are signed
// with the active key; every listed key is accepted, which allows key rotation.
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
  double m_readsPerSecond = 20;  // limit for this process
  double m_writesPerSecond = 40; // limit for this process

  bool operator==(const PlatformSettings&) const = default;
};

// [http]: limits on callers' requests and connections.
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
  double m_retryBudget = 0.1; // retries per request, over the last few seconds
};

// [admission]
struct AdmissionSettings
{
  std::uint32_t m_queue = 256; // queued requests of all teams
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
  double m_timeWeight = 0.5; // 1: only time counts; 0: only origin bytes
  std::uint32_t m_mostOutOfService = 1; // VMs per service and change
  std::string m_storeUrl;               // weight store, source of manifests
};

// [drain]
struct DrainSettings
{
  // Long, so that streams can finish.
  std::chrono::milliseconds m_longest{ 600000 };
};

// [upstream]: settings of an agent.
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
  bool m_checksOrders = false;          // rejects stale fencing tokens itself
  bool m_checksCallers = false;         // authenticates senders of orders
  bool m_acceptsIdempotencyKey = false; // deduplicates by key itself
  std::uint32_t m_slots = 16;           // concurrent requests
  std::chrono::milliseconds m_loadPeriod{ 500 };
};

// [weights]: settings of an agent.
struct WeightsSettings
{
  std::string m_storeUrl;
  std::uint32_t m_window = 8;             // maximum chunks in memory
  std::uint32_t m_uploadSlots = 4;        // concurrent uploads to peers
  std::uint64_t m_linkBytesPerSecond = 0; // 0: the agent sets no limit
  std::chrono::milliseconds m_chunkTimeout{ 5000 };
};

// [claims]: settings of an agent for its record of at-most-once requests.
struct ClaimSettings
{
  std::chrono::milliseconds m_retention{ 600000 };
  std::uint32_t m_most = 100000;         // recorded claims
  std::uint64_t m_answerBytes = 2 << 20; // total size of stored responses
  std::chrono::milliseconds m_commitPeriod{ 50 }; // minimum between writes
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

// [gateway]: settings of a gateway beyond [node] and [platform].
struct GatewayRoleSettings
{
  Address m_ready;     // readiness endpoint that the platform polls
  Address m_directory; // endpoint where callers look up addresses
  std::map<std::string, std::string> m_regions;       // place to region
  std::chrono::milliseconds m_answerLifetime{ 1000 }; // directory response TTL
  // Maximum time for which a removed key is still accepted.
  std::chrono::milliseconds m_revokeWithin{ 5000 };
  // Maximum time until an accepted configuration is in force.
  std::chrono::milliseconds m_configWithin{ 3000 };
  // Maximum time for which old weights are used after a new version is named.
  std::chrono::milliseconds m_versionWithin{ 8000 };
  // Maximum time until the evacuation of a place is in force; 0: places can't
  // be evacuated.
  std::chrono::milliseconds m_evacuateWithin{ 0 };
  double m_graceSeconds = 8; // from SIGTERM to SIGKILL
  double m_retryRatio = 0.2; // retries per request, over all gateways
  double m_retryWindowSeconds = 10;
  double m_retrySlack = 100; // retries per window in addition to the ratio

  bool operator==(const GatewayRoleSettings&) const = default;
};

struct GatewaySettings
{
  NodeSettings m_node;
  PlatformSettings m_platform;
  GatewayRoleSettings m_gateway;

  bool operator==(const GatewaySettings&) const = default;
};

// [stager]: settings of a stager beyond [node] and [platform].
struct StagerRoleSettings
{
  Address m_runner;                             // model runner on this VM
  std::string m_service;                        // service of the runner
  std::map<std::string, std::string> m_regions; // place to region
  // Maximum time until the runner has newly named weights.
  std::chrono::milliseconds m_versionWithin{ 8000 };
  double m_linkMegabits = 0; // per second, of this VM's link; 0: no pacing
};

struct StagerSettings
{
  NodeSettings m_node;
  PlatformSettings m_platform;
  StagerRoleSettings m_stager;
};

// Settings of the operators' client: [client] and [auth].
struct ClientSettings
{
  std::vector<Address> m_entries; // HTTP addresses, tried in this order
  std::chrono::milliseconds m_timeout{ 10000 };
  AuthSettings m_auth;
};

// One key as documented in docs/OPERATING.md.
struct SettingDescription
{
  std::string m_section;
  std::string m_key;
  std::string m_type;    // including its unit
  std::string m_default; // empty: none
  std::string m_help;
  bool m_required = false;
  std::string m_usedBy; // roles and "client", separated by ", "
};

// Every key, in the order of docs/OPERATING.md.
std::vector<SettingDescription>
DescribeSettings();

// Thrown for a settings file that is rejected. The message has one line per
// problem, with the file, the line number and what was expected.
class SettingsError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Identifies the kind of a settings file by its sections: [client], [upstream]
// (agent), [gateway] or [stager]; a file with none of them is an entry's.
// Throws SettingsError if the file cannot be read or is not TOML.
enum class SettingsKind
{
  Entry,
  Agent,
  Gateway,
  Stager,
  Client,
};
SettingsKind
DetectSettingsKind(const std::string& aFile);

// Read a file. Throw SettingsError listing every problem.
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

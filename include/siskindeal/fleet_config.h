#pragma once
// The fleet's configuration: the JSON value of the platform object
// "config/fleet". An invalid value is rejected as a whole.

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace siskindeal {

// The key of the configuration object, and the prefixes of the other objects
// that siskindeal stores in the platform.
inline constexpr const char* kConfigKey = "config/fleet";
inline constexpr const char* kConfigPrefix = "config/";
inline constexpr const char* kTargetPrefix = "targets/";
inline constexpr const char* kCataloguePrefix = "catalogue/"; // + class
inline constexpr const char* kLeasePrefix = "leases/";
inline constexpr const char* kClaimPrefix = "claims/";
inline constexpr const char* kQuarantinePrefix = "quarantine/";

struct ServiceConfig
{
  enum class Kind
  {
    Model,
    Plain,
  };

  Kind m_kind = Kind::Plain;
  // Methods whose requests may be retried. Other requests need an idempotency
  // key and run at most once.
  std::set<std::string> m_repeatableMethods{ "GET", "HEAD" };
  std::chrono::milliseconds m_timeout{ 30000 };
};

struct ClassConfig
{
  std::string m_service; // whose VMs serve this class
  int m_priority = 0;    // higher is served first
};

struct TeamConfig
{
  double m_weight = 1;              // share under contention
  double m_requestsPerSecond = 100; // across all entries
  double m_burst = 50;              // requests
};

struct FleetConfig
{
  std::uint64_t m_version = 0; // the platform's version of the object
  std::map<std::string, ServiceConfig> m_services;
  std::map<std::string, ClassConfig> m_classes;
  std::map<std::string, TeamConfig> m_teams;
  TeamConfig m_otherTeams; // for teams not in m_teams
};

// Parses and validates a configuration of version aVersion. Throws Error
// (BadRequest) that names the invalid member.
FleetConfig
ParseFleetConfig(const std::string& aJson, std::uint64_t aVersion);

} // namespace siskindeal

#pragma once
// The fleet's configuration: the JSON value of the platform object
// "config/fleet". It is checked whole before it is applied.

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace siskindeal {

// The key of the configuration object, and the prefixes of the other objects
// that siskindeal keeps in the platform.
inline constexpr const char* kConfigKey = "config/fleet";
inline constexpr const char* kConfigPrefix = "config/";
inline constexpr const char* kTargetPrefix = "targets/";
inline constexpr const char* kCataloguePrefix = "catalogue/"; // + class of work
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
  // Methods whose calls may be repeated; every other call needs a key and runs
  // at most once.
  std::set<std::string> m_repeatableMethods{ "GET", "HEAD" };
  std::chrono::milliseconds m_timeout{ 30000 };
};

struct ClassConfig
{
  std::string m_service; // the service whose VMs do this work
  int m_priority = 0;    // higher goes first
};

struct TeamConfig
{
  double m_weight = 1;              // share under contention
  double m_requestsPerSecond = 100; // over all entries
  double m_burst = 50;              // requests
};

struct FleetConfig
{
  std::uint64_t m_version = 0; // the platform's version of the object
  std::map<std::string, ServiceConfig> m_services;
  std::map<std::string, ClassConfig> m_classes;
  std::map<std::string, TeamConfig> m_teams;
  TeamConfig m_otherTeams; // teams not named
};

// Checks and reads the JSON text of a configuration, and of version aVersion;
// throws Error (BadRequest) naming the member that is wrong.
FleetConfig
ParseFleetConfig(const std::string& aJson, std::uint64_t aVersion);

} // namespace siskindeal

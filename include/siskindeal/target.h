#pragma once
// Targets that operators set for a class of work, and their status. A target
// names no weights or addresses; the platform's catalogue defines the current
// release of a class.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace siskindeal {

// How many VMs should serve: a number, or a share of the service's VMs in the
// target's places.
struct VmCount
{
  std::uint32_t m_vms = 0;
};
struct VmShare
{
  double m_share = 0; // above 0, at most 1; rounded up to whole VMs
};
using TargetAmount = std::variant<VmCount, VmShare>;

// A target as set by an operator; stored as JSON in the platform object
// "targets/NAME".
struct TargetSpec
{
  std::string m_name;  // letters, digits, '-' and ' '
  std::string m_class; // class of work in the fleet configuration
  TargetAmount m_amount;
  std::vector<std::string> m_places; // empty: every place
  std::optional<std::chrono::seconds>
    m_timeLimit;                      // time allowed, from m_statedAt
  std::optional<double> m_timeWeight; // 1: only time; 0: only origin bytes
  std::uint64_t m_version = 0;  // object version; a revision must specify it
  std::uint64_t m_statedAt = 0; // Unix time in seconds, set by the entry
};

// Parses and validates a target; throws Error (BadRequest) naming the invalid
// member. aVersion is the version of the platform object.
TargetSpec
ParseTarget(const std::string& aJson, std::uint64_t aVersion);
std::string
ToJson(const TargetSpec& aTarget);

// The status of a target as reported to operators.
struct TargetStatus
{
  std::string m_name;
  bool m_met = false;
  std::uint32_t m_wanted = 0;  // VMs
  std::uint32_t m_serving = 0; // VMs serving the current release
  std::string m_release;       // name of the class's current release
  std::map<std::string, std::uint32_t> m_servingByRelease; // digest to VMs
  std::string m_blockedReason; // why it is not met; empty if met
  std::optional<std::chrono::seconds> m_estimate; // time until met
  double m_progress = 0;                          // 0 to 1
  std::uint64_t m_version = 0;
  std::vector<std::string> m_history; // recent events, oldest first
};

std::string
ToJson(const TargetStatus& aStatus);
TargetStatus
ParseTargetStatus(const std::string& aJson);

} // namespace siskindeal

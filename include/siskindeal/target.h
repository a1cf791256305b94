#pragma once
// What operators state and read back: a target for a class of work. Targets
// name no weights and no addresses; the platform's catalogue says which release
// is current for a class.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace siskindeal {

// How many VMs are to serve: a number, or a share of the service's VMs in the
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

// A target as stated; the JSON value of the platform object "targets/NAME".
struct TargetSpec
{
  std::string m_name;  // letters, digits, '-' and ' '
  std::string m_class; // class of work, of the fleet configuration
  TargetAmount m_amount;
  std::vector<std::string> m_places;            // empty: every place
  std::optional<std::chrono::seconds> m_within; // of stating it
  std::optional<double> m_timeWeight; // 1: only time; 0: only origin bytes
  std::uint64_t m_version = 0;  // the platform's; what a revision must name
  std::uint64_t m_statedAt = 0; // seconds of the Unix epoch, by the entry
};

// Reads and checks the JSON of a target; throws Error (BadRequest) naming the
// member that is wrong. The version is given apart, as the platform keeps it.
TargetSpec
ParseTarget(const std::string& aJson, std::uint64_t aVersion);
std::string
ToJson(const TargetSpec& aTarget);

// What an operator reads back.
struct TargetStatus
{
  std::string m_name;
  bool m_met = false;
  std::uint32_t m_wanted = 0;  // VMs
  std::uint32_t m_serving = 0; // VMs at the current release
  std::string m_release;       // current release of the class, by its name
  std::map<std::string, std::uint32_t> m_servingByRelease; // digest to VMs
  std::string m_holdUp;                           // why not met; empty when met
  std::optional<std::chrono::seconds> m_estimate; // until met
  double m_progress = 0;                          // 0 to 1
  std::uint64_t m_version = 0;
  std::vector<std::string> m_history; // last events, oldest first
};

std::string
ToJson(const TargetStatus& aStatus);
TargetStatus
ParseTargetStatus(const std::string& aJson);

} // namespace siskindeal

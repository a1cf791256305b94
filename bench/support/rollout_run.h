#pragma once
// One rollout over shaped links beside live requests, and what it took.

#include "support/rollout_fleet.h"

namespace siskindeal::bench {

struct RolloutCase
{
  std::string m_name;
  std::size_t m_vms = 0;
  std::uint32_t m_wanted = 0; // VMs to serve
  std::string m_policy;
  double m_timeWeight = 0;
  bool m_faulty = false;
};

// Means over the VMs that came to serve.
struct RolloutPhases
{
  Seconds m_lastChunk{ 0 }; // from the start
  Seconds m_check{ 0 };     // from the last chunk to staged
  Seconds m_load{ 0 };      // from staged to serving
  double m_linkBusy = 0;    // share of the link until the last chunk
};

struct RolloutOutcome
{
  Seconds m_time{ 0 };
  double m_copies = 0; // drawn from the origin
  double m_p99Ratio = 0;
  bool m_met = false;
  RolloutPhases m_phases;

  // The least time in which links and origin can carry the rollout.
  Seconds Bound(std::uint32_t aVms) const;
};

// aBytes is the model; kCopyBytes long.
RolloutOutcome
RunRollout(const RolloutCase& aCase, const std::string& aBytes);

} // namespace siskindeal::bench

#pragma once
// Runs and measures one rollout over rate-limited links under live load.

#include "support/rollout_fleet.h"

namespace siskindeal::bench {

struct RolloutCase
{
  std::string m_name;
  std::size_t m_vms = 0;
  std::uint32_t m_wanted = 0; // number of VMs that must serve the release
  std::string m_policy;
  double m_timeWeight = 0;
  bool m_faulty = false;
};

// Means over the VMs that completed all phases.
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
  double m_copies = 0; // fetched from the origin
  double m_p99Ratio = 0;
  bool m_met = false;
  RolloutPhases m_phases;

  // Returns the lower bound of the rollout time, given the rates of the links
  // and the origin.
  Seconds Bound(std::uint32_t aVms) const;
};

// aBytes contains the weights and has a size of kCopyBytes.
RolloutOutcome
RunRollout(const RolloutCase& aCase, const std::string& aBytes);

} // namespace siskindeal::bench

#pragma once
// The working state of one planning decision.

#include "siskindeal/planner.h"

namespace siskindeal {

// A target with what its names stand for now.
struct Planner::Claim
{
  const TargetSpec* m_target = nullptr;
  int m_priority = 0;
  std::string m_service;
  std::string m_release;
  std::string m_digest; // empty: not known, m_holdUp says why
  std::string m_base;
  bool m_isAdapter = false;
  std::uint32_t m_wanted = 0;
  std::vector<std::size_t> m_vms; // assigned
  std::string m_holdUp;
};

struct Planner::VmPlan
{
  std::string m_whole;                // digest of the model it is to serve
  std::string m_holder;               // target that it was first assigned to
  std::vector<const Claim*> m_wanted; // claims that it is assigned to
};

inline constexpr std::uint32_t kNotMember = UINT32_MAX;

struct Planner::Rollout
{
  std::vector<std::size_t> m_members; // reachable, by place and name
  std::vector<std::vector<std::size_t>> m_byPlace; // by number of the place
  std::vector<std::uint32_t> m_fleetIndex;         // of each VM, or kNotMember
  std::vector<std::uint32_t> m_placeIndex; // of each VM that is a member
  std::uint64_t m_signature = 0;
  bool m_originByPlace = false;
};

struct Planner::Round
{
  Round(const PlannerInput& aInput, MonotonicTime aNow)
    : m_input(aInput)
    , m_now(aNow)
    , m_vms(aInput.m_vms.size())
  {
  }

  // Numbers VMs and places in the order of their names. aLast is the order of
  // the last decision, and becomes this one's: it seldom changes.
  void Number(std::vector<std::size_t>& aLast);

  const PlannedVm& Vm(std::size_t aIndex) const
  {
    return m_input.m_vms[aIndex];
  }

  const PlannerInput& m_input;
  const MonotonicTime m_now;
  std::vector<VmPlan> m_vms;          // beside m_input.m_vms
  std::vector<std::size_t> m_order;   // VMs by place and name
  std::vector<std::uint32_t> m_place; // of each VM, numbered
  std::uint32_t m_places = 0;
  std::vector<Claim> m_claims;
  std::map<std::string, Rollout> m_rollouts;           // by digest
  std::set<std::string> m_metDigests;                  // targets that are met
  std::map<std::string, std::uint32_t> m_changingOver; // by service
  Plan m_plan;
};

// Whether the VM answers requests of a class from this digest.
inline bool
ServesClass(const PlannedVm& aVm,
            const std::string& aClass,
            const std::string& aDigest)
{
  for (const auto& [name, digest] : aVm.m_servingClasses) {
    if (name == aClass && digest == aDigest) {
      return true;
    }
  }
  return false;
}

template<typename List, typename Value>
bool
Contains(const List& aList, const Value& aValue)
{
  for (const auto& item : aList) {
    if (item == aValue) {
      return true;
    }
  }
  return false;
}

} // namespace siskindeal

#pragma once
// Working state of one planning decision.

#include "siskindeal/planner.h"

namespace siskindeal {

// A target with its class and release resolved, and the VMs assigned to it.
struct Planner::TargetPlan
{
  const TargetSpec* m_target = nullptr;
  int m_priority = 0;
  std::string m_service;
  std::string m_release;
  std::string m_digest; // empty: unresolved, see m_blockedReason
  std::string m_base;
  bool m_isAdapter = false;
  std::uint32_t m_wanted = 0;
  std::vector<std::size_t> m_vms; // assigned
  std::string m_blockedReason;
};

struct Planner::VmPlan
{
  std::string m_modelDigest; // digest of the model to serve
  std::string m_firstTarget; // first target it was assigned to
  std::vector<const TargetPlan*> m_assignedTargets;
};

inline constexpr std::uint32_t kNotMember = UINT32_MAX;

struct Planner::Rollout
{
  std::vector<std::size_t> m_members; // reachable, by place and name
  std::vector<std::vector<std::size_t>> m_byPlace; // by place number
  std::vector<std::uint32_t> m_fleetIndex; // by VM; kNotMember if not a member
  std::vector<std::uint32_t> m_placeIndex; // by VM; index within its place
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

  // Orders the VMs by place and name and numbers the places. aLast holds the
  // order of the previous decision, which is reused because it rarely changes,
  // and receives the new one.
  void NumberVms(std::vector<std::size_t>& aLast);

  const PlannedVm& Vm(std::size_t aIndex) const
  {
    return m_input.m_vms[aIndex];
  }

  const PlannerInput& m_input;
  const MonotonicTime m_now;
  std::vector<VmPlan> m_vms;                 // parallel to m_input.m_vms
  std::vector<std::size_t> m_vmOrder;        // sorted by place and name
  std::vector<std::uint32_t> m_placeNumbers; // by VM
  std::uint32_t m_placeCount = 0;
  std::vector<TargetPlan> m_targetPlans;
  std::map<std::string, Rollout> m_rollouts; // by digest
  std::set<std::string> m_metDigests;        // of targets that are met
  std::map<std::string, std::uint32_t> m_switchingVms; // by service
  Plan m_plan;
};

// Whether the VM serves requests of a class from this digest.
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

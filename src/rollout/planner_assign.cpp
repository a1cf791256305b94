#include "rollout/planner_p.h"

#include "siskindeal/digest.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace siskindeal {

namespace {

// How well a VM suits a release, best first.
enum class Fit
{
  Serving,
  Staged,
  Fetching,
  OlderRelease,
  Free,
  OtherWork,
  Unfit,
};

Fit
FitOf(const PlannedVm& aVm,
      const std::string& aClass,
      const std::string& aDigest)
{
  if (Contains(aVm.m_serving, aDigest)) {
    return Fit::Serving;
  }
  if (Contains(aVm.m_staged, aDigest) || aVm.m_loading == aDigest) {
    return Fit::Staged;
  }
  if (aVm.m_fetching == aDigest) {
    return Fit::Fetching;
  }
  if (!aVm.m_reachable) {
    return Fit::Unfit;
  }
  if (aVm.m_serving.empty()) {
    return Fit::Free;
  }
  for (const auto& [name, digest] : aVm.m_servingClasses) {
    if (name == aClass) {
      return Fit::OlderRelease;
    }
  }
  return Fit::OtherWork;
}

constexpr std::size_t kFitCount = static_cast<std::size_t>(Fit::Unfit);

// A usable VM and its rank within its place, by which candidates are sorted.
struct Candidate
{
  std::uint32_t m_rank = 0;
  std::size_t m_vm = 0;
};

bool
IsInPlaces(const PlannedVm& aVm, const TargetSpec& aTarget)
{
  return aTarget.m_places.empty() || Contains(aTarget.m_places, aVm.m_place);
}

std::uint32_t
WantedVms(const TargetAmount& aAmount, std::size_t aVms)
{
  if (const auto* count = std::get_if<VmCount>(&aAmount)) {
    return count->m_vms;
  }
  constexpr double kRoundingTolerance = 1e-9;
  return static_cast<std::uint32_t>(
    std::ceil(std::get<VmShare>(aAmount).m_share * static_cast<double>(aVms) -
              kRoundingTolerance));
}

} // namespace

void
Planner::Round::NumberVms(std::vector<std::size_t>& aLast)
{
  if (aLast.size() != m_vms.size()) {
    aLast.resize(m_vms.size());
    std::iota(aLast.begin(), aLast.end(), std::size_t{ 0 });
  }
  const auto before = [&](std::size_t aLeft, std::size_t aRight) {
    return std::tie(Vm(aLeft).m_place, Vm(aLeft).m_vm) <
           std::tie(Vm(aRight).m_place, Vm(aRight).m_vm);
  };
  if (!std::is_sorted(aLast.begin(), aLast.end(), before)) {
    std::sort(aLast.begin(), aLast.end(), before);
  }
  m_vmOrder = aLast;
  m_placeNumbers.resize(m_vms.size());
  for (std::size_t i = 0; i < m_vmOrder.size(); ++i) {
    if (i > 0 && Vm(m_vmOrder[i]).m_place != Vm(m_vmOrder[i - 1]).m_place) {
      ++m_placeCount;
    }
    m_placeNumbers[m_vmOrder[i]] = m_placeCount;
  }
  ++m_placeCount;
}

void
Planner::Resolve(Round& aRound) const
{
  const auto& input = aRound.m_input;
  for (const auto& target : input.m_targets) {
    TargetPlan targetPlan;
    targetPlan.m_target = &target;
    const auto known = input.m_classes.find(target.m_class);
    const auto current = input.m_catalogue.find(target.m_class);
    if (known == input.m_classes.end()) {
      targetPlan.m_blockedReason = "class of work \"" + target.m_class +
                                   "\" is not in the fleet configuration";
    } else if (current == input.m_catalogue.end()) {
      targetPlan.m_blockedReason =
        "the catalogue names no release for \"" + target.m_class + "\"";
    } else {
      targetPlan.m_release = current->second.m_release;
      targetPlan.m_isAdapter = current->second.m_adapter;
    }
    if (known != input.m_classes.end()) {
      targetPlan.m_service = known->second.m_service;
      targetPlan.m_priority = known->second.m_priority;
    }
    const auto release = input.m_releases.find(targetPlan.m_release);
    if (release != input.m_releases.end()) {
      targetPlan.m_digest = release->second.m_digest;
      targetPlan.m_base = release->second.m_base;
    } else if (targetPlan.m_blockedReason.empty()) {
      targetPlan.m_blockedReason = "the manifest of release \"" +
                                   targetPlan.m_release + "\" is not known yet";
    }
    if (!targetPlan.m_digest.empty() &&
        targetPlan.m_isAdapter == targetPlan.m_base.empty()) {
      targetPlan.m_digest.clear();
      targetPlan.m_blockedReason = "the catalogue and the manifest of \"" +
                                   targetPlan.m_release +
                                   "\" disagree on whether it is an adapter";
    }
    aRound.m_targetPlans.push_back(std::move(targetPlan));
  }
  // Sorts by precedence among conflicting targets. It does not depend on what
  // the VMs serve, so that assignments are stable.
  std::sort(aRound.m_targetPlans.begin(),
            aRound.m_targetPlans.end(),
            [](const TargetPlan& aLeft, const TargetPlan& aRight) {
              const auto key = [](const TargetPlan& aTargetPlan) {
                return std::tuple(aTargetPlan.m_isAdapter,
                                  -aTargetPlan.m_priority,
                                  aTargetPlan.m_target->m_statedAt,
                                  aTargetPlan.m_target->m_name);
              };
              return key(aLeft) < key(aRight);
            });
}

void
Planner::Assign(Round& aRound) const
{
  for (auto& targetPlan : aRound.m_targetPlans) {
    if (targetPlan.m_isAdapter) {
      AssignAdapter(aRound, targetPlan);
    } else {
      AssignModel(aRound, targetPlan);
    }
  }
}

void
Planner::AssignModel(Round& aRound, TargetPlan& aTargetPlan) const
{
  const auto& target = *aTargetPlan.m_target;
  std::array<std::vector<Candidate>, kFitCount> candidates;
  std::size_t vms = 0;
  std::set<std::string> holdingTargets;
  for (const auto i : aRound.m_vmOrder) {
    const auto& vm = aRound.Vm(i);
    if (vm.m_service != aTargetPlan.m_service || !IsInPlaces(vm, target)) {
      continue;
    }
    ++vms;
    auto& plan = aRound.m_vms[i];
    if (aTargetPlan.m_digest.empty()) {
      continue;
    }
    if (!plan.m_modelDigest.empty() &&
        plan.m_modelDigest != aTargetPlan.m_digest) {
      holdingTargets.emplace(plan.m_firstTarget);
      continue;
    }
    const auto fit = plan.m_modelDigest == aTargetPlan.m_digest
                       ? Fit::Serving
                       : FitOf(vm, target.m_class, aTargetPlan.m_digest);
    if (fit != Fit::Unfit) {
      candidates[static_cast<std::size_t>(fit)].push_back(Candidate{ 0, i });
    }
  }
  aTargetPlan.m_wanted = WantedVms(target.m_amount, vms);
  std::vector<std::uint32_t> ranks(aRound.m_placeCount);
  for (auto& group : candidates) {
    for (auto& candidate : group) {
      candidate.m_rank = ranks[aRound.m_placeNumbers[candidate.m_vm]]++;
    }
    // Spreads the VMs evenly over the places. Breaks ties by place and name.
    std::stable_sort(group.begin(),
                     group.end(),
                     [](const Candidate& aLeft, const Candidate& aRight) {
                       return aLeft.m_rank < aRight.m_rank;
                     });
    for (const auto& candidate : group) {
      if (aTargetPlan.m_vms.size() == aTargetPlan.m_wanted) {
        break;
      }
      auto& plan = aRound.m_vms[candidate.m_vm];
      if (plan.m_modelDigest.empty()) {
        plan.m_modelDigest = aTargetPlan.m_digest;
        plan.m_firstTarget = target.m_name;
      }
      plan.m_assignedTargets.push_back(&aTargetPlan);
      aTargetPlan.m_vms.push_back(candidate.m_vm);
    }
  }
  if (!aTargetPlan.m_blockedReason.empty() ||
      aTargetPlan.m_vms.size() >= aTargetPlan.m_wanted) {
    return;
  }
  aTargetPlan.m_blockedReason =
    "only " + std::to_string(aTargetPlan.m_vms.size()) + " of the " +
    std::to_string(vms) + " VMs of " + aTargetPlan.m_service +
    " in its places are available";
  std::string names;
  for (const auto& name : holdingTargets) {
    names += (names.empty() ? "" : ", ") + name;
  }
  if (!names.empty()) {
    aTargetPlan.m_blockedReason +=
      "; others are held by target " + names +
      ", which has a higher priority or was stated earlier";
  }
}

void
Planner::AssignAdapter(Round& aRound, TargetPlan& aTargetPlan) const
{
  const auto& target = *aTargetPlan.m_target;
  std::size_t vms = 0;
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < aRound.m_vms.size(); ++i) {
    const auto& vm = aRound.Vm(i);
    if (vm.m_service != aTargetPlan.m_service || !IsInPlaces(vm, target)) {
      continue;
    }
    ++vms;
    if (!aTargetPlan.m_digest.empty() &&
        aRound.m_vms[i].m_modelDigest == aTargetPlan.m_base) {
      candidates.push_back(i);
    }
  }
  aTargetPlan.m_wanted = WantedVms(target.m_amount, vms);
  std::stable_sort(
    candidates.begin(), candidates.end(), [&](auto aLeft, auto aRight) {
      return FitOf(aRound.Vm(aLeft), target.m_class, aTargetPlan.m_digest) <
             FitOf(aRound.Vm(aRight), target.m_class, aTargetPlan.m_digest);
    });
  if (candidates.size() > aTargetPlan.m_wanted) {
    candidates.resize(aTargetPlan.m_wanted);
  }
  for (const auto i : candidates) {
    aRound.m_vms[i].m_assignedTargets.push_back(&aTargetPlan);
  }
  aTargetPlan.m_vms = candidates;
  if (aTargetPlan.m_blockedReason.empty() &&
      candidates.size() < aTargetPlan.m_wanted) {
    aTargetPlan.m_blockedReason =
      "the adapter is pinned to a base model assigned to only " +
      std::to_string(candidates.size()) + " VMs in its places";
  }
}

void
Planner::BuildRollouts(Round& aRound) const
{
  for (const auto i : aRound.m_vmOrder) {
    if (!aRound.Vm(i).m_reachable) {
      continue;
    }
    const std::string* last = nullptr;
    for (const auto* targetPlan : aRound.m_vms[i].m_assignedTargets) {
      if (last != nullptr && *last == targetPlan->m_digest) {
        continue;
      }
      last = &targetPlan->m_digest;
      auto& rollout = aRound.m_rollouts[targetPlan->m_digest];
      rollout.m_byPlace.resize(aRound.m_placeCount);
      auto& place = rollout.m_byPlace[aRound.m_placeNumbers[i]];
      const auto index = static_cast<std::uint32_t>(rollout.m_members.size());
      rollout.m_fleetIndex.resize(aRound.m_vms.size(), kNotMember);
      rollout.m_placeIndex.resize(aRound.m_vms.size());
      if (rollout.m_fleetIndex[i] != kNotMember) {
        continue;
      }
      rollout.m_fleetIndex[i] = index;
      rollout.m_placeIndex[i] = static_cast<std::uint32_t>(place.size());
      rollout.m_members.push_back(i);
      place.push_back(i);
      rollout.m_signature = StableHash(
        aRound.Vm(i).m_vm, rollout.m_signature ^ aRound.Vm(i).m_incarnation);
    }
  }
  for (const auto& targetPlan : aRound.m_targetPlans) {
    const auto found = aRound.m_rollouts.find(targetPlan.m_digest);
    if (found != aRound.m_rollouts.end()) {
      constexpr double kOriginByPlaceThreshold = 0.5;
      found->second.m_originByPlace =
        found->second.m_originByPlace ||
        targetPlan.m_target->m_timeWeight.value_or(m_settings.m_timeWeight) >
          kOriginByPlaceThreshold;
    }
  }
}

} // namespace siskindeal

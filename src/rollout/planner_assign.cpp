#include "rollout/planner_p.h"

#include "siskindeal/digest.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace siskindeal {

namespace {

// How well a VM fits a release; lower is better.
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

constexpr std::size_t kFits = static_cast<std::size_t>(Fit::Unfit);

// A VM that fits, and what it is sorted by: its rank within its place.
struct Candidate
{
  std::uint32_t m_rank = 0;
  std::size_t m_vm = 0;
};

bool
InPlaces(const PlannedVm& aVm, const TargetSpec& aTarget)
{
  return aTarget.m_places.empty() || Contains(aTarget.m_places, aVm.m_place);
}

std::uint32_t
Wanted(const TargetAmount& aAmount, std::size_t aVms)
{
  if (const auto* count = std::get_if<VmCount>(&aAmount)) {
    return count->m_vms;
  }
  constexpr double kRounding = 1e-9;
  return static_cast<std::uint32_t>(
    std::ceil(std::get<VmShare>(aAmount).m_share * static_cast<double>(aVms) -
              kRounding));
}

} // namespace

void
Planner::Round::Number(std::vector<std::size_t>& aLast)
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
  m_order = aLast;
  m_place.resize(m_vms.size());
  for (std::size_t i = 0; i < m_order.size(); ++i) {
    if (i > 0 && Vm(m_order[i]).m_place != Vm(m_order[i - 1]).m_place) {
      ++m_places;
    }
    m_place[m_order[i]] = m_places;
  }
  ++m_places;
}

void
Planner::Resolve(Round& aRound) const
{
  const auto& input = aRound.m_input;
  for (const auto& target : input.m_targets) {
    Claim claim;
    claim.m_target = &target;
    const auto known = input.m_classes.find(target.m_class);
    const auto current = input.m_catalogue.find(target.m_class);
    if (known == input.m_classes.end()) {
      claim.m_holdUp = "class of work \"" + target.m_class +
                       "\" is not in the fleet configuration";
    } else if (current == input.m_catalogue.end()) {
      claim.m_holdUp =
        "the catalogue names no release for \"" + target.m_class + "\"";
    } else {
      claim.m_release = current->second.m_release;
      claim.m_isAdapter = current->second.m_adapter;
    }
    if (known != input.m_classes.end()) {
      claim.m_service = known->second.m_service;
      claim.m_priority = known->second.m_priority;
    }
    const auto release = input.m_releases.find(claim.m_release);
    if (release != input.m_releases.end()) {
      claim.m_digest = release->second.m_digest;
      claim.m_base = release->second.m_base;
    } else if (claim.m_holdUp.empty()) {
      claim.m_holdUp =
        "the manifest of release \"" + claim.m_release + "\" is not known yet";
    }
    if (!claim.m_digest.empty() && claim.m_isAdapter == claim.m_base.empty()) {
      claim.m_digest.clear();
      claim.m_holdUp = "the catalogue and the manifest of \"" +
                       claim.m_release +
                       "\" differ on whether it is an adapter";
    }
    aRound.m_claims.push_back(std::move(claim));
  }
  // The order in which conflicting targets get VMs: it doesn't depend on what
  // serves now, so it doesn't change by itself.
  std::sort(aRound.m_claims.begin(),
            aRound.m_claims.end(),
            [](const Claim& aLeft, const Claim& aRight) {
              const auto key = [](const Claim& aClaim) {
                return std::tuple(aClaim.m_isAdapter,
                                  -aClaim.m_priority,
                                  aClaim.m_target->m_statedAt,
                                  aClaim.m_target->m_name);
              };
              return key(aLeft) < key(aRight);
            });
}

void
Planner::Assign(Round& aRound) const
{
  for (auto& claim : aRound.m_claims) {
    if (claim.m_isAdapter) {
      AssignAdapter(aRound, claim);
    } else {
      AssignWhole(aRound, claim);
    }
  }
}

void
Planner::AssignWhole(Round& aRound, Claim& aClaim) const
{
  const auto& target = *aClaim.m_target;
  std::array<std::vector<Candidate>, kFits> candidates;
  std::size_t vms = 0;
  std::set<std::string> holders;
  for (const auto i : aRound.m_order) {
    const auto& vm = aRound.Vm(i);
    if (vm.m_service != aClaim.m_service || !InPlaces(vm, target)) {
      continue;
    }
    ++vms;
    auto& plan = aRound.m_vms[i];
    if (aClaim.m_digest.empty()) {
      continue;
    }
    if (!plan.m_whole.empty() && plan.m_whole != aClaim.m_digest) {
      holders.emplace(plan.m_holder);
      continue;
    }
    const auto fit = plan.m_whole == aClaim.m_digest
                       ? Fit::Serving
                       : FitOf(vm, target.m_class, aClaim.m_digest);
    if (fit != Fit::Unfit) {
      candidates[static_cast<std::size_t>(fit)].push_back(Candidate{ 0, i });
    }
  }
  aClaim.m_wanted = Wanted(target.m_amount, vms);
  std::vector<std::uint32_t> ranks(aRound.m_places);
  for (auto& equals : candidates) {
    for (auto& candidate : equals) {
      candidate.m_rank = ranks[aRound.m_place[candidate.m_vm]]++;
    }
    // Evenly over the places; of equal rank the first by place and name.
    std::stable_sort(equals.begin(),
                     equals.end(),
                     [](const Candidate& aLeft, const Candidate& aRight) {
                       return aLeft.m_rank < aRight.m_rank;
                     });
    for (const auto& candidate : equals) {
      if (aClaim.m_vms.size() == aClaim.m_wanted) {
        break;
      }
      auto& plan = aRound.m_vms[candidate.m_vm];
      if (plan.m_whole.empty()) {
        plan.m_whole = aClaim.m_digest;
        plan.m_holder = target.m_name;
      }
      plan.m_wanted.push_back(&aClaim);
      aClaim.m_vms.push_back(candidate.m_vm);
    }
  }
  if (!aClaim.m_holdUp.empty() || aClaim.m_vms.size() >= aClaim.m_wanted) {
    return;
  }
  aClaim.m_holdUp = "only " + std::to_string(aClaim.m_vms.size()) + " of the " +
                    std::to_string(vms) + " VMs of " + aClaim.m_service +
                    " in its places can be used";
  std::string names;
  for (const auto& name : holders) {
    names += (names.empty() ? "" : ", ") + name;
  }
  if (!names.empty()) {
    aClaim.m_holdUp += "; others are held by target " + names +
                       ", which goes first by priority or time of stating";
  }
}

void
Planner::AssignAdapter(Round& aRound, Claim& aClaim) const
{
  const auto& target = *aClaim.m_target;
  std::size_t vms = 0;
  std::vector<std::size_t> based;
  for (std::size_t i = 0; i < aRound.m_vms.size(); ++i) {
    const auto& vm = aRound.Vm(i);
    if (vm.m_service != aClaim.m_service || !InPlaces(vm, target)) {
      continue;
    }
    ++vms;
    if (!aClaim.m_digest.empty() && aRound.m_vms[i].m_whole == aClaim.m_base) {
      based.push_back(i);
    }
  }
  aClaim.m_wanted = Wanted(target.m_amount, vms);
  std::stable_sort(based.begin(), based.end(), [&](auto aLeft, auto aRight) {
    return FitOf(aRound.Vm(aLeft), target.m_class, aClaim.m_digest) <
           FitOf(aRound.Vm(aRight), target.m_class, aClaim.m_digest);
  });
  if (based.size() > aClaim.m_wanted) {
    based.resize(aClaim.m_wanted);
  }
  for (const auto i : based) {
    aRound.m_vms[i].m_wanted.push_back(&aClaim);
  }
  aClaim.m_vms = based;
  if (aClaim.m_holdUp.empty() && based.size() < aClaim.m_wanted) {
    aClaim.m_holdUp = "the adapter is pinned to a base that targets give to " +
                      std::to_string(based.size()) + " VMs in its places";
  }
}

void
Planner::FindRollouts(Round& aRound) const
{
  for (const auto i : aRound.m_order) {
    if (!aRound.Vm(i).m_reachable) {
      continue;
    }
    const std::string* last = nullptr;
    for (const auto* claim : aRound.m_vms[i].m_wanted) {
      if (last != nullptr && *last == claim->m_digest) {
        continue;
      }
      last = &claim->m_digest;
      auto& rollout = aRound.m_rollouts[claim->m_digest];
      rollout.m_byPlace.resize(aRound.m_places);
      auto& place = rollout.m_byPlace[aRound.m_place[i]];
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
  for (const auto& claim : aRound.m_claims) {
    const auto found = aRound.m_rollouts.find(claim.m_digest);
    if (found != aRound.m_rollouts.end()) {
      constexpr double kEven = 0.5;
      found->second.m_originByPlace =
        found->second.m_originByPlace ||
        claim.m_target->m_timeWeight.value_or(m_settings.m_timeWeight) > kEven;
    }
  }
}

} // namespace siskindeal

#include "rollout/planner_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::size_t kMaxOrdersPerDecision = 64;
constexpr std::size_t kMaxPeersInPlace = 24;
constexpr std::size_t kMaxPeersElsewhere = 8;
constexpr std::uint32_t kManifestSeeds = 2; // VMs per place sent the manifest
constexpr std::chrono::milliseconds kResendInterval{ 2000 };
constexpr std::chrono::milliseconds kReviseInterval{ 1000 };
constexpr std::chrono::seconds kResendLoadInterval{ 30 };
// Delay after acquiring a lease before serving VMs switch models. By then the
// node records show the loads that the previous holder started.
constexpr std::chrono::milliseconds kLeaseSettleTime{ 3000 };

void
AddPeer(wire::FetchOrder& aOrder, const PlannedVm& aVm)
{
  auto* peer = aOrder.add_peers();
  peer->set_vm(aVm.m_vm);
  peer->set_place(aVm.m_place);
  peer->set_address(aVm.m_address);
}

} // namespace

void
Planner::PruneSentOrders(const Round& aRound)
{
  if (m_sent.size() <= aRound.m_vms.size()) {
    return;
  }
  std::set<std::string> known;
  for (const auto& vm : aRound.m_input.m_vms) {
    known.insert(vm.m_vm);
  }
  std::erase_if(
    m_sent, [&](const auto& aSent) { return known.count(aSent.first) == 0; });
}

std::uint32_t
Planner::SwitchingVms(const Round& aRound, const std::string& aService) const
{
  const auto found = aRound.m_switchingVms.find(aService);
  return found == aRound.m_switchingVms.end() ? 0 : found->second;
}

void
Planner::PlanOrders(Round& aRound)
{
  PruneSentOrders(aRound);
  for (std::size_t i = 0; i < aRound.m_vms.size(); ++i) {
    const auto& vm = aRound.Vm(i);
    auto& sent = m_sent[vm.m_vm];
    if (!sent.m_loadDigest.empty() &&
        (Contains(vm.m_serving, sent.m_loadDigest) ||
         (vm.m_reachable && vm.m_loading.empty() &&
          aRound.m_now - sent.m_loadAt >= kResendLoadInterval))) {
      sent.m_loadDigest.clear();
    }
    const bool loading = !vm.m_loading.empty() && !vm.m_serving.empty();
    if (loading || (!sent.m_loadDigest.empty() && sent.m_switchesModel)) {
      ++aRound.m_switchingVms[vm.m_service];
    }
  }
  for (const auto& [service, token] : aRound.m_input.m_tokens) {
    auto& [known, since] = m_tokenSince[service];
    if (known != token) {
      SISKINDEAL_INVARIANT(token > known, "fencing tokens only grow");
      known = token;
      since = aRound.m_now;
    }
  }
  for (std::size_t i = 0; i < aRound.m_vms.size(); ++i) {
    if (aRound.m_plan.m_orders.size() >= kMaxOrdersPerDecision) {
      return;
    }
    const auto& vm = aRound.Vm(i);
    if (!vm.m_reachable || aRound.m_input.m_tokens.count(vm.m_service) == 0) {
      continue;
    }
    bool ordered = false;
    for (const auto* targetPlan : aRound.m_vms[i].m_assignedTargets) {
      const auto& digest = targetPlan->m_digest;
      if (Contains(vm.m_staged, digest)) {
        ordered = ordered || PlanLoad(aRound, i, digest);
      } else if (!ordered) {
        ordered = PlanFetch(aRound, i, digest);
        break; // one download per VM, base models first
      }
    }
    if (!ordered) {
      PlanUnload(aRound, i);
    }
  }
}

bool
Planner::PlanFetch(Round& aRound, std::size_t aVm, const std::string& aDigest)
{
  const auto& vm = aRound.Vm(aVm);
  const auto& rollout = aRound.m_rollouts.at(aDigest);
  auto& sent = m_sent[vm.m_vm];
  const auto age = aRound.m_now - sent.m_fetchAt;
  const auto signature =
    StableHash(aDigest, rollout.m_signature ^ vm.m_incarnation);
  const bool revised = sent.m_fetchSignature != signature;
  if (sent.m_fetchSignature != 0 &&
      age < (revised ? kReviseInterval : kResendInterval)) {
    return false;
  }
  if (!revised && vm.m_fetching == aDigest) {
    return false;
  }
  sent.m_fetchSignature = signature;
  sent.m_fetchAt = aRound.m_now;
  PlannedOrder order{ vm.m_vm, vm.m_address, vm.m_service, false, {} };
  auto& fetch = *order.m_request.mutable_fetch();
  for (const auto* targetPlan : aRound.m_vms[aVm].m_assignedTargets) {
    if (targetPlan->m_digest == aDigest) {
      fetch.set_class_of_work(targetPlan->m_target->m_class);
      break;
    }
  }
  fetch.set_digest(aDigest);
  fetch.set_policy(m_settings.m_policy);
  fetch.set_allow_origin(true);
  fetch.set_origin_by_place(rollout.m_originByPlace);
  fetch.set_load_when_staged(vm.m_serving.empty());
  const auto& place = rollout.m_byPlace[aRound.m_placeNumbers[aVm]];
  const auto placeIndex = rollout.m_placeIndex.at(aVm);
  const auto fleetIndex = rollout.m_fleetIndex.at(aVm);
  fetch.set_fleet_index(fleetIndex);
  fetch.set_fleet_count(static_cast<std::uint32_t>(rollout.m_members.size()));
  fetch.set_place_index(placeIndex);
  fetch.set_place_count(static_cast<std::uint32_t>(place.size()));
  order.m_withManifest = placeIndex < kManifestSeeds;
  for (std::uint32_t seed = 0; seed < kManifestSeeds && seed < placeIndex;
       ++seed) {
    AddPeer(fetch, aRound.Vm(place[seed])); // first sources of the manifest
  }
  for (std::size_t i = 1; i < place.size() && i <= kMaxPeersInPlace; ++i) {
    const auto index = (placeIndex + i) % place.size();
    if (index >= kManifestSeeds || placeIndex < kManifestSeeds) {
      AddPeer(fetch, aRound.Vm(place[index]));
    }
  }
  const auto members = rollout.m_members.size();
  std::size_t elsewhere = 0;
  for (std::size_t i = 1; i < members && elsewhere < kMaxPeersElsewhere; ++i) {
    // Members are sorted by place; striding spreads the peers over the places.
    const auto step =
      std::max<std::size_t>(1, members / (2 * kMaxPeersElsewhere));
    const auto index = (fleetIndex + i * step + i / 3) % members;
    const auto& peer = aRound.Vm(rollout.m_members[index]);
    if (peer.m_place != vm.m_place) {
      AddPeer(fetch, peer);
      ++elsewhere;
    }
  }
  aRound.m_plan.m_orders.push_back(std::move(order));
  return true;
}

bool
Planner::PlanLoad(Round& aRound, std::size_t aVm, const std::string& aDigest)
{
  const auto& vm = aRound.Vm(aVm);
  auto& sent = m_sent[vm.m_vm];
  for (const auto* assigned : aRound.m_vms[aVm].m_assignedTargets) {
    const auto& targetPlan = *assigned;
    if (targetPlan.m_digest != aDigest ||
        ServesClass(vm, targetPlan.m_target->m_class, aDigest)) {
      continue;
    }
    const bool serving = Contains(vm.m_serving, aDigest);
    const bool switches = !serving && !vm.m_serving.empty();
    if (!vm.m_loading.empty() || !sent.m_loadDigest.empty() ||
        (!targetPlan.m_base.empty() &&
         !Contains(vm.m_serving, targetPlan.m_base))) {
      return false;
    }
    if (serving && aRound.m_now - sent.m_otherOrderAt < kResendInterval) {
      return false;
    }
    const auto leaseSettled =
      aRound.m_now - m_tokenSince[vm.m_service].second >= kLeaseSettleTime;
    auto& switching = aRound.m_switchingVms[vm.m_service];
    if (switches &&
        (!leaseSettled || switching >= m_settings.m_mostOutOfService)) {
      return false;
    }
    switching += switches ? 1 : 0;
    SISKINDEAL_INVARIANT(
      !switches || switching <= m_settings.m_mostOutOfService,
      "VMs of a service that switch models stay within the limit");
    if (serving) {
      sent.m_otherOrderAt = aRound.m_now; // adds a class, loads no weights
    } else {
      sent.m_loadDigest = aDigest;
      sent.m_loadAt = aRound.m_now;
      sent.m_switchesModel = switches;
    }
    PlannedOrder order{ vm.m_vm, vm.m_address, vm.m_service, false, {} };
    auto& load = *order.m_request.mutable_load();
    load.set_class_of_work(targetPlan.m_target->m_class);
    load.set_digest(aDigest);
    load.set_base_digest(targetPlan.m_base);
    aRound.m_plan.m_orders.push_back(std::move(order));
    return true;
  }
  return false;
}

void
Planner::PlanUnload(Round& aRound, std::size_t aVm)
{
  const auto& vm = aRound.Vm(aVm);
  auto& sent = m_sent[vm.m_vm];
  if (aRound.m_now - sent.m_otherOrderAt < kResendInterval) {
    return;
  }
  const auto& plan = aRound.m_vms[aVm];
  const auto wanted = [&](const std::string& aDigest) {
    return std::any_of(plan.m_assignedTargets.begin(),
                       plan.m_assignedTargets.end(),
                       [&](const auto* aTargetPlan) {
                         return aTargetPlan->m_digest == aDigest;
                       });
  };
  PlannedOrder order{ vm.m_vm, vm.m_address, vm.m_service, false, {} };
  const bool replaced =
    !plan.m_assignedTargets.empty() &&
    std::all_of(plan.m_assignedTargets.begin(),
                plan.m_assignedTargets.end(),
                [&](const auto* aTargetPlan) {
                  return Contains(vm.m_serving, aTargetPlan->m_digest);
                });
  for (const auto& serving : vm.m_servingClasses) {
    const auto& name = serving.first;
    const auto& digest = serving.second;
    if (wanted(digest)) {
      continue;
    }
    // An unassigned VM keeps serving until a target of the class is met.
    const bool superseded =
      std::any_of(aRound.m_targetPlans.begin(),
                  aRound.m_targetPlans.end(),
                  [&](const auto& aTargetPlan) {
                    return aTargetPlan.m_target->m_class == name &&
                           !aTargetPlan.m_digest.empty() &&
                           aTargetPlan.m_digest != digest &&
                           aRound.m_metDigests.count(aTargetPlan.m_digest) != 0;
                  });
    if (replaced || superseded) {
      order.m_request.mutable_unload()->set_digest(digest);
      sent.m_otherOrderAt = aRound.m_now;
      aRound.m_plan.m_orders.push_back(std::move(order));
      return;
    }
  }
  const auto& fetching = vm.m_fetching;
  if (!fetching.empty() && !wanted(fetching) && fetching != vm.m_loading &&
      !Contains(vm.m_staged, fetching) && !Contains(vm.m_serving, fetching)) {
    order.m_request.mutable_abandon()->set_digest(fetching);
    sent.m_otherOrderAt = aRound.m_now;
    aRound.m_plan.m_orders.push_back(std::move(order));
  }
}

} // namespace siskindeal

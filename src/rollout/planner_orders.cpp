#include "rollout/planner_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::size_t kMostOrders = 64; // of one decision
constexpr std::size_t kPeersInPlace = 24;
constexpr std::size_t kPeersElsewhere = 8;
constexpr std::uint32_t kManifestSeeds = 2; // VMs of a place sent the manifest
constexpr std::chrono::milliseconds kResend{ 2000 };
constexpr std::chrono::milliseconds kRevise{ 1000 };
constexpr std::chrono::seconds kResendLoad{ 30 };
// Before VMs that serve are changed over under a lease just taken: the records
// by then show what the last holder had begun.
constexpr std::chrono::milliseconds kSettle{ 3000 };

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
Planner::ForgetGone(const Round& aRound)
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
Planner::ChangingOver(const Round& aRound, const std::string& aService) const
{
  const auto found = aRound.m_changingOver.find(aService);
  return found == aRound.m_changingOver.end() ? 0 : found->second;
}

void
Planner::PlanOrders(Round& aRound)
{
  ForgetGone(aRound);
  for (std::size_t i = 0; i < aRound.m_vms.size(); ++i) {
    const auto& vm = aRound.Vm(i);
    auto& sent = m_sent[vm.m_vm];
    if (!sent.m_load.empty() &&
        (Contains(vm.m_serving, sent.m_load) ||
         (vm.m_reachable && vm.m_loading.empty() &&
          aRound.m_now - sent.m_loadAt >= kResendLoad))) {
      sent.m_load.clear();
    }
    const bool loads = !vm.m_loading.empty() && !vm.m_serving.empty();
    if (loads || (!sent.m_load.empty() && sent.m_changesOver)) {
      ++aRound.m_changingOver[vm.m_service];
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
    if (aRound.m_plan.m_orders.size() >= kMostOrders) {
      return;
    }
    const auto& vm = aRound.Vm(i);
    if (!vm.m_reachable || aRound.m_input.m_tokens.count(vm.m_service) == 0) {
      continue;
    }
    bool ordered = false;
    for (const auto* claim : aRound.m_vms[i].m_wanted) {
      const auto& digest = claim->m_digest;
      if (Contains(vm.m_staged, digest)) {
        ordered = ordered || PlanLoad(aRound, i, digest);
      } else if (!ordered) {
        ordered = PlanFetch(aRound, i, digest);
        break; // one download at a time, whole models first
      }
    }
    if (!ordered) {
      PlanRelease(aRound, i);
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
  const bool changed = sent.m_fetch != signature;
  if (sent.m_fetch != 0 && age < (changed ? kRevise : kResend)) {
    return false;
  }
  if (!changed && vm.m_fetching == aDigest) {
    return false;
  }
  sent.m_fetch = signature;
  sent.m_fetchAt = aRound.m_now;
  PlannedOrder order{ vm.m_vm, vm.m_address, vm.m_service, false, {} };
  auto& fetch = *order.m_request.mutable_fetch();
  for (const auto* claim : aRound.m_vms[aVm].m_wanted) {
    if (claim->m_digest == aDigest) {
      fetch.set_class_of_work(claim->m_target->m_class);
      break;
    }
  }
  fetch.set_digest(aDigest);
  fetch.set_policy(m_settings.m_policy);
  fetch.set_allow_origin(true);
  fetch.set_origin_by_place(rollout.m_originByPlace);
  fetch.set_load_when_staged(vm.m_serving.empty());
  const auto& place = rollout.m_byPlace[aRound.m_place[aVm]];
  const auto placeIndex = rollout.m_placeIndex.at(aVm);
  const auto fleetIndex = rollout.m_fleetIndex.at(aVm);
  fetch.set_fleet_index(fleetIndex);
  fetch.set_fleet_count(static_cast<std::uint32_t>(rollout.m_members.size()));
  fetch.set_place_index(placeIndex);
  fetch.set_place_count(static_cast<std::uint32_t>(place.size()));
  order.m_withManifest = placeIndex < kManifestSeeds;
  for (std::uint32_t seed = 0; seed < kManifestSeeds && seed < placeIndex;
       ++seed) {
    AddPeer(fetch, aRound.Vm(place[seed])); // asked first for the manifest
  }
  for (std::size_t i = 1; i < place.size() && i <= kPeersInPlace; ++i) {
    const auto index = (placeIndex + i) % place.size();
    if (index >= kManifestSeeds || placeIndex < kManifestSeeds) {
      AddPeer(fetch, aRound.Vm(place[index]));
    }
  }
  const auto members = rollout.m_members.size();
  std::size_t elsewhere = 0;
  for (std::size_t i = 1; i < members && elsewhere < kPeersElsewhere; ++i) {
    // Steps spread the picks over the places, which stand one after another.
    const auto step = std::max<std::size_t>(1, members / (2 * kPeersElsewhere));
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
  for (const auto* wanted : aRound.m_vms[aVm].m_wanted) {
    const auto& claim = *wanted;
    if (claim.m_digest != aDigest ||
        ServesClass(vm, claim.m_target->m_class, aDigest)) {
      continue;
    }
    const bool serving = Contains(vm.m_serving, aDigest);
    const bool changes = !serving && !vm.m_serving.empty();
    if (!vm.m_loading.empty() || !sent.m_load.empty() ||
        (!claim.m_base.empty() && !Contains(vm.m_serving, claim.m_base))) {
      return false;
    }
    if (serving && aRound.m_now - sent.m_otherAt < kResend) {
      return false;
    }
    const auto settled =
      aRound.m_now - m_tokenSince[vm.m_service].second >= kSettle;
    auto& changing = aRound.m_changingOver[vm.m_service];
    if (changes && (!settled || changing >= m_settings.m_mostOutOfService)) {
      return false;
    }
    changing += changes ? 1 : 0;
    SISKINDEAL_INVARIANT(
      !changes || changing <= m_settings.m_mostOutOfService,
      "at most the stated VMs of a service change over at once");
    if (serving) {
      sent.m_otherAt = aRound.m_now; // only adds a class of work
    } else {
      sent.m_load = aDigest;
      sent.m_loadAt = aRound.m_now;
      sent.m_changesOver = changes;
    }
    PlannedOrder order{ vm.m_vm, vm.m_address, vm.m_service, false, {} };
    auto& load = *order.m_request.mutable_load();
    load.set_class_of_work(claim.m_target->m_class);
    load.set_digest(aDigest);
    load.set_base_digest(claim.m_base);
    aRound.m_plan.m_orders.push_back(std::move(order));
    return true;
  }
  return false;
}

void
Planner::PlanRelease(Round& aRound, std::size_t aVm)
{
  const auto& vm = aRound.Vm(aVm);
  auto& sent = m_sent[vm.m_vm];
  if (aRound.m_now - sent.m_otherAt < kResend) {
    return;
  }
  const auto& plan = aRound.m_vms[aVm];
  const auto wanted = [&](const std::string& aDigest) {
    return std::any_of(
      plan.m_wanted.begin(), plan.m_wanted.end(), [&](const auto* aClaim) {
        return aClaim->m_digest == aDigest;
      });
  };
  PlannedOrder order{ vm.m_vm, vm.m_address, vm.m_service, false, {} };
  const bool replaced =
    !plan.m_wanted.empty() &&
    std::all_of(
      plan.m_wanted.begin(), plan.m_wanted.end(), [&](const auto* aClaim) {
        return Contains(vm.m_serving, aClaim->m_digest);
      });
  for (const auto& serving : vm.m_servingClasses) {
    const auto& name = serving.first;
    const auto& digest = serving.second;
    if (wanted(digest)) {
      continue;
    }
    // A VM that isn't assigned goes on until the class's targets are met.
    const bool superseded = std::any_of(
      aRound.m_claims.begin(), aRound.m_claims.end(), [&](const auto& aClaim) {
        return aClaim.m_target->m_class == name && !aClaim.m_digest.empty() &&
               aClaim.m_digest != digest &&
               aRound.m_metDigests.count(aClaim.m_digest) != 0;
      });
    if (replaced || superseded) {
      order.m_request.mutable_unload()->set_digest(digest);
      sent.m_otherAt = aRound.m_now;
      aRound.m_plan.m_orders.push_back(std::move(order));
      return;
    }
  }
  const auto& fetching = vm.m_fetching;
  if (!fetching.empty() && !wanted(fetching) && fetching != vm.m_loading &&
      !Contains(vm.m_staged, fetching) && !Contains(vm.m_serving, fetching)) {
    order.m_request.mutable_abandon()->set_digest(fetching);
    sent.m_otherAt = aRound.m_now;
    aRound.m_plan.m_orders.push_back(std::move(order));
  }
}

} // namespace siskindeal

#include "rollout/planner_p.h"

#include "siskindeal/error.h"
#include "siskindeal/json.h"

#include <absl/strings/str_format.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::size_t kMaxHistory = 20;
constexpr double kMinProgress = 0.02;    // required for a time estimate
constexpr double kStagedProgress = 0.95; // of a VM that has not loaded yet
// Matches no order, so that a rejected order is sent again.
constexpr std::uint64_t kRejectedSignature = 1;

void
AppendHistory(std::vector<std::string>& aHistory,
              WallTime aWall,
              const std::string& aEvent)
{
  aHistory.push_back(absl::FormatTime("%Y-%m-%dT%H:%M:%SZ ",
                                      absl::FromChrono(aWall),
                                      absl::UTCTimeZone()) +
                     aEvent);
  if (aHistory.size() > kMaxHistory) {
    aHistory.erase(aHistory.begin());
  }
}

} // namespace

CatalogueEntry
ParseCatalogueEntry(const std::string& aJson)
{
  try {
    const auto json = ParseJson(aJson);
    CatalogueEntry entry{ json.at("release").get<std::string>(),
                          json.value("adapter", false) };
    if (!entry.m_release.empty()) {
      return entry;
    }
  } catch (const nlohmann::json::exception& failure) {
    throw Error(Reason::BadRequest,
                Verdict::NotRun,
                "catalogue entry: " + std::string(failure.what()));
  }
  throw Error(
    Reason::BadRequest, Verdict::NotRun, "catalogue entry: release is empty");
}

PlannedVm
PlannedVmOf(const wire::NodeRecord& aRecord)
{
  PlannedVm vm;
  vm.m_vm = aRecord.vm();
  vm.m_place = aRecord.place();
  vm.m_service = aRecord.service();
  vm.m_address = aRecord.address();
  vm.m_reachable = aRecord.liveness() == wire::LIVENESS_ALIVE;
  vm.m_incarnation = aRecord.incarnation();
  vm.m_serving.assign(aRecord.serving_digests().begin(),
                      aRecord.serving_digests().end());
  vm.m_staged.assign(aRecord.staged_digests().begin(),
                     aRecord.staged_digests().end());
  for (const auto& serving : aRecord.serving()) {
    vm.m_servingClasses.emplace_back(serving.class_of_work(), serving.digest());
  }
  vm.m_loading = aRecord.loading_digest();
  vm.m_fetching = aRecord.progress().digest();
  vm.m_chunks = aRecord.progress().chunks();
  vm.m_verified = aRecord.progress().verified();
  vm.m_problem = aRecord.progress().problem();
  return vm;
}

Planner::Planner(const RolloutSettings& aSettings)
  : m_settings(aSettings)
{
}

Plan
Planner::Decide(const PlannerInput& aInput, MonotonicTime aNow, WallTime aWall)
{
  Round round(aInput, aNow);
  round.NumberVms(m_vmOrder);
  Resolve(round);
  Assign(round);
  BuildRollouts(round);
  BuildStatuses(round, aWall);
  PlanOrders(round);
  return std::move(round.m_plan);
}

void
Planner::OnOrderFailed(const std::string& aVm, bool aTookNoEffect)
{
  const auto found = m_sent.find(aVm);
  if (found == m_sent.end()) {
    return;
  }
  found->second.m_fetchSignature = kRejectedSignature;
  if (aTookNoEffect) {
    found->second.m_loadDigest.clear();
  }
}

void
Planner::BuildStatuses(Round& aRound, WallTime aWall)
{
  std::set<std::string> names;
  for (const auto& targetPlan : aRound.m_targetPlans) {
    names.insert(targetPlan.m_target->m_name);
    auto status = StatusOf(aRound, targetPlan);
    auto& state = m_targetStates[status.m_name];
    if (state.m_digest != targetPlan.m_digest) {
      state.m_digest = targetPlan.m_digest;
      state.m_since = aRound.m_now;
      AppendHistory(
        state.m_history, aWall, "release " + status.m_release + " is current");
    }
    if (status.m_met != state.m_met) {
      state.m_met = status.m_met;
      AppendHistory(state.m_history, aWall, status.m_met ? "met" : "not met");
    }
    if (!targetPlan.m_blockedReason.empty() &&
        targetPlan.m_blockedReason != state.m_blockedReason) {
      AppendHistory(state.m_history, aWall, targetPlan.m_blockedReason);
    }
    state.m_blockedReason = targetPlan.m_blockedReason;
    if (status.m_met) {
      aRound.m_metDigests.insert(targetPlan.m_digest);
    } else if (targetPlan.m_blockedReason.empty() &&
               status.m_progress > kMinProgress) {
      const auto elapsed =
        std::chrono::duration<double>(aRound.m_now - state.m_since);
      status.m_estimate = std::chrono::ceil<std::chrono::seconds>(
        elapsed * ((1 - status.m_progress) / status.m_progress));
    }
    status.m_history = state.m_history;
    aRound.m_plan.m_statuses.push_back(std::move(status));
  }
  std::erase_if(m_targetStates, [&](const auto& aState) {
    return names.count(aState.first) == 0;
  });
}

TargetStatus
Planner::StatusOf(const Round& aRound, const TargetPlan& aTargetPlan) const
{
  const auto& target = *aTargetPlan.m_target;
  TargetStatus status;
  status.m_name = target.m_name;
  status.m_version = target.m_version;
  status.m_release = aTargetPlan.m_release;
  status.m_wanted = aTargetPlan.m_wanted;
  std::uint32_t unreachable = 0;
  std::uint32_t fetching = 0;
  std::uint32_t staged = 0;
  double progress = 0;
  std::string problem;
  for (const auto i : aTargetPlan.m_vms) {
    const auto& vm = aRound.Vm(i);
    if (!vm.m_reachable) {
      ++unreachable;
    } else if (ServesClass(vm, target.m_class, aTargetPlan.m_digest)) {
      ++status.m_serving;
      progress += 1;
    } else if (Contains(vm.m_staged, aTargetPlan.m_digest)) {
      ++staged;
      progress += kStagedProgress;
    } else {
      ++fetching;
      if (vm.m_fetching == aTargetPlan.m_digest && vm.m_chunks > 0) {
        progress += kStagedProgress * vm.m_verified / vm.m_chunks;
      }
    }
    if (vm.m_reachable && !vm.m_problem.empty() &&
        vm.m_fetching == aTargetPlan.m_digest) {
      problem = vm.m_vm + ": " + vm.m_problem;
    }
  }
  std::uint32_t* count = nullptr;
  const std::string* lastDigest = nullptr;
  for (std::size_t i = 0; i < aRound.m_vms.size(); ++i) {
    for (const auto& [name, digest] : aRound.Vm(i).m_servingClasses) {
      if (name != target.m_class) {
        continue;
      }
      if (lastDigest == nullptr || *lastDigest != digest) {
        lastDigest = &digest;
        count = &status.m_servingByRelease[digest];
      }
      ++*count;
    }
  }
  status.m_met =
    !aTargetPlan.m_digest.empty() && status.m_serving >= status.m_wanted;
  status.m_progress =
    status.m_met ? 1 : progress / std::max<double>(1, aTargetPlan.m_wanted);
  if (status.m_met) {
    return status;
  }
  status.m_blockedReason = aTargetPlan.m_blockedReason;
  if (status.m_blockedReason.empty()) {
    status.m_blockedReason =
      absl::StrFormat("%d VMs fetching, %d waiting to load, %d unreachable%s%s",
                      fetching,
                      staged,
                      unreachable,
                      problem.empty() ? "" : "; ",
                      problem);
  }
  return status;
}

} // namespace siskindeal

#include "rollout/planner_p.h"

#include "siskindeal/error.h"

#include <absl/strings/str_format.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::size_t kMostHistory = 20;
constexpr double kLeastProgress = 0.02; // to extrapolate from

void
Remember(std::vector<std::string>& aHistory,
         WallTime aWall,
         const std::string& aEvent)
{
  aHistory.push_back(absl::FormatTime("%Y-%m-%dT%H:%M:%SZ ",
                                      absl::FromChrono(aWall),
                                      absl::UTCTimeZone()) +
                     aEvent);
  if (aHistory.size() > kMostHistory) {
    aHistory.erase(aHistory.begin());
  }
}

} // namespace

CatalogueEntry
ParseCatalogueEntry(const std::string& aJson)
{
  try {
    const auto json = nlohmann::json::parse(aJson);
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
  round.Number(m_order);
  Resolve(round);
  Assign(round);
  FindRollouts(round);
  Report(round, aWall);
  PlanOrders(round);
  return std::move(round.m_plan);
}

void
Planner::OrderFailed(const std::string& aVm, bool aTookNoEffect)
{
  const auto found = m_sent.find(aVm);
  if (found == m_sent.end()) {
    return;
  }
  found->second.m_fetch = 1; // no order has this signature: sent again, later
  if (aTookNoEffect) {
    found->second.m_load.clear();
  }
}

void
Planner::Report(Round& aRound, WallTime aWall)
{
  std::set<std::string> names;
  for (const auto& claim : aRound.m_claims) {
    names.insert(claim.m_target->m_name);
    auto status = StatusOf(aRound, claim);
    auto& memory = m_memory[status.m_name];
    if (memory.m_digest != claim.m_digest) {
      memory.m_digest = claim.m_digest;
      memory.m_since = aRound.m_now;
      Remember(
        memory.m_history, aWall, "release " + status.m_release + " is current");
    }
    if (status.m_met != memory.m_met) {
      memory.m_met = status.m_met;
      Remember(memory.m_history, aWall, status.m_met ? "met" : "not met");
    }
    if (!claim.m_holdUp.empty() && claim.m_holdUp != memory.m_holdUp) {
      Remember(memory.m_history, aWall, claim.m_holdUp);
    }
    memory.m_holdUp = claim.m_holdUp;
    if (status.m_met) {
      aRound.m_metDigests.insert(claim.m_digest);
    } else if (claim.m_holdUp.empty() && status.m_progress > kLeastProgress) {
      const auto spent =
        std::chrono::duration<double>(aRound.m_now - memory.m_since);
      status.m_estimate = std::chrono::ceil<std::chrono::seconds>(
        spent * ((1 - status.m_progress) / status.m_progress));
    }
    status.m_history = memory.m_history;
    aRound.m_plan.m_statuses.push_back(std::move(status));
  }
  std::erase_if(m_memory, [&](const auto& aMemory) {
    return names.count(aMemory.first) == 0;
  });
}

TargetStatus
Planner::StatusOf(const Round& aRound, const Claim& aClaim) const
{
  const auto& target = *aClaim.m_target;
  TargetStatus status;
  status.m_name = target.m_name;
  status.m_version = target.m_version;
  status.m_release = aClaim.m_release;
  status.m_wanted = aClaim.m_wanted;
  std::uint32_t unreachable = 0;
  std::uint32_t fetching = 0;
  std::uint32_t staged = 0;
  double partial = 0;
  std::string problem;
  for (const auto i : aClaim.m_vms) {
    const auto& vm = aRound.Vm(i);
    if (!vm.m_reachable) {
      ++unreachable;
    } else if (ServesClass(vm, target.m_class, aClaim.m_digest)) {
      ++status.m_serving;
      partial += 1;
    } else if (Contains(vm.m_staged, aClaim.m_digest)) {
      ++staged;
      partial += 0.95;
    } else {
      ++fetching;
      if (vm.m_fetching == aClaim.m_digest && vm.m_chunks > 0) {
        partial += 0.95 * vm.m_verified / vm.m_chunks;
      }
    }
    if (vm.m_reachable && !vm.m_problem.empty() &&
        vm.m_fetching == aClaim.m_digest) {
      problem = vm.m_vm + ": " + vm.m_problem;
    }
  }
  std::uint32_t* count = nullptr;
  const std::string* counted = nullptr;
  for (std::size_t i = 0; i < aRound.m_vms.size(); ++i) {
    for (const auto& [name, digest] : aRound.Vm(i).m_servingClasses) {
      if (name != target.m_class) {
        continue;
      }
      if (counted == nullptr || *counted != digest) {
        counted = &digest;
        count = &status.m_servingByRelease[digest];
      }
      ++*count;
    }
  }
  status.m_met =
    !aClaim.m_digest.empty() && status.m_serving >= status.m_wanted;
  status.m_progress =
    status.m_met ? 1 : partial / std::max<double>(1, aClaim.m_wanted);
  if (status.m_met) {
    return status;
  }
  status.m_holdUp = aClaim.m_holdUp;
  if (status.m_holdUp.empty()) {
    status.m_holdUp =
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

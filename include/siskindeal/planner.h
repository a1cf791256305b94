#pragma once
// Decides which orders bring the fleet to its targets. Does no I/O; the caller
// passes the time. Decisions follow from the input, so that a successor on
// another entry can resume; the planner's own state only limits the rate of
// orders and backs the status reports.

#include "siskindeal/clock.h"
#include "siskindeal/rpc.h"
#include "siskindeal/settings.h"
#include "siskindeal/target.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskindeal {

// The object "catalogue/CLASS": which release is current for a class of work.
struct CatalogueEntry
{
  std::string m_release;
  bool m_adapter = false;
};

// Throws Error (BadRequest).
CatalogueEntry
ParseCatalogueEntry(const std::string& aJson);

// What a release name currently resolves to in the weight store.
struct ReleaseInfo
{
  std::string m_digest; // of the manifest
  std::string m_base;   // adapters only: digest of the base model
};

struct PlannedClass
{
  std::string m_service;
  int m_priority = 0;
};

// A VM of a service, from its agent's latest record.
struct PlannedVm
{
  std::string m_vm;
  std::string m_place;
  std::string m_service;
  std::string m_address;
  bool m_reachable = true; // otherwise its state is unknown: no orders
  std::uint64_t m_incarnation = 0;
  std::vector<std::string> m_serving; // digests
  // Class and digest.
  std::vector<std::pair<std::string, std::string>> m_servingClasses;
  std::vector<std::string> m_staged; // digests
  std::string m_loading;             // digest
  std::string m_fetching;            // digest of its latest fetch order
  std::uint32_t m_chunks = 0;
  std::uint32_t m_verified = 0;
  std::string m_problem;
};

PlannedVm
PlannedVmOf(const wire::NodeRecord& aRecord);

struct PlannerInput
{
  std::vector<TargetSpec> m_targets;
  std::map<std::string, PlannedClass> m_classes;
  std::map<std::string, CatalogueEntry> m_catalogue; // by class
  std::map<std::string, ReleaseInfo> m_releases;     // by name
  std::vector<PlannedVm> m_vms;
  std::map<std::string, std::uint64_t> m_tokens; // by leased service
};

// An order to an agent. The sender fills in the shard and the fencing token
// after it has checked the lease again.
struct PlannedOrder
{
  std::string m_vm;
  std::string m_address;
  std::string m_service;
  bool m_withManifest = false; // the order carries the manifest
  wire::OrderRequest m_request;
};

struct Plan
{
  std::vector<PlannedOrder> m_orders;
  std::vector<TargetStatus> m_statuses;
};

class Planner
{
public:
  explicit Planner(const RolloutSettings& aSettings);

  Plan Decide(const PlannerInput& aInput, MonotonicTime aNow, WallTime aWall);

  // Allows an order that was not accepted to be sent again. With aTookNoEffect
  // the VM no longer counts as loading.
  void OnOrderFailed(const std::string& aVm, bool aTookNoEffect);

private:
  struct Rollout;    // of one digest
  struct TargetPlan; // of one target
  struct VmPlan;     // of one VM

  // The orders last sent to a VM, to limit their rate.
  struct SentOrders
  {
    std::uint64_t m_fetchSignature = 0; // of the last fetch order
    MonotonicTime m_fetchAt;
    std::string m_loadDigest; // cleared when it serves or the order expires
    MonotonicTime m_loadAt;
    bool m_switchesModel = false; // the VM was serving at the load order
    // Unload, abandon, or a load that only adds a class.
    MonotonicTime m_otherOrderAt;
  };

  struct TargetState
  {
    std::string m_digest;
    MonotonicTime m_since; // when the digest became current
    bool m_met = false;
    std::string m_blockedReason;
    std::vector<std::string> m_history;
  };

  struct Round; // working state of one decision

  void Resolve(Round& aRound) const;
  void Assign(Round& aRound) const;
  void AssignModel(Round& aRound, TargetPlan& aTargetPlan) const;
  void AssignAdapter(Round& aRound, TargetPlan& aTargetPlan) const;
  void BuildRollouts(Round& aRound) const;
  void PruneSentOrders(const Round& aRound);
  void PlanOrders(Round& aRound);
  bool PlanFetch(Round& aRound, std::size_t aVm, const std::string& aDigest);
  bool PlanLoad(Round& aRound, std::size_t aVm, const std::string& aDigest);
  void PlanUnload(Round& aRound, std::size_t aVm);
  std::uint32_t SwitchingVms(const Round& aRound,
                             const std::string& aService) const;
  void BuildStatuses(Round& aRound, WallTime aWall);
  TargetStatus StatusOf(const Round& aRound,
                        const TargetPlan& aTargetPlan) const;

  const RolloutSettings m_settings;
  std::vector<std::size_t> m_vmOrder;                 // at the last decision
  std::unordered_map<std::string, SentOrders> m_sent; // by VM
  std::map<std::string, TargetState> m_targetStates;  // by target
  std::map<std::string, std::pair<std::uint64_t, MonotonicTime>>
    m_tokenSince; // by service: token and when it was first seen here
};

} // namespace siskindeal

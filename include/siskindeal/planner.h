#pragma once
// Decides which orders bring the fleet to its targets. Decision code: what it
// needs to act is in its input, so that a successor on another entry goes on
// where the last one stopped; what it remembers only spaces its orders out.

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

// What the weight store says a release's name stands for now.
struct ReleaseInfo
{
  std::string m_digest; // of the manifest
  std::string m_base;   // adapters: the digest that they are pinned to
};

struct PlannedClass
{
  std::string m_service;
  int m_priority = 0;
};

// A VM of a service, from its agent's last record.
struct PlannedVm
{
  std::string m_vm;
  std::string m_place;
  std::string m_service;
  std::string m_address;
  bool m_reachable = true; // else unknown, and left as it is
  std::uint64_t m_incarnation = 0;
  std::vector<std::string> m_serving;                                // digests
  std::vector<std::pair<std::string, std::string>> m_servingClasses; // + digest
  std::vector<std::string> m_staged;                                 // digests
  std::string m_loading;                                             // digest
  std::string m_fetching; // digest of its last fetch order
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
  std::map<std::string, std::uint64_t> m_tokens; // by service planned for here
};

// An order to an agent. Shard and token are filled in when it is sent, after
// the lease was asked again.
struct PlannedOrder
{
  std::string m_vm;
  std::string m_address;
  std::string m_service;
  bool m_withManifest = false; // the manifest goes with it
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

  // An order that wasn't accepted may be sent again at the next decision. One
  // that provably took no effect is forgotten.
  void OrderFailed(const std::string& aVm, bool aTookNoEffect);

private:
  struct Rollout; // of one digest
  struct Claim;   // of one target
  struct VmPlan;  // of one VM

  // What was sent to a VM, to space orders out.
  struct Sent
  {
    std::uint64_t m_fetch = 0; // signature of the last fetch order
    MonotonicTime m_fetchAt;
    std::string m_load; // digest, until it serves or the VM is gone
    MonotonicTime m_loadAt;
    bool m_changesOver = false; // it served something when told to load
    MonotonicTime m_otherAt;    // unload or abandon
  };

  struct Memory // of a target
  {
    std::string m_digest;
    MonotonicTime m_since; // the digest became current
    bool m_met = false;
    std::string m_holdUp;
    std::vector<std::string> m_history;
  };

  struct Round; // one decision's working state

  void Resolve(Round& aRound) const;
  void Assign(Round& aRound) const;
  void AssignWhole(Round& aRound, Claim& aClaim) const;
  void AssignAdapter(Round& aRound, Claim& aClaim) const;
  void FindRollouts(Round& aRound) const;
  void ForgetGone(const Round& aRound);
  void PlanOrders(Round& aRound);
  bool PlanFetch(Round& aRound, std::size_t aVm, const std::string& aDigest);
  bool PlanLoad(Round& aRound, std::size_t aVm, const std::string& aDigest);
  void PlanRelease(Round& aRound, std::size_t aVm);
  std::uint32_t ChangingOver(const Round& aRound,
                             const std::string& aService) const;
  void Report(Round& aRound, WallTime aWall);
  TargetStatus StatusOf(const Round& aRound, const Claim& aClaim) const;

  const RolloutSettings m_settings;
  std::vector<std::size_t> m_order; // of the VMs, at the last decision
  std::unordered_map<std::string, Sent> m_sent; // by VM
  std::map<std::string, Memory> m_memory;       // by target
  std::map<std::string, std::pair<std::uint64_t, MonotonicTime>>
    m_tokenSince; // by service: token, since when it is held here
};

} // namespace siskindeal

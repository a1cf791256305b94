#pragma once
// Keeps a process of one mind with the others: who is there, the platform's
// objects (configuration, targets, catalogue, quarantine), suspicions and the
// teams' usage. Entries exchange deltas with entries, agents with a few
// entries; a few entries watch the platform and the others are fed by relay.

#include "siskindeal/clock.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/platform.h"
#include "siskindeal/rpc.h"
#include "siskindeal/settings.h"
#include "siskindeal/worker_pool.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

// A process of the fleet as concluded here. An unreachable one may be serving.
struct FleetNode
{
  wire::NodeRecord m_record; // its liveness is what was concluded
  MonotonicTime
    m_receivedAt; // of the load; its age at the sender is in m_record
};

// Who is there, at one moment. The own process is included.
struct FleetView
{
  std::map<std::string, FleetNode> m_nodes; // by VM; gone ones are left out
  // Places of which nothing can be reached, while the platform's list, as last
  // read, still names VMs there. Their processes may be serving.
  std::set<std::string> m_unreachablePlaces;
};

// What the role gives to and gets from a NodeSync. Each is called on a worker,
// without locks held; the change callbacks of one NodeSync never overlap. Empty
// ones are skipped.
struct NodeSyncHooks
{
  // The own record. Liveness, incarnation, sequences and hears are filled in.
  std::function<wire::NodeRecord()> m_ownRecord;
  std::function<void(std::shared_ptr<const FleetView>)> m_onNodes;
  // An object newer than that held; deleted ones too.
  std::function<void(const PlatformObject&)> m_onObject;
  std::function<void(std::shared_ptr<const FleetConfig>)> m_onConfig;
  // Has returned before the exchange that brought the suspicion is answered;
  // may overlap with other hooks and itself.
  std::function<void(const wire::Suspicion&)> m_onSuspicion;
  // Demand seen here; sent to entries when it has changed.
  std::function<std::vector<wire::TeamUsage>()> m_ownUsage;
  std::function<void(const std::string& aVm,
                     const std::vector<wire::TeamUsage>& aUsage)>
    m_onUsage;
};

class NodeSyncDriver;

class NodeSync
{
public:
  // The client, platform, pool and clock must outlive it. aAddress is the own
  // gRPC address that others call.
  NodeSync(const NodeSettings& aNode,
           const MembershipSettings& aSettings,
           wire::Role aRole,
           const std::string& aAddress,
           NodeClient& aClient,
           Platform& aPlatform,
           WorkerPool& aPool,
           const Clock& aClock,
           NodeSyncHooks aHooks,
           ProtocolRange aProtocols = {});
  // Calls in progress are dropped; no hook runs afterwards.
  ~NodeSync();
  NodeSync(const NodeSync&) = delete;
  NodeSync& operator=(const NodeSync&) = delete;

  // Begins the exchanges.
  void Start();

  // Answers NodeHandler::OnExchange.
  void OnExchange(const wire::ExchangeRequest& aRequest,
                  const NodeHandler::Done<wire::ExchangeReply>& aDone);

  std::shared_ptr<const FleetView> View() const;
  // Of this start of the process, as it says in its own record.
  std::uint64_t Incarnation() const;
  // The configuration in force; null until one is known.
  std::shared_ptr<const FleetConfig> Config() const;
  // Objects under a prefix, deleted ones left out, by key.
  std::map<std::string, PlatformObject> Objects(
    const std::string& aPrefix) const;

  // Takes in an object that a write's answer or a Get gave; it is relayed at
  // once.
  void Learned(const PlatformObject& aObject);

  // Sends a suspicion to every reachable entry and agent. aDone runs once: true
  // when every reachable entry has it, false after aLongest.
  void Spread(const wire::Suspicion& aSuspicion,
              std::chrono::milliseconds aLongest,
              std::function<void(bool)> aDone);

  // Reads the own record anew and sends what changed, instead of at the next
  // period.
  void Changed();

  // Tells the others that this process is leaving: it gets no new work.
  void Leave();

  // Versions in force here by key, watches, peers; for StateJson.
  std::string StateJson() const;

private:
  std::shared_ptr<NodeSyncDriver> m_driver;
};

} // namespace siskindeal

#pragma once
// Synchronizes membership, platform objects (configuration, targets, catalogue,
// quarantine), suspicions and team usage between processes. Entries exchange
// deltas with entries, agents with a few entries. A few entries watch the
// platform and relay its objects to the others.

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

// A process of the fleet. An unreachable one may still be serving.
struct FleetNode
{
  wire::NodeRecord m_record; // with the liveness determined by this process
  // When the load was received. m_record has its age at the sender.
  MonotonicTime m_receivedAt;
};

// A snapshot of the fleet's processes, including this one.
struct FleetView
{
  std::map<std::string, FleetNode> m_nodes; // by VM, without gone ones
  // Places whose known processes are all unreachable, although the platform's
  // last list still names VMs there. They may still be serving.
  std::set<std::string> m_unreachablePlaces;
};

// Callbacks of the role. They run on a worker thread without locks held. The
// change callbacks of one NodeSync never overlap. Empty ones are skipped.
struct NodeSyncHooks
{
  // Returns this process's record. NodeSync sets the fields liveness,
  // incarnation, sequence, load_sequence and hears.
  std::function<wire::NodeRecord()> m_ownRecord;
  std::function<void(std::shared_ptr<const FleetView>)> m_onNodes;
  // Called for each newer version of an object, including deletions.
  std::function<void(const PlatformObject&)> m_onObject;
  std::function<void(std::shared_ptr<const FleetConfig>)> m_onConfig;
  // The reply to the exchange that carried the suspicion is sent only after
  // this hook returns. May overlap with other hooks and with itself.
  std::function<void(const wire::Suspicion&)> m_onSuspicion;
  // Returns the demand at this process. It is sent to entries when it changes.
  std::function<std::vector<wire::TeamUsage>()> m_ownUsage;
  std::function<void(const std::string& aVm,
                     const std::vector<wire::TeamUsage>& aUsage)>
    m_onUsage;
};

class NodeSyncDriver;

class NodeSync
{
public:
  // The client, platform, pool and clock must outlive it. aAddress is the gRPC
  // address of this process.
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
  // Drops calls in progress. No hook runs afterwards.
  ~NodeSync();
  NodeSync(const NodeSync&) = delete;
  NodeSync& operator=(const NodeSync&) = delete;

  void Start();

  // Implements NodeHandler::OnExchange.
  void OnExchange(const wire::ExchangeRequest& aRequest,
                  const NodeHandler::Done<wire::ExchangeReply>& aDone);

  std::shared_ptr<const FleetView> View() const;
  // The incarnation in this process's own record.
  std::uint64_t Incarnation() const;
  // The active configuration, or null before the first one is received.
  std::shared_ptr<const FleetConfig> Config() const;
  // The objects under a prefix by key, without deleted ones.
  std::map<std::string, PlatformObject> Objects(
    const std::string& aPrefix) const;

  // Applies an object returned by a platform write or Get and relays it
  // immediately.
  void ApplyObject(const PlatformObject& aObject);

  // Sends a suspicion to every reachable entry and agent. aDone runs once, with
  // true when every reachable entry has acknowledged it, false after aTimeout.
  void BroadcastSuspicion(const wire::Suspicion& aSuspicion,
                          std::chrono::milliseconds aTimeout,
                          std::function<void(bool)> aDone);

  // Reads this process's record and sends changes without waiting for the next
  // tick.
  void RefreshOwnRecord();

  // Announces that this process is leaving, so that it gets no new work.
  void Leave();

  // The known processes and the object versions, for the state page.
  std::string StateJson() const;

private:
  std::shared_ptr<NodeSyncDriver> m_driver;
};

} // namespace siskindeal

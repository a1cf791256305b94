#pragma once
// Simulates several processes, each with the drivers of NodeSync and
// LeaseKeeper, on one ManualClock and a FakePlatform. The in-memory network
// loses calls and replies.

#include "support/fake_platform.h"

#include "lease/lease_keeper_p.h"
#include "membership/node_sync_p.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace siskindeal {

class SimDrivers
{
public:
  struct Node
  {
    NodeSettings m_settings;
    wire::Role m_role = wire::ROLE_ENTRY;
    ProtocolRange m_protocols;
    std::shared_ptr<NodeSyncDriver> m_sync;
    std::shared_ptr<LeaseDriver> m_leases; // entries only
    std::uint64_t m_starts = 0;
    MonotonicTime m_readyAt; // until then it sends empty replies
    bool m_up = false;
    bool m_paused = false;
    std::vector<std::function<void()>> m_deferredTasks; // while paused
    // Last version of each key passed to the object hook since the start.
    std::map<std::string, std::uint64_t> m_versions;
  };

  explicit SimDrivers(std::uint64_t aSeed);
  ~SimDrivers();
  SimDrivers(const SimDrivers&) = delete;
  SimDrivers& operator=(const SimDrivers&) = delete;

  void Add(const std::string& aVm,
           const std::string& aPlace,
           wire::Role aRole,
           ProtocolRange aProtocols = {});
  // Starts or restarts a process without any earlier state.
  void Start(const std::string& aVm);
  void Kill(const std::string& aVm);
  void Pause(const std::string& aVm, bool aPaused);
  // Drops or delivers what aFrom sends to aTo.
  void Cut(const std::string& aFrom, const std::string& aTo, bool aCut);
  void SetLoss(double aLoss) { m_loss = aLoss; }
  // Sets the longest time for which a process listens before it is ready.
  void SetLongestStart(std::chrono::milliseconds aMaxDelay)
  {
    m_startDelayLimitMs = static_cast<std::uint64_t>(aMaxDelay.count()) + 1;
  }
  // Advances the clock by aFor and checks invariants after each step.
  void Run(std::chrono::milliseconds aFor);

  Node& At(const std::string& aVm) { return m_nodes.at(aVm); }
  std::map<std::string, Node>& Nodes() { return m_nodes; }
  FakePlatform& GetPlatform() { return m_platform; }
  Random& GetRandom() { return m_random; }
  std::uint64_t Steps() const { return m_steps; }
  std::uint64_t Greetings() const { return m_greetings; }
  // Returns the number of leases acquired; each has a new token.
  std::uint64_t LeasesTaken() const { return m_acquiredLeases; }

private:
  NodeSyncPorts MakePorts(Node& aNode);
  NodeSyncHooks MakeHooks(Node& aNode);
  // Runs aTask after aDelay unless aNode has stopped or restarted by then.
  void After(std::chrono::milliseconds aDelay,
             Node& aNode,
             std::function<void()> aTask);
  // Simulates a call. aServe runs at the callee if the call arrives and returns
  // the function that delivers the reply. aFail runs if no reply arrives.
  void SendCall(Node& aFrom,
                const std::string& aAddress,
                std::function<std::function<void()>(Node& aTo)> aServe,
                const std::function<void(RpcOutcome)>& aFail);
  std::function<void()> ServeGreet(
    const Node& aFrom,
    std::uint64_t aStart,
    Node& aTo,
    const wire::GreetRequest& aRequest,
    const NodeClient::Done<wire::GreetReply>& aDone);
  void CheckGreeted(const Node& aFrom, std::uint64_t aStart, const Node& aTo);
  void CheckObject(Node& aNode, const PlatformObject& aObject);
  void CheckLeases();
  bool ShouldDeliver(const std::string& aFrom, const std::string& aTo);

  ManualClock m_clock;
  FakePlatform m_platform;
  Random m_random;
  std::map<std::string, Node> m_nodes;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::multimap<MonotonicTime, std::function<void()>> m_tasks;
  // For each start of a caller and of a callee: the number of exchanges before
  // the first Greet, or -1 after a Greet.
  std::map<std::pair<std::string, std::string>, int> m_callsBeforeGreet;
  std::map<std::uint32_t, std::uint64_t> m_tokens; // highest by shard
  double m_loss = 0;
  std::uint64_t m_startDelayLimitMs = 1; // exclusive
  std::uint64_t m_steps = 0;
  std::uint64_t m_greetings = 0;
  std::uint64_t m_acquiredLeases = 0;
};

} // namespace siskindeal

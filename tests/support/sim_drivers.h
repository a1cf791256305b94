#pragma once
// The drivers of NodeSync and LeaseKeeper, several processes on one ManualClock
// and a FakePlatform, over a network in memory that loses calls and answers.

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
    std::shared_ptr<LeaseDriver> m_leases; // entries
    std::uint64_t m_starts = 0;
    MonotonicTime m_answersFrom; // it listens before it is ready
    bool m_up = false;
    bool m_paused = false;
    std::vector<std::function<void()>> m_held; // tasks of a paused process
    std::map<std::string, std::uint64_t> m_versions; // told to the role, by key
  };

  explicit SimDrivers(std::uint64_t aSeed);
  ~SimDrivers();
  SimDrivers(const SimDrivers&) = delete;
  SimDrivers& operator=(const SimDrivers&) = delete;

  void Add(const std::string& aVm,
           const std::string& aPlace,
           wire::Role aRole,
           ProtocolRange aProtocols = {});
  void Start(const std::string& aVm); // anew, with nothing kept
  void Kill(const std::string& aVm);
  void Pause(const std::string& aVm, bool aPaused);
  // Cuts what aFrom sends to aTo.
  void Cut(const std::string& aFrom, const std::string& aTo, bool aCut);
  void SetLoss(double aLoss) { m_loss = aLoss; }
  // How long at most a process listens before it is ready.
  void SetLongestStart(std::chrono::milliseconds aLongest)
  {
    m_longestStart = static_cast<std::uint64_t>(aLongest.count()) + 1;
  }
  // Moves the clock on; invariants are checked on the way.
  void Run(std::chrono::milliseconds aFor);

  Node& At(const std::string& aVm) { return m_nodes.at(aVm); }
  std::map<std::string, Node>& Nodes() { return m_nodes; }
  FakePlatform& GetPlatform() { return m_platform; }
  Random& GetRandom() { return m_random; }
  std::uint64_t Steps() const { return m_steps; }
  std::uint64_t Greetings() const { return m_greetings; }
  // Leases that have been taken, each a new token.
  std::uint64_t LeasesTaken() const { return m_leasesTaken; }

private:
  NodeSyncPorts MakePorts(Node& aNode);
  NodeSyncHooks MakeHooks(Node& aNode);
  // Runs aTask once aDelay has passed unless aNode has been killed by then.
  void After(std::chrono::milliseconds aDelay,
             Node& aNode,
             std::function<void()> aTask);
  // Carries a call: aServe runs at the callee, if it arrives, and gives the
  // answer's delivery; aFail runs if there is none.
  void Carry(Node& aFrom,
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
  bool Passes(const std::string& aFrom, const std::string& aTo);

  ManualClock m_clock;
  FakePlatform m_platform;
  Random m_random;
  std::map<std::string, Node> m_nodes;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::multimap<MonotonicTime, std::function<void()>> m_tasks;
  // Starts of caller and callee, with calls to the latter that came before a
  // Greet.
  std::map<std::pair<std::string, std::string>, int> m_ungreeted;
  std::map<std::uint32_t, std::uint64_t> m_tokens; // highest, by shard
  double m_loss = 0;
  std::uint64_t m_longestStart = 1; // milliseconds, not included
  std::uint64_t m_steps = 0;
  std::uint64_t m_greetings = 0;
  std::uint64_t m_leasesTaken = 0;
};

} // namespace siskindeal

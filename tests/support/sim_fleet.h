#pragma once
// Processes of a fleet that exchange deltas over a lossy network in memory and
// read a FakePlatform, all on one ManualClock.

#include "support/fake_platform.h"

#include "config/object_watcher_p.h"
#include "membership/exchange_p.h"

#include <memory>
#include <set>

namespace siskindeal {

class SimFleet
{
public:
  struct Node
  {
    NodeSettings m_settings;
    wire::Role m_role = wire::ROLE_ENTRY;
    wire::Load m_load;
    std::unique_ptr<Exchange> m_exchange;
    std::vector<std::shared_ptr<ObjectWatcher>> m_watchers;
    std::uint64_t m_starts = 0;
    bool m_up = false;
    bool m_paused = false;
    // Highest version seen of each key over all starts of this process's peers.
    std::map<std::string, std::uint64_t> m_versions;
  };

  explicit SimFleet(std::uint64_t aSeed);
  ~SimFleet();

  void Add(const std::string& aVm, const std::string& aPlace, wire::Role aRole);
  void Start(const std::string& aVm); // anew, with nothing kept
  void Kill(const std::string& aVm);
  // Cuts what aFrom sends to aTo; both are VMs.
  void Cut(const std::string& aFrom, const std::string& aTo, bool aCut);
  // Cuts a place from the others and from the platform, both ways.
  void Isolate(const std::string& aPlace, bool aCut);
  void Run(std::chrono::milliseconds aFor);

  Node& At(const std::string& aVm) { return m_nodes.at(aVm); }
  std::map<std::string, Node>& Nodes() { return m_nodes; }
  FakePlatform& GetPlatform() { return m_platform; }
  ManualClock& GetClock() { return m_clock; }
  Random& GetRandom() { return m_random; }
  void SetLoss(double aLoss) { m_loss = aLoss; }
  std::uint64_t Exchanges() const { return m_exchanges; }
  // Records of processes and objects that exchanges carried.
  std::uint64_t Records() const { return m_records; }
  std::uint64_t Steps() const { return m_steps; }

  // Whether every process that is up holds aKey as the platform has it.
  bool AllHold(const std::string& aKey) const;

private:
  void TickNode(Node& aNode);
  void Send(Node& aFrom, const Exchange::OutgoingExchange& aDue);
  void Check(Node& aNode, const Exchange::Updates& aNews);
  bool Passes(const std::string& aFrom, const std::string& aTo);
  void At(std::chrono::milliseconds aDelay, std::function<void()> aTask);
  Node* ByAddress(const std::string& aAddress);

  ManualClock m_clock;
  FakePlatform m_platform;
  Random m_random;
  std::map<std::string, Node> m_nodes;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::multimap<MonotonicTime, std::function<void()>> m_tasks;
  double m_loss = 0;
  std::uint64_t m_exchanges = 0;
  std::uint64_t m_records = 0;
  std::uint64_t m_steps = 0;
};

} // namespace siskindeal

#pragma once
// Simulates the processes of a fleet, which exchange deltas over a lossy
// in-memory network and read a FakePlatform, on one ManualClock.

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
    // Last version of each key applied since the start.
    std::map<std::string, std::uint64_t> m_versions;
  };

  explicit SimFleet(std::uint64_t aSeed);
  ~SimFleet();

  void Add(const std::string& aVm, const std::string& aPlace, wire::Role aRole);
  // Starts or restarts a process without any earlier state.
  void Start(const std::string& aVm);
  void Kill(const std::string& aVm);
  // Drops or delivers what the VM aFrom sends to the VM aTo.
  void Cut(const std::string& aFrom, const std::string& aTo, bool aCut);
  // Disconnects a place from the others and from the platform, in both
  // directions, or reconnects it.
  void Isolate(const std::string& aPlace, bool aCut);
  void Run(std::chrono::milliseconds aFor);

  Node& At(const std::string& aVm) { return m_nodes.at(aVm); }
  std::map<std::string, Node>& Nodes() { return m_nodes; }
  FakePlatform& GetPlatform() { return m_platform; }
  ManualClock& GetClock() { return m_clock; }
  Random& GetRandom() { return m_random; }
  void SetLoss(double aLoss) { m_loss = aLoss; }
  std::uint64_t Exchanges() const { return m_exchanges; }
  // Returns the number of node and object records sent in exchanges.
  std::uint64_t Records() const { return m_records; }
  std::uint64_t Steps() const { return m_steps; }

  // Returns whether every running process has the platform's version of aKey.
  bool AllHold(const std::string& aKey) const;

private:
  void TickNode(Node& aNode);
  void Send(Node& aFrom, const Exchange::OutgoingExchange& aDue);
  void CheckObjects(Node& aNode, const Exchange::Updates& aUpdates);
  bool ShouldDeliver(const std::string& aFrom, const std::string& aTo);
  void At(std::chrono::milliseconds aDelay, std::function<void()> aTask);
  Node* FindByAddress(const std::string& aAddress);

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

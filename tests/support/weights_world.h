#pragma once
// Simulates WeightsAgents on a manual clock, with engines, an origin and links
// in which tests inject faults. Single-threaded; events run in time order.

#include "siskindeal/manifest.h"
#include "siskindeal/random.h"
#include "siskindeal/weights_agent.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace siskindeal::testing {

// Fake of the engine API in docs/INTERFACES.md.
struct FakeEngine
{
  std::map<std::string, std::map<std::uint32_t, std::string>> m_staging;
  std::map<std::string, std::string> m_loaded; // content by digest
  std::map<std::string, std::uint64_t> m_loadTokens;
  std::uint64_t m_token = 0;
  bool m_checksFencing = false;
  bool m_down = false;
  bool m_loadsWrongBytes = false;
  int m_lostOrderReplies = 0;        // orders run but their responses are lost
  std::vector<std::string> m_orders; // "load DIGEST TOKEN"
  std::chrono::milliseconds m_loadTime{ 200 };
};

class WeightsSimulation
{
public:
  explicit WeightsSimulation(std::uint64_t aSeed);
  ~WeightsSimulation();

  // Publishes aChunks chunks of random bytes at the origin.
  Manifest Publish(const std::string& aPath,
                   std::uint32_t aChunks,
                   std::uint64_t aChunkBytes,
                   const std::string& aBase = "");

  // Starts or restarts an agent. An existing engine keeps its state.
  void StartAgent(const std::string& aVm, const std::string& aPlace);
  void KillAgent(const std::string& aVm);
  bool IsUp(const std::string& aVm) const;
  WeightsAgent& Agent(const std::string& aVm);
  FakeEngine& EngineOf(const std::string& aVm) { return m_engines[aVm]; }
  wire::NodeRecord RecordOf(const std::string& aVm);

  // Makes the fetch order for aVm in a rollout to aVms, with the origin turns
  // and peers that the planner would assign.
  wire::OrderRequest MakeFetchOrder(const std::string& aVm,
                                    const Manifest& aManifest,
                                    const std::vector<std::string>& aVms,
                                    std::uint64_t aToken);
  wire::OrderReply Order(const std::string& aVm,
                         const wire::OrderRequest& aRequest);

  // Runs events until aDone returns true. Returns false on a timeout.
  bool RunUntil(const std::function<bool()>& aDone,
                std::chrono::milliseconds aTimeout);
  void RunFor(std::chrono::milliseconds aTime);
  void ScheduleAfter(std::chrono::milliseconds aDelay,
                     std::function<void()> aTask);

  ManualClock m_clock;
  Random m_random;
  std::string m_policy = "swarm";
  bool m_originByPlace = false;
  bool m_loadWhenStaged = true;
  bool m_originDown = false;
  std::set<std::string> m_corruptVms;   // VMs that send corrupt chunks
  std::set<std::string> m_stalledVms;   // VMs whose chunks never arrive
  std::set<std::string> m_isolated;     // places without links to the others
  double m_callLossRate = 0;            // fraction of calls between agents
  bool m_originCorrupts = false;        // corrupts a fraction of responses
  std::uint64_t m_originBytes = 0;      // sent by the origin
  std::uint64_t m_crossPlaceChunks = 0; // chunks sent between places
  std::chrono::milliseconds m_delay{ 5 };
  std::uint32_t m_chunksAPeerAtOnce = 0;

private:
  friend class SimulatedIo;
  struct Event
  {
    MonotonicTime m_at;
    std::uint64_t m_number;
    std::function<void()> m_task;
    bool operator>(const Event& aOther) const
    {
      return std::pair(m_at, m_number) >
             std::pair(aOther.m_at, aOther.m_number);
    }
  };
  struct Node
  {
    std::string m_place;
    std::shared_ptr<WeightsAgent> m_agent;
    std::uint64_t m_incarnation = 0;
  };

  HttpReply Serve(const std::string& aVm, const HttpClientRequest& aRequest);
  HttpReply ServeEngine(FakeEngine& aEngine,
                        const HttpClientRequest& aRequest,
                        const std::string& aPath);
  HttpReply ServeOrder(FakeEngine& aEngine, const std::string& aBody);
  HttpReply ServeOrigin(const HttpClientRequest& aRequest,
                        const std::string& aPath);
  bool IsConnected(const std::string& aFrom, const std::string& aTo) const;
  bool RunNextEvent();

  std::map<std::string, Node> m_nodes;
  std::map<std::string, FakeEngine> m_engines;
  std::map<std::string, std::string> m_originFiles;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_lastEventNumber = 0;
};

} // namespace siskindeal::testing

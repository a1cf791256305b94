#pragma once
// Agents' weights code under a given clock: engines, an origin and links that
// tests break. One thread; events run in the order of their time.

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

// An engine as docs/INTERFACES.md has it.
struct FakeEngine
{
  std::map<std::string, std::map<std::uint32_t, std::string>> m_staging;
  std::map<std::string, std::string> m_loaded; // digest to bytes
  std::map<std::string, std::uint64_t> m_loadTokens;
  std::uint64_t m_token = 0;
  bool m_checksFencing = false;
  bool m_down = false;
  bool m_loadsWrongBytes = false;
  int m_lostOrderAnswers = 0;        // orders take effect, answers are lost
  std::vector<std::string> m_orders; // "load DIGEST TOKEN"
  std::chrono::milliseconds m_loadTime{ 200 };
};

class WeightsWorld
{
public:
  explicit WeightsWorld(std::uint64_t aSeed);
  ~WeightsWorld();

  // A release of aChunks random chunks at the origin.
  Manifest Publish(const std::string& aPath,
                   std::uint32_t aChunks,
                   std::uint64_t aChunkBytes,
                   const std::string& aBase = "");

  // Starts an agent, or starts it again beside the engine it had.
  void StartAgent(const std::string& aVm, const std::string& aPlace);
  void KillAgent(const std::string& aVm);
  bool IsUp(const std::string& aVm) const;
  WeightsAgent& Agent(const std::string& aVm);
  FakeEngine& EngineOf(const std::string& aVm) { return m_engines[aVm]; }
  wire::NodeRecord RecordOf(const std::string& aVm);

  // A fetch order for every VM named, turns and peers as the planner sets them.
  wire::OrderRequest FetchOrderFor(const std::string& aVm,
                                   const Manifest& aManifest,
                                   const std::vector<std::string>& aVms,
                                   std::uint64_t aToken);
  wire::OrderReply Order(const std::string& aVm,
                         const wire::OrderRequest& aRequest);

  // Runs events until aDone holds; false if aLongest passes first.
  bool RunUntil(const std::function<bool()>& aDone,
                std::chrono::milliseconds aLongest);
  void RunFor(std::chrono::milliseconds aTime);
  void At(std::chrono::milliseconds aDelay, std::function<void()> aTask);

  ManualClock m_clock;
  Random m_random;
  std::string m_policy = "swarm";
  bool m_originByPlace = false;
  bool m_loadWhenStaged = true;
  bool m_originDown = false;
  std::set<std::string> m_corrupt;    // VMs that send wrong bytes
  std::set<std::string> m_stalled;    // VMs whose chunks never arrive
  std::set<std::string> m_isolated;   // places without links to the others
  double m_lostCalls = 0;             // share of calls between agents
  bool m_originCorrupt = false;       // one answer in four
  std::uint64_t m_originBytes = 0;    // sent
  std::uint64_t m_crossingChunks = 0; // between places
  std::chrono::milliseconds m_delay{ 5 };
  std::uint32_t m_chunksAPeerAtOnce = 0;

private:
  friend class WorldIo;
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
    std::uint64_t m_life = 0;
  };

  HttpReply Serve(const std::string& aVm, const HttpClientRequest& aRequest);
  HttpReply ServeEngine(FakeEngine& aEngine,
                        const HttpClientRequest& aRequest,
                        const std::string& aPath);
  HttpReply ServeOrder(FakeEngine& aEngine, const std::string& aBody);
  HttpReply ServeOrigin(const HttpClientRequest& aRequest,
                        const std::string& aPath);
  bool Linked(const std::string& aFrom, const std::string& aTo) const;
  bool Step();

  std::map<std::string, Node> m_nodes;
  std::map<std::string, FakeEngine> m_engines;
  std::map<std::string, std::string> m_files;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_eventNumber = 0;
};

} // namespace siskindeal::testing

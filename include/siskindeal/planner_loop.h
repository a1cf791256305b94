#pragma once
// Runs the planner periodically on an entry. Sends the orders for services
// whose lease this entry holds and keeps the status of all targets.

#include "siskindeal/clock.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/http.h"
#include "siskindeal/node_sync.h"
#include "siskindeal/platform.h"
#include "siskindeal/rpc.h"
#include "siskindeal/settings.h"
#include "siskindeal/target.h"
#include "siskindeal/worker_pool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// Inputs of the loop. Called on worker threads without locks held.
struct PlannerSources
{
  std::function<std::shared_ptr<const FleetView>()> m_view;
  std::function<std::shared_ptr<const FleetConfig>()> m_config; // may be null
  std::function<std::map<std::string, PlatformObject>(const std::string&)>
    m_objects; // by prefix
  // The fencing token of a shard's lease, while this entry holds it.
  // TargetShard maps a service's name to its shard.
  std::function<std::optional<std::uint64_t>(std::uint32_t)> m_token;
};

class PlannerLoop
{
public:
  // The clients, pool and clock must outlive it.
  PlannerLoop(const EntrySettings& aSettings,
              NodeClient& aAgents,
              HttpClient& aHttp,
              WorkerPool& aWorkers,
              const Clock& aClock,
              PlannerSources aSources);
  ~PlannerLoop();
  PlannerLoop(const PlannerLoop&) = delete;
  PlannerLoop& operator=(const PlannerLoop&) = delete;

  void Start();
  // No order is sent after it returns.
  void Stop();

  std::optional<TargetStatus> StatusOf(const std::string& aName) const;
  std::vector<TargetStatus> AllStatus() const;
  std::string StateJson() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace siskindeal

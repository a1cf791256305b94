#pragma once
// Runs the planner on an entry: for the services whose lease is held here it
// sends the orders; for all targets it tells how they stand.

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

// Where the loop reads from. Called on workers, without locks held.
struct PlannerSources
{
  std::function<std::shared_ptr<const FleetView>()> m_view;
  std::function<std::shared_ptr<const FleetConfig>()> m_config; // may be null
  std::function<std::map<std::string, PlatformObject>(const std::string&)>
    m_objects; // by prefix
  // The token of a shard's lease while it is held here; shard of a service's
  // name by TargetShard.
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
  // Sends no order afterwards.
  void Stop();

  std::optional<TargetStatus> StatusOf(const std::string& aName) const;
  std::vector<TargetStatus> AllStatus() const;
  std::string StateJson() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace siskindeal

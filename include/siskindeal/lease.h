#pragma once
// Leases over the shards of the targets: one process at a time plans for a
// shard. The lease objects are "leases/targets/N" of the platform.

#include "siskindeal/clock.h"
#include "siskindeal/node_sync.h"
#include "siskindeal/platform.h"
#include "siskindeal/settings.h"
#include "siskindeal/worker_pool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace siskindeal {

// The shard of a target, of aShards.
std::uint32_t
TargetShard(const std::string& aTarget, std::uint32_t aShards);

// The name of a shard in orders, which agents keep the highest token by.
std::string
TargetShardName(std::uint32_t aShard);

class LeaseDriver;

// Competes for the lease of every shard and renews those it has. Which process
// is preferred for a shard follows from a hash over the live entries, so that
// the shards spread over them.
class LeaseKeeper
{
public:
  // Gives the live entries; called on workers. The platform, pool and clock
  // must outlive the keeper.
  using ViewSource = std::function<std::shared_ptr<const FleetView>()>;

  LeaseKeeper(const std::string& aVm,
              const LeaseSettings& aSettings,
              Platform& aPlatform,
              WorkerPool& aPool,
              const Clock& aClock,
              ViewSource aView);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  // Begins to compete.
  void Start();

  // The fencing token of a shard's lease while it is held here. To be asked
  // right before each order: a lease lapses while its holder is paused.
  std::optional<std::uint64_t> Token(std::uint32_t aShard) const;

  // The shards held now, with their fencing tokens.
  std::map<std::uint32_t, std::uint64_t> Held() const;

  // Gives up all leases; aDone runs once, on a worker, when that is written or
  // can't be. No lease is taken afterwards.
  void Release(std::function<void()> aDone);

private:
  std::shared_ptr<LeaseDriver> m_driver;
};

} // namespace siskindeal

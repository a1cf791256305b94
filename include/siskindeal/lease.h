#pragma once
// Leases on target shards: at most one process plans for a shard. The lease
// objects are stored on the platform under "leases/targets/N".

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

// Maps a target to one of aShards shards.
std::uint32_t
TargetShard(const std::string& aTarget, std::uint32_t aShards);

// The name of a shard in orders; agents record the highest token per name.
std::string
TargetShardName(std::uint32_t aShard);

class LeaseDriver;

// Competes for the lease of every shard and renews those it holds. A hash over
// the live entries ranks the processes for each shard, which spreads the shards
// over them.
class LeaseKeeper
{
public:
  // Returns the current fleet view, or null if there is none. Called on worker
  // threads.
  using ViewSource = std::function<std::shared_ptr<const FleetView>()>;

  // The platform, pool and clock must outlive the keeper.
  LeaseKeeper(const std::string& aVm,
              const LeaseSettings& aSettings,
              Platform& aPlatform,
              WorkerPool& aPool,
              const Clock& aClock,
              ViewSource aView);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  // Starts to compete for the leases.
  void Start();

  // The fencing token of a shard's lease if held by this process. Call it right
  // before each order: a lease can expire while the process is paused.
  std::optional<std::uint64_t> Token(std::uint32_t aShard) const;

  // The shards currently held, with their fencing tokens.
  std::map<std::uint32_t, std::uint64_t> Held() const;

  // Releases all leases and acquires none afterwards. aDone runs once, on a
  // worker, when the releases have been written or have failed.
  void Release(std::function<void()> aDone);

private:
  std::shared_ptr<LeaseDriver> m_driver;
};

} // namespace siskindeal

#pragma once
// Implementation of LeaseKeeper: ticks one LeaseHolder per shard and passes it
// the platform's replies.

#include "siskindeal/lease.h"

#include "lease/lease_holder_p.h"

#include "siskindeal/lock_order.h"

#include <utility>
#include <vector>

namespace siskindeal {

// Runs a task after a delay. Tests pass one that is driven by a ManualClock.
using LeaseTimer =
  std::function<void(std::chrono::milliseconds, WorkerPool::Task)>;

class LeaseDriver : public std::enable_shared_from_this<LeaseDriver>
{
public:
  // aHolder must be unique to this run of the process.
  LeaseDriver(const std::string& aVm,
              const std::string& aHolder,
              const LeaseSettings& aSettings,
              Platform& aPlatform,
              LeaseTimer aTimer,
              const Clock& aClock,
              LeaseKeeper::ViewSource aView);
  void TickAndReschedule();
  void Stop();
  void Release(std::function<void()> aDone);
  std::optional<std::uint64_t> Token(std::uint32_t aShard);
  std::map<std::uint32_t, std::uint64_t> Held();

private:
  // Returns false once stopped.
  bool Tick();
  void SendCall(std::size_t aShard, const LeaseHolder::Call& aCall);
  // Logs and updates the metric when the lease is acquired or lost.
  void ReportChange(std::size_t aShard, MonotonicTime aNow)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  const std::string m_vm;
  Platform& m_platform;
  const LeaseTimer m_timer;
  const Clock& m_clock;
  const LeaseKeeper::ViewSource m_view;
  std::vector<std::string> m_keys; // by shard
  OrderedMutex m_mutex{ LockLevel::Rollout };
  std::vector<LeaseHolder> m_holders ABSL_GUARDED_BY(m_mutex);
  std::vector<std::optional<std::uint64_t>> m_reportedTokens
    ABSL_GUARDED_BY(m_mutex);
  std::function<void()> m_onReleased ABSL_GUARDED_BY(m_mutex);
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

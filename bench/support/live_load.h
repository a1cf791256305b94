#pragma once
// Sends live requests to the VMs of a rollout at a steady rate and records
// their latency.

#include "support/rollout_fleet.h"

#include <absl/synchronization/mutex.h>

#include <thread>

namespace siskindeal::bench {

class LiveLoad
{
public:
  LiveLoad(const RolloutVms& aVms, standin::Scheduler& aScheduler);
  ~LiveLoad();
  LiveLoad(const LiveLoad&) = delete;
  LiveLoad& operator=(const LiveLoad&) = delete;

  // Returns the 99th percentile latency in seconds since the last call.
  double TakeP99();

private:
  // Outlives the requests in flight.
  struct Samples
  {
    absl::Mutex m_mutex;
    std::vector<double> m_seconds ABSL_GUARDED_BY(m_mutex);
  };

  void Run();

  const RolloutVms& m_vms;
  standin::Scheduler& m_scheduler;
  std::atomic<bool> m_stopping{ false };
  const std::shared_ptr<Samples> m_samples = std::make_shared<Samples>();
  std::thread m_thread;
};

} // namespace siskindeal::bench

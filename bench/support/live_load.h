#pragma once
// Live requests to the VMs of a rollout at a steady rate, and how long they
// took.

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

  // Seconds below which 99 in 100 stayed since the last call.
  double TakeP99();

private:
  // Outlives the requests in progress.
  struct Samples
  {
    absl::Mutex m_mutex;
    std::vector<double> m_taken ABSL_GUARDED_BY(m_mutex);
  };

  void Run();

  const RolloutVms& m_vms;
  standin::Scheduler& m_scheduler;
  std::atomic<bool> m_stop{ false };
  const std::shared_ptr<Samples> m_samples = std::make_shared<Samples>();
  std::thread m_thread;
};

} // namespace siskindeal::bench

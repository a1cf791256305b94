#include "support/live_load.h"

#include "support/rows.h"

namespace siskindeal::bench {

namespace {

constexpr std::chrono::milliseconds kRequestInterval{ 50 }; // of each VM

} // namespace

LiveLoad::LiveLoad(const RolloutVms& aVms, standin::Scheduler& aScheduler)
  : m_vms(aVms)
  , m_scheduler(aScheduler)
  , m_thread([this] { Run(); })
{
}

LiveLoad::~LiveLoad()
{
  m_stopping = true;
  m_thread.join();
}

double
LiveLoad::TakeP99()
{
  const absl::MutexLock lock(&m_samples->m_mutex);
  const auto p99 = Quantile(m_samples->m_seconds, 0.99);
  m_samples->m_seconds.clear();
  return p99;
}

void
LiveLoad::Run()
{
  using Clock = std::chrono::steady_clock;
  while (!m_stopping) {
    for (const auto& vm : m_vms) {
      std::this_thread::sleep_for(kRequestInterval / m_vms.size());
      if (vm->m_faults.m_killed) {
        continue;
      }
      const auto start = Clock::now();
      vm->SendLiveRequest(m_scheduler, [samples = m_samples, start] {
        const absl::MutexLock lock(&samples->m_mutex);
        samples->m_seconds.push_back(Seconds(Clock::now() - start).count());
      });
    }
  }
}

} // namespace siskindeal::bench

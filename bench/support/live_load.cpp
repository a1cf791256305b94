#include "support/live_load.h"

#include "support/rows.h"

namespace siskindeal::bench {

namespace {

constexpr std::chrono::milliseconds kPeriod{ 50 }; // of requests to one VM

} // namespace

LiveLoad::LiveLoad(const RolloutVms& aVms, standin::Scheduler& aScheduler)
  : m_vms(aVms)
  , m_scheduler(aScheduler)
  , m_thread([this] { Run(); })
{
}

LiveLoad::~LiveLoad()
{
  m_stop = true;
  m_thread.join();
}

double
LiveLoad::TakeP99()
{
  const absl::MutexLock lock(&m_samples->m_mutex);
  const auto p99 = Quantile(m_samples->m_taken, 0.99);
  m_samples->m_taken.clear();
  return p99;
}

void
LiveLoad::Run()
{
  using Clock = std::chrono::steady_clock;
  while (!m_stop) {
    for (const auto& vm : m_vms) {
      std::this_thread::sleep_for(kPeriod / m_vms.size());
      if (vm->m_faults.m_dead) {
        continue;
      }
      const auto start = Clock::now();
      vm->Live(m_scheduler, [samples = m_samples, start] {
        const absl::MutexLock lock(&samples->m_mutex);
        samples->m_taken.push_back(Seconds(Clock::now() - start).count());
      });
    }
  }
}

} // namespace siskindeal::bench

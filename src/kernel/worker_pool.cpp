#include "siskindeal/worker_pool.h"

#include "siskindeal/log.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <memory>

namespace siskindeal {

namespace {

void
RunLogged(const WorkerPool::Task& aTask)
{
  try {
    aTask();
  } catch (const std::exception& failure) {
    Log(LogLevel::Error, "task_failed", { { "what", failure.what() } });
  }
}

} // namespace

WorkerPool::WorkerPool(std::size_t aWorkers)
{
  for (std::size_t i = 0; i < aWorkers; ++i) {
    m_threads.emplace_back([this] { Work(); });
  }
}

WorkerPool::~WorkerPool()
{
  Stop();
}

void
WorkerPool::Post(Task aTask)
{
  const absl::MutexLock lock(&m_mutex);
  if (!m_stopping) {
    m_queue.push_back(std::move(aTask));
  }
}

void
WorkerPool::PostAfter(std::chrono::milliseconds aDelay, Task aTask)
{
  const absl::MutexLock lock(&m_mutex);
  if (!m_stopping) {
    m_timers.emplace(std::chrono::steady_clock::now() + aDelay,
                     std::move(aTask));
  }
}

void
WorkerPool::Every(std::chrono::milliseconds aPeriod, Task aTask)
{
  PostAfter(aPeriod, [this, aPeriod, task = std::move(aTask)] {
    RunLogged(task);
    Every(aPeriod, task);
  });
}

void
WorkerPool::Stop()
{
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    m_queue.clear();
    m_timers.clear();
  }
  for (auto& thread : m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::size_t
WorkerPool::Queued() const
{
  const absl::MutexLock lock(&m_mutex);
  return m_queue.size();
}

bool
WorkerPool::HasWork() const
{
  return m_stopping || !m_queue.empty() ||
         (!m_timers.empty() &&
          m_timers.begin()->first <= std::chrono::steady_clock::now());
}

void
WorkerPool::Work()
{
  // A timer posted while every worker waits changes a worker's wake-up time, so
  // waits are cut into steps of this length.
  constexpr auto kLongestWait = std::chrono::milliseconds(50);
  m_mutex.Lock();
  while (!m_stopping) {
    if (!HasWork()) {
      auto wait = std::chrono::steady_clock::duration(kLongestWait);
      if (!m_timers.empty()) {
        wait = std::min(
          wait, m_timers.begin()->first - std::chrono::steady_clock::now());
      }
      m_mutex.AwaitWithTimeout(
        absl::Condition(this, &WorkerPool::HasWork),
        absl::FromChrono(std::max(wait,
                                  std::chrono::steady_clock::duration(
                                    std::chrono::microseconds(100)))));
      continue;
    }
    Task task;
    if (!m_timers.empty() &&
        m_timers.begin()->first <= std::chrono::steady_clock::now()) {
      task = std::move(m_timers.begin()->second);
      m_timers.erase(m_timers.begin());
    } else {
      task = std::move(m_queue.front());
      m_queue.pop_front();
    }
    m_mutex.Unlock();
    RunLogged(task);
    task = nullptr;
    m_mutex.Lock();
  }
  m_mutex.Unlock();
}

} // namespace siskindeal

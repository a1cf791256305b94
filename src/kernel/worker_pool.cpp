#include "siskindeal/worker_pool.h"

#include "siskindeal/log.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <memory>

namespace siskindeal {

namespace {

constexpr std::chrono::steady_clock::duration kMinTimerWait =
  std::chrono::microseconds(100);

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
    m_threads.emplace_back([this] { RunWorker(); });
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
    m_changed.Signal();
  }
}

void
WorkerPool::PostAfter(std::chrono::milliseconds aDelay, Task aTask)
{
  const absl::MutexLock lock(&m_mutex);
  if (!m_stopping) {
    const auto timer = m_timers.emplace(
      std::chrono::steady_clock::now() + aDelay, std::move(aTask));
    if (timer == m_timers.begin()) {
      m_changed.Signal();
    }
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
    m_changed.SignalAll();
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
WorkerPool::RunWorker()
{
  m_mutex.Lock();
  while (!m_stopping) {
    if (!HasWork()) {
      if (m_timers.empty()) {
        m_changed.Wait(&m_mutex);
        continue;
      }
      const auto wait =
        m_timers.begin()->first - std::chrono::steady_clock::now();
      m_changed.WaitWithTimeout(
        &m_mutex, absl::FromChrono(std::max(wait, kMinTimerWait)));
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

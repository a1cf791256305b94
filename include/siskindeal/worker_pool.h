#pragma once
// Thread pool for tasks and timers.

#include "siskindeal/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <thread>
#include <vector>

namespace siskindeal {

// A fixed number of threads that share one task queue and one timer table.
// Tasks must not block for long; network calls use completion callbacks.
class WorkerPool
{
public:
  using Task = std::function<void()>;

  explicit WorkerPool(std::size_t aWorkers);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Queues aTask to run on a worker. Ignored after Stop.
  void Post(Task aTask);

  // Runs aTask on a worker once aDelay has passed. Ignored after Stop.
  void PostAfter(std::chrono::milliseconds aDelay, Task aTask);

  // Runs aTask repeatedly until Stop, aPeriod after the previous run has ended.
  // An exception thrown by aTask is logged and does not stop later runs.
  void Every(std::chrono::milliseconds aPeriod, Task aTask);

  // Waits for running tasks, discards queued tasks and timers, and joins the
  // threads.
  void Stop();

  // Returns the number of queued tasks, without timers.
  std::size_t Queued() const;

private:
  void RunWorker();
  bool HasWork() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);

  mutable absl::Mutex m_mutex;
  absl::CondVar m_changed; // queue, earliest timer or m_stopping
  std::deque<Task> m_queue ABSL_GUARDED_BY(m_mutex);
  std::multimap<MonotonicTime, Task> m_timers ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::thread> m_threads;
};

} // namespace siskindeal

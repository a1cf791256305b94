#pragma once
// The pool of workers that runs everything which is not a decision.

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

// A fixed number of threads over one queue and one timer table. Tasks must not
// block for long: what waits on the network uses a completion callback.
class WorkerPool
{
public:
  using Task = std::function<void()>;

  explicit WorkerPool(std::size_t aWorkers);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Runs aTask on a worker, soon. Ignored after Stop.
  void Post(Task aTask);

  // Runs aTask on a worker once aDelay has passed. Ignored after Stop.
  void PostAfter(std::chrono::milliseconds aDelay, Task aTask);

  // Runs aTask every aPeriod, one run at a time, until Stop. An exception that
  // leaves aTask is logged and the next run goes on.
  void Every(std::chrono::milliseconds aPeriod, Task aTask);

  // Ends the queued tasks that have begun, drops the others, joins the threads.
  void Stop();

  // Tasks waiting now, timers excluded.
  std::size_t Queued() const;

private:
  void Work();
  bool HasWork() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);

  mutable absl::Mutex m_mutex;
  absl::CondVar m_changed; // the queue, the earliest timer or m_stopping
  std::deque<Task> m_queue ABSL_GUARDED_BY(m_mutex);
  std::multimap<MonotonicTime, Task> m_timers ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::thread> m_threads;
};

} // namespace siskindeal

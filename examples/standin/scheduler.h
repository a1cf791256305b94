#pragma once
// Timer thread, and links with a limited rate.

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <thread>

namespace siskindeal::standin {

using Time = std::chrono::steady_clock::time_point;

class Scheduler
{
public:
  Scheduler();
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  void At(Time aWhen, std::function<void()> aTask);
  void After(std::chrono::nanoseconds aDelay, std::function<void()> aTask);
  // Drops pending tasks and joins the thread.
  void Stop();

private:
  void Run();

  absl::Mutex m_mutex;
  absl::CondVar m_changed;
  std::multimap<Time, std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

// A rate-limited link. Concurrent transfers share it by interleaving slices.
class Link : public std::enable_shared_from_this<Link>
{
public:
  // A rate of 0 means unlimited.
  Link(Scheduler& aScheduler, std::uint64_t aBytesPerSecond);

  // Runs aDone once aBytes have been transferred.
  void Transfer(std::uint64_t aBytes, std::function<void()> aDone);
  void SetRate(std::uint64_t aBytesPerSecond);
  std::uint64_t Carried() const;

private:
  Time Reserve(std::uint64_t aBytes);

  Scheduler& m_scheduler;
  mutable absl::Mutex m_mutex;
  std::uint64_t m_rate ABSL_GUARDED_BY(m_mutex);
  Time m_freeAt ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_bytesTransferred ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace siskindeal::standin

#pragma once
// Notices callers that hang up while their request waits: a suspended
// connection isn't polled by the HTTP library.

#include "siskindeal/lock_order.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <thread>

namespace siskindeal {

class HangUpWatcher
{
public:
  HangUpWatcher();
  ~HangUpWatcher();
  HangUpWatcher(const HangUpWatcher&) = delete;
  HangUpWatcher& operator=(const HangUpWatcher&) = delete;

  // Runs aTask once, on the watcher's thread, when the peer of aSocket closes
  // its side. Returns a token for Forget.
  std::uint64_t Watch(int aSocket, std::function<void()> aTask);

  // Must be called before the socket is closed.
  void Forget(std::uint64_t aToken);

  // Ends the thread; no task runs afterwards. Not called from a task.
  void Stop();

private:
  struct Watched
  {
    int m_socket;
    std::function<void()> m_task;
  };

  void Run();
  std::function<void()> Take(std::uint64_t aToken);

  int m_epoll;
  int m_stop;
  OrderedMutex m_mutex{ LockLevel::Worker };
  std::uint64_t m_last ABSL_GUARDED_BY(m_mutex) = 0;
  absl::flat_hash_map<std::uint64_t, Watched> m_watched
    ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

} // namespace siskindeal

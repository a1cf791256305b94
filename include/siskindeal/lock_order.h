#pragma once
// Mutexes with a fixed acquisition order.
//
// A thread that holds a lock may acquire only locks of a later level. No lock
// is held across a network call or a callback into another module. The levels,
// first to last:
//
//   1  Lifecycle   the role's running state
//   2  Config      current configuration and targets
//   3  Membership  the process and VM table
//   4  Rollout     planner and chunk tables
//   5  Claims      claim log and stored answers
//   6  Routing     load, affinity, limits, quarantine tables
//   7  Session     state of one request or connection
//   8  Transport   HTTP and gRPC client tables
//   9  Worker      the pool's queue
//
// ABSL_ACQUIRED_AFTER works only between mutexes visible to each other, so
// OrderedMutex checks the order at run time, in every build.

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace siskindeal {

enum class LockLevel
{
  None = 0,
  Lifecycle,
  Config,
  Membership,
  Rollout,
  Claims,
  Routing,
  Session,
  Transport,
  Worker,
};

// Records that this thread acquires a lock of aLevel. Checks the invariant that
// it holds no lock of the same or a later level.
void
EnterLockLevel(LockLevel aLevel);
void
LeaveLockLevel(LockLevel aLevel);

// Mutex with a level in the lock order.
class ABSL_LOCKABLE OrderedMutex
{
public:
  explicit OrderedMutex(LockLevel aLevel)
    : m_level(aLevel)
  {
  }

  void Lock() ABSL_EXCLUSIVE_LOCK_FUNCTION()
  {
    EnterLockLevel(m_level);
    m_mutex.Lock();
  }

  void Unlock() ABSL_UNLOCK_FUNCTION()
  {
    m_mutex.Unlock();
    LeaveLockLevel(m_level);
  }

private:
  absl::Mutex m_mutex;
  const LockLevel m_level;
};

// Scoped lock of an OrderedMutex.
class ABSL_SCOPED_LOCKABLE OrderedLock
{
public:
  explicit OrderedLock(OrderedMutex& aMutex)
    ABSL_EXCLUSIVE_LOCK_FUNCTION(aMutex)
    : m_mutex(aMutex)
  {
    m_mutex.Lock();
  }
  ~OrderedLock() ABSL_UNLOCK_FUNCTION() { m_mutex.Unlock(); }
  OrderedLock(const OrderedLock&) = delete;
  OrderedLock& operator=(const OrderedLock&) = delete;

private:
  OrderedMutex& m_mutex;
};

} // namespace siskindeal

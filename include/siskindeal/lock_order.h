#pragma once
// The order in which a process's locks are taken, stated once.
//
// A thread that holds a lock takes only locks of a later level. No lock is held
// across a network call or a callback into another module. The levels, first
// to last:
//
//   1  Lifecycle   the role's running state
//   2  Config      configuration and targets in force
//   3  Membership  the process and VM table
//   4  Rollout     planner and chunk tables
//   5  Claims      claim log and stored answers
//   6  Routing     load, affinity, limits, quarantine tables
//   7  Session     one request's or connection's own state
//   8  Transport   HTTP and gRPC client tables
//   9  Worker      the pool's queue
//
// ABSL_ACQUIRED_AFTER needs mutexes that see each other, so a level is checked
// at run time by OrderedLock in every build.

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

// Checks the order when taken: SISKINDEAL_INVARIANT that no lock of the same or
// a later level is held by this thread.
void
EnterLockLevel(LockLevel aLevel);
void
LeaveLockLevel(LockLevel aLevel);

// A mutex of a stated level.
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

// Holds an OrderedMutex for a scope.
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

#include "siskindeal/lock_order.h"

#include "siskindeal/invariant.h"

namespace siskindeal {

namespace {

// One bit a level held by this thread.
thread_local unsigned gHeldLevels = 0;

} // namespace

void
EnterLockLevel(LockLevel aLevel)
{
  const unsigned bit = 1U << static_cast<unsigned>(aLevel);
  SISKINDEAL_INVARIANT(gHeldLevels < bit,
                       "locks are taken in the order of lock_order.h");
  gHeldLevels |= bit;
}

void
LeaveLockLevel(LockLevel aLevel)
{
  gHeldLevels &= ~(1U << static_cast<unsigned>(aLevel));
}

} // namespace siskindeal

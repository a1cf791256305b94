#include "siskindeal/lock_order.h"

#include "siskindeal/invariant.h"

namespace siskindeal {

namespace {

// Bit mask of the levels held by this thread.
thread_local unsigned gHeldLevels = 0;

} // namespace

void
EnterLockLevel(LockLevel aLevel)
{
  const unsigned bit = 1U << static_cast<unsigned>(aLevel);
  SISKINDEAL_INVARIANT(gHeldLevels < bit,
                       "locks are acquired in the order of lock_order.h");
  gHeldLevels |= bit;
}

void
LeaveLockLevel(LockLevel aLevel)
{
  gHeldLevels &= ~(1U << static_cast<unsigned>(aLevel));
}

} // namespace siskindeal

#pragma once
// The signals that stop a process or reload its settings: SIGTERM, SIGINT and
// SIGHUP. The program blocks them before its first constructor runs, since
// their default action would end a process that is still starting. A signal
// that arrives while they are blocked is handled later.

#include <exception>

namespace siskindeal {

// Thrown by a role to which SIGTERM or SIGINT was sent before it served.
class StoppedAtStart final : public std::exception
{
public:
  const char* what() const noexcept override
  {
    return "stop signal during the start";
  }
};

// Blocks the signals for this thread and those that it starts later. May be
// called before static constructors have run.
void
BlockSignals();

// Lets the signals be delivered, for which handlers must be installed unless
// their default action is wanted.
void
UnblockSignals();

// Throws StoppedAtStart if SIGTERM or SIGINT has arrived while it was blocked.
void
ThrowIfStopped();

// Waits for SIGTERM or SIGINT while they are blocked. SIGHUP is logged and has
// no effect.
void
WaitForStopSignal();

} // namespace siskindeal

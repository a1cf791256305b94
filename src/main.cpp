#include "cli/command_p.h"
#include "node/signals_p.h"

#include <absl/synchronization/mutex.h>
#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <iostream>

namespace {

// The constructors of the libraries alone take milliseconds, so the signals are
// blocked before any of them runs.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kBlockSignals)() = siskindeal::BlockSignals;

} // namespace

int
main(int aArgc, char** aArgv)
{
  // lock_order.h checks lock order at a lower cost.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  constexpr int kMallocArenas = 2; // per-thread arenas increase memory use
  mallopt(M_ARENA_MAX, kMallocArenas);
  std::signal(SIGPIPE, SIG_IGN);
  siskindeal::Console console{ std::cout,
                               std::cerr,
                               isatty(STDOUT_FILENO) == 1 };
  return siskindeal::RunCommandLine(aArgc, aArgv, console);
}

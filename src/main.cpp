#include "cli/command_p.h"

#include <absl/synchronization/mutex.h>
#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <iostream>

int
main(int aArgc, char** aArgv)
{
  // lock_order.h checks the order of locks at less cost.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  constexpr int kMallocArenas = 2; // each thread's own arena costs memory
  mallopt(M_ARENA_MAX, kMallocArenas);
  std::signal(SIGPIPE, SIG_IGN);
  siskindeal::Console console{ std::cout,
                               std::cerr,
                               isatty(STDOUT_FILENO) == 1 };
  return siskindeal::RunCommandLine(aArgc, aArgv, console);
}

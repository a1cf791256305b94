#include "node/signals_p.h"

#include "siskindeal/log.h"

#include <csignal>
#include <pthread.h>

namespace siskindeal {

namespace {

sigset_t
HandledSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

void
BlockSignals()
{
  const auto signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void
UnblockSignals()
{
  const auto signals = HandledSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void
ThrowIfStopped()
{
  sigset_t pending;
  if (sigpending(&pending) != 0) {
    return;
  }
  if (sigismember(&pending, SIGTERM) == 1 ||
      sigismember(&pending, SIGINT) == 1) {
    throw StoppedAtStart();
  }
}

void
WaitForStopSignal()
{
  const auto signals = HandledSignals();
  while (true) {
    int signal = 0;
    const bool received = sigwait(&signals, &signal) == 0;
    if (received && signal != SIGHUP) {
      return;
    }
    if (received) {
      Log(LogLevel::Info, "hangup_ignored"); // settings are not reloaded
    }
  }
}

} // namespace siskindeal

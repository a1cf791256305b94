#pragma once
// Child processes for tests, started with fork and exec and signalled by their
// process id.

#include <chrono>
#include <string>
#include <vector>

#include <sys/types.h>

namespace siskindeal {

class Process
{
public:
  // Starts aCommand. Its stdout and stderr are appended to aLogFile.
  Process(const std::vector<std::string>& aCommand,
          const std::string& aLogFile);
  // Kills the process if it is still running.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return m_pid; }
  void Signal(int aSignal) const;
  // Waits for the process to exit and returns its exit status, or 128 + N if
  // signal N ended it.
  int Wait();
  // Returns whether the process exits within aTimeout.
  bool EndsWithin(std::chrono::milliseconds aTimeout);

private:
  bool TryWait(int aOptions);

  pid_t m_pid = -1;
  int m_exitStatus = -1;
  bool m_exited = false;
};

// Runs a command until it exits and returns its exit status.
int
RunCommand(const std::vector<std::string>& aCommand,
           const std::string& aLogFile);

// Returns a free port of 127.0.0.1 below the ephemeral port range. No other
// test program is given the same port while this one runs.
std::uint16_t
FreePort();

} // namespace siskindeal

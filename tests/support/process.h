#pragma once
// Real processes for tests: the repository's own binaries, started by fork and
// exec and ended by their id.

#include <chrono>
#include <string>
#include <vector>

#include <sys/types.h>

namespace siskindeal {

class Process
{
public:
  // Starts aCommand; its output and errors go to aLogFile.
  Process(const std::vector<std::string>& aCommand,
          const std::string& aLogFile);
  // Kills the process if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return m_pid; }
  void Signal(int aSignal) const;
  // The exit status once the process has ended; 128 + N when signal N ended it.
  int Wait();
  // Whether it ends within aLongest.
  bool EndsWithin(std::chrono::milliseconds aLongest);

private:
  bool TryWait(int aOptions);

  pid_t m_pid = -1;
  int m_status = -1;
  bool m_ended = false;
};

// Runs a command to its end; its exit status.
int
RunCommand(const std::vector<std::string>& aCommand,
           const std::string& aLogFile);

// A port of 127.0.0.1 below the range that the system gives to outgoing
// connections, where nothing listens now.
std::uint16_t
FreePort();

} // namespace siskindeal

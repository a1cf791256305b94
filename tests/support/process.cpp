#include "support/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <random>
#include <system_error>
#include <thread>

namespace siskindeal {

namespace {

constexpr int kExecFailed = 127;
constexpr int kSignalStatusBase = 128;
constexpr std::chrono::milliseconds kPollInterval{ 10 };

// Runs in the child. Only async-signal-safe calls are allowed here, because the
// parent is multi-threaded.
[[noreturn]] void
Execute(char* const* aArguments, int aLog)
{
  dup2(aLog, STDOUT_FILENO);
  dup2(aLog, STDERR_FILENO);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execv(aArguments[0], aArguments);
  _exit(kExecFailed);
}

// Returns a socket bound to the address, or -1 if the port is in use.
int
BindTo(std::uint32_t aHost, std::uint16_t aPort)
{
  const int bound = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(aHost);
  if (bind(bound,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0) {
    return bound;
  }
  close(bound);
  return -1;
}

} // namespace

Process::Process(const std::vector<std::string>& aCommand,
                 const std::string& aLogFile)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const auto& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  constexpr mode_t kLogFileMode = 0600;
  const int log = open(
    aLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogFileMode);
  m_pid = fork();
  if (m_pid == 0) {
    Execute(arguments.data(), log);
  }
  close(log);
  if (m_pid < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
}

Process::~Process()
{
  if (!m_exited) {
    kill(m_pid, SIGKILL);
    Wait();
  }
}

void
Process::Signal(int aSignal) const
{
  if (!m_exited) {
    kill(m_pid, aSignal);
  }
}

bool
Process::TryWait(int aOptions)
{
  int status = 0;
  if (m_exited || waitpid(m_pid, &status, aOptions) != m_pid) {
    return m_exited;
  }
  m_exited = true;
  m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status)
                                   : kSignalStatusBase + WTERMSIG(status);
  return true;
}

int
Process::Wait()
{
  TryWait(0);
  return m_exitStatus;
}

bool
Process::EndsWithin(std::chrono::milliseconds aTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (!TryWait(WNOHANG)) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

int
RunCommand(const std::vector<std::string>& aCommand,
           const std::string& aLogFile)
{
  return Process(aCommand, aLogFile).Wait();
}

std::uint16_t
FreePort()
{
  constexpr std::uint16_t kFirstPort = 20000;
  constexpr std::uint16_t kLastPort = 30000;
  // The port is also bound on this address and never closed, so that no other
  // test program takes it until this one exits.
  constexpr std::uint32_t kReservationHost = INADDR_LOOPBACK + 1;
  static std::mt19937 sRandom(std::random_device{}());
  while (true) {
    const auto port = std::uniform_int_distribution<std::uint16_t>(
      kFirstPort, kLastPort)(sRandom);
    const int reserved = BindTo(kReservationHost, port);
    if (reserved < 0) {
      continue;
    }
    const int probe = BindTo(INADDR_LOOPBACK, port);
    if (probe >= 0) {
      close(probe);
      return port;
    }
    close(reserved);
  }
}

} // namespace siskindeal

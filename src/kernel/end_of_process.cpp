#include "kernel/end_of_process_p.h"

#include "siskindeal/log.h"

#include <poll.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <string_view>

namespace siskindeal {

namespace {

constexpr std::size_t kMaxLineBytes = 1024;
constexpr std::size_t kMaxTextBytes = 300;
constexpr std::size_t kAlternateStackBytes = 64 << 10;
constexpr int kMaxWriteWaitMs =
  200; // a reader that is gone must not hold it up

// A line in memory of its own. All functions are async-signal-safe.
class Line
{
public:
  void Append(std::string_view aText)
  {
    const std::size_t size = std::min(aText.size(), m_bytes.size() - m_size);
    std::copy_n(aText.data(), size, m_bytes.data() + m_size);
    m_size += size;
  }

  void AppendNumber(std::uint64_t aNumber,
                    std::size_t aMinDigits = 1,
                    int aBase = 10)
  {
    std::array<char, 24> digits{};
    const auto end = std::to_chars(
      digits.data(), digits.data() + digits.size(), aNumber, aBase);
    const auto count = static_cast<std::size_t>(end.ptr - digits.data());
    for (std::size_t i = count; i < aMinDigits; ++i) {
      Append("0");
    }
    Append({ digits.data(), count });
  }

  // Within quotes. Leaves out what would need an escape by number.
  void AppendEscaped(std::string_view aText)
  {
    for (const char character : aText.substr(0, kMaxTextBytes)) {
      if (character == '"' || character == '\\') {
        Append("\\");
      }
      if (character >= ' ' && character <= '~') {
        Append({ &character, 1 });
      }
    }
  }

  std::size_t CopyTo(char* aTo, std::size_t aMaxBytes) const
  {
    const std::size_t size = std::min(m_size, aMaxBytes);
    std::copy_n(m_bytes.data(), size, aTo);
    return size;
  }

  void WriteTo(int aDescriptor) const
  {
    pollfd ready{ aDescriptor, POLLOUT, 0 };
    if (::poll(&ready, 1, kMaxWriteWaitMs) > 0) {
      [[maybe_unused]] const auto written =
        ::write(aDescriptor, m_bytes.data(), m_size);
    }
  }

private:
  std::array<char, kMaxLineBytes> m_bytes{};
  std::size_t m_size = 0;
};

// Set once, before the handlers are installed.
int gDescriptor = STDERR_FILENO;
std::array<char, kMaxTextBytes * 2> gOrigin{}; // ","role":...,"event":...
std::size_t gOriginSize = 0;
std::atomic_flag gWritten = ATOMIC_FLAG_INIT;

void
AppendTime(Line& aLine)
{
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  const std::chrono::sys_seconds seconds{ std::chrono::seconds(now.tv_sec) };
  const auto day = std::chrono::floor<std::chrono::days>(seconds);
  const std::chrono::year_month_day date{ day };
  const std::chrono::hh_mm_ss time{ seconds - day };
  constexpr long kNanosPerMilli = 1000000;
  aLine.AppendNumber(static_cast<std::uint64_t>(int(date.year())), 4);
  aLine.Append("-");
  aLine.AppendNumber(unsigned(date.month()), 2);
  aLine.Append("-");
  aLine.AppendNumber(unsigned(date.day()), 2);
  aLine.Append("T");
  aLine.AppendNumber(static_cast<std::uint64_t>(time.hours().count()), 2);
  aLine.Append(":");
  aLine.AppendNumber(static_cast<std::uint64_t>(time.minutes().count()), 2);
  aLine.Append(":");
  aLine.AppendNumber(static_cast<std::uint64_t>(time.seconds().count()), 2);
  aLine.Append(".");
  aLine.AppendNumber(static_cast<std::uint64_t>(now.tv_nsec / kNanosPerMilli),
                     3);
  aLine.Append("Z");
}

// Begins the line, without the end of its object.
void
AppendBeginning(Line& aLine, std::string_view aReason)
{
  aLine.Append(R"({"time":")");
  AppendTime(aLine);
  aLine.Append({ gOrigin.data(), gOriginSize });
  aLine.Append(R"("reason":")");
  aLine.Append(aReason);
  aLine.Append("\"");
}

std::string_view
NameOf(int aSignal)
{
  switch (aSignal) {
    case SIGSEGV:
      return "SIGSEGV";
    case SIGBUS:
      return "SIGBUS";
    case SIGFPE:
      return "SIGFPE";
    case SIGILL:
      return "SIGILL";
    default:
      return "SIGABRT";
  }
}

void
OnFatalSignal(int aSignal, siginfo_t* aInfo, void*)
{
  if (!gWritten.test_and_set()) {
    Line line;
    AppendBeginning(line, NameOf(aSignal));
    // A process that sent the signal, or the address that was accessed.
    if (aInfo->si_code <= 0) {
      line.Append(R"(,"sender":)");
      line.AppendNumber(static_cast<std::uint64_t>(aInfo->si_pid));
    } else {
      line.Append(R"(,"code":)");
      line.AppendNumber(static_cast<std::uint64_t>(aInfo->si_code));
      line.Append(R"(,"address":"0x)");
      line.AppendNumber(
        reinterpret_cast<std::uintptr_t>(aInfo->si_addr), 1, 16);
      line.Append("\"");
    }
    line.Append("}\n");
    line.WriteTo(gDescriptor);
  }
  ::raise(aSignal); // the default action is set again
}

void
AppendException(Line& aLine)
{
  const std::exception_ptr current = std::current_exception();
  if (!current) {
    return; // such as a thread that was neither joined nor detached
  }
  aLine.Append(R"(,"what":")");
  try {
    std::rethrow_exception(current);
  } catch (const std::exception& failure) {
    aLine.AppendEscaped(failure.what());
  } catch (...) {
    aLine.Append("not a standard exception");
  }
  aLine.Append("\"");
}

[[noreturn]] void
OnTerminate()
{
  if (!gWritten.test_and_set()) {
    Line line;
    AppendBeginning(line, "uncaught exception");
    AppendException(line);
    line.Append("}\n");
    line.WriteTo(gDescriptor);
  }
  std::abort();
}

void
UseAlternateStack()
{
  static std::array<char, kAlternateStackBytes> sStack;
  stack_t stack{};
  stack.ss_sp = sStack.data();
  stack.ss_size = sStack.size();
  ::sigaltstack(&stack, nullptr);
}

} // namespace

void
InstallEndOfProcessLog(int aDescriptor,
                       std::string_view aRole,
                       std::string_view aVm)
{
  Line origin;
  origin.Append(R"(","level":"error","role":")");
  origin.AppendEscaped(aRole);
  origin.Append(R"(","vm":")");
  origin.AppendEscaped(aVm);
  origin.Append(R"(","event":"process ended",)");
  gOriginSize = origin.CopyTo(gOrigin.data(), gOrigin.size());
  gDescriptor = aDescriptor;
  UseAlternateStack();
  struct sigaction action
  {};
  action.sa_sigaction = OnFatalSignal;
  action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND | SA_NODEFER;
  ::sigemptyset(&action.sa_mask);
  for (const int signal : { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT }) {
    ::sigaction(signal, &action, nullptr);
  }
  std::set_terminate(OnTerminate);
}

void
RunToEnd(const std::function<void()>& aRole)
{
  try {
    aRole();
  } catch (const StoppedAtStart&) {
    throw;
  } catch (const std::exception& failure) {
    Log(LogLevel::Error,
        "process ended",
        { { "reason", "error" }, { "what", failure.what() } });
    throw;
  }
}

} // namespace siskindeal

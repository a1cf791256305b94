// Tests that a process that ends leaves a last line with the reason.

#include "kernel/end_of_process_p.h"
#include "siskindeal/log.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <stdexcept>
#include <thread>

namespace siskindeal {
namespace {

class EndOfProcessDeathTest : public testing::Test
{
protected:
  EndOfProcessDeathTest() { GTEST_FLAG_SET(death_test_style, "threadsafe"); }

  static void Configure() { ConfigureLog("gateway", "edge-1", LogLevel::Info); }
};

// Each call needs a frame of its own.
int
Recurse(int aDepth)
{
  volatile char frame[4096];
  frame[0] = static_cast<char>(aDepth);
  return aDepth == 0 ? 0 : Recurse(aDepth - 1) + frame[0];
}

TEST_F(EndOfProcessDeathTest, FatalSignalIsNamedInTheLastLine)
{
  for (const int signal : { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT }) {
    EXPECT_EXIT(
      {
        Configure();
        std::raise(signal);
      },
      testing::KilledBySignal(signal),
      "\"level\":\"error\",\"role\":\"gateway\",\"vm\":\"edge-1\","
      "\"event\":\"process ended\",\"reason\":\"SIG");
  }
}

TEST_F(EndOfProcessDeathTest, StackOverflowIsNamedInTheLastLine)
{
  EXPECT_EXIT(
    {
      Configure();
      std::exit(Recurse(1 << 30));
    },
    testing::KilledBySignal(SIGSEGV),
    "\"event\":\"process ended\",\"reason\":\"SIGSEGV\"");
}

TEST_F(EndOfProcessDeathTest, UncaughtExceptionIsNamedInTheLastLine)
{
  EXPECT_EXIT(
    {
      Configure();
      std::thread([] { throw std::runtime_error("no \"such\" file"); }).join();
    },
    testing::KilledBySignal(SIGABRT),
    "\"event\":\"process ended\",\"reason\":\"uncaught exception\","
    "\"what\":\"no .\"such.\" file\"");
}

TEST_F(EndOfProcessDeathTest, ErrorThatEndsARoleIsTheLastLine)
{
  constexpr int kStatus = 3;
  EXPECT_EXIT(
    {
      Configure();
      try {
        RunToEnd([] { throw std::runtime_error("bind: no such address"); });
      } catch (const std::runtime_error&) {
        std::exit(kStatus);
      }
    },
    testing::ExitedWithCode(kStatus),
    "\"role\":\"gateway\",\"vm\":\"edge-1\",\"event\":\"process ended\","
    "\"reason\":\"error\",\"what\":\"bind: no such address\"");
}

} // namespace
} // namespace siskindeal

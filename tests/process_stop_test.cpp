// Sends signals to real processes that are stopping.

#include "support/role_process.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

// Short beside the time from the end of the event loop to that of the process.
constexpr std::chrono::microseconds kPause{ 100 };

using ProcessStop = RoleProcessTest;

INSTANTIATE_TEST_SUITE_P(Roles,
                         ProcessStop,
                         testing::Values("gateway", "stager"),
                         [](const auto& aInfo) { return aInfo.param; });

TEST_P(ProcessStop, SignalsUntilTheEndDoNotEndTheProcessSooner)
{
  WriteSettings(IsGateway() ? "answer_lifetime = \"20ms\"\n" : "");
  for (const int signal : { SIGHUP, SIGTERM, SIGINT }) {
    Start();
    ExpectServing();
    m_process->Signal(SIGTERM);
    while (!m_process->EndsWithin(milliseconds(-1))) {
      m_process->Signal(signal);
      std::this_thread::sleep_for(kPause);
    }
    SCOPED_TRACE(signal);
    ExpectEnd(0, "\"event\":\"stop\"");
  }
}

} // namespace
} // namespace siskindeal

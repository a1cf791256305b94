// Sends signals to real processes that are starting.

#include "support/role_process.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

using ProcessStart = RoleProcessTest;

INSTANTIATE_TEST_SUITE_P(Roles,
                         ProcessStart,
                         testing::Values("gateway", "stager"),
                         [](const auto& aInfo) { return aInfo.param; });

// A settings file that the process waits for while reading it.
class SlowSettingsFile
{
public:
  explicit SlowSettingsFile(std::string aFile)
    : m_file(std::move(aFile))
  {
    EXPECT_EQ(mkfifo(m_file.c_str(), 0600), 0);
  }

  ~SlowSettingsFile()
  {
    if (m_pipe >= 0) {
      close(m_pipe);
    }
  }

  SlowSettingsFile(const SlowSettingsFile&) = delete;
  SlowSettingsFile& operator=(const SlowSettingsFile&) = delete;

  // Returns false if no process opens the file.
  bool AwaitReader()
  {
    return Eventually([&] {
      m_pipe = open(m_file.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
      return m_pipe >= 0;
    });
  }

  // Ends the read with aText and puts a regular file in the pipe's place.
  void Finish(const std::string& aText, const std::string& aLater)
  {
    const std::string replacement = m_file + ".new";
    std::ofstream(replacement) << aLater;
    std::filesystem::rename(replacement, m_file);
    // A process that has ended breaks the pipe.
    std::signal(SIGPIPE, SIG_IGN);
    const auto written = write(m_pipe, aText.data(), aText.size());
    EXPECT_EQ(written, static_cast<ssize_t>(aText.size()));
    close(std::exchange(m_pipe, -1));
  }

private:
  std::string m_file;
  int m_pipe = -1;
};

TEST_P(ProcessStart, HangupDuringStartReloadsSettingsReadBefore)
{
  SlowSettingsFile file(File());
  Start();
  ASSERT_TRUE(file.AwaitReader()) << Log();
  m_process->Signal(SIGHUP);
  file.Finish(Settings(),
              Settings(IsGateway() ? "answer_lifetime = \"750ms\"\n" : ""));
  ExpectServing();
  const std::string expected =
    IsGateway() ? "settings reloaded" : "hangup_ignored";
  EXPECT_TRUE(Eventually([&] { return Logs(expected); })) << Log();
}

TEST_P(ProcessStart, TerminationDuringStartEndsInOrder)
{
  for (const int signal : { SIGTERM, SIGINT }) {
    std::filesystem::remove(File());
    SlowSettingsFile file(File());
    Start();
    ASSERT_TRUE(file.AwaitReader()) << Log();
    m_process->Signal(signal);
    file.Finish(Settings(), Settings());
    ExpectEnd(0, "\"event\":\"stop\"");
    EXPECT_FALSE(Serves());
  }
}

TEST_P(ProcessStart, SignalsInSeriesFromTheStartEndNothing)
{
  WriteSettings();
  Start();
  // Before, the loader runs, during which no code of the program can act.
  const std::string status =
    "/proc/" + std::to_string(m_process->Id()) + "/status";
  const auto blocksHangup = [&] {
    std::ifstream stream(status);
    std::string name;
    while (stream >> name && name != "SigBlk:") {
    }
    std::uint64_t mask = 0;
    stream >> std::hex >> mask;
    return (mask >> (SIGHUP - 1) & 1) != 0;
  };
  ASSERT_TRUE(Eventually(blocksHangup));
  while (!Serves() && !m_process->EndsWithin(milliseconds(0))) {
    m_process->Signal(SIGHUP);
  }
  ExpectServing();
  m_process->Signal(SIGTERM);
  ExpectEnd(0, "\"event\":\"stop\"");
}

TEST(ProcessSignals, CommandThatIsNoRoleStillEndsOnSigterm)
{
  const std::string file =
    testing::TempDir() + "command-" + std::to_string(getpid()) + ".toml";
  std::remove(file.c_str());
  SlowSettingsFile slow(file);
  Process command({ kBinary, "config", "check", file }, "/dev/null");
  ASSERT_TRUE(slow.AwaitReader());
  command.Signal(SIGTERM);
  EXPECT_TRUE(command.EndsWithin(kTestTimeout));
  constexpr int kEndedBySignal = 128;
  EXPECT_EQ(command.Wait(), kEndedBySignal + SIGTERM);
  std::remove(file.c_str());
}

} // namespace
} // namespace siskindeal

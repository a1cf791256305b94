// Starts and reloads real processes while something that they need is missing.

#include "support/fleet.h"
#include "support/gateway_fixture.h"
#include "support/process.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <sstream>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

const std::string kBinary = SISKINDEAL_BINARY_DIR "/siskindeal";
constexpr milliseconds kLongestEnd = kTestTimeout;

std::string
Loopback(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// Starts one gateway or stager at a time against a scripted platform.
class ProcessStart : public testing::TestWithParam<std::string>
{
protected:
  ProcessStart()
  {
    std::string pattern = testing::TempDir() + "start-XXXXXX";
    m_directory = mkdtemp(pattern.data());
    m_site.Put("config", "main", ConfigJson(1));
  }

  ~ProcessStart() override
  {
    m_process.reset();
    std::filesystem::remove_all(m_directory);
  }

  bool IsGateway() const { return GetParam() == "gateway"; }
  std::string File() const { return m_directory + "/settings.toml"; }
  std::string LogFile() const { return m_directory + "/log"; }

  std::string Settings(const std::string& aMore = "") const
  {
    std::ostringstream text;
    text << "[node]\nvm = \"m-1\"\nplace = \"here\"\nrpc = \""
         << Loopback(m_rpc) << "\"\nhttp = \"" << Loopback(m_http)
         << "\"\n[platform]\nurl = \"http://" << m_site.Store().ToString()
         << "\"\n";
    if (IsGateway()) {
      text << "[gateway]\nready = \"" << Loopback(m_ready)
           << "\"\ndirectory = \"" << Loopback(m_directoryPort) << "\"\n";
    } else {
      text << "[stager]\nrunner = \"" << Loopback(m_http)
           << "\"\nservice = \"get\"\n";
    }
    text << aMore;
    return text.str();
  }

  void WriteSettings(const std::string& aMore = "") const
  {
    std::ofstream(File()) << Settings(aMore);
  }

  void Start()
  {
    m_process = std::make_unique<Process>(
      std::vector<std::string>{ kBinary, GetParam(), "--config", File() },
      LogFile());
  }

  std::string Log() const
  {
    std::ifstream stream(LogFile());
    return { std::istreambuf_iterator<char>(stream), {} };
  }

  bool Logs(const std::string& aText) const
  {
    return Log().find(aText) != std::string::npos;
  }

  bool Serves() const
  {
    try {
      RawSocket socket(IsGateway() ? m_ready : m_rpc);
      socket.Send(IsGateway()
                    ? "GET /siskindeal/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
                    : "GET /state HTTP/1.1\r\nHost: x\r\n\r\n");
      return socket.ReadUntil("\r\n").find(" 200 ") != std::string::npos;
    } catch (const std::system_error&) {
      return false;
    }
  }

  void ExpectServing()
  {
    EXPECT_TRUE(Eventually(
      [&] { return Serves() || m_process->EndsWithin(milliseconds(0)); }));
    EXPECT_FALSE(m_process->EndsWithin(milliseconds(0)))
      << "status " << m_process->Wait() << "\n"
      << Log();
  }

  // Expects an end with the status and a log that holds the text.
  void ExpectEnd(int aStatus, const std::string& aText)
  {
    ASSERT_TRUE(m_process->EndsWithin(kLongestEnd)) << Log();
    EXPECT_EQ(m_process->Wait(), aStatus) << Log();
    EXPECT_TRUE(Logs(aText)) << Log();
  }

  std::string m_directory;
  SiteStandIn m_site;
  std::uint16_t m_rpc = FreePort();
  std::uint16_t m_http = FreePort();
  std::uint16_t m_ready = FreePort();
  std::uint16_t m_directoryPort = FreePort();
  std::unique_ptr<Process> m_process;
};

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
  EXPECT_TRUE(command.EndsWithin(kLongestEnd));
  constexpr int kEndedBySignal = 128;
  EXPECT_EQ(command.Wait(), kEndedBySignal + SIGTERM);
  std::remove(file.c_str());
}

} // namespace
} // namespace siskindeal

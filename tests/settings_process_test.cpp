// Starts and reloads real processes while their settings file is unusable.

#include "support/role_process.h"

#include <csignal>
#include <map>

namespace siskindeal {
namespace {

constexpr std::chrono::milliseconds kNow{ 0 };
constexpr int kBadSettings = 3;

class UnusableSettings : public RoleProcessTest
{
protected:
  using Damage = std::function<void()>;

  // Ways in which the file may be found while it is being replaced.
  std::map<std::string, Damage> Damages() const
  {
    const auto write = [this](const std::string& aText) {
      return [this, aText] {
        std::filesystem::remove_all(File());
        std::ofstream(File()) << aText;
      };
    };
    const std::string whole = Settings();
    return { { "absent", [this] { std::filesystem::remove_all(File()); } },
             { "empty", write("") },
             { "half", write(whole.substr(0, whole.size() / 2)) },
             { "binary", write(std::string("\0\xff\x80", 3)) },
             { "directory", [this] {
                std::filesystem::remove_all(File());
                std::filesystem::create_directory(File());
              } } };
  }

  void Repair(const std::string& aMore = "") const
  {
    const std::string replacement = File() + ".new";
    std::ofstream(replacement) << Settings(aMore);
    std::filesystem::remove_all(File());
    std::filesystem::rename(replacement, File());
  }

  void AwaitLog(const std::string& aText)
  {
    EXPECT_TRUE(
      Eventually([&] { return Logs(aText) || m_process->EndsWithin(kNow); }));
    ASSERT_FALSE(m_process->EndsWithin(kNow)) << m_process->Wait() << Log();
  }
};

INSTANTIATE_TEST_SUITE_P(Roles,
                         UnusableSettings,
                         testing::Values("gateway", "stager"),
                         [](const auto& aInfo) { return aInfo.param; });

TEST_P(UnusableSettings, StartReadsThemAgain)
{
  for (const auto& [name, damage] : Damages()) {
    SCOPED_TRACE(name);
    damage();
    std::filesystem::remove(LogFile());
    Start();
    AwaitLog("\"event\":\"settings rejected\"");
    Repair();
    ExpectServing();
    m_process.reset();
  }
}

TEST_P(UnusableSettings, StartThatFailsNamesFileAndReason)
{
  for (const auto& [name, damage] : Damages()) {
    SCOPED_TRACE(name);
    damage();
    std::filesystem::remove(LogFile());
    Start();
    ExpectEnd(kBadSettings, "siskindeal: " + File());
  }
}

TEST_P(UnusableSettings, TerminationEndsTheWaitOfTheStart)
{
  Start();
  AwaitLog("\"event\":\"settings rejected\"");
  m_process->Signal(SIGTERM);
  ExpectEnd(0, "\"event\":\"stop\"");
}

// A stager doesn't reload its settings.
class ReloadedSettings : public UnusableSettings
{};

INSTANTIATE_TEST_SUITE_P(Roles,
                         ReloadedSettings,
                         testing::Values("gateway"),
                         [](const auto& aInfo) { return aInfo.param; });

TEST_P(ReloadedSettings, EndsNothingAndIsRepeatedWithoutASignal)
{
  Repair();
  Start();
  ExpectServing();
  int milliseconds = 100;
  for (const auto& [name, damage] : Damages()) {
    SCOPED_TRACE(name);
    damage();
    const std::size_t logged = Log().size();
    m_process->Signal(SIGHUP);
    EXPECT_TRUE(Eventually([&] {
      return Log().find("\"event\":\"settings rejected\"", logged) !=
               std::string::npos ||
             m_process->EndsWithin(kNow);
    }));
    ASSERT_FALSE(m_process->EndsWithin(kNow)) << m_process->Wait() << Log();
    EXPECT_NE(Log().find(File(), logged), std::string::npos);
    milliseconds += 50;
    Repair("answer_lifetime = \"" + std::to_string(milliseconds) + "ms\"\n");
    const std::string expected = nlohmann::json(milliseconds / 1000.0).dump();
    EXPECT_TRUE(Eventually([&] {
      RawSocket socket(m_directoryPort);
      socket.Send("GET /siskindeal/resolve?name=x.example HTTP/1.1\r\n"
                  "Host: d\r\nConnection: close\r\n\r\n");
      return socket.ReadAll().find("\"ttl_s\":" + expected) !=
             std::string::npos;
    }))
      << Log();
  }
  m_process->Signal(SIGTERM);
  ExpectEnd(0, "\"event\":\"stop\"");
}

TEST_P(ReloadedSettings, DoesNotShortenAStopThatHasBegun)
{
  constexpr std::chrono::milliseconds kShortened{ 1000 };
  Repair("grace_seconds = 20\nanswer_lifetime = \"2500ms\"\n");
  Start();
  ExpectServing();
  m_process->Signal(SIGTERM);
  AwaitLog("\"event\":\"leaving\"");
  Repair("grace_seconds = 0.2\nanswer_lifetime = \"10ms\"\n");
  m_process->Signal(SIGHUP);
  AwaitLog("\"event\":\"settings reloaded\"");
  EXPECT_FALSE(m_process->EndsWithin(kShortened)) << Log();
  ExpectEnd(0, "\"event\":\"stop\"");
}

TEST_P(ReloadedSettings, NamesSettingsThatNeedARestart)
{
  Repair();
  Start();
  ExpectServing();
  const std::uint16_t former = std::exchange(m_ready, FreePort());
  Repair();
  m_process->Signal(SIGHUP);
  AwaitLog("\"event\":\"settings need a restart\"");
  EXPECT_TRUE(Logs("\"settings\":\"[gateway] ready\"")) << Log();
  m_ready = former;
  ExpectServing();
}

} // namespace
} // namespace siskindeal

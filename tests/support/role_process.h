#pragma once
// Fixture that starts a gateway or a stager as a process against a scripted
// platform. The parameter is the role.

#include "support/gateway_fixture.h"
#include "support/process.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace siskindeal {

inline const std::string kBinary = SISKINDEAL_BINARY_DIR "/siskindeal";
inline std::string
Loopback(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// Starts one gateway or stager at a time against a scripted platform.
class RoleProcessTest : public testing::TestWithParam<std::string>
{
protected:
  RoleProcessTest()
  {
    std::string pattern = testing::TempDir() + "start-XXXXXX";
    m_directory = mkdtemp(pattern.data());
    m_site.Put("config", "main", ConfigJson(1));
  }

  ~RoleProcessTest() override
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

  std::unique_ptr<Process> StartProcess() const
  {
    return std::make_unique<Process>(
      std::vector<std::string>{ kBinary, GetParam(), "--config", File() },
      LogFile());
  }

  void Start() { m_process = StartProcess(); }

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
    EXPECT_TRUE(Eventually([&] {
      return Serves() || m_process->EndsWithin(std::chrono::milliseconds(0));
    }));
    EXPECT_FALSE(m_process->EndsWithin(std::chrono::milliseconds(0)))
      << "status " << m_process->Wait() << "\n"
      << Log();
  }

  // Expects an end with the status and a log that holds the text.
  void ExpectEnd(int aStatus, const std::string& aText)
  {
    ASSERT_TRUE(m_process->EndsWithin(kTestTimeout)) << Log();
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

} // namespace siskindeal

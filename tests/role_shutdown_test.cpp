// Tests the end of the agent and entry roles while calls are in progress.

#include "agent/agent_p.h"
#include "support/process.h"
#include "support/raw_socket.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kTimeout{ 20 };
constexpr std::string_view kLoad =
  "HTTP/1.1 200 OK\r\nX-Upstream-Instance: i-1\r\nContent-Length: 53\r\n\r\n"
  R"({"running": 0, "waiting": 0, "slots": 4, "age_ms": 0})";

AgentSettings
MakeAgentSettings(std::uint16_t aUpstreamPort)
{
  AgentSettings settings;
  settings.m_node.m_vm = "teesheet-1";
  settings.m_node.m_place = "kingston";
  settings.m_node.m_rpc = { "127.0.0.1", 0 };
  settings.m_node.m_http = { "127.0.0.1", 0 };
  settings.m_platform.m_url =
    "http://127.0.0.1:" + std::to_string(UnusedPort());
  settings.m_upstream.m_service = "teesheet";
  settings.m_upstream.m_url =
    "http://127.0.0.1:" + std::to_string(aUpstreamPort);
  settings.m_upstream.m_loadPeriod = milliseconds(1);
  return settings;
}

// Ends an agent whose upstream has answered one poll and not yet the next, so
// that the end of the agent's HTTP client changes the upstream's state.
void
EndAgentDuringPoll()
{
  std::atomic<int> polls{ 0 };
  const RawServer upstream([&](RawSocket& aSocket, int) {
    while (!aSocket.ReadUntil("\r\n\r\n").empty()) {
      if (++polls == 1) {
        aSocket.Send(kLoad);
      }
    }
  });
  {
    const AgentNode agent(MakeAgentSettings(upstream.Port()));
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (polls < 2 && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  _exit(polls < 2 ? 1 : 0);
}

TEST(RoleShutdownDeathTest, AgentWithPollInProgressEndsCleanly)
{
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  EXPECT_EXIT(EndAgentDuringPoll(), testing::ExitedWithCode(0), "");
}

TEST(HttpClientStop, EndsRequestsInProgressAndDropsLaterOnes)
{
  const RawServer silent([](RawSocket& aSocket, int) { aSocket.ReadAll(); });
  HttpClientRequest request;
  request.m_url = "http://127.0.0.1:" + std::to_string(silent.Port());
  std::atomic<int> ended{ 0 };
  HttpClient client;
  client.Start(request, [&](const HttpReply& aReply) {
    EXPECT_NE(aReply.m_outcome, HttpOutcome::Answered);
    // As of a caller that tries again.
    client.Start(request, [&](const HttpReply&) { ++ended; });
    ++ended;
  });
  client.Stop();
  EXPECT_EQ(ended, 2);
  client.Start(request, [&](const HttpReply&) { ++ended; });
  client.Stop();
  EXPECT_EQ(ended, 2);
}

} // namespace
} // namespace siskindeal

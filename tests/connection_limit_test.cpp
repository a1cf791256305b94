// Tests requests before runners that accept few connections and reset others.

#include "support/gateway_fixture.h"
#include "support/threaded_server.h"

#include <gtest/gtest.h>

#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

std::string
IdOf(const std::string& aRequest)
{
  constexpr std::string_view kName = "X-Siskindeal-Attempt-Id: ";
  const auto at = aRequest.find(kName);
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + kName.size();
  return aRequest.substr(begin, aRequest.find('\r', begin) - begin);
}

class ConnectionLimitTest : public GatewayTest
{
protected:
  // Both routes lead to the runner.
  void StartWithRunner(int aMaxConnections)
  {
    m_maxConnections = aMaxConnections;
    m_server = std::make_unique<ThreadedServer>(
      [this](RawSocket aSocket, int, std::uint64_t) {
        ++m_open;
        if (IsWithinLimit()) {
          Serve(aSocket);
        } else {
          ++m_resets;
          aSocket.Reset();
        }
        --m_open;
      });
    m_site.Put("servers",
               "i-1",
               { { "service", "get" },
                 { "address", m_server->ListenAddress().ToString() },
                 { "state", "ready" } });
    nlohmann::json config = ConfigJson(2);
    for (nlohmann::json& route : config["routes"]) {
      route["service"] = "get";
    }
    m_site.Put("config", "main", config);
    StartAndAwaitReady();
  }

  // Allows for closes that other threads haven't read yet.
  bool IsWithinLimit() const
  {
    constexpr milliseconds kCloseLag{ 1000 }; // below the idle limit
    const auto end = std::chrono::steady_clock::now() + kCloseLag;
    while (m_open > m_maxConnections) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
  }

  void Serve(RawSocket& aSocket)
  {
    while (!m_stopping) {
      if (!aSocket.HasInput(milliseconds(10))) {
        continue;
      }
      const std::string id = IdOf(aSocket.ReadUntil("\r\n\r\n"));
      if (id.empty()) {
        return;
      }
      std::this_thread::sleep_for(milliseconds(100));
      aSocket.Send("HTTP/1.1 200 OK\r\nX-Siskindeal-Attempt-Id: " + id +
                   "\r\nX-Siskindeal-Runner-Signature: s\r\n"
                   "Content-Length: 3\r\n\r\nrun");
    }
  }

  void TearDown() override
  {
    GatewayTest::TearDown();
    m_stopping = true;
    m_server.reset();
  }

  int m_maxConnections = 0;
  std::atomic<bool> m_stopping = false;
  std::atomic<int> m_open = 0;
  std::atomic<int> m_resets = 0;
  std::unique_ptr<ThreadedServer> m_server;
};

// A connection that is reset after its request was sent counts as possibly run.
TEST_F(ConnectionLimitTest, IdleConnectionsMakeRoomForRequestsThatRunOnce)
{
  constexpr int kLimit = 6;
  constexpr int kBookings = 8;
  StartWithRunner(kLimit);
  std::vector<std::thread> callers;
  callers.reserve(kLimit);
  for (int i = 0; i < kLimit; ++i) {
    callers.emplace_back([this] { SendRequest(Request("GET", "/get/a")); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  int served = 0;
  for (int i = 0; i < kBookings; ++i) {
    const std::string answer = SendRequest(Request("POST", "/post/a"));
    served += answer.find(" 200 ") == 8U ? 1 : 0;
  }
  EXPECT_EQ(served, kBookings);
  EXPECT_EQ(m_resets, 0);
}

} // namespace

} // namespace siskindeal

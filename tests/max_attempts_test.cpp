// Tests how many runners may run a request that fails again and again.

#include "support/gateway_fixture.h"

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr int kRunners = 4; // RouteJson allows two attempts

class MaxAttemptsTest : public GatewayTest
{
protected:
  // Begins a stream, or goes on with it, by one event.
  void SendNextEvent(const std::shared_ptr<ServerConnection>& aConnection)
  {
    aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
    aConnection->SendPart("id: " + std::to_string(++m_runs) + "\ndata: x\n\n");
  }

  // Waits until a runner's crash is known, then breaks the stream off.
  void BreakOffAfterCrash(const std::shared_ptr<ServerConnection>& aConnection)
  {
    m_timer.expires_after(milliseconds(20));
    m_timer.async_wait([this, aConnection](const NetError& aError) {
      if (aError) {
        return;
      }
      if (!m_crashIsKnown) {
        BreakOffAfterCrash(aConnection);
        return;
      }
      aConnection->AbortResponse();
    });
  }

  bool CountsCrash()
  {
    RawSocket socket(m_gateway->AdminPort());
    socket.Send(
      "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return socket.ReadAll().find("siskindeal_gateway_runner_crashes_total 1") !=
           std::string::npos;
  }

  std::atomic<int> m_runs = 0; // and rejections
  std::atomic<bool> m_crashIsKnown = false;
  Timer m_timer{ m_site.m_loop };
};

// The gateways that share the slack aren't known before their list is read.
TEST_F(MaxAttemptsTest, SlackIsNotUsedWithoutTheListOfGateways)
{
  m_site.SilenceKind("gateways");
  for (int i = 1; i <= kRunners; ++i) {
    m_site.AddRunner("i-" + std::to_string(i), "chat", [&](const auto& aCall) {
      ++m_runs;
      RejectNotExecuted(aCall);
    });
  }
  StartAndAwaitReady();
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == kRunners; }));
  // The gateways are counted once a second.
  std::this_thread::sleep_for(milliseconds(1500));
  const std::string answer = SendRequest(Request("POST", "/chat/a"));
  EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
  EXPECT_EQ(m_runs, 1);
}

TEST_F(MaxAttemptsTest, StreamThatBreaksOffAgainAndAgainKeepsToMaxAttempts)
{
  for (int i = 1; i <= kRunners; ++i) {
    m_site.AddRunner(
      "i-" + std::to_string(i), "chat", [&](const auto& aStream) {
        SendNextEvent(aStream);
        aStream->AbortResponse();
      });
  }
  StartAndAwaitReady();
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == kRunners; }));
  SendRequest(Request("POST", "/chat/a"));
  EXPECT_EQ(m_runs, 2);
}

TEST_F(MaxAttemptsTest, RunnerThatHasEndedIsNotCounted)
{
  std::vector<Address> addresses;
  addresses.reserve(kRunners);
  for (int i = 0; i < kRunners; ++i) {
    addresses.push_back(m_site.AddRunner(
      "i-" + std::to_string(i), "chat", [&, i](const auto& aStream) {
        SendNextEvent(aStream);
        if (m_runs == 1) {
          m_site.CrashRunner(addresses[static_cast<std::size_t>(i)]);
        } else if (m_runs == 2) {
          BreakOffAfterCrash(aStream);
        } else {
          aStream->SendEnd();
        }
      }));
  }
  StartAndAwaitReady();
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == kRunners; }));
  RawSocket caller(m_gateway->CallersPort());
  caller.Send(Request("POST", "/chat/a"));
  EXPECT_TRUE(Eventually([&] { return CountsCrash(); }));
  m_crashIsKnown = true;
  const std::string answer = caller.ReadAll();
  EXPECT_EQ(m_runs, 3);
  EXPECT_NE(answer.find("id: 3\n"), std::string::npos) << answer;
}

} // namespace

} // namespace siskindeal

// Tests when the HTTP server ends a caller's connection, and what the caller
// gets. The loop runs only in Turn, so that each order of events is certain.

#include "net/http_server_p.h"
#include "siskindeal/metrics.h"
#include "support/raw_socket.h"

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortTimeout{ 50 };
constexpr milliseconds kLongTimeout{ 60000 };
constexpr std::size_t kMoreThanSocketBuffers = 32 << 20;
const std::string kRequest = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string kPost =
  "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n";

class ServerConnectionTest : public testing::Test
{
protected:
  ServerConnectionTest()
  {
    m_listener.m_limits.m_idleTimeout = kLongTimeout;
    m_listener.m_limits.m_headerTimeout = kLongTimeout;
  }

  ~ServerConnectionTest() override
  {
    m_listener.Stop();
    m_listener.CloseAll();
    Turn();
  }

  // Runs all handlers that are ready.
  void Turn()
  {
    m_loop.restart();
    m_loop.poll();
  }

  // The loop runs nothing until the short timeout has passed.
  static void Stall()
  {
    std::this_thread::sleep_for(kShortTimeout + milliseconds(10));
  }

  RawSocket Connect()
  {
    RawSocket socket(m_listener.Port());
    Turn();
    return socket;
  }

  std::string Exchange(RawSocket& aSocket, const std::string& aBytes)
  {
    aSocket.Send(aBytes);
    Turn();
    return aSocket.ReadUntil("\r\n\r\n");
  }

  void Respond(const std::shared_ptr<ServerConnection>& aConnection)
  {
    m_requests.push_back(aConnection);
    if (m_respond) {
      aConnection->SendResponse(200, {}, {}, m_body);
    }
  }

  // Returns how many bytes of the response's body the caller gets.
  std::size_t ReadBody(RawSocket& aSocket)
  {
    auto size = std::async(std::launch::async, [&] {
      const std::string head = aSocket.ReadUntil("\r\n\r\n");
      std::size_t received = head.size() - head.find("\r\n\r\n") - 4;
      while (received < m_body.size()) {
        const std::size_t more = aSocket.ReadUntil("b").size();
        if (more == 0) {
          break;
        }
        received += more;
      }
      return received;
    });
    while (size.wait_for(milliseconds(1)) != std::future_status::ready) {
      Turn();
    }
    return size.get();
  }

  static bool IsCounted(const std::string& aReason,
                        const std::string& aUnfinished)
  {
    return MetricsText().find(
             "siskindeal_http_connections_ended_total{reason=\"" + aReason +
             "\",unfinished=\"" + aUnfinished + "\"}") != std::string::npos;
  }

  Loop m_loop{ 1 };
  bool m_respond = true;
  std::string m_body;
  std::vector<std::shared_ptr<ServerConnection>> m_requests;
  HttpListener m_listener{ m_loop,
                           { "127.0.0.1", 0 },
                           [this](const auto& aConnection) {
                             Respond(aConnection);
                           } };
};

TEST_F(ServerConnectionTest, EndOfUnfinishedRequestIsCountedByReason)
{
  m_respond = false;
  {
    RawSocket leaving = Connect();
    leaving.Send("GET /a");
  }
  Turn();
  EXPECT_TRUE(IsCounted("closed by caller", "request head"));

  RawSocket resetting = Connect();
  resetting.Send(kPost);
  Turn();
  resetting.Reset();
  Turn();
  EXPECT_TRUE(IsCounted("reset by caller", "request body"));

  RawSocket aborted = Connect();
  aborted.Send(kRequest);
  Turn();
  ASSERT_EQ(m_requests.size(), 1U);
  m_requests[0]->AbortResponse();
  EXPECT_TRUE(IsCounted("response aborted", "response"));

  RawSocket cutOff = Connect();
  cutOff.Send(kRequest);
  Turn();
  m_listener.RecordShutdown();
  EXPECT_TRUE(IsCounted("shutdown", "response"));

  m_listener.m_limits.m_headerTimeout = kShortTimeout;
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  RawSocket slowHead = Connect();
  slowHead.Send("GET /a");
  RawSocket slowBody = Connect();
  slowBody.Send(kPost);
  Turn();
  Stall();
  Turn();
  EXPECT_TRUE(IsCounted("timeout in head", "request head"));
  EXPECT_TRUE(IsCounted("timeout in body", "request body"));

  m_listener.m_maxConnections = 0;
  Connect();
  EXPECT_TRUE(IsCounted("too many connections", "connection"));
}

TEST_F(ServerConnectionTest, PartialHeadSurvivesQueuedIdleTimeout)
{
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  RawSocket socket = Connect();
  Stall();
  socket.Send(kRequest.substr(0, 9));
  Turn();
  EXPECT_EQ(Exchange(socket, kRequest.substr(9)).substr(9, 3), "200");
}

TEST_F(ServerConnectionTest, NoSecondResponseFromQueuedHeadTimeout)
{
  m_listener.m_limits.m_headerTimeout = kShortTimeout;
  RawSocket socket = Connect();
  socket.Send(kRequest.substr(0, 9));
  Turn();
  Stall();
  socket.Send(kRequest.substr(9));
  Turn();
  EXPECT_EQ(Exchange(socket, kRequest).substr(9, 3), "200");
  EXPECT_EQ(m_requests.size(), 2U);
}

TEST_F(ServerConnectionTest, LongBodySurvivesQueuedBodyTimeout)
{
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  constexpr std::size_t kSeveralReads = 200 << 10;
  RawSocket socket = Connect();
  socket.Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
              std::to_string(kSeveralReads) + "\r\n\r\n");
  Turn();
  Stall();
  EXPECT_EQ(Exchange(socket, std::string(kSeveralReads, 'b')).substr(9, 3),
            "200");
}

// Bytes that arrive after the loop has collected the due timers and before it
// runs the server's.
class LateInputTest : public ServerConnectionTest
{
protected:
  std::string ExchangeBeforeTimeout(RawSocket& aSocket,
                                    const std::string& aBytes)
  {
    Timer earlier(m_loop, LoopNow() - milliseconds(1000));
    earlier.async_wait([&](const NetError&) { aSocket.Send(aBytes); });
    Stall();
    Turn();
    return aSocket.ReadUntil("\r\n\r\n");
  }
};

TEST_F(LateInputTest, RequestInSocketIsReadBeforeIdleTimeout)
{
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  RawSocket socket = Connect();
  EXPECT_NE(ExchangeBeforeTimeout(socket, kRequest).find(" 200 "),
            std::string::npos);
}

TEST_F(LateInputTest, RestOfHeadInSocketIsReadBeforeTimeout)
{
  m_listener.m_limits.m_headerTimeout = kShortTimeout;
  RawSocket socket = Connect();
  socket.Send(kRequest.substr(0, 9));
  Turn();
  EXPECT_NE(ExchangeBeforeTimeout(socket, kRequest.substr(9)).find(" 200 "),
            std::string::npos);
}

TEST_F(LateInputTest, RestOfBodyInSocketIsReadBeforeTimeout)
{
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  RawSocket socket = Connect();
  socket.Send(kPost + "ab");
  Turn();
  EXPECT_NE(ExchangeBeforeTimeout(socket, "cd").find(" 200 "),
            std::string::npos);
}

TEST_F(ServerConnectionTest, LongerIdleTimeoutHoldsForIdleConnections)
{
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  RawSocket fresh = Connect();
  RawSocket used = Connect();
  Exchange(used, kRequest);
  m_listener.m_limits.m_idleTimeout = kLongTimeout;
  Stall();
  Turn();
  EXPECT_NE(Exchange(fresh, kRequest).find(" 200 "), std::string::npos);
  EXPECT_NE(Exchange(used, kRequest).find(" 200 "), std::string::npos);
}

TEST_F(ServerConnectionTest, LongerTimeoutsHoldForRequestsInArrival)
{
  m_listener.m_limits.m_headerTimeout = kShortTimeout;
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  RawSocket inHead = Connect();
  inHead.Send(kRequest.substr(0, 9));
  RawSocket inBody = Connect();
  inBody.Send(kPost + "ab");
  Turn();
  m_listener.m_limits.m_headerTimeout = kLongTimeout;
  m_listener.m_limits.m_idleTimeout = kLongTimeout;
  Stall();
  Turn();
  EXPECT_NE(Exchange(inHead, kRequest.substr(9)).find(" 200 "),
            std::string::npos);
  EXPECT_NE(Exchange(inBody, "cd").find(" 200 "), std::string::npos);
}

TEST_F(ServerConnectionTest, IdleConnectionStillEndsAfterItsTimeoutGrew)
{
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  RawSocket socket = Connect();
  m_listener.m_limits.m_idleTimeout = kShortTimeout * 2;
  Stall();
  Turn();
  Stall();
  Turn();
  EXPECT_EQ(m_listener.Connections(), 0U);
}

TEST_F(ServerConnectionTest, ResponseIsCompleteDespiteQueuedIdleTimeout)
{
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  m_body.assign(kMoreThanSocketBuffers, 'b');
  RawSocket socket = Connect();
  Stall();
  socket.Send(kRequest);
  Turn();
  EXPECT_EQ(ReadBody(socket), m_body.size());
}

TEST_F(ServerConnectionTest, ResponseIsCompleteDespiteQueuedHeadTimeout)
{
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  m_listener.m_limits.m_headerTimeout = kShortTimeout;
  m_body.assign(kMoreThanSocketBuffers, 'b');
  RawSocket socket = Connect();
  socket.Send(kRequest.substr(0, 9));
  Turn();
  Stall();
  socket.Send(kRequest.substr(9));
  Turn();
  EXPECT_EQ(ReadBody(socket), m_body.size());
}

TEST_F(ServerConnectionTest, ResponseIsCompleteForReaderSlowerThanIdleTimeout)
{
  m_listener.m_limits.m_idleTimeout = kShortTimeout;
  m_body.assign(kMoreThanSocketBuffers, 'b');
  RawSocket socket = Connect();
  socket.Send(kRequest);
  Turn();
  Stall();
  Turn();
  EXPECT_EQ(ReadBody(socket), m_body.size());
  Turn();
  Stall();
  Turn();
  EXPECT_EQ(m_listener.Connections(), 0U);
}

TEST_F(ServerConnectionTest, RequestInSocketIsServedWhenIdleConnectionsClose)
{
  RawSocket socket = Connect();
  Exchange(socket, kRequest);
  m_listener.m_minIdleTime = milliseconds(0);
  socket.Send(kRequest);
  m_listener.Stop();
  m_listener.CloseIdle();
  Turn();
  const std::string response = socket.ReadAll();
  EXPECT_NE(response.find(" 200 "), std::string::npos);
  EXPECT_NE(response.find("Connection: close"), std::string::npos);
}

TEST_F(ServerConnectionTest, RequestAfterCloseOfIdleConnectionIsNotRead)
{
  RawSocket socket = Connect();
  Exchange(socket, kRequest);
  m_listener.m_minIdleTime = milliseconds(0);
  m_listener.Stop();
  m_listener.CloseIdle();
  Turn();
  socket.Send(kRequest);
  Turn();
  // The reset tells the caller so.
  EXPECT_FALSE(socket.Send(kRequest));
  EXPECT_EQ(m_requests.size(), 1U);
}

TEST_F(ServerConnectionTest, ConnectionUsedJustNowStaysOpenForNextRequest)
{
  RawSocket socket = Connect();
  Exchange(socket, kRequest);
  m_listener.m_minIdleTime = kLongTimeout;
  m_listener.Stop();
  m_listener.CloseIdle();
  Turn();
  EXPECT_NE(Exchange(socket, kRequest).find(" 200 "), std::string::npos);
}

TEST_F(ServerConnectionTest, PipelinedRequestsAreServedBeforeAnnouncedClose)
{
  RawSocket socket = Connect();
  m_listener.AnnounceClose();
  socket.Send(kRequest + kRequest);
  Turn();
  const std::string responses = socket.ReadAll();
  EXPECT_EQ(m_requests.size(), 2U);
  EXPECT_EQ(responses.find("Connection: close"),
            responses.rfind("Connection: close"));
  EXPECT_GT(responses.find("Connection: close"), responses.rfind(" 200 "));
}

TEST(ServerConnection, RequestOfACallerThatHasLeftIsNotHandled)
{
  Loop loop;
  int handled = 0;
  HttpListener listener(loop, { "127.0.0.1", 0 }, [&](const auto& aConnection) {
    ++handled;
    aConnection->SendResponse(200, {}, {}, "");
    loop.stop();
  });
  {
    RawSocket caller(listener.Port());
    caller.Send("GET /gone HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  loop.run_for(std::chrono::milliseconds(200));
  EXPECT_EQ(handled, 0);
  loop.restart();
  RawSocket caller(listener.Port());
  caller.Send("GET /here HTTP/1.1\r\nHost: x\r\n\r\n");
  loop.run_for(std::chrono::seconds(10));
  EXPECT_EQ(handled, 1);
}

} // namespace
} // namespace siskindeal

// Tests calls with a buffered response: slow, stalled and unconnected servers.

#include "net/http_connection_p.h"
#include "support/copying_server.h"
#include "support/raw_socket.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <string>
#include <thread>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr int kParts = 6;
constexpr milliseconds kTimeout{ 1000 };

// Calls a server that sends its response in parts, one each aPause, as over a
// saturated link.
BufferedResponse
CallSlowServer(milliseconds aPause, int aPartsSent)
{
  const RawServer server([&](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(kParts) + "\r\n\r\n");
    for (int i = 0; i < aPartsSent; ++i) {
      aSocket.Send("x");
      std::this_thread::sleep_for(aPause);
    }
    aSocket.ReadAll(); // until the client closes
  });
  Loop loop{ 1 };
  BufferedResponse answer;
  CallBuffered(loop,
               std::make_shared<ConnectionPool>(loop),
               { "127.0.0.1", server.Port() },
               "GET",
               "/",
               {},
               kTimeout,
               [&](BufferedResponse aAnswer) {
                 answer = std::move(aAnswer);
                 loop.stop(); // the idle connection would keep it running
               });
  loop.run();
  return answer;
}

TEST(BufferedCall, ResponseThatKeepsArrivingMayExceedTheTimeout)
{
  const BufferedResponse answer =
    CallSlowServer(kTimeout / (kParts - 2), kParts);
  EXPECT_EQ(answer.m_status, 200) << answer.m_failure;
  EXPECT_EQ(answer.m_body, std::string(kParts, 'x'));
}

TEST(BufferedCall, StalledResponseTimesOut)
{
  const BufferedResponse answer = CallSlowServer(milliseconds(1), kParts - 1);
  EXPECT_EQ(answer.m_status, 0);
  EXPECT_EQ(answer.m_failure, "response timed out");
}

// A listener that accepts no connection: its backlog is full.
class FullListener
{
public:
  FullListener()
    : m_acceptor(m_loop)
  {
    m_acceptor.open(Tcp::v4());
    m_acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
    m_acceptor.listen(0);
    for (int i = 0; i < kPending; ++i) {
      m_pending.emplace_back(m_loop);
      m_pending.back().async_connect(m_acceptor.local_endpoint(),
                                     [](const NetError&) {});
    }
  }

  Address ListenAddress() const
  {
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
  }

private:
  static constexpr int kPending = 8; // more than the backlog holds
  Loop m_loop{ 1 };
  Tcp::acceptor m_acceptor;
  std::deque<Tcp::socket> m_pending;
};

TEST(BufferedCall, ConnectTimeoutIsShorterThanCallTimeout)
{
  const FullListener full;
  Loop loop{ 1 };
  BufferedResponse answer;
  CallBuffered(loop,
               std::make_shared<ConnectionPool>(loop),
               full.ListenAddress(),
               "GET",
               "/",
               {},
               milliseconds(3000),
               [&](BufferedResponse aAnswer) {
                 answer = std::move(aAnswer);
                 loop.stop();
               });
  loop.run();
  EXPECT_EQ(answer.m_failure, "connect timed out");
}

TEST(BufferedCall, ResponseWithoutAnEndIsCutOff)
{
  constexpr std::size_t kMaxSent = 64 << 20; // with the connection's buffers
  const std::string noise(16 << 10, 'x');
  std::atomic<std::size_t> sent = 0;
  const RawServer server([&](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send("HTTP/1.1 200 OK\r\n\r\n");
    while (sent < kMaxSent && aSocket.Send(noise)) {
      sent += noise.size();
    }
  });
  Loop loop{ 1 };
  std::string failure;
  CallBuffered(loop,
               std::make_shared<ConnectionPool>(loop),
               { "127.0.0.1", server.Port() },
               "GET",
               "/",
               {},
               std::chrono::seconds(20),
               [&](const BufferedResponse& aAnswer) {
                 failure = aAnswer.m_failure;
                 loop.stop();
               });
  loop.run();
  EXPECT_EQ(failure, "response too large");
  EXPECT_LT(sent, kMaxSent);
}

BufferedResponse
RunCall(Loop& aLoop,
        const std::shared_ptr<ConnectionPool>& aPool,
        const CopyingServer& aServer,
        std::string_view aMethod)
{
  BufferedResponse answer;
  CallBuffered(aLoop,
               aPool,
               aServer.ListenAddress(),
               aMethod,
               "/",
               {},
               milliseconds(3000),
               [&](BufferedResponse aAnswer) {
                 answer = std::move(aAnswer);
                 aLoop.stop();
               });
  aLoop.restart();
  aLoop.run();
  return answer;
}

TEST(BufferedCall, CopyOfARefusalDoesNotAnswerTheOrderAfterIt)
{
  for (const std::string_view first : { "GET", "POST", "PUT" }) {
    for (std::size_t copied = 1; copied <= CopyingServer::kRefusal.size();
         ++copied) {
      SCOPED_TRACE(std::string(first) + ", bytes " + std::to_string(copied));
      CopyingServer server(copied);
      Loop loop{ 1 };
      const auto pool = std::make_shared<ConnectionPool>(loop);
      EXPECT_EQ(RunCall(loop, pool, server, first).m_status, 503);
      const BufferedResponse answer = RunCall(loop, pool, server, "POST");
      EXPECT_EQ(answer.m_status, 200) << answer.m_failure;
      EXPECT_EQ(answer.m_body, CopyingServer::kAnswerBody);
    }
  }
}

TEST(BufferedCall, OrdersShareNoConnectionAndReadsStillDo)
{
  constexpr int kCalls = 3;
  CopyingServer server(0);
  Loop loop{ 1 };
  const auto pool = std::make_shared<ConnectionPool>(loop);
  for (int i = 0; i < kCalls; ++i) {
    RunCall(loop, pool, server, "GET");
    RunCall(loop, pool, server, "POST");
  }
  EXPECT_EQ(server.Connections(), 1U + kCalls);
}

} // namespace

} // namespace siskindeal

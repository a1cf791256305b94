// Calls whose whole answer is handed over at once.

#include "net/http_connection_p.h"
#include "support/raw_socket.h"

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <string>
#include <thread>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr int kParts = 6;
constexpr milliseconds kTimeout{ 1000 };

// An answer in parts, one each aPause, as over a full link.
WholeAnswer
AskSlowServer(milliseconds aPause, int aPartsSent)
{
  const RawServer server([&](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(kParts) + "\r\n\r\n");
    for (int i = 0; i < aPartsSent; ++i) {
      aSocket.Send("x");
      std::this_thread::sleep_for(aPause);
    }
    aSocket.ReadAll(); // until the caller leaves
  });
  Loop loop{ 1 };
  WholeAnswer answer;
  CallWhole(loop,
            std::make_shared<ConnectionPool>(loop),
            { "127.0.0.1", server.Port() },
            "GET",
            "/",
            {},
            kTimeout,
            [&](WholeAnswer aAnswer) {
              answer = std::move(aAnswer);
              loop.stop(); // the kept connection would go on
            });
  loop.run();
  return answer;
}

TEST(CallWhole, AnAnswerThatGoesOnArrivingMayTakeLongerThanItsTimeout)
{
  const WholeAnswer answer = AskSlowServer(kTimeout / (kParts - 2), kParts);
  EXPECT_EQ(answer.m_status, 200) << answer.m_failure;
  EXPECT_EQ(answer.m_body, std::string(kParts, 'x'));
}

TEST(CallWhole, AnAnswerThatStopsArrivingFails)
{
  const WholeAnswer answer = AskSlowServer(milliseconds(1), kParts - 1);
  EXPECT_EQ(answer.m_status, 0);
  EXPECT_EQ(answer.m_failure, "no answer in time");
}

// A machine that takes no packets: its queue of connections is full.
class FullListener
{
public:
  FullListener()
    : m_acceptor(m_loop)
  {
    m_acceptor.open(Tcp::v4());
    m_acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
    m_acceptor.listen(0);
    for (int i = 0; i < kMore; ++i) {
      m_waiting.emplace_back(m_loop);
      m_waiting.back().async_connect(m_acceptor.local_endpoint(),
                                     [](const NetError&) {});
    }
  }

  Address Where() const
  {
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
  }

private:
  static constexpr int kMore = 8; // than its queue holds
  Loop m_loop{ 1 };
  Tcp::acceptor m_acceptor;
  std::deque<Tcp::socket> m_waiting;
};

TEST(CallWhole, AConnectionIsNotWaitedForAsLongAsAnAnswer)
{
  const FullListener full;
  Loop loop{ 1 };
  WholeAnswer answer;
  CallWhole(loop,
            std::make_shared<ConnectionPool>(loop),
            full.Where(),
            "GET",
            "/",
            {},
            milliseconds(3000),
            [&](WholeAnswer aAnswer) {
              answer = std::move(aAnswer);
              loop.stop();
            });
  loop.run();
  EXPECT_EQ(answer.m_failure, "no connection in time");
}

} // namespace

} // namespace siskindeal

// Calls whose whole answer is handed over at once.

#include "net/http_connection_p.h"
#include "support/raw_socket.h"

#include <gtest/gtest.h>

#include <chrono>
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

} // namespace

} // namespace siskindeal

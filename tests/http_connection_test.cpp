// Tests the HTTP client's connections.

#include "net/http_connection_p.h"
#include "net/http_server_p.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

TEST(HttpConnection, ConnectionPausedAtTheEndOfACallReadsTheNextResponse)
{
  Loop loop;
  HttpListener listener(loop, { "127.0.0.1", 0 }, [](const auto& aConnection) {
    aConnection->SendResponse(200, {}, {}, "ok");
  });
  const Address address{ "127.0.0.1", listener.Port() };
  const auto pool = std::make_shared<ConnectionPool>(loop);
  OutgoingCall call;
  call.m_head = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  int ended = 0;
  const auto connection = pool->Acquire(address);
  const auto onSecond = [&](const CallEvent& aEvent) {
    ended += std::holds_alternative<ResponseEnd>(aEvent) ? 1 : 0;
    loop.stop();
  };
  const auto onFirst = [&](const CallEvent& aEvent) {
    if (std::holds_alternative<ResponseBodyPart>(aEvent)) {
      connection->PauseReading(true);
    }
    if (!std::holds_alternative<ResponseEnd>(aEvent)) {
      return;
    }
    ++ended;
    pool->Release(address, connection);
    boost::asio::post(loop, [&] {
      ASSERT_EQ(pool->Acquire(address), connection);
      connection->Begin(call, milliseconds(400), onSecond);
    });
  };
  connection->Begin(call, milliseconds(400), onFirst);
  loop.run_for(std::chrono::seconds(10));
  EXPECT_EQ(ended, 2);
  connection->Abort();
}

} // namespace

} // namespace siskindeal

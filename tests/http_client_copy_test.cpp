// Tests what the HTTP client does with a response that a server writes twice.

#include "support/http_server.h"
#include "support/raw_socket.h"

#include <gtest/gtest.h>

#include <future>

namespace siskindeal {

namespace {

TEST(HttpClientCopy, CopyOnAnIdleConnectionDoesNotAnswerTheNextRequest)
{
  constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
  std::promise<void> sendCopy;
  std::promise<void> copySent;
  const RawServer server([&](RawSocket& aSocket, int aNumber) {
    aSocket.ReadUntil("\r\n\r\n");
    if (aNumber > 0) {
      aSocket.Send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
      return;
    }
    aSocket.Send(kRefusal);
    sendCopy.get_future().wait();
    aSocket.Send(kRefusal);
    aSocket.AwaitAcknowledged();
    copySent.set_value();
    EXPECT_EQ(aSocket.ReadAll(), "");
  });
  HttpClient client;
  const std::string url =
    "http://127.0.0.1:" + std::to_string(server.Port()) + "/";
  EXPECT_EQ(client.Fetch({ "POST", url }).m_status, 503);
  sendCopy.set_value();
  copySent.get_future().wait();
  EXPECT_NE(client.Fetch({ "POST", url }).m_status, 503);
}

} // namespace

} // namespace siskindeal

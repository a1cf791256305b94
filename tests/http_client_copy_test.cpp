// Tests what the HTTP client does with a response that a server writes twice.

#include "siskindeal/http.h"
#include "support/copying_server.h"
#include "support/raw_socket.h"

#include <gtest/gtest.h>

#include <future>
#include <string>

namespace siskindeal {

namespace {

std::string
UrlOf(const CopyingServer& aServer)
{
  return "http://" + aServer.ListenAddress().ToString() + "/";
}

void
ExpectOwnAnswer(const HttpReply& aReply)
{
  EXPECT_EQ(aReply.m_outcome, HttpOutcome::Answered) << aReply.m_error;
  EXPECT_EQ(aReply.m_status, 200);
  EXPECT_EQ(aReply.m_body, CopyingServer::kAnswerBody);
}

TEST(HttpClientCopy, CopyOfARefusalDoesNotAnswerTheUnsafeRequestAfterIt)
{
  for (const std::string method : { "POST", "PUT", "DELETE" }) {
    for (std::size_t copied = 1; copied <= CopyingServer::kRefusal.size();
         ++copied) {
      SCOPED_TRACE(method + ", bytes " + std::to_string(copied));
      CopyingServer server(copied);
      HttpClient client;
      EXPECT_EQ(client.Fetch({ method, UrlOf(server) }).m_status, 503);
      ExpectOwnAnswer(client.Fetch({ method, UrlOf(server) }));
    }
  }
}

TEST(HttpClientCopy, CopyOfAReadDoesNotAnswerTheUnsafeRequestAfterIt)
{
  for (std::size_t copied = 1; copied <= CopyingServer::kRefusal.size();
       ++copied) {
    SCOPED_TRACE("bytes " + std::to_string(copied));
    CopyingServer server(copied);
    HttpClient client;
    EXPECT_EQ(client.Fetch({ "GET", UrlOf(server) }).m_status, 503);
    ExpectOwnAnswer(client.Fetch({ "POST", UrlOf(server) }));
  }
}

TEST(HttpClientCopy, UnsafeRequestsShareNoConnectionAndReadsStillDo)
{
  constexpr int kCalls = 3;
  CopyingServer server(0);
  HttpClient client;
  for (int i = 0; i < kCalls; ++i) {
    client.Fetch({ "GET", UrlOf(server) });
    client.Fetch({ "POST", UrlOf(server) });
  }
  EXPECT_EQ(server.Connections(), 1U + kCalls);
}

TEST(HttpClientCopy, CopyOnAnIdleConnectionDoesNotAnswerTheNextRequest)
{
  for (const std::string method : { "POST", "GET" }) {
    SCOPED_TRACE(method);
    std::promise<void> sendCopy;
    std::promise<void> copySent;
    const ThreadedServer server(
      [&](RawSocket aSocket, int, std::uint64_t aNumber) {
        aSocket.ReadUntil("\r\n\r\n");
        if (aNumber > 0) {
          aSocket.Send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
          return;
        }
        aSocket.Send(CopyingServer::kRefusal);
        sendCopy.get_future().wait();
        aSocket.Send(CopyingServer::kRefusal);
        aSocket.AwaitAcknowledged();
        copySent.set_value();
        EXPECT_EQ(aSocket.ReadAll(), "");
      });
    HttpClient client;
    const std::string url = "http://" + server.ListenAddress().ToString() + "/";
    EXPECT_EQ(client.Fetch({ "GET", url }).m_status, 503);
    sendCopy.set_value();
    copySent.get_future().wait();
    EXPECT_EQ(client.Fetch({ method, url }).m_status, 200);
  }
}

} // namespace

} // namespace siskindeal

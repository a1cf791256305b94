// Tests the HTTP client's connections.

#include "net/http_connection_p.h"
#include "net/http_server_p.h"
#include "net/memory_budget_p.h"
#include "support/raw_socket.h"

#include <absl/cleanup/cleanup.h>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

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

// What the send buffer holds would reach the peer after the caller has left.
TEST(HttpConnection, UnsentBytesOfAnAbortedCallAreNotDelivered)
{
  Loop loop;
  std::promise<void> headRead;
  std::promise<void> aborted;
  std::atomic<bool> wasReset = false;
  {
    const RawServer server([&](RawSocket& aSocket, int) {
      aSocket.ReadUntil("\r\n\r\n");
      headRead.set_value();
      aborted.get_future().wait();
      aSocket.ReadAll();
      wasReset = aSocket.WasReset();
    });
    OutgoingCall call;
    call.m_body = std::string(64 << 20, 'x'); // more than both buffers hold
    call.m_head = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                  std::to_string(call.m_body.size()) + "\r\n\r\n";
    const auto pool = std::make_shared<ConnectionPool>(loop);
    const auto connection = pool->Acquire({ "127.0.0.1", server.Port() });
    connection->Begin(std::move(call), milliseconds(400), [](const auto&) {});
    auto read = headRead.get_future();
    while (read.wait_for(milliseconds(0)) != std::future_status::ready) {
      loop.run_for(milliseconds(5));
    }
    connection->Abort();
    aborted.set_value();
  }
  EXPECT_TRUE(wasReset);
}

// Guards against an order that is sent after a pause, on what was known before.
TEST(HttpConnection, CallThatExpiresBeforeItsConnectionIsOpenIsNotSent)
{
  for (const milliseconds left : { milliseconds(60000), milliseconds(-1) }) {
    Loop loop;
    std::atomic<int> requests = 0;
    std::optional<CallFailure> failure;
    {
      const RawServer server([&](RawSocket& aSocket, int) {
        requests += aSocket.ReadUntil("\r\n\r\n").empty() ? 0 : 1;
        aSocket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      });
      OutgoingCall call;
      call.m_head = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
      call.m_sendBefore = BootTime() + left;
      const auto connection = std::make_shared<HttpConnection>(
        loop, EndpointOf({ "127.0.0.1", server.Port() }));
      connection->Begin(call, milliseconds(400), [&](const CallEvent& aEvent) {
        if (const auto* failed = std::get_if<CallFailed>(&aEvent)) {
          failure = failed->m_how;
          loop.stop();
        } else if (std::holds_alternative<ResponseEnd>(aEvent)) {
          loop.stop();
        }
      });
      loop.run_for(std::chrono::seconds(10));
      connection->Abort();
    }
    const bool isInTime = left > milliseconds(0);
    EXPECT_EQ(requests, isInTime ? 1 : 0);
    EXPECT_EQ(failure,
              isInTime ? std::nullopt : std::optional(CallFailure::NotSent));
  }
}

TEST(HttpConnection, IdleConnectionIsClosedWithoutAReset)
{
  Loop loop;
  std::atomic<bool> wasReset = true;
  {
    const RawServer server([&](RawSocket& aSocket, int) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      aSocket.ReadAll();
      wasReset = aSocket.WasReset();
    });
    OutgoingCall call;
    call.m_head = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    const auto pool = std::make_shared<ConnectionPool>(loop);
    const Address address{ "127.0.0.1", server.Port() };
    const auto connection = pool->Acquire(address);
    connection->Begin(call, milliseconds(400), [&](const CallEvent& aEvent) {
      if (std::holds_alternative<ResponseEnd>(aEvent)) {
        loop.stop();
      }
    });
    loop.run_for(std::chrono::seconds(10));
    ASSERT_TRUE(connection->Reusable());
    connection->Abort();
  }
  EXPECT_FALSE(wasReset);
}

constexpr std::size_t kEndlessBytes = 48 << 20; // what a test sends at most

// Sends a part again and again; returns how many bytes the peer took before it
// closed the connection.
std::size_t
SendWithoutEnd(RawSocket& aSocket, const std::string& aPart)
{
  std::size_t sent = 0;
  while (sent < kEndlessBytes && aSocket.Send(aPart)) {
    sent += aPart.size();
  }
  return sent;
}

const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Plays a response that begins with aHead and goes on with aPart without an
// end.
std::size_t
BytesTakenOf(const std::string& aHead, const std::string& aPart)
{
  Loop loop{ 1 };
  std::size_t sent = 0;
  {
    const RawServer server([&](RawSocket& aSocket, int) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send(aHead);
      sent = SendWithoutEnd(aSocket, aPart);
    });
    CallBuffered(loop,
                 std::make_shared<ConnectionPool>(loop),
                 { "127.0.0.1", server.Port() },
                 "GET",
                 "/a",
                 {},
                 std::chrono::seconds(20),
                 [&](const BufferedResponse& aAnswer) {
                   EXPECT_EQ(aAnswer.m_status, 0);
                   loop.stop();
                 });
    loop.run();
  }
  return sent;
}

TEST(HttpConnection, ResponseWithoutAnEndDoesNotGrowWithoutBound)
{
  const std::string parts[] = { std::string(1 << 16, '0'),
                                "1;" + std::string(1 << 16, 'x') };
  const std::string heads[] = { "HTTP/1.1 200 OK\r\nX-Endless: ",
                                kChunkedHead,
                                kChunkedHead + "0\r\nX-Trailer: " };
  for (const std::string& head : heads) {
    for (const std::string& part : parts) {
      SCOPED_TRACE(head + " ... " + part.substr(0, 2));
      EXPECT_LT(BytesTakenOf(head, part), kEndlessBytes);
    }
  }
}

constexpr std::size_t kShortFields = 5000;

std::string
ShortFields()
{
  std::string fields;
  for (std::size_t i = 0; i < kShortFields; ++i) {
    fields += "A: b\r\n";
  }
  return fields;
}

// Runs the loop until it counts the memory of all short fields. Returns false
// on timeout.
bool
CountsShortFields(Loop& aLoop)
{
  constexpr std::size_t kFieldBytes =
    sizeof(std::pair<std::string, std::string>);
  const auto until =
    std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (MemoryBudget::Of(aLoop).Held() < kShortFields * kFieldBytes) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    aLoop.run_for(milliseconds(10));
    aLoop.restart();
  }
  return true;
}

// Guards against many short fields that take far more memory than is counted,
// so that the process outgrows its VM.
TEST(HttpConnection, ShortFieldsInArrivalAreCountedWithTheirMemory)
{
  Loop loop{ 1 };
  std::atomic<bool> isAsked = false;
  std::promise<void> maySend;
  std::promise<void> hasSent;
  std::promise<void> over;
  const RawServer server([&](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    isAsked = true;
    maySend.get_future().wait();
    aSocket.Send("HTTP/1.1 200 OK\r\n" + ShortFields());
    aSocket.AwaitAcknowledged();
    hasSent.set_value();
    over.get_future().wait();
  });
  const absl::Cleanup end = [&] { over.set_value(); };
  const auto connection = std::make_shared<HttpConnection>(
    loop, EndpointOf({ "127.0.0.1", server.Port() }));
  OutgoingCall call;
  call.m_head = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  connection->Begin(call, std::chrono::seconds(10), [](const CallEvent&) {});
  while (!isAsked) {
    loop.run_for(milliseconds(10));
    loop.restart();
  }
  // Only what one read brings is parsed before the head is complete.
  maySend.set_value();
  hasSent.get_future().wait();
  EXPECT_TRUE(CountsShortFields(loop)) << MemoryBudget::Of(loop).Held();
  connection->Abort();
}

TEST(HttpServer, ShortFieldsInArrivalAreCountedWithTheirMemory)
{
  Loop loop{ 1 };
  HttpListener listener(loop, { "127.0.0.1", 0 }, [](const auto&) {});
  listener.m_limits.m_headerTimeout = std::chrono::minutes(1);
  listener.m_limits.m_headerBytes = 1 << 20;
  RawSocket caller(listener.Port());
  caller.Send("GET /a HTTP/1.1\r\n" + ShortFields());
  caller.AwaitAcknowledged();
  EXPECT_TRUE(CountsShortFields(loop)) << MemoryBudget::Of(loop).Held();
}

TEST(HttpServer, RequestWithoutAnEndIsRejected)
{
  Loop loop{ 1 };
  HttpListener listener(loop, { "127.0.0.1", 0 }, [](const auto&) {});
  listener.m_limits.m_headerTimeout = std::chrono::minutes(1);
  std::thread thread([&] { loop.run(); });
  RawSocket caller(listener.Port());
  caller.Send("POST /a HTTP/1.1\r\nHost: x\r\n"
              "Transfer-Encoding: chunked\r\n\r\n" +
              std::string(1 << 20, '0'));
  EXPECT_NE(caller.ReadUntil("\r\n").find(" 400 "), std::string::npos);
  loop.stop();
  thread.join();
}

} // namespace

} // namespace siskindeal

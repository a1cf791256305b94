// Tests that an exception in one handler fails what it handled and nothing
// else.

#include "net/datagrams_p.h"
#include "net/http_server_p.h"
#include "net/loop_p.h"
#include "site/object_feed_p.h"
#include "support/raw_socket.h"

#include <gtest/gtest.h>

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kTimeout{ 20 };

class HandlerFailure : public testing::Test
{
protected:
  // Runs the loop until aCondition is met.
  template<typename Condition>
  bool Eventually(Condition aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      m_loop.restart();
      m_loop.run_for(milliseconds(5));
    }
    return aCondition();
  }

  Loop m_loop{ 1 };
};

TEST_F(HandlerFailure, RequestFailsAloneAndDoesNotClaimThatItWasNotRun)
{
  int requests = 0;
  HttpListener listener(
    m_loop, { "127.0.0.1", 0 }, [&](const auto& aConnection) {
      if (++requests == 1) {
        throw std::runtime_error("no handler for this");
      }
      aConnection->SendResponse(200, {}, {}, "served");
    });
  RawSocket failing(listener.Port());
  failing.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(Eventually([&] { return requests == 1; }));
  RawSocket sound(listener.Port());
  sound.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(Eventually([&] { return requests == 2; }));
  EXPECT_EQ(failing.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 500");
  EXPECT_EQ(sound.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 200");
  listener.Stop();
  listener.CloseAll();
}

TEST_F(HandlerFailure, ResponseThatWasBegunIsCutOffNotCompleted)
{
  bool begun = false;
  HttpListener listener(
    m_loop, { "127.0.0.1", 0 }, [&](const auto& aConnection) {
      begun = true;
      aConnection->SendHead(200, {}, {}, 10);
      aConnection->SendPart("half");
      throw std::runtime_error("fails in its response");
    });
  RawSocket caller(listener.Port());
  caller.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(Eventually([&] { return begun; }));
  ASSERT_TRUE(Eventually([&] { return listener.Connections() == 0; }));
  const std::string response = caller.ReadAll();
  EXPECT_EQ(response.substr(response.find("\r\n\r\n") + 4), "half");
  listener.Stop();
}

TEST_F(HandlerFailure, DatagramsAreReceivedAfterOneFailed)
{
  int received = 0;
  DatagramSocket receiver(m_loop, { "127.0.0.1", 0 }, [&](auto&&...) {
    if (++received == 1) {
      throw std::runtime_error("fails on this datagram");
    }
  });
  DatagramSocket sender(m_loop, { "127.0.0.1", 0 }, [](auto&&...) {});
  EXPECT_TRUE(Eventually([&] {
    sender.Send(v1::Datagram(),
                { "127.0.0.1", receiver.Port() },
                DatagramKind::Heartbeat);
    return received > 2;
  }));
}

TEST_F(HandlerFailure, PeriodicTaskRunsAgainAfterAFailure)
{
  int runs = 0;
  Timer timer(m_loop);
  RunEvery(timer, milliseconds(1), [&] {
    ++runs;
    throw std::runtime_error("fails each time");
  });
  EXPECT_TRUE(Eventually([&] { return runs > 2; }));
  timer.cancel();
}

TEST_F(HandlerFailure, FeedReadsTheStoreAgainAfterAListFailed)
{
  const std::string body = R"({"items":[],"has_more":false,"at":5})";
  const RawServer store([&](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
  });
  int lists = 0;
  const auto feed = std::make_shared<ObjectFeed>(
    m_loop,
    std::make_shared<ConnectionPool>(m_loop),
    Address{ "127.0.0.1", store.Port() },
    "servers",
    FeedTiming{ milliseconds(1000), milliseconds(1) },
    FeedCallbacks{ [&](const auto&) {
                    if (++lists == 1) {
                      throw std::runtime_error("fails on this list");
                    }
                  },
                   [](const auto&) {},
                   [] {} });
  feed->Start();
  EXPECT_TRUE(Eventually([&] { return lists > 1; }));
  feed->Stop();
}

// A caller waits in the backlog of a listener whose process may open no file.
[[noreturn]] void
AcceptWithoutDescriptors()
{
  Loop loop{ 1 };
  HttpListener listener(loop, { "127.0.0.1", 0 }, [](const auto&) {});
  const RawSocket caller(listener.Port());
  const int next = ::dup(STDERR_FILENO);
  ::close(next);
  const rlimit limit{ static_cast<rlim_t>(next), static_cast<rlim_t>(next) };
  ::setrlimit(RLIMIT_NOFILE, &limit);
  loop.run_for(milliseconds(300));
  _exit(0);
}

TEST(HandlerFailureDeathTest, LackOfDescriptorsIsLoggedOnceASecond)
{
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  EXPECT_EXIT(AcceptWithoutDescriptors(),
              testing::ExitedWithCode(0),
              "^[^\n]*\"event\":\"accept failed\"[^\n]*"
              "\"reason\":\"Too many open files\"[^\n]*\n$");
}

} // namespace
} // namespace siskindeal

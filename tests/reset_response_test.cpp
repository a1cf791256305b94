// Tests responses without a length whose connection is reset while the request
// is still being written: the write may be told of the reset, and the read then
// sees an orderly end.

#include "net/http_connection_p.h"
#include "support/raw_runner.h"

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <iostream>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 3 << 20;
constexpr int kCalls = 100;
const std::string kPart = "part of a response";

enum class End
{
  Reset,        // in the middle of the upload
  CloseUnread,  // likewise; the peer's system resets the connection
  CloseAfter,   // once the upload was read
  ShutdownFirst // then the upload is read
};

// Sends kPart without a length before it has read the upload, and ends the
// connection. aHead: the request, as far as it was read.
void
AnswerEarly(RawSocket& aSocket, int aHandle, End aEnd, const std::string& aHead)
{
  const std::string id = "\r\nX-Siskindeal-Attempt-Id: ";
  const std::size_t at = aHead.find(id) + id.size();
  aSocket.Send("HTTP/1.1 200 OK\r\n" +
               IdField(aHead.substr(at, aHead.find('\r', at) - at)) + kSigned +
               "\r\n" + kPart);
  std::size_t unread = kBodyBytes - (aHead.size() - aHead.find("\r\n\r\n") - 4);
  const auto read = [&](std::size_t aLeft) {
    while (unread > aLeft) {
      const std::string more = aSocket.ReadSome();
      if (more.empty()) {
        return;
      }
      unread -= std::min(unread, more.size());
    }
  };
  switch (aEnd) {
    case End::Reset:
      read(kBodyBytes / 2);
      aSocket.Reset();
      return;
    case End::CloseUnread:
      read(kBodyBytes / 2);
      aSocket.Close();
      return;
    case End::ShutdownFirst:
      ::shutdown(aHandle, SHUT_WR);
      read(0);
      return;
    case End::CloseAfter:
      read(0);
      return;
  }
}

struct CallResult
{
  std::string m_body;
  bool m_isComplete = false;
};

class ResetResponseTest : public testing::Test
{
protected:
  CallResult Call(const Address& aAddress)
  {
    Loop loop{ 1 };
    const auto connection =
      std::make_shared<HttpConnection>(loop, EndpointOf(aAddress));
    OutgoingCall call;
    call.m_head = "POST /a HTTP/1.1\r\nHost: x\r\n" + IdField("id-1") +
                  "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
    call.m_body.assign(kBodyBytes, 'x');
    call.m_echoName = "X-Siskindeal-Attempt-Id";
    call.m_echo = "id-1";
    CallResult result;
    connection->Begin(
      std::move(call), milliseconds(5000), [&](const CallEvent& aEvent) {
        if (const auto* body = std::get_if<ResponseBodyPart>(&aEvent)) {
          result.m_body += body->m_bytes;
        } else if (!std::holds_alternative<ResponseHead>(aEvent)) {
          result.m_isComplete = std::holds_alternative<ResponseEnd>(aEvent);
          loop.stop();
        }
      });
    loop.run_for(kTestTimeout);
    connection->Abort();
    return result;
  }

  // Returns how many of kCalls were reported as complete.
  int CountComplete(End aEnd)
  {
    const ThreadedServer server(
      [&](RawSocket aSocket, int aHandle, std::uint64_t) {
        AnswerEarly(aSocket, aHandle, aEnd, aSocket.ReadUntil("\r\n\r\n"));
      });
    int complete = 0;
    for (int i = 0; i < kCalls; ++i) {
      const CallResult result = Call(server.ListenAddress());
      complete += result.m_isComplete ? 1 : 0;
      if (result.m_isComplete) {
        EXPECT_EQ(result.m_body, kPart);
      }
    }
    std::cout << "complete: " << complete << " of " << kCalls << '\n';
    return complete;
  }
};

// Guards against a truncated response that is taken for a whole one, since only
// the write of the request was told of the reset.
TEST_F(ResetResponseTest, ResetDuringTheUploadIsNoEnd)
{
  EXPECT_EQ(CountComplete(End::Reset), 0);
}

TEST_F(ResetResponseTest, CloseWithTheUploadUnreadIsNoEnd)
{
  EXPECT_EQ(CountComplete(End::CloseUnread), 0);
}

TEST_F(ResetResponseTest, EarlyResponseIsCompleteOnceTheUploadWasRead)
{
  EXPECT_EQ(CountComplete(End::CloseAfter), kCalls);
}

TEST_F(ResetResponseTest, EndBeforeTheUploadWasReadIsComplete)
{
  EXPECT_EQ(CountComplete(End::ShutdownFirst), kCalls);
}

class ResetResponseRunTest : public RawRunnerTest
{
protected:
  void SetUp() override
  {
    nlohmann::json config = ConfigJson(1);
    config["limits"]["max_body_bytes"] = kBodyBytes;
    m_site.Put("config", "main", config);
  }

  // Whether a caller takes the response for a whole success.
  static bool IsWholeSuccess(const std::string& aAnswer)
  {
    const std::string end = "\r\n0\r\n\r\n";
    return StatusOf(aAnswer) == 200 &&
           (FieldOf(aAnswer, "Transfer-Encoding") != "chunked" ||
            (aAnswer.size() > end.size() &&
             aAnswer.compare(aAnswer.size() - end.size(), end.size(), end) ==
               0));
  }

  int CountWhole(End aEnd)
  {
    m_runners.push_back(std::make_unique<ThreadedServer>(
      [this, aEnd](RawSocket aSocket, int aHandle, std::uint64_t) {
        const std::string head = NextHead(aSocket);
        if (!head.empty()) {
          AnswerEarly(aSocket, aHandle, aEnd, head);
        }
      }));
    List("i-1", "post", m_runners.back()->ListenAddress());
    StartAndAwaitReady();
    EXPECT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
    const std::string body(kBodyBytes, 'x');
    int whole = 0;
    for (int i = 0; i < kCalls / 4; ++i) {
      const std::string id = "n-" + std::to_string(i);
      const std::string answer = SendAs(id, "/post/a", body);
      if (IsWholeSuccess(answer)) {
        ++whole;
        std::cout << answer << '\n';
      }
    }
    std::cout << "whole: " << whole << " of " << kCalls / 4 << '\n';
    return whole;
  }
};

TEST_F(ResetResponseRunTest, CallerGetsNoTruncatedResponseAsAWholeOne)
{
  EXPECT_EQ(CountWhole(End::Reset), 0);
}

TEST_F(ResetResponseRunTest, CallerGetsAnEarlyResponse)
{
  EXPECT_EQ(CountWhole(End::CloseAfter), kCalls / 4);
}

} // namespace

} // namespace siskindeal

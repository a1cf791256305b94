// Tests that a response whose status no HTTP response has never reaches a
// caller. A runner in trouble sent status 000, which was forwarded.

#include "support/http_server.h"
#include "support/raw_runner.h"

#include <gtest/gtest.h>

namespace siskindeal {

namespace {

constexpr int kBadGateway = 502;

const std::vector<std::string> kUnusable = {
  "000 None", "001 None",  "099 None",  "600 Over", "999 Over",
  "20 Short", "2000 Long", "2x0 Mixed", "-20 Sign",
};

class ResponseStatusTest : public RawRunnerTest
{
protected:
  // The only runner of both services responds with aBytes and closes.
  void StartRunnerThatSends(
    const std::function<std::string(const std::string&)>& aBytes)
  {
    const Address runner = StartRunner([this, aBytes](RawSocket& aSocket) {
      const std::string head = NextHead(aSocket);
      if (!head.empty()) {
        CountRun(IdOf(head));
        aSocket.Send(aBytes(IdOf(head)));
      }
    });
    List("i-1", "post", runner);
    List("i-2", "get", runner);
    StartAndAwaitReady();
  }
};

class UnusableStatus
  : public ResponseStatusTest
  , public testing::WithParamInterface<std::string>
{};

TEST_P(UnusableStatus, IsNotForwarded)
{
  StartRunnerThatSends([](const std::string& aId) {
    return Response(GetParam(), IdField(aId) + kSigned, "run");
  });
  EXPECT_EQ(StatusOf(SendAs("id-post", "/post/a")), kBadGateway);
  EXPECT_EQ(RunsOf("id-post"), 1); // it may have run, so it isn't sent again
  EXPECT_EQ(StatusOf(SendAs("id-get", "/get/a")), kBadGateway);
}

TEST_P(UnusableStatus, IsNoReplyToAgents)
{
  RawServer server([](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send(Response(GetParam(), {}, "run"));
  });
  HttpClient client;
  const HttpReply reply = client.Fetch(
    { "POST", "http://127.0.0.1:" + std::to_string(server.Port()) + "/" });
  EXPECT_EQ(reply.m_outcome, HttpOutcome::SentNoReply);
}

INSTANTIATE_TEST_SUITE_P(Table, UnusableStatus, testing::ValuesIn(kUnusable));

TEST_F(ResponseStatusTest, InterimOneWithoutAFinalOneIsNotForwarded)
{
  StartRunnerThatSends([](const std::string& aId) {
    return "HTTP/1.1 102 Processing\r\n" + IdField(aId) + kSigned + "\r\n";
  });
  EXPECT_EQ(StatusOf(SendAs("id-post", "/post/a")), kBadGateway);
}

} // namespace

} // namespace siskindeal

// Tests that a response decides only about the request that it belongs to, on
// connections that carry one request after another.

#include "net/http_connection_p.h"
#include "support/gateway_fixture.h"

#include <gtest/gtest.h>

#include <array>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kCopy =
  "HTTP/1.1 503 Full\r\nX-Siskindeal-Not-Executed: 1\r\n"
  "Content-Length: 0\r\n\r\n";

OutgoingCall
EchoedCall(const std::string& aId)
{
  OutgoingCall call;
  call.m_head =
    "GET /a HTTP/1.1\r\nHost: x\r\nX-Siskindeal-Attempt-Id: " + aId +
    "\r\n\r\n";
  call.m_echoName = "X-Siskindeal-Attempt-Id";
  call.m_echo = aId;
  return call;
}

std::string
Response(const std::string& aStatus,
         const std::string& aFields,
         const std::string& aBody = {})
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
IdField(const std::string& aId)
{
  return "X-Siskindeal-Attempt-Id: " + aId + "\r\n";
}

// What the caller learns of one call.
struct CallResult
{
  int m_status = 0; // 0: failed
  std::optional<CallFailure> m_failure;
};

CallResult
RunCall(Loop& aLoop,
        const std::shared_ptr<HttpConnection>& aConnection,
        OutgoingCall aCall)
{
  CallResult result;
  const auto onEvent = [&](const CallEvent& aEvent) {
    if (const auto* head = std::get_if<ResponseHead>(&aEvent)) {
      result.m_status = head->m_status;
    } else if (const auto* failed = std::get_if<CallFailed>(&aEvent)) {
      result = { 0, failed->m_how };
      aLoop.stop();
    } else if (std::holds_alternative<ResponseEnd>(aEvent)) {
      aLoop.stop();
    }
  };
  aConnection->Begin(std::move(aCall), milliseconds(400), onEvent);
  aLoop.restart();
  aLoop.run_for(kTestTimeout);
  return result;
}

// Two calls, between which the server writes its first response once more.
class LateCopyTest : public testing::Test
{
protected:
  CallResult Call(const std::shared_ptr<HttpConnection>& aConnection,
                  const std::string& aId)
  {
    const CallResult result = RunCall(m_loop, aConnection, EchoedCall(aId));
    m_pool->Release(m_address, aConnection);
    return result;
  }

  // Makes the first call, so that its connection becomes idle.
  void MakeFirstCall()
  {
    EXPECT_EQ(Call(m_pool->Acquire(m_address), "id-1").m_status, 200);
  }

  // Returns once the copy is in the client's socket buffer.
  void ReceiveCopy()
  {
    m_sendCopy.set_value();
    m_copySent.get_future().wait();
  }

  Loop m_loop;
  std::promise<void> m_sendCopy;
  std::promise<void> m_copySent;
  std::string m_afterCopy; // what the first connection received then
  RawServer m_server{ [this](RawSocket& aSocket, int aNumber) {
    aSocket.ReadUntil("\r\n\r\n");
    if (aNumber > 0) {
      aSocket.Send(Response("200 OK", IdField("id-2")));
      return;
    }
    aSocket.Send(Response("200 OK", IdField("id-1")));
    m_sendCopy.get_future().wait();
    aSocket.Send(kCopy);
    aSocket.AwaitAcknowledged();
    m_copySent.set_value();
    m_afterCopy = aSocket.ReadAll();
  } };
  const Address m_address{ "127.0.0.1", m_server.Port() };
  const std::shared_ptr<ConnectionPool> m_pool =
    std::make_shared<ConnectionPool>(m_loop);
};

TEST_F(LateCopyTest, ConnectionWithUnreadBytesIsNotReused)
{
  MakeFirstCall();
  ReceiveCopy();
  EXPECT_EQ(Call(m_pool->Acquire(m_address), "id-2").m_status, 200);
  EXPECT_EQ(m_afterCopy, "");
}

TEST_F(LateCopyTest, BytesBeforeARequestIsWrittenDoNotAnswerIt)
{
  MakeFirstCall();
  const auto connection = m_pool->Acquire(m_address);
  ReceiveCopy();
  const CallResult result = Call(connection, "id-2");
  EXPECT_EQ(result.m_status, 0);
  EXPECT_EQ(result.m_failure, CallFailure::NotSent);
  EXPECT_EQ(Call(m_pool->Acquire(m_address), "id-2").m_status, 200);
  EXPECT_EQ(m_afterCopy, "");
}

// A runner that responds to its second request before it has read the body,
// and closes. The body exceeds what the sockets buffer.
CallResult
CallWithUnreadBody(const std::string& aEarlyResponse)
{
  constexpr std::size_t kBodyBytes = 64 << 20;
  const RawServer server([&](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send(Response("200 OK", IdField("id-1")));
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send(aEarlyResponse);
    aSocket.AwaitAcknowledged();
  });
  Loop loop;
  const auto connection = std::make_shared<HttpConnection>(
    loop, EndpointOf({ "127.0.0.1", server.Port() }));
  EXPECT_EQ(RunCall(loop, connection, EchoedCall("id-1")).m_status, 200);
  OutgoingCall second = EchoedCall("id-2");
  second.m_head.insert(second.m_head.size() - 2,
                       "Content-Length: " + std::to_string(kBodyBytes) +
                         "\r\n");
  second.m_body.assign(kBodyBytes, 'x');
  const CallResult result = RunCall(loop, connection, std::move(second));
  EXPECT_FALSE(connection->Reusable());
  return result;
}

TEST(EarlyResponse, RefusalWithTheIdCountsBeforeTheBodyIsWritten)
{
  const CallResult result = CallWithUnreadBody(
    Response("503 Full", IdField("id-2") + "X-Siskindeal-Not-Executed: 1\r\n"));
  EXPECT_EQ(result.m_status, 503);
  EXPECT_EQ(result.m_failure, std::nullopt);
}

TEST(EarlyResponse, RefusalWithoutAnIdDoesNotCountBeforeTheBodyIsWritten)
{
  const CallResult result = CallWithUnreadBody(std::string(kCopy));
  EXPECT_EQ(result.m_status, 0);
  EXPECT_EQ(result.m_failure, CallFailure::MayHaveRun);
}

// Runners that write an earlier response once more before the response to each
// request but a connection's first.
class UntiedResponseTest : public GatewayTest
{
protected:
  // Requests share connections only if they may be repeated. With one attempt
  // allowed, they run twice only if a rejection is believed.
  void SetUp() override
  {
    nlohmann::json config = ConfigJson(1);
    for (nlohmann::json& route : config["routes"]) {
      route["max_attempts"] = 1;
    }
    m_site.Put("config", "main", config);
  }

  // Returns the copy, given the ids of the earlier and the present request.
  using Copy =
    std::function<std::string(const std::string&, const std::string&)>;

  std::unique_ptr<RawServer> MakeRunner(Copy aCopy, bool aAnswersAfterwards)
  {
    return std::make_unique<RawServer>(
      [this, copy = std::move(aCopy), aAnswersAfterwards](RawSocket& aSocket,
                                                          int) {
        std::string earlier;
        for (;;) {
          const std::string request = aSocket.ReadUntil("\r\n\r\n");
          const std::string id = IdOf(request);
          if (id.empty()) {
            return;
          }
          CountRun(id);
          if (!earlier.empty()) {
            ++m_copies;
            aSocket.Send(copy(earlier, id));
            if (!aAnswersAfterwards) {
              return;
            }
          }
          aSocket.Send(
            Response("200 OK",
                     IdField(id) + "X-Siskindeal-Runner-Signature: s\r\n",
                     "run of " + id));
          earlier = id;
        }
      });
  }

  void AddRunners(const Copy& aCopy, bool aAnswersAfterwards)
  {
    for (const char* name : kRunnerNames) {
      m_runners.push_back(MakeRunner(aCopy, aAnswersAfterwards));
      m_site.Put("servers",
                 name,
                 { { "service", "get" },
                   { "address",
                     "127.0.0.1:" + std::to_string(m_runners.back()->Port()) },
                   { "state", "ready" } });
    }
    if (!m_gateway) {
      StartAndAwaitReady();
    }
    ASSERT_TRUE(
      Eventually([&] { return RunnerCount() == kRunnerNames.size(); }));
  }

  void RemoveRunners()
  {
    for (const char* name : kRunnerNames) {
      m_site.Remove("servers", name);
    }
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
    m_stopped.insert(m_stopped.end(),
                     std::make_move_iterator(m_runners.begin()),
                     std::make_move_iterator(m_runners.end()));
    m_runners.clear();
  }

  static std::string IdOf(const std::string& aRequest)
  {
    constexpr std::string_view kName = "X-Siskindeal-Attempt-Id: ";
    const auto at = aRequest.find(kName);
    if (at == std::string::npos) {
      return {};
    }
    const auto begin = at + kName.size();
    return aRequest.substr(begin, aRequest.find('\r', begin) - begin);
  }

  std::string SendNext()
  {
    m_lastId = "n-" + std::to_string(++m_requests);
    std::string request = Request("POST", "/get/a");
    const std::string old = IdField("id-1");
    request.replace(request.find(old), old.size(), IdField(m_lastId));
    return SendRequest(request);
  }

  void CountRun(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    ++m_runs[aId];
  }
  int RunsOf(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    return m_runs[aId];
  }

  static constexpr std::array<const char*, 2> kRunnerNames{ "i-1", "i-2" };
  std::vector<std::unique_ptr<RawServer>> m_runners;
  std::vector<std::unique_ptr<RawServer>> m_stopped;
  std::atomic<int> m_copies = 0;
  int m_requests = 0;
  std::string m_lastId;
  std::mutex m_mutex;
  std::map<std::string, int> m_runs;
};

struct CopyCase
{
  const char* m_name;
  std::function<std::string(const std::string&, const std::string&)> m_copy;
};

std::vector<CopyCase>
CopyCases()
{
  const auto withFields = [](const std::string& aStatus,
                             const std::string& aFields,
                             const std::string& aBody = {}) {
    return [=](const std::string&, const std::string&) {
      return Response(aStatus, aFields, aBody);
    };
  };
  const std::string notRun = "X-Siskindeal-Not-Executed: 1\r\n";
  const std::string isSigned = "X-Siskindeal-Runner-Signature: s\r\n";
  return {
    { "503 without an id", withFields("503 Full", notRun) },
    { "429 without an id", withFields("429 Many", notRun) },
    { "400 without an id", withFields("400 Bad", notRun) },
    { "421 without an id", withFields("421 Other", "") },
    { "500 without an id", withFields("500 Failed", isSigned, "failed") },
    { "200 without an id", withFields("200 OK", isSigned, "of another") },
    { "503 with the earlier id",
      [=](const std::string& aEarlier, const std::string&) {
        return Response("503 Full", notRun + IdField(aEarlier));
      } },
    { "421 with the earlier id",
      [=](const std::string& aEarlier, const std::string&) {
        return Response("421 Other", IdField(aEarlier));
      } },
    { "503 with an empty id", withFields("503 Full", notRun + IdField("")) },
    { "two copies",
      [=](const std::string& aEarlier, const std::string&) {
        return Response("503 Full", notRun + IdField(aEarlier)) +
               Response("503 Full", notRun);
      } },
  };
}

TEST_F(UntiedResponseTest, CopyOfAnEarlierResponseDoesNotAnswerTheNextRequest)
{
  constexpr int kCopies = 3;
  constexpr int kMaxRequests = 40;
  for (const CopyCase& one : CopyCases()) {
    SCOPED_TRACE(one.m_name);
    m_copies = 0;
    // A runner that wrote a copy gets one request a connection for a while.
    for (int round = 1; round <= kCopies; ++round) {
      AddRunners(one.m_copy, true);
      for (int i = 0; i < kMaxRequests && m_copies < round; ++i) {
        const std::string answer = SendNext();
        EXPECT_NE(answer.find("run of " + m_lastId), std::string::npos)
          << answer;
        EXPECT_EQ(answer.find(" 200 "), 8U) << answer;
        EXPECT_EQ(RunsOf(m_lastId), 1);
      }
      RemoveRunners();
    }
    EXPECT_GE(m_copies, kCopies);
  }
}

TEST_F(UntiedResponseTest, RequestWithoutATiedResponseIsNotSaidToBeNotRun)
{
  constexpr int kMaxRequests = 10;
  for (const CopyCase& one : CopyCases()) {
    SCOPED_TRACE(one.m_name);
    m_copies = 0;
    AddRunners(one.m_copy, false);
    std::string answer;
    for (int i = 0; i < kMaxRequests && m_copies == 0; ++i) {
      answer = SendNext();
    }
    EXPECT_EQ(m_copies, 1);
    EXPECT_EQ(answer.find(" 502 "), 8U) << answer;
    EXPECT_EQ(RunsOf(m_lastId), 1);
    RemoveRunners();
  }
}

// Nothing else can have been refused on a new connection.
TEST_F(UntiedResponseTest, RefusalWithoutAnIdOnANewConnectionCounts)
{
  const RawServer runner([](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send(Response("503 Full",
                          "X-Siskindeal-Not-Executed: 1\r\n"
                          "Connection: close\r\n"));
  });
  m_site.Put("servers",
             "i-1",
             { { "service", "get" },
               { "address", "127.0.0.1:" + std::to_string(runner.Port()) },
               { "state", "ready" } });
  StartAndAwaitReady();
  EXPECT_EQ(SendNext().find(" 503 "), 8U);
}

} // namespace

} // namespace siskindeal

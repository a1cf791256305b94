// Tests rejections that come while the request's body is still being written,
// from runners that keep the connection.

#include "net/http_connection_p.h"
#include "support/raw_runner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 16 << 20; // more than the sockets buffer

OutgoingCall
EchoedCall(const std::string& aId, std::size_t aBodyBytes)
{
  OutgoingCall call;
  call.m_head = "POST /a HTTP/1.1\r\nHost: x\r\n" + IdField(aId) +
                "Content-Length: " + std::to_string(aBodyBytes) + "\r\n\r\n";
  call.m_body.assign(aBodyBytes, 'x');
  call.m_echoName = "X-Siskindeal-Attempt-Id";
  call.m_echo = aId;
  return call;
}

struct CallResult
{
  int m_status = 0; // 0: no whole response
  std::optional<CallFailure> m_failure;
};

// A peer that answers the first call, and to the second writes aEarly before it
// reads the body. It reads on when the caller has an outcome.
class EarlyRejectionTest : public testing::Test
{
protected:
  struct Calls
  {
    CallResult m_second;
    bool m_isReusable = false;
    CallResult m_third;
    std::string m_rest; // of the second call's connection
  };

  CallResult Run(const std::shared_ptr<HttpConnection>& aConnection,
                 OutgoingCall aCall)
  {
    CallResult result;
    const auto onEvent = [&](const CallEvent& aEvent) {
      if (const auto* head = std::get_if<ResponseHead>(&aEvent)) {
        result.m_status = head->m_status;
      } else if (const auto* failed = std::get_if<CallFailed>(&aEvent)) {
        result = { 0, failed->m_how };
        m_loop.stop();
      } else if (std::holds_alternative<ResponseEnd>(aEvent)) {
        m_loop.stop();
      }
    };
    aConnection->Begin(std::move(aCall), milliseconds(5000), onEvent);
    m_loop.restart();
    m_loop.run_for(kTestTimeout);
    return result;
  }

  // aAfterBody is written once the whole body has been read.
  Calls Play(const std::string& aEarly, const std::string& aAfterBody)
  {
    Calls calls;
    std::atomic<bool> mayRead = !aAfterBody.empty();
    const ThreadedServer server([&](RawSocket aSocket,
                                    int,
                                    std::uint64_t aNumber) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send(Response("200 OK", IdField(aNumber == 0 ? "id-1" : "id-3")));
      if (aNumber > 0) {
        return;
      }
      std::string rest = aSocket.ReadUntil("\r\n\r\n");
      rest.erase(0, rest.find("\r\n\r\n") + 4);
      aSocket.Send(aEarly);
      while (!mayRead) {
        std::this_thread::sleep_for(milliseconds(1));
      }
      while (rest.size() < kBodyBytes) {
        const std::string more = aSocket.ReadSome();
        if (more.empty()) {
          break;
        }
        rest += more;
      }
      if (rest.size() >= kBodyBytes) {
        aSocket.Send(aAfterBody);
      }
      calls.m_rest = rest + aSocket.ReadAll();
    });
    const Address address = server.ListenAddress();
    const auto pool = std::make_shared<ConnectionPool>(m_loop);
    const auto call = [&](const std::string& aId, std::size_t aBytes) {
      const auto connection = pool->Acquire(address);
      const CallResult result = Run(connection, EchoedCall(aId, aBytes));
      pool->Release(address, connection);
      calls.m_isReusable = connection->Reusable();
      return result;
    };
    EXPECT_EQ(call("id-1", 0).m_status, 200);
    EXPECT_TRUE(calls.m_isReusable);
    calls.m_second = call("id-2", kBodyBytes);
    const bool isReusable = calls.m_isReusable;
    mayRead = true;
    calls.m_third = call("id-3", 0);
    calls.m_isReusable = isReusable;
    pool->Acquire(address)->Abort();
    return calls;
  }

  Loop m_loop;
};

TEST_F(EarlyRejectionTest, RejectionWithTheIdEndsTheCallAndItsConnection)
{
  const Calls calls = Play(Response("503 Full", IdField("id-2") + kNotRun), "");
  EXPECT_EQ(calls.m_second.m_status, 503);
  EXPECT_EQ(calls.m_second.m_failure, std::nullopt);
  EXPECT_FALSE(calls.m_isReusable);
  EXPECT_EQ(calls.m_third.m_status, 200);
  // Nothing but the body's beginning came on the connection.
  EXPECT_LT(calls.m_rest.size(), kBodyBytes);
  EXPECT_EQ(calls.m_rest.find_first_not_of('x'), std::string::npos);
}

TEST_F(EarlyRejectionTest, RejectionWithAnotherIdDoesNotEndTheCall)
{
  for (const std::string& id : { IdField("id-1"), std::string() }) {
    const Calls calls = Play(Response("503 Full", id + kNotRun),
                             Response("200 OK", IdField("id-2") + kSigned));
    EXPECT_EQ(calls.m_second.m_status, 200);
    EXPECT_FALSE(calls.m_isReusable);
    EXPECT_EQ(calls.m_third.m_status, 200);
    EXPECT_TRUE(calls.m_rest == std::string(kBodyBytes, 'x'));
  }
}

// Runners of a gateway that reject the first send of each request.
class EarlyRejectionRunTest : public RawRunnerTest
{
protected:
  void SetUp() override
  {
    nlohmann::json config = ConfigJson(1);
    config["limits"]["max_body_bytes"] = kBodyBytes;
    m_site.Put("config", "main", config);
  }

  // Rejects a request's first arrival before it reads the body.
  void ServeOne(RawSocket& aSocket)
  {
    const std::string head = NextHead(aSocket);
    if (head.empty()) {
      return;
    }
    const std::string id = IdOf(head);
    if (IsNew(id)) {
      ++m_rejections;
      aSocket.Send(Response("503 Full", IdField(id) + kNotRun));
      const std::string rest = aSocket.ReadAll();
      m_unasked += std::count_if(
        rest.begin(), rest.end(), [](char aByte) { return aByte != 'x'; });
      ++m_ends;
      return;
    }
    std::size_t received = head.size() - head.find("\r\n\r\n") - 4;
    while (received < kBodyBytes) {
      const std::string more = aSocket.ReadSome();
      if (more.empty()) {
        return;
      }
      received += more.size();
    }
    CountRun(id);
    aSocket.Send(Answered(id));
  }

  bool IsNew(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    return m_seen.insert(aId).second;
  }

  std::set<std::string> m_seen;
  std::atomic<int> m_rejections = 0;
  std::atomic<int> m_ends = 0;               // of connections with a rejection
  std::atomic<std::ptrdiff_t> m_unasked = 0; // bytes that belong to no body
};

TEST_F(EarlyRejectionRunTest, BookingThatIsRejectedEarlyRunsOnceElsewhere)
{
  constexpr int kRequests = 4;
  constexpr milliseconds kRefusalAvoidance{ 200 };
  for (const char* name : { "i-1", "i-2" }) {
    List(name, "post", StartRunner([this](RawSocket& aSocket) {
           ServeOne(aSocket);
         }));
  }
  StartAndAwaitReady();
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
  const std::string body(kBodyBytes, 'x');
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "n-" + std::to_string(i);
    const std::string answer = SendAs(id, "/post/a", body);
    EXPECT_EQ(StatusOf(answer), 200) << answer;
    EXPECT_EQ(RunsOf(id), 1);
    std::this_thread::sleep_for(kRefusalAvoidance);
  }
  EXPECT_EQ(m_rejections, kRequests);
  EXPECT_TRUE(Eventually([&] { return m_ends == kRequests; }));
  EXPECT_EQ(m_unasked, 0);
}

} // namespace

} // namespace siskindeal

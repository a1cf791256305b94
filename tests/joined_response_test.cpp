// Tests responses that break off on a connection in use, so that the parser
// reads them and the answer after them as one.

#include "net/http_connection_p.h"
#include "support/gateway_fixture.h"
#include "support/threaded_server.h"

#include <gtest/gtest.h>

#include <future>
#include <map>
#include <mutex>
#include <set>
#include <tuple>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

const std::string kNotRun = "X-Siskindeal-Not-Executed: 1\r\n";
const std::string kSigned = "X-Siskindeal-Runner-Signature: s\r\n";

std::string
IdField(const std::string& aId)
{
  return "X-Siskindeal-Attempt-Id: " + aId + "\r\n";
}

std::string
Response(const std::string& aStatus,
         const std::string& aFields,
         const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

OutgoingCall
EchoedCall(const std::string& aId)
{
  OutgoingCall call;
  call.m_head = "GET /a HTTP/1.1\r\nHost: x\r\n" + IdField(aId) + "\r\n";
  call.m_echoName = "X-Siskindeal-Attempt-Id";
  call.m_echo = aId;
  return call;
}

// What the caller learns of one call.
struct CallResult
{
  int m_status = 0; // 0: no whole response
  std::string m_body;
  std::optional<CallFailure> m_failure;
};

CallResult
RunCall(Loop& aLoop,
        const std::shared_ptr<HttpConnection>& aConnection,
        const std::string& aId)
{
  CallResult result;
  const auto onEvent = [&](const CallEvent& aEvent) {
    if (const auto* head = std::get_if<ResponseHead>(&aEvent)) {
      result.m_status = head->m_status;
    } else if (const auto* part = std::get_if<ResponseBodyPart>(&aEvent)) {
      result.m_body += part->m_bytes;
    } else if (const auto* failed = std::get_if<CallFailed>(&aEvent)) {
      result = { 0, {}, failed->m_how };
      aLoop.stop();
    } else if (std::holds_alternative<ResponseEnd>(aEvent)) {
      aLoop.stop();
    }
  };
  aConnection->Begin(EchoedCall(aId), milliseconds(400), onEvent);
  aLoop.restart();
  aLoop.run_for(kTestTimeout);
  return result;
}

// Calls a server that writes the pieces for the call, a read each, and closes.
// If aIsKept, the connection has carried a call before.
CallResult
CallBehind(const std::vector<std::string>& aPieces, bool aIsKept)
{
  const RawServer server([&](RawSocket& aSocket, int) {
    if (aIsKept) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send(Response("200 OK", IdField("id-1") + kSigned, "first"));
    }
    aSocket.ReadUntil("\r\n\r\n");
    for (const std::string& piece : aPieces) {
      aSocket.Send(piece);
      aSocket.AwaitAcknowledged();
    }
  });
  Loop loop;
  const auto connection = std::make_shared<HttpConnection>(
    loop, EndpointOf({ "127.0.0.1", server.Port() }));
  if (aIsKept) {
    EXPECT_EQ(RunCall(loop, connection, "id-1").m_status, 200);
  }
  return RunCall(loop, connection, "id-2");
}

struct StrayCase
{
  const char* m_name;
  std::string m_response;
};

std::vector<StrayCase>
StrayCases()
{
  const std::string id = IdField("id-1");
  const std::string at = "At-Server: i-71122a3d\r\n";
  return {
    { "503, id last",
      Response("503 Service Unavailable", kNotRun + at + id, "") },
    { "503, id first",
      Response("503 Service Unavailable", id + kNotRun + at, "") },
    { "503 without an id",
      Response("503 Service Unavailable", kNotRun + at, "") },
    { "503 with a body",
      Response("503 Service Unavailable", kNotRun + id, "full, come again") },
    { "503 in chunks",
      "HTTP/1.1 503 Full\r\n" + kNotRun + id +
        "Transfer-Encoding: chunked\r\n\r\n1f\r\nfull\r\n0\r\n\r\n" },
    { "421", Response("421 Misdirected Request", at + id, "") },
    { "429", Response("429 Too Many Requests", kNotRun + id, "") },
    { "400", Response("400 Bad Request", kNotRun + id, "") },
    { "200", Response("200 OK", kSigned + at + id, "of another") },
    { "informational", "HTTP/1.1 100 Continue\r\n" + at + "\r\n" },
    { "line feeds only", "HTTP/1.1 503 Full\n" + kNotRun + at + id + "\n" },
  };
}

// What the server wrote for the call decides, or nothing does.
void
ExpectOwnOrNone(const CallResult& aResult,
                int aStatus,
                const std::string& aBody)
{
  if (aResult.m_failure) {
    EXPECT_EQ(aResult.m_failure, CallFailure::MayHaveRun);
    return;
  }
  EXPECT_EQ(aResult.m_status, aStatus);
  EXPECT_EQ(aResult.m_body, aBody);
}

// On a new connection a whole response without an id counts.
bool
MayCount(const std::string& aStray, std::size_t aCut, bool aIsKept)
{
  return !aIsKept && aCut == aStray.size() &&
         aStray.find("X-Siskindeal-Attempt-Id") == std::string::npos &&
         aStray.find(" 100 ") == std::string::npos;
}

// Plays each length of each stray response before a response to the call.
void
PlayJoins(const std::string& aResponse, int aStatus, const std::string& aBody)
{
  for (const bool isKept : { true, false }) {
    for (const StrayCase& stray : StrayCases()) {
      for (std::size_t cut = 1; cut <= stray.m_response.size(); ++cut) {
        if (MayCount(stray.m_response, cut, isKept)) {
          continue;
        }
        SCOPED_TRACE(std::string(isKept ? "kept, " : "new, ") + stray.m_name +
                     ", bytes " + std::to_string(cut));
        ExpectOwnOrNone(
          CallBehind({ stray.m_response.substr(0, cut) + aResponse }, isKept),
          aStatus,
          aBody);
      }
    }
  }
}

TEST(JoinedResponse, PartOfAnEarlierRejectionDoesNotTurnAnAnswerIntoARejection)
{
  PlayJoins(
    Response("200 OK", IdField("id-2") + kSigned, "booked"), 200, "booked");
}

TEST(JoinedResponse, PartOfAnEarlierAnswerDoesNotTurnARejectionIntoAnAnswer)
{
  PlayJoins(Response("503 Full", IdField("id-2") + kNotRun, ""), 503, "");
}

TEST(JoinedResponse, AnswerThatBreaksOffIsNotCompletedByItsCopy)
{
  const std::string body(100, 'b');
  const std::string answer =
    Response("200 OK", IdField("id-2") + kSigned, body);
  for (const bool isKept : { true, false }) {
    for (std::size_t cut = 1; cut < answer.size(); ++cut) {
      SCOPED_TRACE(std::to_string(cut));
      ExpectOwnOrNone(
        CallBehind({ answer.substr(0, cut) + answer }, isKept), 200, body);
    }
  }
}

// A call whose answer was taken up would wait until its deadline.
TEST(JoinedResponse, AnswerTakenUpByABodyIsNoticedWhereverReadsEnd)
{
  const std::string stray =
    Response("503 Full", kNotRun + IdField("id-1"), std::string(900, 'f'));
  const std::string part = stray.substr(0, stray.size() - 880);
  const std::string answer =
    Response("200 OK", IdField("id-2") + kSigned, "booked");
  for (std::size_t at = 1; at < 30; ++at) {
    std::promise<void> failed;
    const RawServer server([&](RawSocket& aSocket, int) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send(part + answer.substr(0, at));
      aSocket.AwaitAcknowledged();
      aSocket.Send(answer.substr(at));
      failed.get_future().wait(); // the connection stays open
    });
    Loop loop;
    const auto connection = std::make_shared<HttpConnection>(
      loop, EndpointOf({ "127.0.0.1", server.Port() }));
    EXPECT_EQ(RunCall(loop, connection, "id-2").m_failure,
              CallFailure::MayHaveRun);
    failed.set_value();
  }
}

TEST(JoinedResponse, RejectionWithoutAnIdAfterAStrayResponseDecidesNothing)
{
  const std::string stray = Response("200 OK", IdField("id-1") + kSigned, "x");
  const CallResult result =
    CallBehind({ stray + Response("503 Full", kNotRun, "") }, false);
  EXPECT_EQ(result.m_failure, CallFailure::MayHaveRun);
}

// Runners that write part of an earlier rejection before the answer to each
// request but a connection's first.
class JoinedResponseTest : public GatewayTest
{
protected:
  struct Arrival
  {
    std::string m_runner;
    int m_connection = 0;

    bool operator<(const Arrival& aOther) const
    {
      return std::tie(m_runner, m_connection) <
             std::tie(aOther.m_runner, aOther.m_connection);
    }
  };

  void AddRunner(const std::string& aName, const std::string& aService)
  {
    m_servers.push_back(std::make_unique<ThreadedServer>(
      [this, aName](RawSocket aSocket, int, std::uint64_t aNumber) {
        Serve(aName, aSocket, static_cast<int>(aNumber));
      }));
    m_site.Put("servers",
               aName,
               { { "service", aService },
                 { "address", m_servers.back()->ListenAddress().ToString() },
                 { "state", "ready" } });
  }

  void Serve(const std::string& aName, RawSocket& aSocket, int aConnection)
  {
    bool isFirst = true;
    for (;;) {
      if (!aSocket.HasInput(milliseconds(20))) {
        if (m_stopping) {
          return;
        }
        continue;
      }
      const std::string id = IdOf(aSocket.ReadUntil("\r\n\r\n"));
      if (id.empty()) {
        return;
      }
      const bool rejects =
        Record(id, { aName, aConnection }) == 1 && m_rejectsFirstSends;
      const std::string stray =
        isFirst || !m_writesParts ? "" : "HTTP/1.1 421 Misdirec";
      isFirst = false;
      std::string bytes = stray;
      bytes += rejects
                 ? Response("503 Full", IdField(id) + kNotRun, "")
                 : Response("200 OK", IdField(id) + kSigned, "run of " + id);
      aSocket.Send(bytes);
    }
  }

  // Returns the number of the request's arrivals so far.
  std::size_t Record(const std::string& aId, const Arrival& aArrival)
  {
    const std::lock_guard lock(m_mutex);
    m_arrivals[aId].push_back(aArrival);
    return m_arrivals[aId].size();
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

  // Sends a request and returns its arrivals at runners.
  std::vector<Arrival> SendNext(const std::string& aPath)
  {
    const std::string id = "n-" + std::to_string(++m_requests);
    std::string request = Request("POST", aPath);
    const std::string old = IdField("id-1");
    request.replace(request.find(old), old.size(), IdField(id));
    m_answer = SendRequest(request);
    EXPECT_NE(m_answer.find("run of " + id), std::string::npos) << m_answer;
    const std::lock_guard lock(m_mutex);
    return m_arrivals[id];
  }

  void TearDown() override
  {
    GatewayTest::TearDown();
    m_stopping = true;
    m_servers.clear();
  }

  std::atomic<bool> m_stopping = false;
  std::atomic<bool> m_writesParts = true;
  std::atomic<bool> m_rejectsFirstSends = false;
  int m_requests = 0;
  std::string m_answer;
  std::mutex m_mutex;
  std::map<std::string, std::vector<Arrival>> m_arrivals; // by request
  std::vector<std::unique_ptr<ThreadedServer>> m_servers;
};

TEST_F(JoinedResponseTest, PartOfARejectionDoesNotMakeABookingRunTwice)
{
  constexpr int kRequests = 12;
  AddRunner("i-1", "post");
  AddRunner("i-2", "post");
  StartAndAwaitReady();
  for (int i = 0; i < kRequests; ++i) {
    EXPECT_EQ(SendNext("/post/a").size(), 1U) << m_answer;
  }
}

TEST_F(JoinedResponseTest, RequestsThatRunOnceShareNoConnection)
{
  constexpr int kRequests = 6;
  m_writesParts = false;
  AddRunner("i-1", "post");
  StartAndAwaitReady();
  std::set<int> connections;
  for (int i = 0; i < kRequests; ++i) {
    connections.insert(SendNext("/post/a").at(0).m_connection);
  }
  EXPECT_EQ(connections.size(), kRequests);
}

// A copy of the first send's rejection would have the right id.
TEST_F(JoinedResponseTest, SecondSendOfARequestSharesNoConnection)
{
  constexpr int kRequests = 6;
  m_writesParts = false;
  m_rejectsFirstSends = true;
  AddRunner("i-1", "get");
  AddRunner("i-2", "get");
  StartAndAwaitReady();
  std::map<Arrival, int> carried;
  std::set<Arrival> seconds;
  for (int i = 0; i < kRequests; ++i) {
    const auto arrivals = SendNext("/get/a");
    ASSERT_EQ(arrivals.size(), 2U);
    ++carried[arrivals[0]];
    ++carried[arrivals[1]];
    seconds.insert(arrivals[1]);
  }
  for (const Arrival& second : seconds) {
    EXPECT_EQ(carried[second], 1);
  }
}

TEST_F(JoinedResponseTest, RunnerThatWritesStrayBytesGetsOneRequestAConnection)
{
  constexpr int kRequests = 6;
  AddRunner("i-1", "get");
  AddRunner("i-2", "get");
  StartAndAwaitReady();
  std::map<Arrival, int> carried;
  for (int i = 0; i < kRequests * 2; ++i) {
    for (const Arrival& arrival : SendNext("/get/a")) {
      ++carried[arrival];
    }
  }
  int shared = 0;
  for (const auto& [connection, requests] : carried) {
    EXPECT_LE(requests, 2);
    shared += requests > 1 ? 1 : 0;
  }
  EXPECT_LE(shared, 2); // the first of each runner
}

} // namespace

} // namespace siskindeal

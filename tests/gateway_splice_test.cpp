// Tests that a stream that broke off goes on only with the next events of
// another run, and otherwise ends in a way that shows it is incomplete.

#include "support/gateway_fixture.h"

#include <gtest/gtest.h>

#include <future>
#include <vector>

namespace siskindeal {

namespace {

const std::string kFirst = "id: 1\ndata: a\n\n";
const std::string kSecond = "id: 2\ndata: b\n\n";
const std::string kThird = "id: 3\ndata: c\n\n";
const std::string kHeadInBody =
  "HTTP/1.1 503 Full\r\nX-Siskindeal-Not-Executed: 1\r\n"
  "Content-Length: 0\r\n\r\n";
const std::string kStreamType = "Content-Type: text/event-stream\r\n";
const std::string kSignature = "X-Siskindeal-Runner-Signature: s\r\n";
const std::string kSignedStream = kStreamType + kSignature;

std::string
Head(const std::string& aStatus, const std::string& aFields)
{
  return "HTTP/1.1 " + aStatus + "\r\nX-Siskindeal-Attempt-Id: id-1\r\n" +
         aFields + "\r\n";
}

std::string
WithLength(const std::string& aStatus,
           const std::string& aFields,
           const std::string& aBody)
{
  return Head(aStatus,
              aFields + "Content-Length: " + std::to_string(aBody.size()) +
                "\r\n") +
         aBody;
}

std::string
Chunk(const std::string& aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string size;
  for (std::size_t rest = aBytes.size(); rest > 0; rest /= kDigits.size()) {
    size.insert(size.begin(), kDigits[rest % kDigits.size()]);
  }
  return (size.empty() ? "0" : size) + "\r\n" + aBytes + "\r\n";
}

std::string
Chunked(const std::string& aFields, const std::string& aBody)
{
  return Head("200 OK", aFields + "Transfer-Encoding: chunked\r\n") +
         Chunk(aBody) + Chunk("");
}

// What a caller has received.
struct Received
{
  std::string m_head;
  std::string m_body;
  bool m_complete = false;
};

Received
Decode(const std::string& aAnswer)
{
  constexpr int kHex = 16;
  Received received;
  const auto headEnd = aAnswer.find("\r\n\r\n");
  received.m_head = aAnswer.substr(0, headEnd);
  std::string rest =
    headEnd == std::string::npos ? "" : aAnswer.substr(headEnd + 4);
  if (received.m_head.find("Transfer-Encoding: chunked") == std::string::npos) {
    received.m_body = rest;
    return received;
  }
  for (auto line = rest.find("\r\n"); line != std::string::npos;
       line = rest.find("\r\n")) {
    const auto size = std::stoul(rest.substr(0, line), nullptr, kHex);
    if (rest.size() < line + size + 4) {
      break;
    }
    received.m_body += rest.substr(line + 2, size);
    rest.erase(0, line + size + 4);
    if (size == 0) {
      received.m_complete = rest.empty();
      break;
    }
  }
  return received;
}

class GatewaySpliceTest : public GatewayTest
{
protected:
  // Handles the n-th run of a request, starting at 0, whose head has been read.
  using Run = std::function<void(RawSocket&, int)>;

  // Replaces the runners by two that handle runs so.
  void SetRunners(Run aRun)
  {
    RemoveRunners();
    m_runs = 0;
    for (const std::string name : { "i-1", "i-2" }) {
      m_runners.push_back(std::make_unique<RawServer>(
        [this, run = aRun](RawSocket& aSocket, int) {
          if (!aSocket.ReadUntil("\r\n\r\n").empty()) {
            run(aSocket, m_runs++);
          }
        }));
      m_site.Put("servers",
                 name + "-" + std::to_string(m_runners.size()),
                 { { "service", "chat" },
                   { "address",
                     "127.0.0.1:" + std::to_string(m_runners.back()->Port()) },
                   { "state", "ready" } });
      m_names.push_back(name + "-" + std::to_string(m_runners.size()));
    }
    if (!m_gateway) {
      StartAndAwaitReady();
    }
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
  }

  void RemoveRunners()
  {
    for (const std::string& name : m_names) {
      m_site.Remove("servers", name);
    }
    m_names.clear();
    ASSERT_TRUE(Eventually([&] { return !m_gateway || RunnerCount() == 0; }));
  }

  // Sends a request whose first run sends aFirst, and closes, and whose second
  // sends aSecond.
  Received Play(const std::string& aFirst, const std::string& aSecond)
  {
    SetRunners([=](RawSocket& aSocket, int aNumber) {
      aSocket.Send(aNumber == 0 ? aFirst : aSecond);
    });
    return Send();
  }

  Received Send()
  {
    // Each case is another request, so that none is suspected.
    return Decode(
      SendRequest(Request("POST", "/chat/" + std::to_string(m_requests++))));
  }

  std::atomic<int> m_runs = 0;
  int m_requests = 0;
  std::vector<std::string> m_names;
  std::vector<std::unique_ptr<RawServer>> m_runners;
};

// A stream that breaks off in its third event.
std::string
BrokenStream()
{
  return Head("200 OK", kSignedStream + "Transfer-Encoding: chunked\r\n") +
         Chunk(kFirst + kSecond + "id: 3\nda");
}

// The head of a stream that is longer than what follows.
std::string
StreamHeadWithLength()
{
  return Head("200 OK", kSignedStream + "Content-Length: 99\r\n");
}

struct SpliceCase
{
  const char* m_name;
  std::string m_second; // response of the second run
  bool m_goesOn;        // the third event is forwarded
  bool m_complete;
};

std::vector<SpliceCase>
ErrorCases()
{
  const std::string notRun = "X-Siskindeal-Not-Executed: 1\r\n";
  const std::string json = "Content-Type: application/json\r\n";
  const std::string body = R"({"error":"full"})";
  return {
    { "503", WithLength("503 Full", json + notRun, body), false, false },
    { "503 that may have run", WithLength("503 F", json, body), false, false },
    { "500", WithLength("500 F", json + kSignature, body), false, false },
    { "404", WithLength("404 N", json + kSignature, body), false, false },
    { "302", WithLength("302 F", "Location: /\r\n", body), false, false },
    { "500 with events",
      WithLength("500 F", kSignedStream, kThird),
      false,
      false },
    { "503 with events",
      WithLength("503 F", kSignedStream + notRun, kThird),
      false,
      false },
    { "500 until close", Head("500 F", kSignature) + body, false, false },
    { "500 after 100",
      "HTTP/1.1 100 Continue\r\n\r\n" + WithLength("500 F", kSignature, body),
      false,
      false },
    { "bytes that are no response", body + "\n\n", false, false },
  };
}

std::vector<SpliceCase>
OtherResponseCases()
{
  const std::string json = "Content-Type: application/json\r\n";
  const std::string body = R"({"error":"full"})";
  const std::string gzip = "Content-Encoding: gzip\r\n";
  return {
    { "not a stream",
      WithLength("200 OK", json + kSignature, body),
      false,
      false },
    { "no type", WithLength("200 OK", kSignature, kThird), false, false },
    { "no signature", WithLength("200 OK", kStreamType, kThird), false, false },
    { "204", Head("204 N", kSignedStream), false, false },
    { "201", WithLength("201 C", kSignedStream, kThird), false, false },
    { "206", WithLength("206 P", kSignedStream, kThird), false, false },
    { "encoded",
      WithLength("200 OK", kSignedStream + gzip, kThird),
      false,
      false },
    { "JSON as a stream",
      WithLength("200 OK", kSignedStream, body + "\n\n"),
      false,
      false },
    { "head in the body",
      Head("200 OK", kSignedStream) + kHeadInBody,
      false,
      false },
    { "head in the body before an event",
      Head("200 OK", kSignedStream) + kHeadInBody + kThird,
      false,
      false },
    { "head in an event",
      Head("200 OK", kSignedStream) + "id: 3\nda" + kHeadInBody,
      false,
      false },
    { "error event without an id",
      Chunked(kSignedStream, "event: error\ndata: full\n\n"),
      false,
      false },
    { "events without ids",
      Chunked(kSignedStream, "data: a\n\ndata: b\n\n"),
      false,
      false },
    { "an event is missing",
      Chunked(kSignedStream, "id: 4\ndata: d\n\n"),
      false,
      false },
    { "nothing but repetitions",
      Chunked(kSignedStream, kFirst + kSecond),
      false,
      false },
    { "no events", Chunked(kSignedStream, ""), false, false },
  };
}

std::vector<SpliceCase>
FramingCases()
{
  return {
    { "length", WithLength("200 OK", kSignedStream, kThird), true, true },
    { "chunks", Chunked(kSignedStream, kThird), true, true },
    { "until close", Head("200 OK", kSignedStream) + kThird, true, true },
    { "after repetitions",
      Chunked(kSignedStream, kFirst + kSecond + kThird),
      true,
      true },
    { "after a comment",
      Chunked(kSignedStream, ": ping\n\n" + kThird),
      true,
      true },
    { "after 103",
      "HTTP/1.1 103 Early Hints\r\n\r\n" + Chunked(kSignedStream, kThird),
      true,
      true },
    { "length that isn't reached",
      Head("200 OK", kSignedStream + "Content-Length: 99\r\n") + kThird,
      true,
      false },
    { "until close, in an event",
      Head("200 OK", kSignedStream) + kThird + "id: 4\nda",
      true,
      false },
    { "no last chunk",
      Head("200 OK", kSignedStream + "Transfer-Encoding: chunked\r\n") +
        Chunk(kThird),
      true,
      false },
    { "head after an event",
      Head("200 OK", kSignedStream) + kThird + kHeadInBody,
      true,
      false },
    { "head after chunks",
      Chunked(kSignedStream, kThird) + kHeadInBody,
      true,
      true },
  };
}

TEST_F(GatewaySpliceTest, OnlyTheNextEventsFollowAStreamThatBrokeOff)
{
  std::vector<SpliceCase> cases = ErrorCases();
  for (const auto& more : { OtherResponseCases(), FramingCases() }) {
    cases.insert(cases.end(), more.begin(), more.end());
  }
  for (const SpliceCase& one : cases) {
    SCOPED_TRACE(one.m_name);
    const Received received = Play(BrokenStream(), one.m_second);
    EXPECT_EQ(m_runs, 2);
    EXPECT_EQ(received.m_head.find("HTTP/1.1 200 "), 0U) << received.m_head;
    EXPECT_EQ(received.m_body,
              kFirst + kSecond + (one.m_goesOn ? kThird : std::string()));
    EXPECT_EQ(received.m_complete, one.m_complete);
  }
}

// A second run would repeat what the first one sent.
TEST_F(GatewaySpliceTest, StreamWithEventsWithoutIdsIsNotResumed)
{
  const std::string unnumbered = "data: x\n\n";
  const std::string second =
    Chunked(kSignedStream, kFirst + unnumbered + kSecond);
  for (const std::string& sent : { unnumbered, kFirst + unnumbered }) {
    SCOPED_TRACE(sent);
    std::string first = StreamHeadWithLength();
    first += sent;
    const Received received = Play(first, second);
    EXPECT_EQ(m_runs, 1);
    EXPECT_EQ(received.m_body, sent);
    EXPECT_FALSE(received.m_complete);
  }
}

TEST_F(GatewaySpliceTest, LengthOfTheFirstRunDoesNotFrameAResumedStream)
{
  const std::string begun = kFirst + kSecond;
  const std::string first = StreamHeadWithLength() + begun;
  for (const std::string& next :
       { kThird, "id: 3\ndata: " + std::string(200, 'c') + "\n\n" }) {
    const Received received = Play(first, Chunked(kSignedStream, next));
    EXPECT_EQ(received.m_head.find("Content-Length"), std::string::npos);
    EXPECT_EQ(received.m_body.substr(0, begun.size()), begun);
    EXPECT_EQ(received.m_body.substr(begun.size()), next);
    EXPECT_TRUE(received.m_complete);
  }
}

TEST_F(GatewaySpliceTest, HeadInsideTheFirstStreamIsNotForwarded)
{
  const Received received =
    Play(Head("200 OK", kSignedStream) + kFirst + kHeadInBody,
         Chunked(kSignedStream, kSecond));
  EXPECT_EQ(received.m_body, kFirst + kSecond);
  EXPECT_TRUE(received.m_complete);
}

TEST_F(GatewaySpliceTest, ErrorOfAHedgeDoesNotEndTheStreamThatGoesOn)
{
  std::promise<void> hedgeFailed;
  SetRunners([&](RawSocket& aSocket, int aNumber) {
    if (aNumber > 0) {
      aSocket.Send(WithLength("500 F", kSignature, "failed"));
      aSocket.AwaitAcknowledged();
      hedgeFailed.set_value();
      return;
    }
    aSocket.Send(
      Head("200 OK", kSignedStream + "Transfer-Encoding: chunked\r\n"));
    aSocket.Send(Chunk(kFirst));
    hedgeFailed.get_future().wait();
    aSocket.Send(Chunk(kSecond) + Chunk(""));
  });
  const Received received = Send();
  EXPECT_EQ(m_runs, 2);
  EXPECT_EQ(received.m_body, kFirst + kSecond);
  EXPECT_TRUE(received.m_complete);
}

TEST_F(GatewaySpliceTest, DeadlineAfterAStreamBrokeOffShowsItIsIncomplete)
{
  SetRunners([](RawSocket& aSocket, int aNumber) {
    if (aNumber == 0) {
      aSocket.Send(BrokenStream());
      return;
    }
    aSocket.ReadAll(); // until the gateway gives up
  });
  const Received received = Send();
  EXPECT_EQ(m_runs, 2);
  EXPECT_EQ(received.m_body, kFirst + kSecond);
  EXPECT_FALSE(received.m_complete);
}

TEST_F(GatewaySpliceTest, CallerWithoutChunksSeesWhetherItsStreamIsComplete)
{
  const std::string whole = kFirst + kSecond + kThird;
  std::string request = Request("POST", "/chat/old");
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  for (const bool complete : { true, false }) {
    SCOPED_TRACE(complete);
    SetRunners([complete](RawSocket& aSocket, int aNumber) {
      aSocket.Send(aNumber == 0 ? BrokenStream()
                   : complete   ? Chunked(kSignedStream, kThird)
                                : WithLength("500 F", kSignature, "failed"));
    });
    RawSocket caller(m_gateway->CallersPort());
    caller.Send(request);
    const Received received = Decode(caller.ReadAll());
    EXPECT_EQ(received.m_head.find("Transfer-Encoding"), std::string::npos);
    EXPECT_EQ(caller.WasReset(), !complete);
    if (complete) {
      EXPECT_EQ(received.m_body, whole);
    }
  }
}

} // namespace

} // namespace siskindeal

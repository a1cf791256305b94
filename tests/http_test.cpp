#include "siskindeal/error.h"
#include "siskindeal/http.h"
#include "support/endless_server.h"
#include "support/http_server.h"
#include "support/raw_socket.h"
#include "support/threaded_server.h"

#include <gtest/gtest.h>

#include <future>
#include <mutex>
#include <thread>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

TEST(HttpServer, PassesDecodedPathQueryHeadersAndBody)
{
  HttpRequest received;
  const HttpServer server(
    "127.0.0.1", 0, SmallLimits(), [&](HttpRequest aRequest, auto aResponder) {
      received = aRequest;
      Echo(std::move(aRequest), aResponder);
    });
  HttpClient client;
  const auto reply = client.Fetch({ "PUT",
                                    Url(server, "/a%20b/c+d?x=1%262&y=a+b&z"),
                                    { { "x-team", "Pro Shop" } },
                                    "body" });
  EXPECT_EQ(reply.m_outcome, HttpOutcome::Answered);
  EXPECT_EQ(reply.m_body, "body");
  EXPECT_EQ(reply.m_headers.at("x-path"), "/a b/c+d");
  EXPECT_EQ(received.m_method, "PUT");
  EXPECT_EQ(received.m_query,
            (HttpHeaders{ { "x", "1&2" }, { "y", "a b" }, { "z", "" } }));
  EXPECT_EQ(received.m_headers.at("x-team"), "Pro Shop");
}

TEST(HttpServer, StreamsWithoutDelayAndSignalsTheEnd)
{
  for (const bool complete : { true, false }) {
    std::promise<std::shared_ptr<HttpResponder>> arrived;
    const HttpServer server(
      "127.0.0.1", 0, SmallLimits(), [&](const HttpRequest&, auto aResponder) {
        arrived.set_value(aResponder);
      });
    HttpClient client;
    std::mutex mutex;
    std::string received;
    std::promise<HttpReply> ended;
    HttpClientRequest request{ "POST", Url(server, "/"), {}, "x" };
    request.m_onBody = [&](std::string_view aBytes) {
      const std::lock_guard lock(mutex);
      received += aBytes;
      return true;
    };
    client.Start(request,
                 [&](const HttpReply& aReply) { ended.set_value(aReply); });
    const auto responder = arrived.get_future().get();
    responder->BeginStream(200, { { "content-type", "text/event-stream" } });
    std::string sent;
    for (int i = 0; i < 50; ++i) {
      sent += "data: " + std::to_string(i) + "\n\n";
      EXPECT_TRUE(responder->Write("data: " + std::to_string(i) + "\n\n"));
      // The client receives each part before the next is written.
      Await([&] {
        const std::lock_guard lock(mutex);
        return received == sent;
      });
    }
    complete ? responder->EndStream() : responder->Abort();
    const auto reply = ended.get_future().get();
    EXPECT_EQ(reply.m_outcome,
              complete ? HttpOutcome::Answered : HttpOutcome::SentNoReply);
    EXPECT_EQ(received, sent);
    Await([&] { return server.InFlight() == 0; });
  }
}

TEST(HttpServer, NotifiesOfADisconnectOnce)
{
  for (const bool streaming : { true, false }) {
    std::promise<std::shared_ptr<HttpResponder>> arrived;
    const HttpServer server(
      "127.0.0.1", 0, SmallLimits(), [&](const HttpRequest&, auto aResponder) {
        arrived.set_value(aResponder);
      });
    RawSocket socket(server.Port());
    socket.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    auto responder = arrived.get_future().get();
    std::atomic<int> disconnects{ 0 };
    responder->OnDisconnect([&] { ++disconnects; });
    if (streaming) {
      responder->BeginStream(200, {});
      responder->Write("a");
      socket.ReadUntil("a\r\n");
    }
    EXPECT_EQ(disconnects, 0);
    socket.Close();
    Await([&] { return disconnects == 1; });
    responder->OnDisconnect([&] { ++disconnects; });
    EXPECT_EQ(disconnects, 2);
    EXPECT_FALSE(responder->Write("b"));
    responder.reset();
    Await([&] { return server.InFlight() == 0; });
    EXPECT_EQ(disconnects, 2);
  }
}

TEST(HttpServer, RespondsIfAHandlerThrowsOrReleasesItsResponder)
{
  const HttpServer server("127.0.0.1",
                          0,
                          SmallLimits(),
                          [](const HttpRequest& aRequest, const auto&) {
                            if (aRequest.m_path == "/refuse") {
                              throw Error(Reason::Draining,
                                          Verdict::NotRun,
                                          "leaving",
                                          milliseconds(1500));
                            }
                            if (aRequest.m_path == "/throw") {
                              throw std::runtime_error("expected by the test");
                            }
                          });
  HttpClient client;
  struct Case
  {
    std::string m_path;
    int m_status;
    std::string m_verdict;
  };
  for (const auto& test : { Case{ "/refuse", 503, "not run" },
                            Case{ "/throw", 500, "may have run" },
                            Case{ "/drop", 500, "may have run" } }) {
    SCOPED_TRACE(test.m_path);
    const auto reply = client.Fetch({ "GET", Url(server, test.m_path) });
    EXPECT_EQ(reply.m_status, test.m_status);
    EXPECT_EQ(reply.m_headers.at(std::string(kVerdictHeader)), test.m_verdict);
    EXPECT_EQ(reply.m_headers.count("retry-after"), test.m_path == "/refuse");
  }
}

TEST(HttpServer, DrainsAndIsDestroyedWithPendingRequests)
{
  std::promise<std::shared_ptr<HttpResponder>> first;
  std::promise<std::shared_ptr<HttpResponder>> second;
  std::atomic<int> number{ 0 };
  auto server = std::make_unique<HttpServer>(
    "127.0.0.1", 0, SmallLimits(), [&](const HttpRequest&, auto aResponder) {
      (number++ == 0 ? first : second).set_value(aResponder);
    });
  const auto url = Url(*server, "/");
  HttpClient client;
  std::promise<HttpReply> answered;
  std::promise<HttpReply> aborted;
  client.Start({ "GET", url },
               [&](auto aReply) { answered.set_value(aReply); });
  const auto responder = first.get_future().get();
  client.Start({ "GET", url }, [&](auto aReply) { aborted.set_value(aReply); });
  const auto waiting = second.get_future().get();
  EXPECT_EQ(server->InFlight(), 2U);
  server->StopListening();
  EXPECT_EQ(HttpClient().Fetch({ "GET", url }).m_outcome, HttpOutcome::NotSent);
  responder->Respond(200, {}, "late");
  EXPECT_EQ(answered.get_future().get().m_body, "late");
  server.reset();
  EXPECT_EQ(aborted.get_future().get().m_outcome, HttpOutcome::SentNoReply);
  waiting->Respond(200, {}, "too late");
  EXPECT_FALSE(waiting->Write("x"));
}

TEST(HttpServer, ThrowsIfTheAddressIsUnavailable)
{
  const HttpServer server("127.0.0.1", 0, SmallLimits(), Echo);
  EXPECT_THROW(HttpServer("127.0.0.1", server.Port(), SmallLimits(), Echo),
               Error);
  EXPECT_THROW(HttpServer("nowhere", 0, SmallLimits(), Echo), Error);
}

TEST(HttpClient, ReportsTheOutcomeOfARequest)
{
  struct Case
  {
    std::string m_name;
    std::string m_response; // sent before the connection is closed
    HttpOutcome m_outcome;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const Case cases[] = {
    { "complete", ok + "Content-Length: 2\r\n\r\nab", HttpOutcome::Answered },
    { "empty", ok + "Content-Length: 0\r\n\r\n", HttpOutcome::Answered },
    { "chunks",
      ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
      HttpOutcome::Answered },
    { "no bytes", "", HttpOutcome::SentNoReply },
    { "partial status line", "HTTP/1.1 2", HttpOutcome::SentNoReply },
    { "partial headers", ok + "Content-Le", HttpOutcome::SentNoReply },
    { "short body",
      ok + "Content-Length: 3\r\n\r\nab",
      HttpOutcome::SentNoReply },
    { "no end marker",
      ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
      HttpOutcome::SentNoReply },
    { "invalid chunk size",
      ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
      HttpOutcome::SentNoReply },
    { "until close", ok + "\r\nab", HttpOutcome::SentNoReply },
    { "not http", "220 mail\r\n", HttpOutcome::SentNoReply },
  };
  HttpClient client;
  for (const auto& test : cases) {
    SCOPED_TRACE(test.m_name);
    RawServer server([&](RawSocket& aSocket, int) {
      aSocket.ReadUntil("body");
      aSocket.Send(test.m_response);
    });
    const auto reply =
      client.Fetch({ "POST",
                     "http://127.0.0.1:" + std::to_string(server.Port()) + "/",
                     {},
                     "body" });
    EXPECT_EQ(reply.m_outcome, test.m_outcome) << reply.m_error;
    const bool answered = test.m_outcome == HttpOutcome::Answered;
    EXPECT_EQ(reply.m_error.empty(), answered);
    EXPECT_EQ(reply.m_fault, answered ? HttpFault::None : HttpFault::Other);
  }
  for (const auto& url :
       { "http://127.0.0.1:" + std::to_string(UnusedPort()) + "/",
         std::string("ftp://127.0.0.1/"),
         std::string("::"),
         std::string() }) {
    SCOPED_TRACE(url);
    const auto reply = client.Fetch({ "POST", url, {}, "body" });
    EXPECT_EQ(reply.m_outcome, HttpOutcome::NotSent);
    EXPECT_EQ(reply.m_fault,
              url.starts_with("http:") ? HttpFault::ConnectionRefused
                                       : HttpFault::Other);
  }
}

TEST(HttpClient, ResponseWithoutAnEndIsCutOff)
{
  constexpr std::size_t kMaxSent = 64 << 20; // with the connection's buffers
  const std::string noise(16 << 10, 'x');
  std::atomic<std::size_t> sent{ 0 };
  RawServer server([&](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (sent < kMaxSent && aSocket.Send("4000\r\n" + noise + "\r\n")) {
      sent += noise.size();
    }
  });
  HttpClient client;
  const auto reply =
    client.Fetch({ "GET",
                   "http://127.0.0.1:" + std::to_string(server.Port()) + "/",
                   {},
                   "" });
  EXPECT_EQ(reply.m_outcome, HttpOutcome::SentNoReply);
  EXPECT_LT(sent, kMaxSent);
}

TEST(HttpClient, NeverSendsAnUnsafeRequestTwice)
{
  // The server answers reads, and resets the connection after it has read
  // anything else.
  for (const std::string body : { "body", "" }) {
    for (const std::string method : { "POST", "PUT", "DELETE" }) {
      SCOPED_TRACE(method);
      SCOPED_TRACE(body);
      std::atomic<int> received{ 0 };
      const ThreadedServer server([&](RawSocket aSocket, int, std::uint64_t) {
        for (;;) {
          const std::string head = aSocket.ReadUntil("\r\n\r\n");
          if (head.empty()) {
            return; // a connection without a request
          }
          if (!head.starts_with("GET ")) {
            ++received;
            aSocket.Reset();
            return;
          }
          aSocket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
      });
      HttpClient client;
      const auto url = "http://" + server.ListenAddress().ToString() + "/";
      constexpr int kSent = 2;
      for (int sent = 1; sent <= kSent; ++sent) {
        EXPECT_EQ(client.Fetch({ "GET", url }).m_outcome,
                  HttpOutcome::Answered);
        EXPECT_EQ(client.Fetch({ method, url, {}, body }).m_outcome,
                  HttpOutcome::SentNoReply);
        EXPECT_EQ(received, sent);
      }
    }
  }
}

TEST(HttpClient, ResponsesWithoutEndLeaveMemoryForOthers)
{
  constexpr std::size_t kMegabyte = 1 << 20;
  constexpr std::size_t kLimit =
    8 * kMegabyte; // less than one response may hold
  const EndlessServer endless("HTTP/1.1 200 OK\r\n\r\n",
                              std::string(kMegabyte, 'x'));
  std::promise<void> ended;
  std::atomic<int> left = 8;
  HttpClient client;
  client.LimitMessages(kLimit);
  const int calls = left;
  for (int i = 0; i < calls; ++i) {
    client.Start({ "GET", "http://" + endless.ListenAddress().ToString() },
                 [&](const HttpReply& aReply) {
                   EXPECT_EQ(aReply.m_outcome, HttpOutcome::SentNoReply);
                   EXPECT_EQ(aReply.m_error, "memory for messages is used up");
                   EXPECT_TRUE(aReply.m_body.empty());
                   if (--left == 0) {
                     ended.set_value();
                   }
                 });
  }
  RawServer sound([](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked");
  });
  const HttpReply reply =
    client.Fetch({ "GET", "http://127.0.0.1:" + std::to_string(sound.Port()) });
  EXPECT_EQ(reply.m_body, "booked");
  ended.get_future().wait();
}

TEST(HttpClient, CancelsAndTimesOut)
{
  std::promise<void> arrived;
  std::vector<std::shared_ptr<HttpResponder>> responders;
  std::atomic<int> disconnects{ 0 };
  const HttpServer server("127.0.0.1",
                          0,
                          HttpServerLimits(),
                          [&](const HttpRequest&, auto aResponder) {
                            responders.push_back(aResponder);
                            aResponder->OnDisconnect([&] { ++disconnects; });
                            if (responders.size() == 1) {
                              arrived.set_value();
                            }
                          });
  std::promise<HttpReply> cancelled;
  std::shared_ptr<HttpCall> call;
  {
    HttpClient client;
    call = client.Start({ "POST", Url(server, "/"), {}, "x" },
                        [&](auto aReply) { cancelled.set_value(aReply); });
    arrived.get_future().wait();
    call->Cancel();
    EXPECT_EQ(cancelled.get_future().get().m_outcome, HttpOutcome::Cancelled);
    HttpClientRequest slow{ "POST", Url(server, "/"), {}, "x" };
    slow.m_timeout = milliseconds(50);
    const auto late = client.Fetch(slow);
    EXPECT_EQ(late.m_outcome, HttpOutcome::SentNoReply);
    EXPECT_EQ(late.m_fault, HttpFault::TimedOut);
    call->Cancel();
  }
  call->Cancel();
  Await([&] { return disconnects == 2; });
}

TEST(HttpClient, CompletesEveryCallWhenDestroyed)
{
  const HttpServer server("127.0.0.1", 0, SmallLimits(), Echo);
  std::atomic<int> completions{ 0 };
  constexpr int kCalls = 200;
  {
    HttpClient client;
    for (int i = 0; i < kCalls; ++i) {
      client.Start({ "POST", Url(server, "/"), {}, "x" },
                   [&](const HttpReply&) { ++completions; });
    }
  }
  EXPECT_EQ(completions, kCalls);
}

TEST(Http, MatchesResponsesOfManyConcurrentRequests)
{
  const HttpServer server("127.0.0.1", 0, HttpServerLimits(), Echo);
  HttpClient client;
  std::vector<std::future<HttpReply>> replies;
  constexpr int kCalls = 2000;
  for (int i = 0; i < kCalls; ++i) {
    const auto promise = std::make_shared<std::promise<HttpReply>>();
    replies.push_back(promise->get_future());
    client.Start({ "POST", Url(server, "/"), {}, std::to_string(i) },
                 [promise](auto aReply) { promise->set_value(aReply); });
    if (i % 50 == 49) {
      replies.back().wait();
    }
  }
  for (int i = 0; i < kCalls; ++i) {
    EXPECT_EQ(replies[i].get().m_body, std::to_string(i));
  }
}

} // namespace
} // namespace siskindeal

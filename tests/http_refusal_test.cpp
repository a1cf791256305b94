// Tests that the HTTP server refuses malformed requests and requests over a
// limit.

#include "siskindeal/error.h"
#include "siskindeal/http.h"
#include "support/http_server.h"
#include "support/raw_socket.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <random>
#include <vector>

namespace siskindeal {
namespace {

TEST(HttpServer, RefusesMalformedOrTooLargeRequestsAsNotRun)
{
  struct Case
  {
    std::string m_name;
    std::string m_bytes;
    int m_status;
    std::string m_reason;
  };
  const std::string host = "Host: a\r\n";
  const Case cases[] = {
    { "escape", "GET /%zz HTTP/1.1\r\n" + host + "\r\n", 400, "bad_request" },
    { "truncated escape",
      "GET /%4 HTTP/1.1\r\n" + host + "\r\n",
      400,
      "bad_request" },
    { "null", "GET /a%00b HTTP/1.1\r\n" + host + "\r\n", 400, "bad_request" },
    { "query",
      "GET /a?x=%0d HTTP/1.1\r\n" + host + "\r\n",
      400,
      "bad_request" },
    { "relative", "GET a HTTP/1.1\r\n" + host + "\r\n", 400, "bad_request" },
    { "no host", "GET / HTTP/1.1\r\n\r\n", 400, "bad_request" },
    { "two lengths",
      "POST / HTTP/1.1\r\n" + host +
        "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      400,
      "bad_request" },
    { "length and chunks",
      "POST / HTTP/1.1\r\n" + host +
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      400,
      "bad_request" },
    { "encoding",
      "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n",
      400,
      "bad_request" },
    { "space before colon",
      "GET / HTTP/1.1\r\n" + host + "X-A : b\r\n\r\n",
      400,
      "bad_request" },
    { "space in a name",
      "GET / HTTP/1.1\r\n" + host + "X A: b\r\n\r\n",
      400,
      "bad_request" },
    { "space before a name",
      "GET / HTTP/1.1\r\n X-A: b\r\n" + host + "\r\n",
      400,
      "bad_request" },
    { "return in a value",
      "GET / HTTP/1.1\r\n" + host + "X-A: a\rb\r\n\r\n",
      400,
      "bad_request" },
    { "two hosts",
      "GET / HTTP/1.1\r\n" + host + host + "\r\n",
      400,
      "bad_request" },
    { "method", "G@T / HTTP/1.1\r\n" + host + "\r\n", 400, "bad_request" },
    { "space in the target",
      "GET /a b HTTP/1.1\r\n" + host + "\r\n",
      400,
      "bad_request" },
    { "long body",
      "POST / HTTP/1.1\r\n" + host + "Content-Length: 1001\r\n\r\n" +
        std::string(1001, 'a'),
      413,
      "too_large" },
    { "huge body",
      "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999\r\n\r\n",
      413,
      "too_large" },
    { "long chunks",
      "POST / HTTP/1.1\r\n" + host +
        "Transfer-Encoding: chunked\r\n\r\n258\r\n" + std::string(600, 'a') +
        "\r\n258\r\n" + std::string(600, 'a') + "\r\n0\r\n\r\n",
      413,
      "too_large" },
    { "long header",
      "GET / HTTP/1.1\r\n" + host + "X-A: " + std::string(2000, 'a') +
        "\r\n\r\n",
      431,
      "too_large" },
    { "long target",
      "GET /" + std::string(2000, 'a') + " HTTP/1.1\r\n" + host + "\r\n",
      431,
      "too_large" },
  };
  std::atomic<int> handled{ 0 };
  const HttpServer server(
    "127.0.0.1", 0, SmallLimits(), [&](HttpRequest aRequest, auto aResponder) {
      ++handled;
      Echo(std::move(aRequest), aResponder);
    });
  for (const auto& test : cases) {
    SCOPED_TRACE(test.m_name);
    RawSocket socket(server.Port());
    socket.Send(test.m_bytes);
    const auto answer = socket.ReadAll();
    ASSERT_GT(answer.size(), 12U);
    EXPECT_EQ(answer.substr(9, 3), std::to_string(test.m_status)) << answer;
    EXPECT_NE(answer.find("x-siskindeal-verdict: not run\r\n"),
              std::string::npos);
    const auto body = answer.find("\r\n\r\n");
    ASSERT_NE(body, std::string::npos);
    const auto error = nlohmann::json::parse(answer.substr(body + 4))["error"];
    EXPECT_EQ(error["reason"], test.m_reason);
    EXPECT_EQ(error["verdict"], "not run");
    EXPECT_TRUE(error.contains("retry_after_ms"));
  }
  EXPECT_EQ(handled, 0);
}

TEST(HttpServer, SurvivesBytesThatAreNotHttp)
{
  std::atomic<int> handled{ 0 };
  const HttpServer server(
    "127.0.0.1", 0, SmallLimits(), [&](HttpRequest aRequest, auto aResponder) {
      ++handled;
      Echo(std::move(aRequest), aResponder);
    });
  std::mt19937 random(7);
  for (int i = 0; i < 100; ++i) {
    std::string bytes(random() % 400, ' ');
    for (auto& byte : bytes) {
      byte = static_cast<char>(random());
    }
    RawSocket socket(server.Port());
    socket.Send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: x" + bytes);
    socket.Close();
  }
  EXPECT_EQ(handled, 0);
  HttpClient client;
  EXPECT_EQ(client.Fetch({ "GET", Url(server, "/") }).m_status, 200);
}

TEST(HttpServer, RefusesConnectionsOverTheLimitUntilOneCloses)
{
  auto limits = SmallLimits();
  limits.m_connections = 2;
  const HttpServer server("127.0.0.1", 0, limits, Echo);
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  RawSocket first(server.Port());
  RawSocket second(server.Port());
  for (auto* socket : { &first, &second }) {
    socket->Send(request);
    EXPECT_EQ(socket->ReadUntil("\r\n\r\n").substr(9, 3), "200");
  }
  RawSocket third(server.Port());
  third.Send(request);
  const auto refusal = third.ReadAll();
  EXPECT_EQ(refusal.substr(9, 3), "503");
  EXPECT_NE(refusal.find("retry-after: 1\r\n"), std::string::npos);
  EXPECT_NE(refusal.find("\"overloaded\""), std::string::npos);
  first.Close();
  Await([&] {
    RawSocket again(server.Port());
    again.Send(request);
    return again.ReadUntil("\r\n\r\n").substr(9, 3) == "200";
  });
}

// Bytes that cannot be parsed as a complete request.
struct UnparsableCase
{
  std::string m_name;
  std::string m_bytes;
  int m_status;
  std::string m_reason;
};

std::vector<UnparsableCase>
UnparsableCases()
{
  const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n";
  const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kOversizeBytes = 70000; // more than one read
  return {
    { "method only", "GET\r\n\r\n", 400, "bad_request" },
    { "TLS", "\x16\x03\x01\x02\r\n\r\n", 400, "bad_request" },
    { "not HTTP", "hello over there\r\n\r\n", 400, "bad_request" },
    { "no version", "GET /\r\n\r\n", 400, "bad_request" },
    { "version 2", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 400, "bad_request" },
    { "no colon", get + "x-a\r\n\r\n", 400, "bad_request" },
    { "no name", get + ": b\r\n\r\n", 400, "bad_request" },
    { "null in a value",
      get + std::string("x-a: a\0b\r\n\r\n", 12),
      400,
      "bad_request" },
    { "length of letters",
      post + "Content-Length: abc\r\n\r\n",
      400,
      "bad_request" },
    { "negative length",
      post + "Content-Length: -1\r\n\r\n",
      400,
      "bad_request" },
    { "length over 64 bits",
      post + "Content-Length: " + std::string(23, '9') + "\r\n\r\n",
      400,
      "bad_request" },
    { "chunk size of letters",
      chunked + "zz\r\nab\r\n0\r\n\r\n",
      400,
      "bad_request" },
    { "chunk size over 64 bits",
      chunked + std::string(19, 'f') + "\r\nab\r\n0\r\n\r\n",
      400,
      "bad_request" },
    { "chunk longer than its size",
      chunked + "2\r\nabcd0\r\n\r\n",
      400,
      "bad_request" },
    { "headers far over the limit",
      get + "x-a: " + std::string(kOversizeBytes, 'a') + "\r\n\r\n",
      431,
      "too_large" },
    { "target far over the limit",
      "GET /" + std::string(kOversizeBytes, 'a') + " HTTP/1.1\r\n\r\n",
      431,
      "too_large" },
  };
}

TEST(HttpServer, RefusesUnparsableRequestsWithReasonAndVerdictAndCloses)
{
  std::atomic<int> handled{ 0 };
  const HttpServer server(
    "127.0.0.1", 0, SmallLimits(), [&](HttpRequest aRequest, auto aResponder) {
      ++handled;
      Echo(std::move(aRequest), aResponder);
    });
  for (const auto& test : UnparsableCases()) {
    SCOPED_TRACE(test.m_name);
    RawSocket socket(server.Port());
    socket.Send(test.m_bytes);
    const auto answer = socket.ReadAll();
    ASSERT_GT(answer.size(), 12U);
    EXPECT_EQ(answer.substr(9, 3), std::to_string(test.m_status)) << answer;
    EXPECT_NE(answer.find("x-siskindeal-verdict: not run\r\n"),
              std::string::npos);
    EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
    const auto body = answer.find("\r\n\r\n");
    ASSERT_NE(body, std::string::npos);
    const auto error = nlohmann::json::parse(answer.substr(body + 4))["error"];
    EXPECT_EQ(error["reason"], test.m_reason);
    EXPECT_EQ(error["verdict"], "not run");
  }
  EXPECT_EQ(handled, 0);
}

// Request smuggling: a body with ambiguous framing must not be parsed as
// another request.
TEST(HttpServer, NeverParsesABodyAsARequest)
{
  std::atomic<int> handled{ 0 };
  const HttpServer server(
    "127.0.0.1", 0, SmallLimits(), [&](HttpRequest aRequest, auto aResponder) {
      ++handled;
      Echo(std::move(aRequest), aResponder);
    });
  const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const std::string framing :
       { "Transfer-Encoding: gzip",
         "Transfer-Encoding: gzip, chunked",
         "Transfer-Encoding: chunked\r\nContent-Length: 4",
         "Content-Length: 0\r\nContent-Length: 4" }) {
    SCOPED_TRACE(framing);
    RawSocket socket(server.Port());
    std::string bytes = "POST / HTTP/1.1\r\nHost: a\r\n" + framing;
    bytes.append("\r\n\r\n").append(inner);
    socket.Send(bytes);
    const auto answer = socket.ReadAll();
    EXPECT_EQ(answer.substr(9, 3), "400") << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
  }
  EXPECT_EQ(handled, 0);
}

TEST(HttpServer, RespondsToHeadWithoutABody)
{
  const HttpServer server("127.0.0.1", 0, SmallLimits(), Echo);
  RawSocket socket(server.Port());
  socket.Send("HEAD /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
              "Connection: close\r\n\r\nbody");
  const auto answer = socket.ReadAll();
  EXPECT_EQ(answer.substr(9, 3), "200");
  EXPECT_NE(answer.find("Content-Length: 4\r\n"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("body"), std::string::npos) << answer;
}

} // namespace
} // namespace siskindeal

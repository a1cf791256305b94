#pragma once
// HTTP/1.1 for callers, upstreams, the platform and operators: a server over
// Boost.Beast and a client over libcurl. Both are asynchronous: no thread
// waits for an answer.

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace siskindeal {

// Header names are lower-case.
using HttpHeaders = std::map<std::string, std::string>;

// A request as the server received it, body whole.
struct HttpRequest
{
  std::string m_method;
  std::string m_path;  // without the query, percent-decoded
  HttpHeaders m_query; // decoded, names as sent
  HttpHeaders m_headers;
  std::string m_body;
};

// One request being answered. It keeps itself alive by shared ownership; any
// thread may call it. Either Respond once, or BeginStream, Write..., then
// EndStream or Abort. A responder that is dropped unanswered sends a 500.
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  // Sends a whole answer.
  virtual void Respond(int aStatus,
                       HttpHeaders aHeaders,
                       std::string aBody) = 0;

  // Starts a chunked answer.
  virtual void BeginStream(int aStatus, HttpHeaders aHeaders) = 0;

  // Queues bytes. Returns false when the caller has hung up.
  virtual bool Write(std::string_view aBytes) = 0;

  // Ends the stream so that the caller sees it is complete.
  virtual void EndStream() = 0;

  // Closes the connection so that the caller sees the stream is not complete.
  virtual void Abort() = 0;

  // Runs aTask once if the caller hangs up before the answer has been sent.
  virtual void OnHangUp(std::function<void()> aTask) = 0;
};

using HttpHandler =
  std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

// Limits that the server enforces itself, answering 413, 431 or 503 with a JSON
// reason and the verdict "not run".
struct HttpServerLimits
{
  std::size_t m_bodyBytes = 1 << 20;
  std::size_t m_headerBytes = 16 << 10;
  std::size_t m_connections = 1024;
  std::chrono::seconds m_idle{ 60 };
};

// Listens on one address until stopped.
class HttpServer
{
public:
  // Binds at once; port 0 picks a free one. Throws Error (Unavailable) when the
  // address can't be bound. The handler runs on the server's thread and must
  // not block.
  HttpServer(const std::string& aHost,
             std::uint16_t aPort,
             const HttpServerLimits& aLimits,
             HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t Port() const;

  // Refuses new connections; answers in progress go on.
  void StopListening();

  // Requests that have a responder and whose answer isn't sent.
  std::size_t InFlight() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// How far an outgoing request provably got.
enum class HttpOutcome
{
  Answered,    // a whole answer: length or end marker matched
  NotSent,     // failed before a byte of the request was sent
  SentNoReply, // sent, or perhaps sent; no whole answer
  Cancelled,   // by Cancel, after the connection was used
};

struct HttpClientRequest
{
  std::string m_method = "GET";
  std::string m_url;
  HttpHeaders m_headers{};
  std::string m_body{};
  std::chrono::milliseconds m_timeout{ 30000 };
  std::chrono::milliseconds m_connectTimeout{ 1000 };
  // Connects anew, though a kept connection would do.
  bool m_newConnection = false;
  // Called on the client's thread as answer bytes come; then m_body of the
  // reply stays empty. Returning false cancels. Only for 2xx answers.
  std::function<bool(std::string_view)> m_onBytes{};
  // Called once the status and headers of the answer are known.
  std::function<void(int, const HttpHeaders&)> m_onHeaders{};
};

struct HttpReply
{
  HttpOutcome m_outcome = HttpOutcome::NotSent;
  int m_status = 0;
  HttpHeaders m_headers;
  std::string m_body;
  std::string m_error; // empty when answered
};

// A handle on a request in progress; dropping it doesn't cancel.
class HttpCall
{
public:
  virtual ~HttpCall() = default;
  virtual void Cancel() = 0;
};

// One thread over curl_multi; connections are kept and reused.
class HttpClient
{
public:
  using Done = std::function<void(HttpReply)>;

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a request; aDone runs exactly once, on the client's thread, and must
  // not block.
  std::shared_ptr<HttpCall> Start(HttpClientRequest aRequest, Done aDone);

  // Waits for the answer. Never called from a handler or from aDone.
  HttpReply Fetch(HttpClientRequest aRequest);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace siskindeal

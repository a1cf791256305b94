#pragma once
// HTTP/1.1 server on Boost.Beast and client on libcurl, for callers, upstreams,
// the platform and operators. Both are asynchronous.

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace siskindeal {

// Header names are lower-case.
using HttpHeaders = std::map<std::string, std::string>;

// A request received by the server, with its complete body.
struct HttpRequest
{
  std::string m_method;
  std::string m_path;  // without the query, percent-decoded
  HttpHeaders m_query; // decoded, names as sent
  HttpHeaders m_headers;
  std::string m_body;
};

// Sends the response to one request. It may be called from any thread. Call
// either Respond once, or BeginStream, Write any number of times, and then
// EndStream or Abort. A responder that is released without a response sends a
// 500.
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  // Sends a complete response.
  virtual void Respond(int aStatus,
                       HttpHeaders aHeaders,
                       std::string aBody) = 0;

  // Starts a chunked response.
  virtual void BeginStream(int aStatus, HttpHeaders aHeaders) = 0;

  // Queues bytes. Returns false if the client has disconnected or no stream is
  // open.
  virtual bool Write(std::string_view aBytes) = 0;

  // Ends the stream with its end marker.
  virtual void EndStream() = 0;

  // Closes the connection without an end marker, so that the client detects the
  // truncation.
  virtual void Abort() = 0;

  // Runs aTask once if the client disconnects before the response has been
  // sent.
  virtual void OnDisconnect(std::function<void()> aTask) = 0;
};

using HttpHandler =
  std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

// Limits enforced by the server. Requests that exceed them get a 413, 431 or
// 503 with a JSON reason and the verdict "not run".
struct HttpServerLimits
{
  std::size_t m_bodyBytes = 1 << 20;
  std::size_t m_headerBytes = 16 << 10;
  std::size_t m_connections = 1024;
  // Of requests in arrival and responses not written yet, over all connections.
  std::size_t m_messageBytes = std::numeric_limits<std::size_t>::max();
  std::chrono::seconds m_idleTimeout{ 60 };
};

// Listens on one address.
class HttpServer
{
public:
  // Binds immediately; port 0 selects a free port. Throws Error (Unavailable)
  // if the address can't be bound. The handler runs on the server's thread and
  // must not block.
  HttpServer(const std::string& aHost,
             std::uint16_t aPort,
             const HttpServerLimits& aLimits,
             HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t Port() const;

  // Stops accepting connections. Responses in progress continue.
  void StopListening();

  // Responds to the requests that have no response yet, with the verdict that
  // they may have run, aborts responses in progress and refuses requests in
  // arrival as not run.
  void EndUnfinished(std::string_view aReason);

  // Number of requests passed to the handler whose response has not been sent.
  std::size_t InFlight() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// How an outgoing request ended, and whether it may have been sent.
enum class HttpOutcome
{
  Answered,    // complete response: length or end marker matched
  NotSent,     // failed before any byte of the request was sent
  SentNoReply, // possibly sent; no complete response
  Cancelled,   // cancelled after bytes of the request were sent
};

// Why an outgoing request has no complete response.
enum class HttpFault
{
  None,
  ConnectionRefused, // no process listens at the address
  TimedOut,          // while connecting or waiting for the response
  Other,
};

struct HttpClientRequest
{
  std::string m_method = "GET";
  std::string m_url;
  HttpHeaders m_headers{};
  std::string m_body{};
  std::chrono::milliseconds m_timeout{ 30000 };
  std::chrono::milliseconds m_connectTimeout{ 1000 };
  // Opens a new connection instead of reusing one. Methods other than GET and
  // HEAD do so in any case, and their connections aren't reused.
  bool m_newConnection = false;
  // Called on the client's thread with the body bytes of a 2xx response as they
  // arrive. The m_body of the reply then stays empty. Returning false cancels.
  std::function<bool(std::string_view)> m_onBody{};
  // Called once the status and headers of the response have been received.
  std::function<void(int, const HttpHeaders&)> m_onHeaders{};
};

struct HttpReply
{
  HttpOutcome m_outcome = HttpOutcome::NotSent;
  HttpFault m_fault = HttpFault::None;
  int m_status = 0;
  HttpHeaders m_headers;
  std::string m_body;
  std::string m_error; // empty if Answered
};

// A handle to a request in progress. Releasing it doesn't cancel the request.
class HttpCall
{
public:
  virtual ~HttpCall() = default;
  virtual void Cancel() = 0;
};

// Runs all requests on one thread with curl_multi. Connections of GET and HEAD
// are reused.
class HttpClient
{
public:
  using Done = std::function<void(HttpReply)>;

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Limits what all responses in arrival hold; the largest are ended beyond it.
  // A response that m_onBody takes holds nothing. Thread-safe.
  void LimitMessages(std::size_t aBytes);

  // Starts a request; aDone runs exactly once, on the client's thread, and must
  // not block. Owners of what the callbacks use call Stop before destroying it.
  std::shared_ptr<HttpCall> Start(HttpClientRequest aRequest, Done aDone);

  // Blocks until the response arrives. Must not be called from a handler or
  // from aDone.
  HttpReply Fetch(HttpClientRequest aRequest);

  // Cancels the requests in progress and returns once the last callback has
  // returned. A request started later is dropped without a callback. Must not
  // be called from a callback.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace siskindeal

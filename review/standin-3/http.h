#pragma once
// A small HTTP server and client for the stand-ins of this review: blocking
// sockets, a thread a connection.

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <thread>

namespace review {

using Fields = std::map<std::string, std::string>; // names in lower case

struct Request
{
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  Fields m_fields;
  std::string m_body;

  std::string Field(const std::string& aName) const;
  std::string Query(const std::string& aName) const;
};

// The socket of one accepted connection.
class Peer
{
public:
  explicit Peer(int aSocket)
    : m_socket(aSocket)
  {
  }

  // Returns false if the connection has failed.
  bool Send(std::string_view aBytes);
  // Sends a whole response with a length.
  bool Answer(int aStatus, const Fields& aFields, const std::string& aBody);
  // Whether the client has closed the connection.
  bool HasLeft() const;
  // Ends the connection once the handler returns.
  void CloseAfter() { m_closes = true; }
  bool Closes() const { return m_closes; }

private:
  int m_socket;
  bool m_closes = false;
};

// Listens until the process ends.
class Server
{
public:
  using Handler = std::function<void(const Request&, Peer&)>;

  Server(const std::string& aHost, int aPort, Handler aHandler);

private:
  void Serve(int aSocket) const;

  Handler m_handler;
  int m_listener = -1;
};

struct Response
{
  int m_status = 0; // 0: none came
  Fields m_fields;
  std::string m_body;
  // The response ended as its framing says: by its length or its last chunk.
  bool m_isComplete = false;
};

// Sends one request on a connection of its own and reads the response until its
// end, the connection's end or the timeout.
Response
Call(const std::string& aHost,
     int aPort,
     const std::string& aHead,
     const std::string& aBody,
     std::chrono::milliseconds aTimeout);

} // namespace review

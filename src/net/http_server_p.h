#pragma once
// The answering side of HTTP: listeners and the connections of callers. Reading
// and framing are Boost.Beast's. A caller that leaves is noticed at once, since
// a connection is read all the while, also during a request.

#include "net/http_fields_p.h"
#include "net/loop_p.h"
#include "siskindeal/site.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace siskindeal {

template<bool isRequest>
class MessageParser;

struct IncomingRequest
{
  std::string m_method;
  std::string m_target;
  HttpFields m_fields;
  std::string m_body;
  MonotonicClockPoint m_arrived; // when its last byte was read
};

class HttpListener;

// What a listener says with a refusal of its own.
struct OwnAnswer
{
  HttpFields m_fields;
  std::string m_body;
};

// One caller's connection. It reads one request at a time, hands it to the
// listener's handler and is given the answer: whole, or head, parts and end.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(Loop& aLoop, Tcp::socket aSocket, HttpListener& aListener);

  void Start();

  const IncomingRequest& Request() const { return m_request; }
  // Where the caller connected to.
  Address LocalAddress() const;

  // A whole answer. Fields hold no framing; it is added here.
  void SendWhole(int aStatus,
                 std::string_view aReason,
                 const HttpFields& aFields,
                 std::string_view aBody);
  // The head of an answer that follows in parts, in chunks unless a length is
  // given.
  void SendHead(int aStatus,
                std::string_view aReason,
                const HttpFields& aFields,
                std::optional<std::uint64_t> aLength);
  void SendPart(std::string_view aBytes);
  void SendEnd();
  // Ends an answer early, so that it can't look complete.
  void BreakOff();

  // Bytes handed over and not yet taken by the caller's machine.
  std::size_t Unsent() const { return m_out.size() + m_outWriting.size(); }

  // Called once if the caller leaves before its answer is whole.
  std::function<void()> m_onGone;
  // Called when everything that was handed over has left.
  std::function<void()> m_onDrained;

  // Called once when the present answer has left, or its connection has ended.
  std::function<void()> m_onSent;

  // Ends the connection now if it waits for a request, else with its answer.
  void CloseWhenIdle();
  // The answer that follows is the connection's last.
  void CloseAfterAnswer() { m_keepAlive = false; }
  // Ends the connection now, as if its caller had left.
  void Gone();

private:
  using Parser = MessageParser<true>;

  void Read();
  void OnRead(const NetError& aError);
  void Parse();
  void Refuse(int aStatus, std::string_view aReason);
  void Write();
  void FinishAnswer();
  void ArmIdleTimer(std::chrono::milliseconds aTime, bool aInHead);
  void Close();
  void CloseGently();
  void NoteSent();

  Tcp::socket m_socket;
  Timer m_timer;
  HttpListener& m_listener;
  std::shared_ptr<Parser> m_parser;
  IncomingRequest m_request;
  std::string m_in;
  std::string m_out;
  std::string m_outWriting;
  bool m_reading = false;
  bool m_inRequest = false;
  bool m_keepAlive = true;
  bool m_isHead = false; // its answer has no body
  bool m_chunked = false;
  bool m_continued = false; // the caller was told to send its body
  bool m_closing = false;   // after what is written
  bool m_closed = false;
};

// What one address answers.
class HttpListener
{
public:
  using Handler = std::function<void(std::shared_ptr<ServerConnection>)>;

  // Listens from now on. Throws std::system_error when it can't.
  HttpListener(Loop& aLoop, const Address& aAddress, Handler aHandler);

  // Accepts no more; kept connections end with their next answer.
  void Stop();
  // Ends the connections that wait for a request.
  void CloseIdle();
  // Ends every connection.
  void CloseAll();
  // From now on answers tell callers to connect elsewhere.
  void SayClose() { m_sayClose = true; }

  std::uint16_t Port() const { return m_port; }
  std::size_t Connections() const { return m_connections.size(); }

  ClientLimits m_limits;
  // Fields and body of the answer to a request that is malformed or over a
  // limit, by status and reason; without it the reason is the body.
  std::function<OwnAnswer(int, std::string_view)> m_ownAnswer;
  std::size_t m_mostConnections = 3000; // further ones are closed at once

private:
  friend class ServerConnection;
  void Accept();
  // Those that are there now; aWhat may end any of them.
  void ForEach(const std::function<void(ServerConnection&)>& aWhat);
  // One line a second at most: callers decide how many they cause.
  void LogRefusal(int aStatus, std::string_view aReason);

  Loop& m_loop;
  Tcp::acceptor m_acceptor;
  std::uint16_t m_port = 0;
  Timer m_pause;
  Handler m_handler;
  std::set<ServerConnection*> m_connections;
  bool m_sayClose = false;
  std::uint64_t m_refusals = 0; // since the last line
  MonotonicClockPoint m_refusalLoggedAt{};
};

} // namespace siskindeal

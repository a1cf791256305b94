#pragma once
// The HTTP server: listeners and client connections. Boost.Beast does the
// parsing and framing. A connection is read even during a request, so that a
// disconnect of the client is detected at once.

#include "net/http_fields_p.h"
#include "net/loop_p.h"
#include "net/memory_budget_p.h"
#include "siskindeal/site.h"

#include <functional>
#include <map>
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

// Why the server ends a connection.
enum class ConnectionEnd
{
  LastResponse, // announced by Connection: close
  IdleTimeout,
  HeadTimeout,
  BodyTimeout,
  CallerClosed,
  CallerReset,
  CallerSilent, // it acknowledged nothing, or took nothing of a response
  WriteFailed,
  ResponseAborted,
  Shutdown,
  TooManyConnections,
  OutOfMemory, // for messages
};

// Fields and body of a response that the listener generates itself.
struct LocalReply
{
  HttpFields m_fields;
  std::string m_body;
};

// One client connection. It reads one request at a time and passes it to the
// listener's handler, which sends the response either at once or as head, parts
// and end.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(Loop& aLoop, Tcp::socket aSocket, HttpListener& aListener);

  void Start();

  const IncomingRequest& Request() const { return m_request; }
  // The local address that the client connected to.
  Address LocalAddress() const;
  // The client's address; port 0 if it is not connected any more.
  Address RemoteAddress() const;

  // Sends a complete response. Adds framing fields; aFields must not hold any.
  void SendResponse(int aStatus,
                    std::string_view aReason,
                    const HttpFields& aFields,
                    std::string_view aBody);
  // Sends the head of a response whose body follows in parts, chunked unless a
  // length is given. A client without chunks (HTTP/1.0) gets a body that ends
  // with the connection; if that body is incomplete, a reset shows it.
  void SendHead(int aStatus,
                std::string_view aReason,
                const HttpFields& aFields,
                std::optional<std::uint64_t> aLength);
  void SendPart(std::string_view aBytes);
  void SendEnd();
  // Aborts a response by closing the connection, so that it cannot look
  // complete.
  void AbortResponse();

  // Whether a request is waiting for its response, or for the rest of it.
  bool AwaitsResponse() const { return m_inRequest && !m_closed; }
  // Whether the response to the present request was begun.
  bool HasBegunResponse() const { return m_hasBegunResponse; }
  // Ends a request whose handler failed: responds with 500, which doesn't say
  // whether it was run, or aborts the response that was begun.
  void FailRequest();

  // Bytes that were queued and not yet written to the socket.
  std::size_t Unsent() const { return m_out.size() + m_outWriting.size(); }

  // Called once if the client disconnects before its response is complete.
  std::function<void()> m_onDisconnect;
  // Called when all queued bytes have been written.
  std::function<void()> m_onDrained;

  // Called once when the current response has been written or its connection
  // has closed.
  std::function<void()> m_onSent;

  // Closes the connection if it has been idle for the listener's m_minIdleTime.
  void CloseIfIdle();
  // Refuses the request that is in arrival, if there is one.
  void RefuseIncomplete(int aStatus, std::string_view aReason);
  // Closes the connection after the next response.
  void CloseAfterResponse() { m_keepAlive = false; }
  // Closes the connection as if the client had disconnected.
  void Disconnect(ConnectionEnd aReason = ConnectionEnd::Shutdown);
  // Records the end of the connection if it leaves a request, a response or
  // input unfinished.
  void RecordEnd(ConnectionEnd aReason);

private:
  using Parser = MessageParser<true>;

  void Read();
  void OnRead(const NetError& aError);
  void Parse();
  void Refuse(int aStatus, std::string_view aReason);
  // Whether the caller closed the connection right after its request. A request
  // that is read late must not reach a runner then.
  bool HasCallerLeft();
  void Write();
  void FinishResponse();
  // Begins to wait for a request or for the rest of one.
  void AwaitInput();
  // Counts what the connection holds of a request and its response.
  void CountMemory();
  // Refuses the request that is in arrival, or ends a response that the caller
  // doesn't read. Returns false if the connection holds neither.
  bool BreakOff();
  // The time allowed for that, by the present limits.
  std::chrono::milliseconds InputTimeout() const;
  void ArmTimer(std::chrono::milliseconds aTimeout);
  void OnTimer();
  void Close(ConnectionEnd aReason);
  void CloseGracefully();
  // Whether the connection's close, by whatever cause, is to be a reset.
  void ResetOnClose(bool aReset);
  // What would be lost if the connection ended now; empty: nothing.
  std::string_view Unfinished() const;
  // Whether input has arrived that no request has been made of.
  bool HasInput() const;
  void NotifySent();

  Tcp::socket m_socket;
  Timer m_timer;
  MonotonicClockPoint m_awaitingSince{};
  HttpListener& m_listener;
  std::shared_ptr<Parser> m_parser;
  IncomingRequest m_request;
  std::string m_in;
  std::string m_out;
  std::string m_outWriting;
  std::optional<MemoryBudget::Account> m_memory; // of an open connection
  bool m_reading = false;
  bool m_inRequest = false;
  bool m_keepAlive = true;
  bool m_hasBegunResponse = false;
  bool m_isHead = false; // the response has no body
  bool m_chunked = false;
  bool m_takesChunks = true;         // the client does
  bool m_endsWithConnection = false; // the response that was begun
  bool m_sentContinue = false;       // 100 Continue was sent
  bool m_closing = false;            // once pending output is written
  bool m_lingering = false;          // the output has been shut down
  bool m_closed = false;
  bool m_endRecorded = false;
};

// A listening socket and the connections accepted from it.
class HttpListener
{
public:
  using Handler = std::function<void(std::shared_ptr<ServerConnection>)>;

  // Starts listening. Throws std::system_error on failure.
  HttpListener(Loop& aLoop, const Address& aAddress, Handler aHandler);

  // Stops accepting; open connections close after their next response.
  void Stop();
  // Closes connections that have been idle for m_minIdleTime. Others close
  // after their next response, or when this is called again.
  void CloseIdle();
  // Refuses the requests that are in arrival.
  void RefuseIncomplete(int aStatus, std::string_view aReason);
  // Closes all connections.
  void CloseAll();
  // Records the open connections that the end of the process cuts off.
  void RecordShutdown();
  // Further responses close their connection, so that clients reconnect.
  void AnnounceClose() { m_announceClose = true; }

  std::uint16_t Port() const { return m_port; }
  std::size_t Connections() const { return m_connections.size(); }

  ClientLimits m_limits;
  // Returns the response to a request that is malformed or over a limit, by
  // status and reason. If unset, the reason is the body.
  std::function<LocalReply(int, std::string_view)> m_makeLocalReply;
  std::size_t m_maxConnections = 3000; // others are closed on accept
  // Time for the caller to read its last response before CloseIdle resets a
  // connection on which a further request arrives.
  std::chrono::milliseconds m_minIdleTime{ 500 };

private:
  friend class ServerConnection;
  void Accept();
  // Takes over a connection that was accepted.
  void Serve(Tcp::socket aSocket);
  // Logs at most once a second, since the system may fail each attempt.
  void RecordAcceptFailure(const NetError& aError);
  // Visits the current connections; aAction may close any of them.
  void ForEach(const std::function<void(ServerConnection&)>& aAction);
  // Logs at most once a second, since clients control how many requests fail.
  void LogRefusal(int aStatus, std::string_view aReason);
  // Counts a connection that left something unfinished. Logs at most once a
  // second for each reason.
  void RecordEnd(ConnectionEnd aReason, std::string_view aUnfinished);

  struct EndRecord
  {
    std::uint64_t m_count = 0; // since the last log line
    MonotonicClockPoint m_loggedAt{};
  };

  Loop& m_loop;
  Tcp::acceptor m_acceptor;
  std::uint16_t m_port = 0;
  Timer m_acceptTimer;
  Handler m_handler;
  std::set<ServerConnection*> m_connections;
  bool m_announceClose = false;
  std::uint64_t m_acceptFailures = 0; // since the last log line
  MonotonicClockPoint m_acceptFailureLoggedAt{};
  std::uint64_t m_refusals = 0; // since the last log line
  MonotonicClockPoint m_refusalLoggedAt{};
  std::map<ConnectionEnd, EndRecord> m_endRecords;
};

} // namespace siskindeal

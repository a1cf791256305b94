#pragma once
// The HTTP client: a connection that carries one call at a time, and a pool of
// idle connections. Boost.Beast does the parsing and framing.

#include "net/http_fields_p.h"
#include "net/loop_p.h"
#include "net/memory_budget_p.h"
#include "net/response_ambiguity_p.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace siskindeal {

// A peer that acknowledges nothing for this long is taken for unreachable.
inline constexpr std::chrono::milliseconds kPeerSilenceTimeout{ 3000 };

template<bool isRequest>
class MessageParser;

// One serialized request.
struct OutgoingCall
{
  std::string m_head; // request line and fields, including the empty line
  std::string m_body;
  // A field that the response echoes. A response with another value belongs to
  // an earlier call and is dropped, and so is one without the field on a
  // connection that has carried a call. Empty name: any response is accepted.
  std::string_view m_echoName;
  std::string m_echo;
  bool m_isLast = false; // the connection is closed after its response
  // The call fails unsent if writing it would start later, by BootTime.
  std::optional<std::chrono::milliseconds> m_sendBefore;
};

// What ties a response, or the lack of one, to the present call.
struct CallEvidence
{
  std::uint32_t m_earlierCalls = 0;               // on the connection
  std::chrono::milliseconds m_connectionAge{ 0 }; // when the call began
  bool m_isEchoed = false;                        // the response names the call
  std::size_t m_discardedBytes = 0; // received in this call, before its head
  // The peer sent a response that isn't this call's or may not be, or bytes
  // that are none.
  bool m_hasStrayResponse = false;
};

struct ResponseHead
{
  int m_status = 0;
  std::string m_reason;
  HttpFields m_fields;
  std::optional<std::uint64_t> m_length; // unset: chunked, or until close
  bool m_endsWithConnection = false;     // neither a length nor chunks
};

struct ResponseBodyPart
{
  std::string_view m_bytes; // valid during the callback
};

// The response is complete.
struct ResponseEnd
{};

// Whether a failed call may have been executed.
enum class CallFailure
{
  NotSent,    // no byte was sent
  MayHaveRun, // sent completely or partly
};

struct CallFailed
{
  CallFailure m_how = CallFailure::MayHaveRun;
  std::string m_reason;
};

using CallEvent =
  std::variant<ResponseHead, ResponseBodyPart, ResponseEnd, CallFailed>;
using CallEventHandler = std::function<void(const CallEvent&)>;

class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  HttpConnection(Loop& aLoop, const Tcp::endpoint& aRemote);
  ~HttpConnection();

  // Starts a call; connects first if necessary. The connection must be new or
  // Reusable. Calls aEvents from the loop, never from within Begin, until an
  // ResponseEnd or a CallFailed.
  void Begin(OutgoingCall aCall,
             std::chrono::milliseconds aConnectTimeout,
             CallEventHandler aEvents);

  // Closes the connection; no further events are reported. A call in progress
  // ends with a reset, and what it has not sent yet is dropped.
  void Abort();

  // Stops or resumes reading, for flow control.
  void PauseReading(bool aPaused);

  bool Reusable() const { return m_reusable; }
  // Whether the peer has closed the connection or sent bytes that weren't read.
  // Between two calls, such bytes are the response to none.
  bool HasUnreadInput();
  // Whether the peer's system has acknowledged all that was written. True if
  // the local system can't tell.
  bool IsAcknowledged();
  // Of the present or last call.
  const CallEvidence& Evidence() const { return m_evidence; }
  MonotonicClockPoint IdleSince() const { return m_idleSince; }
  std::chrono::milliseconds IdleLimit() const { return m_idleLimit; }

private:
  using Parser = MessageParser<false>;

  void Connect(std::chrono::milliseconds aTimeout);
  void Write();
  void Read();
  void OnRead(const NetError& aError);
  // The peer has ended a response without a length. It is complete unless the
  // connection was reset, which only the write of the request may have seen.
  void OnEndOfStream();
  bool WasReset();
  void Parse();
  // Passes on what the parser has of the body. Keeps no buffer for the next
  // part.
  void EmitBody();
  void CountMemory();
  void NewParser();
  void OnHead();
  // Whether a response belongs to the present call.
  bool IsTied(const HttpFields& aFields) const;
  // The body has broken off, and its length takes up another response.
  void FailJoined();
  void FailAmbiguous(const ResponseHead& aHead, std::string_view aReason);
  void LogDiscarded(const ResponseHead& aHead);
  void OnEnd();
  void Fail(std::string aReason);
  void Emit(const CallEvent& aEvent);
  void DropUnsent();
  void Close();

  Loop& m_loop;
  Tcp::endpoint m_remote;
  Tcp::socket m_socket;
  Timer m_timer;
  OutgoingCall m_call;
  CallEventHandler m_events;
  std::unique_ptr<Parser> m_parser;
  std::string m_in;
  std::chrono::milliseconds m_idleLimit;
  MonotonicClockPoint m_openedAt;
  MonotonicClockPoint m_idleSince;
  bool m_inCall = false;
  bool m_connected = false;
  bool m_reading = false;
  bool m_writing = false;
  bool m_sentAny = false;
  std::string m_writeError; // of the present request
  // The response has ended with the connection, but the request is not sent
  // and acknowledged yet.
  bool m_awaitsUpload = false;
  bool m_paused = false;
  bool m_reusable = false;
  bool m_discardResponse = false; // informational, or of an earlier call
  std::uint32_t m_calls = 0;      // that a response has ended
  CallEvidence m_evidence;
  std::optional<BodyScanner> m_scanner; // of the present body
  std::size_t m_discardedResponses = 0; // in this call
  bool m_closed = false;
  std::optional<MemoryBudget::Account> m_memory; // of input, during a call
};

// Idle connections by remote address, kept for reuse.
class ConnectionPool
{
public:
  // aMaxIdle limits the idle time, even if the peer allows more.
  explicit ConnectionPool(
    Loop& aLoop,
    std::chrono::milliseconds aMaxIdle = std::chrono::hours(1))
    : m_loop(aLoop)
    , m_maxIdle(aMaxIdle)
  {
  }

  // Returns an idle connection, or a new one that connects on its first call.
  std::shared_ptr<HttpConnection> Acquire(const Address& aAddress);

  // Returns a new connection. No response to an earlier call can arrive on it.
  std::shared_ptr<HttpConnection> Open(const Address& aAddress);

  // Returns a new connection in place of an idle one, which is closed. Its call
  // is sent only once the remote system has responded.
  std::shared_ptr<HttpConnection> Replace(const Address& aAddress);

  // Returns a connection to the pool after its call, if it is reusable.
  void Release(const Address& aAddress,
               const std::shared_ptr<HttpConnection>& aConnection);

  // Closes connections that have been idle too long.
  void Sweep();

  std::size_t IdleCount() const;

private:
  bool MayKeep(const HttpConnection& aConnection) const;

  Loop& m_loop;
  std::chrono::milliseconds m_maxIdle;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> m_idle;
};

// A buffered response, or the reason of a failure.
struct BufferedResponse
{
  int m_status = 0; // 0: the call failed
  HttpFields m_fields;
  std::string m_body; // if the call failed, what had arrived
  std::chrono::milliseconds m_firstByteAfter{ 0 }; // from the call's start
  std::string m_failure;
};

// Sends one request and buffers the response. Fails after aTimeout, or later
// while data is still arriving. A POST gets a connection of its own, so that no
// response to an earlier call is taken for its. aSendBefore: as in
// OutgoingCall.
void
CallBuffered(Loop& aLoop,
             const std::shared_ptr<ConnectionPool>& aPool,
             const Address& aAddress,
             std::string_view aMethod,
             std::string_view aTarget,
             std::string aBody,
             std::chrono::milliseconds aTimeout,
             std::function<void(BufferedResponse)> aDone,
             std::optional<std::chrono::milliseconds> aSendBefore = {});

} // namespace siskindeal

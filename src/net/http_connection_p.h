#pragma once
// The calling side of HTTP: one connection that carries one call at a time, and
// the connections kept open between calls. Reading and framing are
// Boost.Beast's.

#include "net/http_fields_p.h"
#include "net/loop_p.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace siskindeal {

template<bool isRequest>
class MessageParser;

// One request as it goes onto the wire.
struct OutgoingCall
{
  std::string m_head; // request line and fields, with the empty line
  std::string m_body;
  // The name and value of a field that the answer must repeat; an answer with
  // another value belongs to an earlier call and is dropped. Empty: any answer.
  std::string_view m_echoName;
  std::string m_echo;
};

struct AnswerHead
{
  int m_status = 0;
  std::string m_reason;
  HttpFields m_fields;
  std::optional<std::uint64_t> m_length; // none: chunked or up to the close
};

struct AnswerBody
{
  std::string_view m_bytes; // valid during the call back
};

// The answer is whole.
struct AnswerEnd
{};

// How far a call had come when it failed.
enum class CallFailure
{
  NotSent,    // no byte of it left this process
  MayHaveRun, // sent, wholly or partly
};

struct CallFailed
{
  CallFailure m_how = CallFailure::MayHaveRun;
  std::string m_reason;
};

using CallEvent = std::variant<AnswerHead, AnswerBody, AnswerEnd, CallFailed>;
using CallEvents = std::function<void(const CallEvent&)>;

class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  HttpConnection(Loop& aLoop, const Tcp::endpoint& aRemote);
  ~HttpConnection();

  // Begins a call; connects first if there is no connection yet. Only while
  // Reusable or new. aEvents is called from the loop until an AnswerEnd or a
  // CallFailed, never from inside this function.
  void Begin(OutgoingCall aCall,
             std::chrono::milliseconds aConnectTimeout,
             CallEvents aEvents);

  // Closes the connection; the call's events stop.
  void Abort();

  // Stops or resumes reading, for a receiver that can't keep up.
  void PauseReading(bool aPaused);

  bool Reusable() const { return m_reusable; }
  MonotonicClockPoint IdleSince() const { return m_idleSince; }
  std::chrono::milliseconds IdleLimit() const { return m_idleLimit; }

private:
  using Parser = MessageParser<false>;

  void Connect(std::chrono::milliseconds aTimeout);
  void Write();
  void Read();
  void OnRead(const NetError& aError);
  void Parse();
  void NewParser();
  void OnHead();
  void OnEnd();
  void Fail(std::string aReason);
  void Emit(const CallEvent& aEvent);
  void Close();

  Loop& m_loop;
  Tcp::endpoint m_remote;
  Tcp::socket m_socket;
  Timer m_timer;
  OutgoingCall m_call;
  CallEvents m_events;
  std::unique_ptr<Parser> m_parser;
  std::string m_in;
  std::string m_chunk;
  std::chrono::milliseconds m_idleLimit;
  MonotonicClockPoint m_idleSince;
  bool m_inCall = false;
  bool m_connected = false;
  bool m_reading = false;
  bool m_writing = false;
  bool m_sentAny = false;
  bool m_paused = false;
  bool m_reusable = false;
  bool m_foreign = false; // the answer being read belongs to an earlier call
  bool m_closed = false;
};

// Connections by remote address, kept for the next call.
class ConnectionPool
{
public:
  // aMostIdle: no connection is kept longer, whatever its other side allows.
  explicit ConnectionPool(
    Loop& aLoop,
    std::chrono::milliseconds aMostIdle = std::chrono::hours(1))
    : m_loop(aLoop)
    , m_mostIdle(aMostIdle)
  {
  }

  // A kept connection, or a new one that connects when its call begins.
  std::shared_ptr<HttpConnection> Take(const Address& aAddress);

  // Keeps a connection whose call has ended, if it can carry another.
  void Give(const Address& aAddress,
            const std::shared_ptr<HttpConnection>& aConnection);

  // Closes what has been idle for too long.
  void Sweep();

  std::size_t Idle() const;

private:
  bool MayKeep(const HttpConnection& aConnection) const;

  Loop& m_loop;
  std::chrono::milliseconds m_mostIdle;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> m_idle;
};

// One call whose answer is small: status and body, or a failure.
struct WholeAnswer
{
  int m_status = 0; // 0: no answer
  HttpFields m_fields;
  std::string m_body;
  std::string m_failure;
};

// Sends one request and hands over the whole answer; fails after aTimeout.
void
CallWhole(Loop& aLoop,
          const std::shared_ptr<ConnectionPool>& aPool,
          const Address& aAddress,
          std::string_view aMethod,
          std::string_view aTarget,
          std::string aBody,
          std::chrono::milliseconds aTimeout,
          std::function<void(WholeAnswer)> aDone);

} // namespace siskindeal

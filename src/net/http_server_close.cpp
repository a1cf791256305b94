// The end of client connections: timeouts, graceful closing, and the record of
// what was left unfinished.

#include "net/http_server_p.h"
#include "net/message_parser_p.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCloseLinger{ 500 };

std::string_view
ToString(ConnectionEnd aReason)
{
  switch (aReason) {
    case ConnectionEnd::LastResponse:
      return "last response";
    case ConnectionEnd::IdleTimeout:
      return "idle timeout";
    case ConnectionEnd::HeadTimeout:
      return "timeout in head";
    case ConnectionEnd::BodyTimeout:
      return "timeout in body";
    case ConnectionEnd::CallerClosed:
      return "closed by caller";
    case ConnectionEnd::CallerReset:
      return "reset by caller";
    case ConnectionEnd::CallerSilent:
      return "caller unresponsive";
    case ConnectionEnd::WriteFailed:
      return "write failed";
    case ConnectionEnd::ResponseAborted:
      return "response aborted";
    case ConnectionEnd::Shutdown:
      return "shutdown";
    case ConnectionEnd::TooManyConnections:
      return "too many connections";
    case ConnectionEnd::OutOfMemory:
      return "out of message memory";
  }
  return "unknown";
}

} // namespace

void
HttpListener::RecordEnd(ConnectionEnd aReason, std::string_view aUnfinished)
{
  constexpr std::chrono::seconds kLogInterval{ 1 };
  CountMetric("siskindeal_http_connections_ended_total",
              { { "reason", std::string(ToString(aReason)) },
                { "unfinished", std::string(aUnfinished) } });
  EndRecord& record = m_endRecords[aReason];
  ++record.m_count;
  if (LoopNow() - record.m_loggedAt < kLogInterval) {
    return;
  }
  Log(LogLevel::Info,
      "caller connection ended",
      { { "reason", ToString(aReason) },
        { "unfinished", aUnfinished },
        { "port", m_port },
        { "connections", std::exchange(record.m_count, 0) } });
  record.m_loggedAt = LoopNow();
}

void
HttpListener::RecordShutdown()
{
  ForEach([](ServerConnection& aConnection) {
    aConnection.RecordEnd(ConnectionEnd::Shutdown);
  });
}

std::string_view
ServerConnection::Unfinished() const
{
  if (m_inRequest || Unsent() > 0) {
    return "response";
  }
  if (m_parser) {
    return m_parser->m_hasHead ? "request body" : "request head";
  }
  return HasInput() ? "input" : "";
}

bool
ServerConnection::HasInput() const
{
  NetError ignored;
  return !m_in.empty() || m_socket.available(ignored) > 0;
}

void
ServerConnection::RecordEnd(ConnectionEnd aReason)
{
  const std::string_view unfinished = Unfinished();
  if (!unfinished.empty() && !std::exchange(m_endRecorded, true)) {
    m_listener.RecordEnd(aReason, unfinished);
  }
}

milliseconds
ServerConnection::InputTimeout() const
{
  const ClientLimits& limits = m_listener.m_limits;
  return m_parser && !m_parser->m_hasHead ? limits.m_headerTimeout
                                          : limits.m_idleTimeout;
}

void
ServerConnection::AwaitInput()
{
  m_awaitingSince = LoopNow();
  ArmTimer(InputTimeout());
}

void
ServerConnection::ArmTimer(milliseconds aTimeout)
{
  m_timer.expires_after(aTimeout);
  m_timer.async_wait([self = shared_from_this()](const NetError& aError) {
    if (!aError) {
      self->OnTimer();
    }
  });
}

void
ServerConnection::OnTimer()
{
  // A handler that is already queued can't be cancelled: the timer may have
  // been armed anew since.
  if (m_closed || m_inRequest || LoopNow() < m_timer.expiry()) {
    return;
  }
  if (m_closing) {
    if (m_lingering) {
      Close(ConnectionEnd::LastResponse);
    }
    return;
  }
  if (!m_parser && Unsent() > 0) {
    return; // armed again once the response is written
  }
  // Input that came while the loop was busy is read first: the loop runs the
  // handlers of sockets before those of timers that it finds due with them.
  NetError ignored;
  if (m_socket.available(ignored) > 0) {
    ArmTimer(milliseconds(0));
    return;
  }
  // The limits may have changed since the timer was armed.
  const auto left = m_awaitingSince + InputTimeout() - LoopNow();
  if (left.count() > 0) {
    ArmTimer(std::chrono::ceil<milliseconds>(left));
    return;
  }
  if (!m_parser) {
    Close(ConnectionEnd::IdleTimeout);
    return;
  }
  RecordEnd(m_parser->m_hasHead ? ConnectionEnd::BodyTimeout
                                : ConnectionEnd::HeadTimeout);
  Refuse(408, "timed out waiting for the request");
}

void
ServerConnection::AbortResponse()
{
  RecordEnd(ConnectionEnd::ResponseAborted);
  m_onDisconnect = nullptr;
  m_keepAlive = false;
  m_inRequest = false;
  if (m_endsWithConnection) {
    Close(ConnectionEnd::ResponseAborted);
    return;
  }
  if (!m_closed) {
    m_closing = true;
    Write();
  }
}

void
ServerConnection::FailRequest()
{
  constexpr int kInternalServerError = 500;
  if (!AwaitsResponse()) {
    return;
  }
  if (m_hasBegunResponse) {
    AbortResponse();
    return;
  }
  m_keepAlive = false;
  SendResponse(kInternalServerError, {}, {}, "internal error");
}

void
ServerConnection::ResetOnClose(bool aReset)
{
  NetError ignored;
  m_socket.set_option(boost::asio::socket_base::linger(aReset, 0), ignored);
}

void
ServerConnection::CloseGracefully()
{
  // Closing with unread input would reset the connection, which could discard
  // the last response before the client reads it.
  if (m_endsWithConnection) {
    ResetOnClose(false);
  }
  NetError ignored;
  m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
  m_lingering = true;
  ArmTimer(kCloseLinger);
  Read();
}

void
ServerConnection::CloseIfIdle()
{
  const bool idle = !m_inRequest && !m_parser && !m_closing && !HasInput() &&
                    Unsent() == 0 &&
                    LoopNow() - m_awaitingSince >= m_listener.m_minIdleTime;
  // Nothing is shut down or read first: a request that crosses the close stays
  // unread, and the reset tells its caller so.
  if (idle) {
    Close(ConnectionEnd::Shutdown);
  }
}

void
ServerConnection::RefuseIncomplete(int aStatus, std::string_view aReason)
{
  if (m_parser && !m_closing) {
    RecordEnd(ConnectionEnd::Shutdown);
    Refuse(aStatus, aReason);
  }
}

void
ServerConnection::Disconnect(ConnectionEnd aReason)
{
  const auto self = shared_from_this();
  const auto onGone = std::exchange(m_onDisconnect, nullptr);
  const auto onSent = std::exchange(m_onSent, nullptr);
  Close(aReason);
  if (onGone) {
    onGone();
  }
  if (onSent) {
    onSent();
  }
}

void
ServerConnection::Close(ConnectionEnd aReason)
{
  if (m_closed) {
    return;
  }
  RecordEnd(aReason);
  m_closed = true;
  m_memory.reset();
  m_onDrained = nullptr;
  m_listener.m_connections.erase(this);
  NotifySent();
  NetError ignored;
  m_timer.cancel(ignored);
  m_socket.close(ignored);
}

} // namespace siskindeal

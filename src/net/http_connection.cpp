#include "net/http_connection_p.h"
#include "net/message_parser_p.h"
#include "siskindeal/log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDefaultIdleLimit{ 4000 };

} // namespace

HttpConnection::HttpConnection(Loop& aLoop, const Tcp::endpoint& aRemote)
  : m_loop(aLoop)
  , m_remote(aRemote)
  , m_socket(aLoop)
  , m_timer(aLoop)
  , m_idleLimit(kDefaultIdleLimit)
  , m_openedAt(std::chrono::steady_clock::now())
{
}

HttpConnection::~HttpConnection() = default;

void
HttpConnection::Begin(OutgoingCall aCall,
                      milliseconds aConnectTimeout,
                      CallEventHandler aEvents)
{
  m_call = std::move(aCall);
  m_events = std::move(aEvents);
  m_inCall = true;
  m_reusable = false;
  m_sentAny = false;
  m_writeError.clear();
  m_awaitsUpload = false;
  m_paused = false;
  m_evidence = { m_calls,
                 std::chrono::duration_cast<milliseconds>(
                   std::chrono::steady_clock::now() - m_openedAt) };
  m_discardedResponses = 0;
  m_memory.emplace(m_loop, "response in arrival", [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self) {
      self->Fail(std::string(kOutOfMessageMemory));
    }
    return self != nullptr;
  });
  NewParser();
  if (!m_connected) {
    Connect(aConnectTimeout);
    return;
  }
  boost::asio::post(m_loop, [self = shared_from_this()] {
    if (!self->m_closed) {
      self->Write();
      return;
    }
    self->Emit(CallFailed{ CallFailure::NotSent, "closed while idle" });
  });
}

void
HttpConnection::Connect(milliseconds aTimeout)
{
  m_timer.expires_after(aTimeout);
  m_timer.async_wait([self = shared_from_this()](const NetError& aError) {
    if (!aError && !self->m_connected) {
      self->Fail("connect timed out");
    }
  });
  m_socket.async_connect(m_remote,
                         [self = shared_from_this()](const NetError& aError) {
                           if (self->m_closed) {
                             return;
                           }
                           self->m_timer.cancel();
                           if (aError) {
                             self->Fail("connect: " + aError.message());
                             return;
                           }
                           self->m_connected = true;
                           PrepareSocket(self->m_socket, kPeerSilenceTimeout);
                           self->Read();
                           self->Write();
                         });
}

bool
HttpConnection::HasUnreadInput()
{
  if (!m_connected) {
    return false;
  }
  char byte = 0;
  const auto received = ::recv(
    m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool
HttpConnection::IsAcknowledged()
{
  if (!m_connected || m_writing || !m_sentAny) {
    return false;
  }
  int unacknowledged = 0;
  return ::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) != 0 ||
         unacknowledged == 0;
}

void
HttpConnection::Write()
{
  if (HasUnreadInput()) {
    Fail("closed, or bytes received, before the request was sent");
    return;
  }
  if (m_call.m_sendBefore && BootTime() >= *m_call.m_sendBefore) {
    Fail("expired before the request was sent");
    return;
  }
  m_writing = true;
  m_sentAny = true;
  const std::array<boost::asio::const_buffer, 2> buffers = {
    boost::asio::buffer(m_call.m_head), boost::asio::buffer(m_call.m_body)
  };
  boost::asio::async_write(
    m_socket,
    buffers,
    [self = shared_from_this()](const NetError& aError, std::size_t) {
      // After an error the request stays unwritten, so that the connection
      // isn't reused if its response ends first.
      self->m_writing = static_cast<bool>(aError);
      if (!self->m_inCall || self->m_closed) {
        return;
      }
      if (aError) {
        self->m_writeError = aError.message();
      }
      if (self->m_awaitsUpload) {
        self->OnEndOfStream();
      } else if (aError && !self->m_reading) {
        // While a read is pending, the rest of the response may arrive.
        self->Fail("write: " + self->m_writeError);
      }
    });
}

void
HttpConnection::Read()
{
  if (m_closed || m_paused) {
    return;
  }
  AsyncRead(m_socket,
            m_in,
            m_reading,
            [self = shared_from_this()](const NetError& aError) {
              self->OnRead(aError);
            });
}

void
HttpConnection::OnRead(const NetError& aError)
{
  if (m_closed) {
    return;
  }
  if (!m_inCall) {
    Close(); // closed by the peer, or bytes that belong to no call
    return;
  }
  if (!m_sentAny) {
    Fail("closed, or bytes received, before the request was sent");
    return;
  }
  if (!m_in.empty()) {
    Parse();
  }
  if (m_closed || !m_inCall) {
    return;
  }
  CountMemory();
  if (!aError) {
    Read();
    return;
  }
  // A body without a length ends at the close, unless the connection was reset.
  if (aError == boost::asio::error::eof && m_parser->m_hasHead &&
      !m_discardResponse && m_parser->need_eof()) {
    boost::beast::error_code error;
    m_parser->put_eof(error);
    if (!error && m_parser->is_done()) {
      OnEndOfStream();
      return;
    }
  }
  Fail("read: " + aError.message());
}

void
HttpConnection::OnEndOfStream()
{
  constexpr milliseconds kCheckInterval{ 10 };
  if (!m_writeError.empty() || WasReset()) {
    Fail("reset at the end of the response; write: " + m_writeError);
    return;
  }
  if (!m_writing && IsAcknowledged()) {
    OnEnd();
    return;
  }
  // Until the peer has all of the request, it may still reset the connection.
  m_awaitsUpload = true;
  m_timer.expires_after(kCheckInterval);
  m_timer.async_wait([self = shared_from_this()](const NetError& aError) {
    if (!aError && !self->m_closed && self->m_awaitsUpload) {
      self->OnEndOfStream();
    }
  });
}

bool
HttpConnection::WasReset()
{
  // After an orderly end, the state is CLOSE_WAIT.
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(
        m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
      info.tcpi_state == TCP_CLOSE) {
    return true;
  }
  int error = 0;
  size = sizeof(error);
  return ::getsockopt(
           m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) ==
           0 &&
         error != 0;
}

void
HttpConnection::Fail(std::string aReason)
{
  if (m_closed) {
    return;
  }
  const auto self = shared_from_this();
  const CallFailure how =
    m_sentAny ? CallFailure::MayHaveRun : CallFailure::NotSent;
  m_inCall = false;
  const CallEventHandler events = std::move(m_events);
  m_events = nullptr;
  Close();
  if (events) {
    events(CallFailed{ how, std::move(aReason) });
  }
}

void
HttpConnection::Emit(const CallEvent& aEvent)
{
  if (m_events) {
    const CallEventHandler events = m_events; // the receiver may abort the call
    events(aEvent);
  }
}

void
HttpConnection::Abort()
{
  if (m_inCall && m_connected && !m_closed) {
    DropUnsent();
  }
  m_events = nullptr;
  m_inCall = false;
  Close();
}

// Makes the close a reset. After an orderly one, the kernel would go on
// delivering what the send buffer holds.
void
HttpConnection::DropUnsent()
{
  NetError error;
  m_socket.set_option(boost::asio::socket_base::linger(true, 0), error);
  if (error) {
    Log(LogLevel::Warning,
        "linger option not set",
        { { "reason", error.message() } });
  }
}

void
HttpConnection::PauseReading(bool aPaused)
{
  m_paused = aPaused;
  if (!aPaused && m_inCall && m_connected) {
    Read();
  }
}

void
HttpConnection::Close()
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_reusable = false;
  m_memory.reset();
  NetError ignored;
  m_timer.cancel(ignored);
  m_socket.close(ignored);
}

} // namespace siskindeal

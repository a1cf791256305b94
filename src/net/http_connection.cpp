#include "net/http_connection_p.h"
#include "net/message_parser_p.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <absl/strings/numbers.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

namespace siskindeal {

namespace {

namespace http = boost::beast::http;

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxHeadBytes = 64 << 10;
constexpr std::uint64_t kMaxBodyBytes = 256ULL << 20;
// Of informational responses and those to earlier calls. Each takes a parser of
// its own, so that short ones without end would keep the loop busy.
constexpr std::size_t kMaxDiscardedBytes = 1 << 20;
constexpr std::size_t kMaxDiscardedResponses = 64;
// Share of the upstream's keep-alive timeout for which an idle connection is
// reused, so that a call does not race with the upstream's close.
constexpr double kIdleShare = 0.6;
constexpr milliseconds kDefaultIdleLimit{ 4000 };
constexpr milliseconds kMaxIdleLimit = std::chrono::hours(1);
constexpr std::string_view kTimeoutKey = "timeout=";

// Parses "timeout=N" of a Keep-Alive header.
std::optional<milliseconds>
KeepAliveTimeout(const std::string* aField)
{
  if (aField == nullptr) {
    return std::nullopt;
  }
  const auto at = aField->find(kTimeoutKey);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* const first = aField->data() + at + kTimeoutKey.size();
  const auto [end, error] =
    std::from_chars(first, aField->data() + aField->size(), seconds);
  if (error != std::errc{} || seconds < 0) {
    return std::nullopt;
  }
  return std::min<milliseconds>(std::chrono::seconds(seconds), kMaxIdleLimit);
}

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
HttpConnection::NewParser()
{
  m_parser = std::make_unique<Parser>(kMaxHeadBytes, kMaxBodyBytes);
  m_parser->skip(m_call.m_head.rfind("HEAD ", 0) == 0);
  m_discardResponse = false;
  m_scanner.reset();
}

void
HttpConnection::Parse()
{
  const auto self = shared_from_this();
  while (!m_closed && m_inCall && !m_in.empty()) {
    const bool hadHead = m_parser->m_hasHead;
    boost::beast::error_code error;
    const std::size_t used =
      m_parser->put(boost::asio::buffer(m_in.data(), m_in.size()), error);
    m_in.erase(0, used);
    if (error && error != http::error::need_more) {
      m_evidence.m_hasStrayResponse = true;
      Fail("parse: " + error.message());
      return;
    }
    if (!hadHead && m_parser->m_hasHead) {
      OnHead();
    }
    if (m_closed || !m_inCall) {
      return;
    }
    if (m_discardResponse) {
      m_evidence.m_discardedBytes += used;
      if (m_evidence.m_discardedBytes > kMaxDiscardedBytes) {
        Fail("too many bytes that belong to no response");
        return;
      }
    }
    EmitBody();
    if (m_closed || !m_inCall) {
      return;
    }
    if (m_parser->is_done()) {
      if (m_discardResponse || m_parser->m_status / 100 == 1) {
        if (++m_discardedResponses > kMaxDiscardedResponses) {
          Fail("too many responses that answer no request");
          return;
        }
        NewParser();
        continue;
      }
      if (m_scanner && m_scanner->IsContinuedBy(m_in)) {
        FailJoined();
        return;
      }
      OnEnd();
      return;
    }
    if (used == 0) {
      if (m_in.size() > kMaxHeadBytes + kMaxUnparsedBytes) {
        Fail("too many bytes without an end");
      }
      return; // the parser needs more bytes
    }
  }
}

void
HttpConnection::EmitBody()
{
  if (m_parser->m_body.empty()) {
    return;
  }
  const std::string part = std::exchange(m_parser->m_body, {});
  if (m_scanner && m_scanner->Add(part)) {
    FailJoined();
    return;
  }
  if (!m_discardResponse) {
    Emit(ResponseBodyPart{ part });
  }
}

void
HttpConnection::CountMemory()
{
  if (m_in.empty()) {
    m_in = {};
  }
  constexpr std::size_t kFieldCopies = 2; // the parser's and the receiver's
  m_memory->Set(m_in.capacity() + m_parser->m_fields.Bytes() * kFieldCopies);
}

void
HttpConnection::OnHead()
{
  const ResponseHead head{ m_parser->m_status,
                           m_parser->m_reason,
                           m_parser->m_fields,
                           m_parser->m_length,
                           m_parser->need_eof() };
  const std::string_view ambiguity = AmbiguityOf(head, m_call.m_echoName);
  if (!ambiguity.empty()) {
    FailAmbiguous(head, ambiguity);
    return;
  }
  if (head.m_status / 100 == 1) {
    m_discardResponse = true;
    return;
  }
  if (IsTied(head.m_fields)) {
    m_evidence.m_isEchoed = !m_call.m_echo.empty() &&
                            head.m_fields.Find(m_call.m_echoName) != nullptr;
    if (!m_call.m_echo.empty()) {
      m_scanner.emplace(m_call.m_echo);
    }
    if (!IsHttpStatus(head.m_status)) {
      m_evidence.m_hasStrayResponse = true;
      Fail("response has status " + std::to_string(head.m_status));
      return;
    }
    Emit(head);
    return;
  }
  m_scanner.emplace(std::string());
  m_discardResponse = true;
  m_evidence.m_hasStrayResponse = true;
  LogDiscarded(head);
}

bool
HttpConnection::IsTied(const HttpFields& aFields) const
{
  if (m_call.m_echoName.empty()) {
    return true;
  }
  if (const std::string* echo = aFields.Find(m_call.m_echoName)) {
    return *echo == m_call.m_echo;
  }
  const bool isFirst = m_calls == 0 && !m_evidence.m_hasStrayResponse;
  return isFirst || m_call.m_echo.empty();
}

void
HttpConnection::LogDiscarded(const ResponseHead& aHead)
{
  const std::string* echo = aHead.m_fields.Find(m_call.m_echoName);
  CountMetric("siskindeal_discarded_responses_total",
              { { "id", echo == nullptr ? "none" : "other" } });
  Log(LogLevel::Warning,
      "response discarded",
      { { "id", m_call.m_echo },
        { "from", m_remote.address().to_string() },
        { "port", m_remote.port() },
        { "status", aHead.m_status },
        { "response_id", echo == nullptr ? "" : *echo },
        { "first_call", m_calls == 0 },
        { "writing", m_writing } });
}

void
HttpConnection::FailJoined()
{
  m_evidence.m_hasStrayResponse = true;
  Fail("a response inside the body of another one");
}

void
HttpConnection::FailAmbiguous(const ResponseHead& aHead,
                              std::string_view aReason)
{
  m_evidence.m_hasStrayResponse = true;
  CountMetric("siskindeal_ambiguous_responses_total");
  Log(LogLevel::Warning,
      "response ambiguous",
      { { "id", m_call.m_echo },
        { "from", m_remote.address().to_string() },
        { "port", m_remote.port() },
        { "status", aHead.m_status },
        { "reason", aReason },
        { "connection_calls", m_evidence.m_earlierCalls } });
  Fail("ambiguous response: " + std::string(aReason));
}

void
HttpConnection::OnEnd()
{
  const auto self = shared_from_this();
  const HttpFields& fields = m_parser->m_fields;
  const auto limit = KeepAliveTimeout(fields.Find("keep-alive"));
  if (limit) {
    m_idleLimit = std::chrono::duration_cast<milliseconds>(*limit * kIdleShare);
  }
  // The connection is not reused if bytes are left over, which belong to no
  // request, if the request body is only partly written, or if the peer sent
  // a response to another call.
  m_evidence.m_hasStrayResponse =
    m_evidence.m_hasStrayResponse || !m_in.empty();
  const bool keep = m_parser->keep_alive() && !m_parser->need_eof() &&
                    !m_writing && !m_evidence.m_hasStrayResponse &&
                    !m_call.m_isLast && m_idleLimit > milliseconds(0);
  m_inCall = false;
  m_awaitsUpload = false;
  ++m_calls;
  m_paused = false;
  m_reusable = keep;
  m_idleSince = std::chrono::steady_clock::now();
  m_parser.reset();
  m_in = {};
  m_memory.reset();
  if (!keep) {
    Close();
  } else {
    Read();
  }
  const CallEventHandler events = std::move(m_events);
  m_events = nullptr;
  if (events) {
    events(ResponseEnd{});
  }
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

#include "net/http_server_p.h"

#include "kernel/contain_p.h"
#include "net/message_parser_p.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

namespace siskindeal {

namespace {

namespace http = boost::beast::http;

using std::chrono::milliseconds;

constexpr std::size_t kMaxReadAheadBytes = 64 << 10; // of pipelined requests
constexpr milliseconds kPeerSilenceTimeout{ 6000 };

// Returns why the length of the body is ambiguous (RFC 9112, 6.1), or nothing.
// Body bytes past a wrong length would be parsed as another request.
std::string_view
FramingError(const HttpFields& aFields)
{
  const std::string* encoding = aFields.Find("transfer-encoding");
  if (encoding != nullptr && !SameName(*encoding, "chunked")) {
    return "transfer-encoding: only chunked is accepted";
  }
  return {};
}

ConnectionEnd
ReadFailure(const NetError& aError)
{
  if (aError == boost::asio::error::eof) {
    return ConnectionEnd::CallerClosed;
  }
  return aError == boost::asio::error::timed_out ? ConnectionEnd::CallerSilent
                                                 : ConnectionEnd::CallerReset;
}

ConnectionEnd
WriteFailure(const NetError& aError)
{
  return aError == boost::asio::error::timed_out ? ConnectionEnd::CallerSilent
                                                 : ConnectionEnd::WriteFailed;
}

std::string_view
ReasonOf(int aStatus)
{
  const auto reason = http::obsolete_reason(http::int_to_status(aStatus));
  return { reason.data(), reason.size() };
}

} // namespace

ServerConnection::ServerConnection(Loop& aLoop,
                                   Tcp::socket aSocket,
                                   HttpListener& aListener)
  : m_socket(std::move(aSocket))
  , m_timer(aLoop)
  , m_listener(aListener)
{
}

void
ServerConnection::Start()
{
  m_listener.m_connections.insert(this);
  PrepareSocket(m_socket, kPeerSilenceTimeout);
  m_memory.emplace(
    m_listener.m_loop, "caller connection", [weak = weak_from_this()] {
      const auto self = weak.lock();
      return self && self->BreakOff();
    });
  AwaitInput();
  Read();
}

Address
ServerConnection::LocalAddress() const
{
  NetError ignored;
  const auto local = m_socket.local_endpoint(ignored);
  return { local.address().to_string(), local.port() };
}

Address
ServerConnection::RemoteAddress() const
{
  NetError ignored;
  const auto remote = m_socket.remote_endpoint(ignored);
  return { remote.address().to_string(), remote.port() };
}

void
ServerConnection::Read()
{
  const bool readAheadFull = m_inRequest && m_in.size() > kMaxReadAheadBytes;
  if (m_closed || readAheadFull) {
    return;
  }
  AsyncRead(m_socket,
            m_in,
            m_reading,
            [self = shared_from_this()](const NetError& aError) {
              if (!Contain("connection", [&] { self->OnRead(aError); })) {
                self->Disconnect(ConnectionEnd::ResponseAborted);
              }
            });
}

void
ServerConnection::OnRead(const NetError& aError)
{
  if (m_closed) {
    return;
  }
  if (aError) {
    Disconnect(ReadFailure(aError));
    return;
  }
  if (m_closing) {
    RecordEnd(ConnectionEnd::LastResponse);
    m_in.clear(); // input after the last response is discarded
  } else if (!m_inRequest) {
    Parse();
  }
  CountMemory();
  Read();
}

void
ServerConnection::CountMemory()
{
  // Of the body: this connection's, and those that its handler keeps and sends.
  constexpr std::size_t kBodyCopies = 3;
  if (!m_memory) {
    return;
  }
  if (m_in.empty()) {
    m_in = {};
  }
  std::size_t bytes =
    m_in.capacity() + m_out.capacity() + m_outWriting.capacity() +
    m_request.m_fields.MemoryBytes() + m_request.m_body.size() * kBodyCopies;
  if (m_parser) {
    bytes += m_parser->m_fields.MemoryBytes() + m_parser->m_body.capacity();
  }
  m_memory->Set(bytes);
}

bool
ServerConnection::BreakOff()
{
  if (m_parser && !m_closing) {
    RecordEnd(ConnectionEnd::OutOfMemory);
    Refuse(503, kOutOfMessageMemory);
    return true;
  }
  if (Unsent() == 0) {
    return false; // a request that may run already
  }
  Disconnect(ConnectionEnd::OutOfMemory);
  return true;
}

void
ServerConnection::Parse()
{
  const auto self = shared_from_this();
  if (m_in.empty() || m_closed || m_closing) {
    return;
  }
  if (!m_parser) {
    const ClientLimits& limits = m_listener.m_limits;
    m_parser = std::make_shared<Parser>(
      static_cast<std::uint32_t>(limits.m_headerBytes), limits.m_bodyBytes);
    m_sentContinue = false;
    AwaitInput();
  }
  const auto parser = m_parser;
  while (!m_in.empty() && !parser->is_done()) {
    boost::beast::error_code error;
    const std::size_t used =
      parser->put(boost::asio::buffer(m_in.data(), m_in.size()), error);
    m_in.erase(0, used);
    if (error == http::error::header_limit) {
      return Refuse(431, "the header is too large");
    }
    if (error == http::error::body_limit) {
      return Refuse(413, "the body is too large");
    }
    if (error && error != http::error::need_more) {
      return Refuse(400, error.message());
    }
    if (used == 0) {
      if (m_in.size() > m_listener.m_limits.m_headerBytes + kMaxUnparsedBytes) {
        return Refuse(400, "too many bytes without an end");
      }
      break;
    }
  }
  if (!parser->m_hasHead) {
    return;
  }
  const std::string_view problem = FramingError(parser->m_fields);
  if (!problem.empty()) {
    return Refuse(400, problem);
  }
  if (!parser->is_done()) {
    AwaitInput();
    const std::string* expect = parser->m_fields.Find("expect");
    if (expect != nullptr && !m_sentContinue) {
      m_sentContinue = true;
      m_out += "HTTP/1.1 100 Continue\r\n\r\n";
      Write();
    }
    return;
  }
  m_timer.cancel();
  constexpr int kFirstVersionWithChunks = 11;
  m_keepAlive = parser->keep_alive();
  m_takesChunks = parser->m_version >= kFirstVersionWithChunks;
  m_request = { std::move(parser->m_method),
                std::move(parser->m_target),
                std::move(parser->m_fields),
                std::move(parser->m_body),
                LoopNow() };
  m_parser.reset();
  m_inRequest = true;
  m_hasBegunResponse = false;
  m_isHead = m_request.m_method == "HEAD";
  if (m_request.m_fields.Find("host") == nullptr) {
    m_inRequest = false;
    return Refuse(400, "missing Host header");
  }
  if (HasCallerLeft()) {
    Disconnect(ConnectionEnd::CallerClosed);
    return;
  }
  if (!Contain("request", [&] { m_listener.m_handler(self); })) {
    FailRequest();
  }
}

bool
ServerConnection::HasCallerLeft()
{
  char next = 0;
  NetError error;
  m_socket.receive(
    boost::asio::buffer(&next, 1), Tcp::socket::message_peek, error);
  return error && error != boost::asio::error::would_block;
}

void
ServerConnection::Refuse(int aStatus, std::string_view aReason)
{
  m_listener.LogRefusal(aStatus, aReason);
  m_inRequest = true;
  m_hasBegunResponse = false;
  m_keepAlive = false;
  m_parser.reset();
  const LocalReply answer = m_listener.m_makeLocalReply
                              ? m_listener.m_makeLocalReply(aStatus, aReason)
                              : LocalReply{ {}, std::string(aReason) };
  SendResponse(aStatus, ReasonOf(aStatus), answer.m_fields, answer.m_body);
}

void
ServerConnection::SendResponse(int aStatus,
                               std::string_view aReason,
                               const HttpFields& aFields,
                               std::string_view aBody)
{
  SendHead(aStatus, aReason, aFields, aBody.size());
  if (!m_isHead) {
    m_out += aBody;
  }
  FinishResponse();
}

void
ServerConnection::SendHead(int aStatus,
                           std::string_view aReason,
                           const HttpFields& aFields,
                           std::optional<std::uint64_t> aLength)
{
  if (m_closed) {
    NotifySent();
    return;
  }
  m_hasBegunResponse = true;
  // Requests that were pipelined before the announcement are served.
  if (m_listener.m_announceClose && !HasInput()) {
    m_keepAlive = false;
  }
  m_chunked = !aLength.has_value() && m_takesChunks;
  m_endsWithConnection = !aLength.has_value() && !m_takesChunks;
  if (m_endsWithConnection) {
    m_keepAlive = false;
    ResetOnClose(true);
  }
  m_out += "HTTP/1.1 " + std::to_string(aStatus) + " ";
  m_out += aReason.empty() ? ReasonOf(aStatus) : aReason;
  m_out += "\r\n";
  for (const auto& [name, value] : aFields.All()) {
    AppendField(m_out, name, value);
  }
  if (!m_keepAlive) {
    AppendField(m_out, "Connection", "close");
  }
  const bool hasBody = aStatus != 204 && aStatus != 304;
  if (m_chunked) {
    AppendField(m_out, "Transfer-Encoding", "chunked");
  } else if (hasBody && aLength) {
    AppendField(m_out, "Content-Length", std::to_string(*aLength));
  }
  m_out += "\r\n";
}

void
ServerConnection::SendPart(std::string_view aBytes)
{
  if (m_closed || m_isHead || aBytes.empty()) {
    return;
  }
  if (m_chunked) {
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
    m_out += size;
    m_out += aBytes;
    m_out += "\r\n";
  } else {
    m_out += aBytes;
  }
  Write();
}

void
ServerConnection::SendEnd()
{
  if (m_closed) {
    return;
  }
  if (m_chunked && !m_isHead) {
    m_out += "0\r\n\r\n";
  }
  FinishResponse();
}

void
ServerConnection::FinishResponse()
{
  m_onDisconnect = nullptr;
  m_onDrained = nullptr;
  m_inRequest = false;
  m_isHead = false;
  m_request = {};
  if (!m_keepAlive) {
    m_closing = true;
  }
  Write();
  if (m_closing || m_closed) {
    return;
  }
  if (!m_in.empty()) {
    boost::asio::post(m_timer.get_executor(), [self = shared_from_this()] {
      if (!self->m_inRequest) {
        self->Parse();
      }
    });
  }
  Read();
}

void
ServerConnection::Write()
{
  if (m_closed || !m_outWriting.empty()) {
    return;
  }
  if (m_out.empty()) {
    if (!m_inRequest) {
      NotifySent();
    }
    if (m_closing) {
      CloseGracefully();
    } else if (!m_inRequest && !m_parser) {
      AwaitInput(); // the time in which the caller reads a response isn't idle
    }
    return;
  }
  m_outWriting.swap(m_out);
  CountMemory();
  boost::asio::async_write(
    m_socket,
    boost::asio::buffer(m_outWriting),
    [self = shared_from_this()](const NetError& aError, std::size_t) {
      self->m_outWriting = {};
      if (aError) {
        self->Disconnect(WriteFailure(aError));
        return;
      }
      self->CountMemory();
      self->Write();
      if (self->m_outWriting.empty() && self->m_onDrained) {
        const auto onDrained = self->m_onDrained;
        onDrained();
      }
    });
}

void
ServerConnection::NotifySent()
{
  if (const auto onSent = std::exchange(m_onSent, nullptr)) {
    onSent();
  }
}

} // namespace siskindeal

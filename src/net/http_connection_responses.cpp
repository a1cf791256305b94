// Reads the responses of an HTTP connection to an upstream.

#include "net/http_connection_p.h"
#include "net/message_parser_p.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <algorithm>
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
  m_memory->Set(m_in.capacity() +
                m_parser->m_fields.MemoryBytes() * kFieldCopies);
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

} // namespace siskindeal

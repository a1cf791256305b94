#include "http/session_p.h"

#include "http/response_p.h"
#include "http/uri_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/metrics.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <utility>

namespace siskindeal {

namespace {

// A body over the limit is read to its end up to this many bytes, so that the
// client has sent all and reads the refusal.
constexpr std::size_t kMostDiscarded = 8 << 20;
constexpr std::chrono::milliseconds kRetryAfterOverload{ 1000 };

// Headers as the library hands them over, one by one.
struct HeaderCollector
{
  HttpHeaders& m_headers;
  std::string m_problem{}; // the first; empty: none
  int m_hosts = 0;
};

MHD_Result
CollectHeader(void* aCollector,
              MHD_ValueKind,
              const char* aName,
              std::size_t aNameSize,
              const char* aValue,
              std::size_t aValueSize)
{
  auto& collector = *static_cast<HeaderCollector*>(aCollector);
  const auto name = absl::AsciiStrToLower({ aName, aNameSize });
  const std::string value(aValue == nullptr ? "" : aValue, aValueSize);
  if (!IsToken(name)) {
    collector.m_problem = "header name: not a token";
  } else if (HasControlCharacter(value)) {
    collector.m_problem = name + ": control character";
  } else if (name == "host" && ++collector.m_hosts > 1) {
    collector.m_problem = "host: more than one";
  }
  const auto [place, added] = collector.m_headers.emplace(name, value);
  if (!added) {
    place->second += (name == "cookie" ? "; " : ", ") + value;
  }
  return collector.m_problem.empty() ? MHD_YES : MHD_NO;
}

std::size_t
HeaderBytes(const HttpHeaders& aHeaders)
{
  constexpr std::size_t kSeparators = 4; // ": " and line end
  std::size_t bytes = 0;
  for (const auto& [name, value] : aHeaders) {
    bytes += name.size() + value.size() + kSeparators;
  }
  return bytes;
}

} // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServerState> aState,
                         std::string aTarget)
  : m_state(std::move(aState))
  , m_target(std::move(aTarget))
{
}

HttpSession::~HttpSession()
{
  if (m_response != nullptr) {
    MHD_destroy_response(m_response);
  }
}

MHD_Result
HttpSession::OnAccess(MHD_Connection* aConnection,
                      const char* aMethod,
                      const char* aVersion,
                      const char* aUpload,
                      std::size_t* aUploadSize)
{
  Stage stage;
  {
    const OrderedLock lock(m_mutex);
    stage = m_stage;
    if (stage == Stage::Headers) {
      m_stage = Stage::Body;
    }
  }
  switch (stage) {
    case Stage::Headers:
      return OnHeaders(aConnection, aMethod, aVersion);
    case Stage::Body:
      return OnBody(aConnection, aUpload, aUploadSize);
    default:
      return SendOrSuspend(aConnection);
  }
}

MHD_Result
HttpSession::OnHeaders(MHD_Connection* aConnection,
                       const char* aMethod,
                       const char* aVersion)
{
  m_request.m_method = aMethod;
  HeaderCollector collector{ m_request.m_headers };
  MHD_get_connection_values_n(
    aConnection, MHD_HEADER_KIND, &CollectHeader, &collector);
  try {
    if (!IsToken(m_request.m_method)) {
      collector.m_problem = "method: not a token";
    }
    if (!collector.m_problem.empty()) {
      throw Error(Reason::BadRequest, Verdict::NotRun, collector.m_problem);
    }
    CheckHeaders(aConnection, aVersion);
  } catch (const Error& refusal) {
    return Refuse(aConnection, refusal);
  }
  return MHD_YES;
}

void
HttpSession::CheckHeaders(MHD_Connection* aConnection,
                          const std::string& aVersion)
{
  const auto& limits = m_state->m_limits;
  const auto refuse = [](Reason aReason, const std::string& aWhat) {
    throw Error(aReason, Verdict::NotRun, aWhat);
  };
  if (m_state->m_connections.load() > limits.m_connections) {
    throw Error(Reason::Overloaded,
                Verdict::NotRun,
                "too many connections",
                kRetryAfterOverload);
  }
  const auto& headers = m_request.m_headers;
  if (m_target.size() + HeaderBytes(headers) > limits.m_headerBytes) {
    refuse(Reason::TooLarge,
           "headers: at most " + std::to_string(limits.m_headerBytes) +
             " bytes are accepted");
  }
  auto target = ParseRequestTarget(m_target);
  m_request.m_path = std::move(target.m_path);
  m_request.m_query = std::move(target.m_query);
  if (aVersion == "HTTP/1.1" && headers.count("host") == 0) {
    refuse(Reason::BadRequest, "host: header missing");
  }
  const auto encoding = headers.find("transfer-encoding");
  const auto length = headers.find("content-length");
  if (encoding != headers.end() &&
      absl::AsciiStrToLower(encoding->second) != "chunked") {
    refuse(Reason::BadRequest, "transfer-encoding: only chunked is accepted");
  }
  if (length == headers.end()) {
    return;
  }
  std::uint64_t bytes = 0;
  if (encoding != headers.end() || !absl::SimpleAtoi(length->second, &bytes)) {
    refuse(Reason::BadRequest, "content-length: expected one number of bytes");
  }
  if (bytes > limits.m_bodyBytes + kMostDiscarded) {
    refuse(Reason::TooLarge,
           "body: at most " + std::to_string(limits.m_bodyBytes) +
             " bytes are accepted");
  }
}

MHD_Result
HttpSession::OnBody(MHD_Connection* aConnection,
                    const char* aUpload,
                    std::size_t* aUploadSize)
{
  const auto limit = m_state->m_limits.m_bodyBytes;
  if (*aUploadSize == 0) {
    if (m_discarded > 0) {
      return Refuse(aConnection,
                    Error(Reason::TooLarge,
                          Verdict::NotRun,
                          "body: at most " + std::to_string(limit) +
                            " bytes are accepted"));
    }
    return Dispatch(aConnection);
  }
  const auto size = std::exchange(*aUploadSize, 0);
  if (m_discarded > 0 || m_request.m_body.size() + size > limit) {
    m_request.m_body.clear();
    m_discarded += size;
    return m_discarded > kMostDiscarded + limit ? MHD_NO : MHD_YES;
  }
  m_request.m_body.append(aUpload, size);
  return MHD_YES;
}

MHD_Result
HttpSession::Refuse(MHD_Connection* aConnection, const Error& aError)
{
  CountMetric("siskindeal_http_refused_total",
              { { "reason", std::string(ToString(aError.GetReason())) } });
  const auto id = m_request.m_headers.find(std::string(kRequestIdHeader));
  auto* const response =
    MakeRefusal(aError, id == m_request.m_headers.end() ? NewId() : id->second);
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  const bool headersTooLarge =
    aError.GetReason() == Reason::TooLarge && m_request.m_path.empty();
  const auto status = headersTooLarge ? MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE
                                      : HttpStatus(aError.GetReason());
  const auto result = MHD_queue_response(aConnection, status, response);
  MHD_destroy_response(response);
  return result;
}

} // namespace siskindeal

#include "http/client_call_p.h"

#include "kernel/contain_p.h"
#include "net/http_fields_p.h"
#include "net/memory_budget_p.h"
#include "siskindeal/log.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <cerrno>
#include <utility>

namespace siskindeal {

namespace {

// Connections that were idle for longer are closed instead of reused, so that a
// request doesn't race with the server's idle timeout.
constexpr long kMaxIdleSeconds = 20;
// More than the largest chunk of weights. Streamed responses aren't buffered.
constexpr std::size_t kMaxBufferedBytes = 20 << 20;

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t\r\n") - first + 1);
}

} // namespace

ClientCall::ClientCall(HttpClientRequest aRequest, HttpClient::Done aDone)
  : m_request(std::move(aRequest))
  , m_done(std::move(aDone))
{
}

ClientCall::~ClientCall()
{
  curl_slist_free_all(m_headers);
}

void
ClientCall::Prepare(CURL* aEasy, ClientSockets& aSockets)
{
  m_easy = aEasy;
  m_sockets = &aSockets;
  curl_easy_reset(aEasy);
  aSockets.Attach(aEasy);
  curl_easy_setopt(aEasy, CURLOPT_URL, m_request.m_url.c_str());
  curl_easy_setopt(aEasy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(aEasy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aEasy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  // On a connection that has carried another request, a response to that one
  // may arrive first, whole or in part, and no field tells them apart.
  const bool isUnshared = !IsSafe();
  curl_easy_setopt(aEasy,
                   CURLOPT_FRESH_CONNECT,
                   isUnshared || m_request.m_newConnection ? 1L : 0L);
  curl_easy_setopt(aEasy, CURLOPT_FORBID_REUSE, isUnshared ? 1L : 0L);
  curl_easy_setopt(
    aEasy, CURLOPT_TIMEOUT_MS, static_cast<long>(m_request.m_timeout.count()));
  curl_easy_setopt(aEasy,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(m_request.m_connectTimeout.count()));
  curl_easy_setopt(aEasy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(aEasy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(aEasy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(aEasy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(aEasy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(aEasy, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
  curl_easy_setopt(aEasy, CURLOPT_PREREQDATA, this);
  curl_slist_free_all(std::exchange(m_headers, nullptr));
  for (const auto& [name, value] : m_request.m_headers) {
    auto line = name;
    line += value.empty() ? ";" : ": " + value;
    m_headers = curl_slist_append(m_headers, line.c_str());
  }
  m_headers = curl_slist_append(m_headers, "expect:");
  if (m_request.m_headers.count("content-type") == 0) {
    m_headers = curl_slist_append(m_headers, "content-type:");
  }
  curl_easy_setopt(aEasy, CURLOPT_HTTPHEADER, m_headers);
  SetMethod();
}

bool
ClientCall::IsSafe() const
{
  return m_request.m_method == "GET" || m_request.m_method == "HEAD";
}

void
ClientCall::SetMethod()
{
  if (m_request.m_method == "HEAD") {
    curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (!IsSafe() || !m_request.m_body.empty()) {
    curl_easy_setopt(m_easy, CURLOPT_POST, 1L);
    curl_easy_setopt(m_easy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(m_request.m_body.size()));
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_request.m_body.data());
  }
  curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, m_request.m_method.c_str());
}

// libcurl resends a request if a reused connection fails before the response.
// Aborts unsafe requests that were already sent, which must not be sent twice,
// and those on a connection whose unread bytes would be taken for the response.
int
ClientCall::OnBeforeRequest(void* aSelf,
                            char* aPeerHost,
                            char*,
                            int aPeerPort,
                            int aLocalPort)
{
  auto& self = *static_cast<ClientCall*>(aSelf);
  if (self.WasSent()) {
    return self.IsSafe() ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
  }
  self.m_connectionUnusable =
    self.m_sockets->HasUnreadInput({ aPeerHost, aPeerPort, aLocalPort });
  return self.m_connectionUnusable ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

bool
ClientCall::TakeRestart()
{
  if (!m_connectionUnusable || m_request.m_newConnection) {
    return false;
  }
  m_connectionUnusable = false;
  m_request.m_newConnection = true;
  return true;
}

std::size_t
ClientCall::OnHeader(char* aBytes,
                     std::size_t aSize,
                     std::size_t aCount,
                     void* aSelf)
{
  // An exception must not pass through libcurl; any other size ends the call.
  const auto size = aSize * aCount;
  const bool taken = Contain("response head", [&] {
    static_cast<ClientCall*>(aSelf)->AddHeaderLine({ aBytes, size });
  });
  return taken ? size : 0;
}

std::size_t
ClientCall::OnBody(char* aBytes,
                   std::size_t aSize,
                   std::size_t aCount,
                   void* aSelf)
{
  const auto size = aSize * aCount;
  bool taken = false;
  Contain("response body", [&] {
    taken = static_cast<ClientCall*>(aSelf)->AddBody({ aBytes, size });
  });
  return taken ? size : 0;
}

void
ClientCall::AddHeaderLine(std::string_view aLine)
{
  constexpr int kFirstFinalStatus = 200;
  if (aLine.substr(0, 5) == "HTTP/") {
    m_reply.m_headers.clear();
    m_haveHead = false;
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    m_reply.m_status = static_cast<int>(status);
    return;
  }
  const auto line = Trim(aLine);
  if (line.empty()) {
    m_haveHead =
      m_reply.m_status >= kFirstFinalStatus && IsHttpStatus(m_reply.m_status);
    if (m_haveHead && m_request.m_onHeaders) {
      m_request.m_onHeaders(m_reply.m_status, m_reply.m_headers);
    }
    return;
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const auto name = absl::AsciiStrToLower(std::string(line.substr(0, colon)));
  const std::string value(Trim(line.substr(colon + 1)));
  const auto [existing, added] = m_reply.m_headers.emplace(name, value);
  if (!added) {
    existing->second += ", " + value;
  }
}

bool
ClientCall::AddBody(std::string_view aBytes)
{
  if (m_request.m_onBody && IsSuccess(m_reply.m_status)) {
    m_cancelledByCallback = !m_request.m_onBody(aBytes);
    return !m_cancelledByCallback;
  }
  m_reply.m_body.append(aBytes);
  return m_reply.m_body.size() <= kMaxBufferedBytes;
}

bool
ClientCall::WasSent() const
{
  long headerBytes = 0;
  curl_off_t bodyBytes = 0;
  curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &headerBytes);
  curl_easy_getinfo(m_easy, CURLINFO_SIZE_UPLOAD_T, &bodyBytes);
  return headerBytes > 0 || bodyBytes > 0;
}

// Whether the response declares its end. A response that ends with its
// connection may have been truncated, and libcurl takes a head that is cut off
// after a line for a whole one.
bool
ClientCall::IsSelfDelimiting() const
{
  if (!m_haveHead) {
    return false;
  }
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const auto& headers = m_reply.m_headers;
  return m_request.m_method == "HEAD" || m_reply.m_status == kNoContent ||
         m_reply.m_status == kNotModified ||
         headers.count("content-length") != 0 ||
         headers.count("transfer-encoding") != 0;
}

HttpOutcome
ClientCall::OutcomeOf(CURLcode aCode) const
{
  if (aCode == CURLE_OK) {
    return IsSelfDelimiting() ? HttpOutcome::Answered
                              : HttpOutcome::SentNoReply;
  }
  if (m_cancelledByCallback) {
    return HttpOutcome::Cancelled;
  }
  return WasSent() ? HttpOutcome::SentNoReply : HttpOutcome::NotSent;
}

HttpFault
ClientCall::FaultOf(CURLcode aCode) const
{
  if (aCode == CURLE_OPERATION_TIMEDOUT) {
    return HttpFault::TimedOut;
  }
  long systemError = 0;
  curl_easy_getinfo(m_easy, CURLINFO_OS_ERRNO, &systemError);
  return aCode == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED
           ? HttpFault::ConnectionRefused
           : HttpFault::Other;
}

void
ClientCall::Finish(CURLcode aCode)
{
  m_reply.m_outcome = OutcomeOf(aCode);
  m_reply.m_fault = m_reply.m_outcome == HttpOutcome::Answered ? HttpFault::None
                                                               : FaultOf(aCode);
  if (aCode != CURLE_OK) {
    m_reply.m_error = curl_easy_strerror(aCode);
  } else if (!IsHttpStatus(m_reply.m_status)) {
    m_reply.m_error = "response has status " + std::to_string(m_reply.m_status);
  } else if (m_reply.m_outcome != HttpOutcome::Answered) {
    m_reply.m_error =
      m_haveHead ? "response has neither a length nor chunked encoding"
                 : "connection closed before the end of the response's head";
  }
  InvokeCallback();
}

void
ClientCall::FinishCancelled()
{
  const bool sent = m_easy != nullptr && WasSent();
  m_reply.m_outcome = sent ? HttpOutcome::Cancelled : HttpOutcome::NotSent;
  m_reply.m_fault = HttpFault::Other;
  m_reply.m_error = "cancelled";
  InvokeCallback();
}

void
ClientCall::FinishBrokenOff()
{
  m_reply.m_outcome =
    WasSent() ? HttpOutcome::SentNoReply : HttpOutcome::NotSent;
  m_reply.m_fault = HttpFault::Other;
  m_reply.m_error = kOutOfMessageMemory;
  m_reply.m_body = {};
  InvokeCallback();
}

void
ClientCall::InvokeCallback()
{
  const auto done = std::exchange(m_done, nullptr);
  try {
    done(std::move(m_reply));
  } catch (const std::exception& failure) {
    Log(LogLevel::Error, "callback_failed", { { "what", failure.what() } });
  }
}

} // namespace siskindeal

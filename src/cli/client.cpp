#include "cli/client_p.h"

#include "siskindeal/clock.h"
#include "siskindeal/digest.h"
#include "siskindeal/json.h"
#include "siskindeal/operators.h"

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr int kMaxPasses = 2; // over all entries, to resolve a lost response

// The error object of an entry's response.
struct ErrorDetails
{
  std::string m_reason;
  std::string m_message;
  std::string m_verdict;
};

Json
ParseJson(const HttpReply& aReply)
{
  Json body = ParseJsonOrDiscard(aReply.m_body);
  if (body.is_discarded()) {
    throw CommandError(ExitStatus::Failed,
                       "the entry's response is not JSON (status " +
                         std::to_string(aReply.m_status) + ")");
  }
  return body;
}

ErrorDetails
ParseErrorDetails(const HttpReply& aReply)
{
  const Json body = ParseJsonOrDiscard(aReply.m_body);
  const bool hasDetails =
    body.is_object() && body.contains("error") && body["error"].is_object();
  if (!hasDetails) {
    return { "", "status " + std::to_string(aReply.m_status), "" };
  }
  const Json& error = body["error"];
  return { error.value("reason", ""),
           error.value("message", ""),
           error.value("verdict", "") };
}

// Returns whether another entry may be able to handle the call.
bool
ShouldTryNextEntry(const HttpReply& aReply)
{
  return aReply.m_status == HttpStatus(Reason::Unavailable) &&
         ParseErrorDetails(aReply).m_verdict == ToString(Verdict::NotRun);
}

std::string
FormatConflict(const HttpReply& aReply)
{
  const Json body = ParseJsonOrDiscard(aReply.m_body);
  if (!body.is_object()) {
    return "";
  }
  return "\nyours: " + body.value("yours", Json()).dump(2) +
         "\ncurrent: " + body.value("current", Json()).dump(2);
}

CommandError
ToCommandError(const HttpReply& aReply)
{
  const ErrorDetails details = ParseErrorDetails(aReply);
  if (details.m_reason == ToString(Reason::NotFound)) {
    return { ExitStatus::NotFound, details.m_message };
  }
  if (details.m_verdict == ToString(Verdict::MayHaveRun)) {
    return { ExitStatus::Unknown, details.m_message + FormatConflict(aReply) };
  }
  if (details.m_reason == ToString(Reason::Conflict)) {
    return { ExitStatus::Conflict, details.m_message + FormatConflict(aReply) };
  }
  return { ExitStatus::Refused, details.m_message };
}

CommandError
NoEntryError(const std::string& aFailures)
{
  return { ExitStatus::Unreachable,
           "no entry can handle the call: " + aFailures };
}

} // namespace

// A change that is being sent to the entries.
struct OperatorClient::PendingChange
{
  OperatorChange m_change;
  std::string m_id;
  bool m_mayHaveRun = false;
  std::string m_problem{};
  Json m_object{};
};

OperatorClient::OperatorClient(ClientSettings aSettings)
  : m_settings(std::move(aSettings))
{
}

HttpReply
OperatorClient::Send(const Address& aEntry,
                     const std::string& aMethod,
                     const std::string& aPath,
                     const HttpHeaders& aQuery,
                     const std::string& aBody,
                     const std::string& aChangeId)
{
  HttpClientRequest request;
  request.m_method = aMethod;
  request.m_url = "http://" + aEntry.ToString() + PercentEncoded(aPath);
  char separator = '?';
  for (const auto& [name, value] : aQuery) {
    request.m_url.append(1, separator).append(name).append("=");
    request.m_url.append(PercentEncoded(value));
    separator = '&';
  }
  request.m_headers[std::string(kOperatorAuthHeader)] =
    SignOperatorCall(m_settings.m_auth,
                     aMethod,
                     SignedPath(aPath, aQuery),
                     aBody,
                     SystemClock().WallNow());
  if (!aChangeId.empty()) {
    request.m_headers[std::string(kChangeIdHeader)] = aChangeId;
  }
  if (!aBody.empty()) {
    request.m_headers["content-type"] = "application/json";
  }
  request.m_body = aBody;
  request.m_timeout = m_settings.m_timeout;
  return m_http.Fetch(std::move(request));
}

Json
OperatorClient::Read(const std::string& aPath)
{
  return CallIdempotent("GET", aPath);
}

Json
OperatorClient::CallIdempotent(const std::string& aMethod,
                               const std::string& aPath)
{
  std::string failures;
  for (const Address& entry : m_settings.m_entries) {
    const HttpReply reply = Send(entry, aMethod, aPath, {}, "", "");
    const bool isAnswered = reply.m_outcome == HttpOutcome::Answered;
    if (isAnswered && reply.m_status == 200) {
      return ParseJson(reply);
    }
    if (isAnswered && !ShouldTryNextEntry(reply)) {
      throw ToCommandError(reply);
    }
    failures.append(failures.empty() ? "" : "; ")
      .append(entry.ToString())
      .append(" ");
    failures += isAnswered ? ParseErrorDetails(reply).m_message : reply.m_error;
  }
  throw NoEntryError(failures);
}

Json
OperatorClient::Change(const OperatorChange& aChange)
{
  PendingChange pending{ aChange, NewId() };
  for (int pass = 0; pass < kMaxPasses; ++pass) {
    for (const Address& entry : m_settings.m_entries) {
      if (pending.m_mayHaveRun && TryReadBack(entry, pending)) {
        return pending.m_object;
      }
      if (TryChange(entry, pending)) {
        return pending.m_object;
      }
    }
    if (!pending.m_mayHaveRun) {
      throw NoEntryError(pending.m_problem);
    }
  }
  throw CommandError(
    ExitStatus::Unknown,
    "change " + pending.m_id +
      " was sent and its outcome couldn't be resolved: " + pending.m_problem);
}

// Returns true if the change took effect, false to try the next entry. Throws
// CommandError for an error that is final.
bool
OperatorClient::TryChange(const Address& aEntry, PendingChange& aPending)
{
  const OperatorChange& change = aPending.m_change;
  const HttpReply reply =
    Send(aEntry,
         change.m_method,
         change.m_path,
         { { "expect", std::to_string(change.m_expectedVersion) } },
         change.m_body,
         aPending.m_id);
  if (reply.m_outcome != HttpOutcome::Answered) {
    aPending.m_mayHaveRun |= reply.m_outcome != HttpOutcome::NotSent;
    aPending.m_problem = aEntry.ToString() + " " + reply.m_error;
    return false;
  }
  if (reply.m_status == 200) {
    aPending.m_object = ParseJson(reply);
    return true;
  }
  const CommandError error = ToCommandError(reply);
  const bool isLost =
    error.Status() == ExitStatus::Unknown &&
    ParseErrorDetails(reply).m_reason != ToString(Reason::Conflict);
  if (!isLost && !ShouldTryNextEntry(reply)) {
    throw aPending.m_mayHaveRun && error.Status() == ExitStatus::Conflict
      ? CommandError(ExitStatus::Unknown, error.what())
      : error;
  }
  aPending.m_mayHaveRun |= isLost;
  aPending.m_problem = aEntry.ToString() + " " + error.what();
  return false;
}

// Returns whether the object is in the state that this change produced.
bool
OperatorClient::TryReadBack(const Address& aEntry, PendingChange& aPending)
{
  const OperatorChange& change = aPending.m_change;
  const HttpReply reply = Send(aEntry, "GET", change.m_path, {}, "", "");
  if (reply.m_outcome != HttpOutcome::Answered) {
    return false;
  }
  if (reply.m_status == HttpStatus(Reason::NotFound)) {
    aPending.m_object = { { "deleted", true } };
    return change.m_method == "DELETE";
  }
  if (reply.m_status != 200) {
    return false;
  }
  const Json body = ParseJson(reply);
  if (body.value("change_id", "") != aPending.m_id) {
    return false;
  }
  aPending.m_object = {
    { "change_id", aPending.m_id },
    { "version",
      body.contains("target") ? body["target"]["version"] : body["version"] },
    { "value", body.contains("target") ? body["target"] : body["value"] }
  };
  return true;
}

Json
OperatorClient::State(const Address& aProcess)
{
  const HttpReply reply = Send(aProcess, "GET", "/state", {}, "", "");
  if (reply.m_outcome != HttpOutcome::Answered) {
    throw CommandError(ExitStatus::Unreachable,
                       aProcess.ToString() +
                         " does not respond: " + reply.m_error);
  }
  if (reply.m_status != 200) {
    throw ToCommandError(reply);
  }
  return ParseJson(reply);
}

std::string
TargetPath(const std::string& aName)
{
  return std::string(kTargetsPath) + "/" + aName;
}

} // namespace siskindeal

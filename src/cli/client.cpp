#include "cli/client_p.h"

#include "siskindeal/clock.h"
#include "siskindeal/digest.h"
#include "siskindeal/operators.h"

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr int kPasses = 2; // over all entries, to resolve a lost answer

// What an entry's refusal says.
struct Refusal
{
  std::string m_reason;
  std::string m_message;
  std::string m_verdict;
};

Json
JsonOf(const HttpReply& aReply)
{
  Json body = Json::parse(aReply.m_body, nullptr, false);
  if (body.is_discarded()) {
    throw CommandError(ExitStatus::Failed,
                       "the entry's answer isn't JSON (status " +
                         std::to_string(aReply.m_status) + ")");
  }
  return body;
}

Refusal
RefusalOf(const HttpReply& aReply)
{
  const Json body = Json::parse(aReply.m_body, nullptr, false);
  const bool isRefusal =
    body.is_object() && body.contains("error") && body["error"].is_object();
  if (!isRefusal) {
    return { "", "status " + std::to_string(aReply.m_status), "" };
  }
  const Json& error = body["error"];
  return { error.value("reason", ""),
           error.value("message", ""),
           error.value("verdict", "") };
}

// Another entry may be able to do what this one can't now.
bool
IsWorthAnotherEntry(const HttpReply& aReply)
{
  return aReply.m_status == HttpStatus(Reason::Unavailable) &&
         RefusalOf(aReply).m_verdict == ToString(Verdict::NotRun);
}

std::string
ConflictText(const HttpReply& aReply)
{
  const Json body = Json::parse(aReply.m_body, nullptr, false);
  if (!body.is_object()) {
    return "";
  }
  return "\nyours: " + body.value("yours", Json()).dump(2) +
         "\ncurrent: " + body.value("current", Json()).dump(2);
}

CommandError
ErrorOf(const HttpReply& aReply)
{
  const Refusal refusal = RefusalOf(aReply);
  if (refusal.m_reason == ToString(Reason::NotFound)) {
    return { ExitStatus::NotFound, refusal.m_message };
  }
  if (refusal.m_verdict == ToString(Verdict::MayHaveRun)) {
    return { ExitStatus::Unknown, refusal.m_message + ConflictText(aReply) };
  }
  if (refusal.m_reason == ToString(Reason::Conflict)) {
    return { ExitStatus::Conflict, refusal.m_message + ConflictText(aReply) };
  }
  return { ExitStatus::Refused, refusal.m_message };
}

CommandError
NoEntryCan(const std::string& aWhy)
{
  return { ExitStatus::Unreachable, "no entry can do it now: " + aWhy };
}

} // namespace

// A change on its way through the entries.
struct OperatorClient::Sent
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
  return Repeatable("GET", aPath);
}

Json
OperatorClient::Repeatable(const std::string& aMethod, const std::string& aPath)
{
  std::string why;
  for (const Address& entry : m_settings.m_entries) {
    const HttpReply reply = Send(entry, aMethod, aPath, {}, "", "");
    const bool isAnswered = reply.m_outcome == HttpOutcome::Answered;
    if (isAnswered && reply.m_status == 200) {
      return JsonOf(reply);
    }
    if (isAnswered && !IsWorthAnotherEntry(reply)) {
      throw ErrorOf(reply);
    }
    why.append(why.empty() ? "" : "; ").append(entry.ToString()).append(" ");
    why += isAnswered ? RefusalOf(reply).m_message : reply.m_error;
  }
  throw NoEntryCan(why);
}

Json
OperatorClient::Change(const OperatorChange& aChange)
{
  Sent sent{ aChange, NewId() };
  for (int pass = 0; pass < kPasses; ++pass) {
    for (const Address& entry : m_settings.m_entries) {
      if (sent.m_mayHaveRun && TryReadBack(entry, sent)) {
        return sent.m_object;
      }
      if (TryChange(entry, sent)) {
        return sent.m_object;
      }
    }
    if (!sent.m_mayHaveRun) {
      throw NoEntryCan(sent.m_problem);
    }
  }
  throw CommandError(
    ExitStatus::Unknown,
    "change " + sent.m_id +
      " was sent and its outcome couldn't be resolved: " + sent.m_problem);
}

// Returns whether the change is known to be made; throws what is final.
bool
OperatorClient::TryChange(const Address& aEntry, Sent& aSent)
{
  const OperatorChange& change = aSent.m_change;
  const HttpReply reply =
    Send(aEntry,
         change.m_method,
         change.m_path,
         { { "expect", std::to_string(change.m_expectedVersion) } },
         change.m_body,
         aSent.m_id);
  if (reply.m_outcome != HttpOutcome::Answered) {
    aSent.m_mayHaveRun |= reply.m_outcome != HttpOutcome::NotSent;
    aSent.m_problem = aEntry.ToString() + " " + reply.m_error;
    return false;
  }
  if (reply.m_status == 200) {
    aSent.m_object = JsonOf(reply);
    return true;
  }
  const CommandError error = ErrorOf(reply);
  const bool isLost = error.Status() == ExitStatus::Unknown &&
                      RefusalOf(reply).m_reason != ToString(Reason::Conflict);
  if (!isLost && !IsWorthAnotherEntry(reply)) {
    throw aSent.m_mayHaveRun && error.Status() == ExitStatus::Conflict
      ? CommandError(ExitStatus::Unknown, error.what())
      : error;
  }
  aSent.m_mayHaveRun |= isLost;
  aSent.m_problem = aEntry.ToString() + " " + error.what();
  return false;
}

// Returns whether the object is as this change left it.
bool
OperatorClient::TryReadBack(const Address& aEntry, Sent& aSent)
{
  const OperatorChange& change = aSent.m_change;
  const HttpReply reply = Send(aEntry, "GET", change.m_path, {}, "", "");
  if (reply.m_outcome != HttpOutcome::Answered) {
    return false;
  }
  if (reply.m_status == HttpStatus(Reason::NotFound)) {
    aSent.m_object = { { "deleted", true } };
    return change.m_method == "DELETE";
  }
  if (reply.m_status != 200) {
    return false;
  }
  const Json body = JsonOf(reply);
  if (body.value("change_id", "") != aSent.m_id) {
    return false;
  }
  aSent.m_object = {
    { "change_id", aSent.m_id },
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
                         " doesn't answer: " + reply.m_error);
  }
  if (reply.m_status != 200) {
    throw ErrorOf(reply);
  }
  return JsonOf(reply);
}

std::string
TargetPath(const std::string& aName)
{
  return std::string(kTargetsPath) + "/" + aName;
}

} // namespace siskindeal

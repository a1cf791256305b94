#include "siskindeal/operators.h"

#include "operators/responses_p.h"
#include "operators/write_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/log.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kOperatorPathPrefix = "/v1/operator/";
constexpr std::string_view kTargetsPath = "/v1/operator/targets";
constexpr std::string_view kTargetPathPrefix = "/v1/operator/targets/";
constexpr std::string_view kConfigPath = "/v1/operator/config";
constexpr std::string_view kConfigStatusPath = "/v1/operator/config/status";
constexpr std::string_view kQuarantinePath = "/v1/operator/quarantine";
constexpr std::string_view kQuarantinePathPrefix = "/v1/operator/quarantine/";
constexpr std::size_t kMaxChangeIdLength = 64;
constexpr int kFingerprintDigits = 16;

bool
StartsWith(const std::string& aText, std::string_view aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

Error
UnknownCallError(const HttpRequest& aRequest)
{
  return { Reason::NotFound,
           Verdict::NotRun,
           "unknown operator call " + aRequest.m_method + " " +
             aRequest.m_path };
}

// The version that the operator last read; every change must specify it.
std::uint64_t
ReadExpectedVersion(const HttpRequest& aRequest)
{
  const auto found = aRequest.m_query.find("expect");
  std::uint64_t version = 0;
  if (found != aRequest.m_query.end()) {
    const std::string& text = found->second;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, version);
    if (error == std::errc{} && rest == end) {
      return version;
    }
  }
  throw Error(Reason::BadRequest,
              Verdict::NotRun,
              "expected the query parameter expect=VERSION, the version to "
              "change, or 0 to create");
}

// The change id that the client sent, or a new one.
std::string
ReadOrMakeChangeId(const HttpRequest& aRequest)
{
  const auto found = aRequest.m_headers.find(std::string(kChangeIdHeader));
  if (found == aRequest.m_headers.end()) {
    return NewId();
  }
  const std::string& id = found->second;
  const auto isAllowed = [](unsigned char aCharacter) {
    return std::isalnum(aCharacter) != 0 || aCharacter == '-';
  };
  if (id.empty() || id.size() > kMaxChangeIdLength ||
      !std::all_of(id.begin(), id.end(), isAllowed)) {
    throw Error(Reason::BadRequest,
                Verdict::NotRun,
                "expected up to 64 letters, digits and \"-\" in " +
                  std::string(kChangeIdHeader));
  }
  return id;
}

// Throws Error (BadRequest) unless the content type is JSON.
void
CheckContentType(const HttpRequest& aRequest)
{
  constexpr std::string_view kJson = "application/json";
  const auto found = aRequest.m_headers.find("content-type");
  const std::string type =
    found == aRequest.m_headers.end() ? "" : found->second;
  const bool isJson = StartsWith(type, kJson) && (type.size() == kJson.size() ||
                                                  type[kJson.size()] == ';');
  if (!isJson) {
    throw Error(Reason::BadRequest,
                Verdict::NotRun,
                "expected the content type application/json, got \"" + type +
                  "\"");
  }
}

Json
StatusToJson(const std::optional<TargetStatus>& aStatus)
{
  return aStatus ? Json::parse(ToJson(*aStatus)) : Json(nullptr);
}

Json
UnplannedStatus(const TargetSpec& aTarget)
{
  TargetStatus status;
  status.m_name = aTarget.m_name;
  status.m_version = aTarget.m_version;
  status.m_blockedReason = "not yet picked up by a planner";
  return Json::parse(ToJson(status));
}

// Returns the target last known to this entry, which is used while the platform
// is unreachable.
std::optional<TargetSpec>
FindLastKnownTarget(const OperatorView& aView, const std::string& aName)
{
  for (TargetSpec& target : aView.m_targets()) {
    if (target.m_name == aName) {
      return std::move(target);
    }
  }
  return std::nullopt;
}

void
SendTarget(const std::shared_ptr<HttpResponder>& aResponder,
           const OperatorView& aView,
           const std::string& aName,
           const PlatformReply& aReply)
{
  const bool absent =
    aReply.m_outcome == PlatformOutcome::NotFound || aReply.m_object.m_deleted;
  if (absent) {
    SendErrorResponse(aResponder,
                      Error(Reason::NotFound,
                            Verdict::NotRun,
                            "no target named \"" + aName + "\""));
    return;
  }
  Json body = { { "status", StatusToJson(aView.m_statusOf(aName)) } };
  if (aReply.m_outcome == PlatformOutcome::Ok) {
    const Json object = ObjectToJson(aReply.m_object);
    body["target"] = object.at("value");
    body["target"]["version"] = object.at("version");
    body["change_id"] = object.at("change_id");
    SendJsonResponse(aResponder, 200, body);
    return;
  }
  const auto target = FindLastKnownTarget(aView, aName);
  if (!target) {
    SendErrorResponse(aResponder, PlatformCallError(aReply));
    return;
  }
  body["target"] = Json::parse(ToJson(*target));
  body["as_last_known"] = true;
  SendJsonResponse(aResponder, 200, body);
}

} // namespace

OperatorApi::OperatorApi(Platform& aPlatform,
                         const Clock& aClock,
                         AuthSettings aAuth,
                         OperatorView aView)
  : m_platform(aPlatform)
  , m_clock(aClock)
  , m_auth(std::move(aAuth))
  , m_view(std::make_shared<const OperatorView>(std::move(aView)))
{
}

bool
OperatorApi::Handles(const std::string& aPath)
{
  return StartsWith(aPath, kOperatorPathPrefix);
}

void
OperatorApi::Handle(const HttpRequest& aRequest,
                    const std::shared_ptr<HttpResponder>& aResponder)
{
  try {
    VerifyOperatorCall(m_auth, aRequest, m_clock.WallNow());
    Dispatch(aRequest, aResponder);
  } catch (const Error& error) {
    Log(LogLevel::Warning,
        "operator_call_refused",
        { { "method", aRequest.m_method },
          { "path", aRequest.m_path },
          { "reason", ToString(error.GetReason()) },
          { "what", error.what() } });
    SendErrorResponse(aResponder, error);
  }
}

void
OperatorApi::Dispatch(const HttpRequest& aRequest,
                      const std::shared_ptr<HttpResponder>& aResponder)
{
  const std::string& path = aRequest.m_path;
  const std::string& method = aRequest.m_method;
  const bool isRead = method == "GET";
  if (path == kTargetsPath && isRead) {
    return ListTargets(aResponder);
  }
  if (StartsWith(path, kTargetPathPrefix)) {
    const std::string name = path.substr(kTargetPathPrefix.size());
    if (isRead) {
      return ReadTarget(name, aResponder);
    }
    if (method == "PUT") {
      return WriteTarget(name, aRequest, aResponder);
    }
    if (method == "DELETE") {
      return DeleteTarget(name, aRequest, aResponder);
    }
  }
  if (path == kConfigPath && isRead) {
    return ReadConfig(aResponder);
  }
  if (path == kConfigPath && method == "PUT") {
    return WriteConfig(aRequest, aResponder);
  }
  if (path == kConfigStatusPath && isRead) {
    return ListConfigInForce(aResponder);
  }
  if (path == kQuarantinePath && isRead) {
    return ListQuarantine(aResponder);
  }
  if (StartsWith(path, kQuarantinePathPrefix) && method == "DELETE") {
    return Release(path.substr(kQuarantinePathPrefix.size()), aResponder);
  }
  throw UnknownCallError(aRequest);
}

void
OperatorApi::ListTargets(const std::shared_ptr<HttpResponder>& aResponder) const
{
  std::map<std::string, Json> byName;
  for (const TargetSpec& target : m_view->m_targets()) {
    byName[target.m_name] = UnplannedStatus(target);
  }
  for (const TargetStatus& status : m_view->m_allStatus()) {
    const auto found = byName.find(status.m_name);
    if (found != byName.end()) {
      found->second = Json::parse(ToJson(status));
    }
  }
  Json targets = Json::array();
  for (auto& [name, status] : byName) {
    targets.push_back(std::move(status));
  }
  SendJsonResponse(aResponder, 200, { { "targets", std::move(targets) } });
}

void
OperatorApi::ReadTarget(const std::string& aName,
                        const std::shared_ptr<HttpResponder>& aResponder) const
{
  m_platform.Get(
    PlatformUse::Operator,
    kTargetPrefix + aName,
    [view = m_view, aName, aResponder](const PlatformReply& aReply) {
      SendTarget(aResponder, *view, aName, aReply);
    });
}

void
OperatorApi::WriteTarget(const std::string& aName,
                         const HttpRequest& aRequest,
                         const std::shared_ptr<HttpResponder>& aResponder)
{
  CheckContentType(aRequest);
  TargetSpec target = ParseTarget(aRequest.m_body, 0);
  if (target.m_name != aName) {
    throw Error(Reason::BadRequest,
                Verdict::NotRun,
                "name: expected \"" + aName + "\", the name in the path");
  }
  m_view->m_checkClass(target.m_class);
  target.m_statedAt =
    static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                 m_clock.WallNow().time_since_epoch())
                                 .count());
  const PlatformWrite write{ kTargetPrefix + aName,
                             ToJson(target),
                             ReadExpectedVersion(aRequest),
                             ReadOrMakeChangeId(aRequest) };
  std::make_shared<OperatorWrite>(
    m_platform, OperatorWrite::Kind::Put, write, aResponder)
    ->Start();
}

void
OperatorApi::DeleteTarget(const std::string& aName,
                          const HttpRequest& aRequest,
                          const std::shared_ptr<HttpResponder>& aResponder)
{
  const PlatformWrite write{ kTargetPrefix + aName,
                             "",
                             ReadExpectedVersion(aRequest),
                             ReadOrMakeChangeId(aRequest) };
  std::make_shared<OperatorWrite>(
    m_platform, OperatorWrite::Kind::Delete, write, aResponder)
    ->Start();
}

void
OperatorApi::ReadConfig(const std::shared_ptr<HttpResponder>& aResponder) const
{
  m_platform.Get(
    PlatformUse::Operator,
    kConfigKey,
    [aResponder](const PlatformReply& aReply) {
      if (aReply.m_outcome == PlatformOutcome::Ok) {
        SendJsonResponse(aResponder, 200, ObjectToJson(aReply.m_object));
        return;
      }
      SendErrorResponse(aResponder,
                        aReply.m_outcome == PlatformOutcome::NotFound
                          ? Error(Reason::NotFound,
                                  Verdict::NotRun,
                                  "no configuration has been set")
                          : PlatformCallError(aReply));
    });
}

void
OperatorApi::WriteConfig(const HttpRequest& aRequest,
                         const std::shared_ptr<HttpResponder>& aResponder)
{
  CheckContentType(aRequest);
  m_view->m_checkConfig(aRequest.m_body);
  const PlatformWrite write{ kConfigKey,
                             aRequest.m_body,
                             ReadExpectedVersion(aRequest),
                             ReadOrMakeChangeId(aRequest) };
  std::make_shared<OperatorWrite>(
    m_platform, OperatorWrite::Kind::Put, write, aResponder)
    ->Start();
}

void
OperatorApi::ListConfigInForce(
  const std::shared_ptr<HttpResponder>& aResponder) const
{
  Json processes = Json::array();
  std::uint64_t newest = 0;
  for (const ConfigInForce& row : m_view->m_configInForce()) {
    newest = std::max(newest, row.m_version);
    processes.push_back({ { "vm", row.m_vm },
                          { "place", row.m_place },
                          { "version", row.m_version },
                          { "reachable", row.m_reachable } });
  }
  SendJsonResponse(
    aResponder,
    200,
    { { "newest", newest }, { "processes", std::move(processes) } });
}

void
OperatorApi::ListQuarantine(
  const std::shared_ptr<HttpResponder>& aResponder) const
{
  Json fingerprints = Json::array();
  for (const QuarantineEntry& entry : m_view->m_quarantine()) {
    fingerprints.push_back(
      { { "fingerprint", FormatFingerprint(entry.m_fingerprint) },
        { "class", entry.m_class },
        { "crashes", entry.m_crashes },
        { "state", entry.m_quarantined ? "quarantined" : "suspect" } });
  }
  SendJsonResponse(
    aResponder, 200, { { "fingerprints", std::move(fingerprints) } });
}

void
OperatorApi::Release(const std::string& aFingerprint,
                     const std::shared_ptr<HttpResponder>& aResponder) const
{
  const auto fingerprint = ParseFingerprint(aFingerprint);
  if (!fingerprint) {
    throw Error(Reason::BadRequest,
                Verdict::NotRun,
                "expected a fingerprint of 16 hexadecimal digits");
  }
  if (!m_view->m_release(*fingerprint)) {
    throw Error(Reason::NotFound,
                Verdict::NotRun,
                "no request with fingerprint " + aFingerprint +
                  " is suspected or quarantined");
  }
  Log(
    LogLevel::Info, "quarantine_released", { { "fingerprint", aFingerprint } });
  SendJsonResponse(aResponder, 200, { { "released", aFingerprint } });
}

std::string
FormatFingerprint(std::uint64_t aFingerprint)
{
  std::array<char, kFingerprintDigits> digits{};
  const auto [end, error] = std::to_chars(
    digits.data(), digits.data() + digits.size(), aFingerprint, 16);
  const std::string text(digits.data(), end);
  return std::string(kFingerprintDigits - text.size(), '0') + text;
}

std::optional<std::uint64_t>
ParseFingerprint(const std::string& aText)
{
  std::uint64_t fingerprint = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] =
    std::from_chars(aText.data(), end, fingerprint, 16);
  if (error != std::errc{} || rest != end ||
      aText.size() != kFingerprintDigits) {
    return std::nullopt;
  }
  return fingerprint;
}

} // namespace siskindeal

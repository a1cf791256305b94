#include "front_p.h"

#include "node/answer_p.h"
#include "node/url_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/quarantine.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace siskindeal {

namespace {

constexpr std::string_view kModelPrefix = "/v1/models/";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::size_t kMostKeyBytes = 256;
constexpr int kMostNesting = 128; // levels of a JSON body
constexpr const char* kNoTeam = "default";

// Headers of a caller that an upstream gets to see.
constexpr std::array kPassedHeaders = { "content-type",
                                        "accept",
                                        "accept-language",
                                        "authorization" };

std::string
HeaderOr(const HttpRequest& aRequest,
         const std::string& aName,
         const std::string& aDefault)
{
  const auto found = aRequest.m_headers.find(aName);
  return found == aRequest.m_headers.end() ? aDefault : found->second;
}

[[noreturn]] void
Refuse(Reason aReason, const std::string& aWhat)
{
  throw Error(aReason, Verdict::NotRun, aWhat);
}

nlohmann::json
ReadJsonBody(const HttpRequest& aRequest)
{
  const auto type = HeaderOr(aRequest, "content-type", "");
  if (type.rfind("application/json", 0) != 0) {
    Refuse(Reason::BadRequest, "content-type must be application/json");
  }
  // Copying and writing JSON takes stack for each level.
  const auto checkDepth =
    [](int aDepth, nlohmann::json::parse_event_t, const nlohmann::json&) {
      if (aDepth > kMostNesting) {
        Refuse(Reason::BadRequest, "the body is nested too deeply");
      }
      return true;
    };
  auto body = nlohmann::json::parse(aRequest.m_body, checkDepth, false);
  if (body.is_discarded() || !body.is_object()) {
    Refuse(Reason::BadRequest, "the body is not a JSON object");
  }
  return body;
}

// The text of the first message, which prompts of one conversation share.
std::string
FirstMessage(const nlohmann::json& aMessages)
{
  const auto& first = aMessages.front();
  if (!first.is_object() || !first.contains("content")) {
    Refuse(Reason::BadRequest, "messages[0] has no content");
  }
  const auto& content = first["content"];
  return content.is_string() ? content.get<std::string>() : content.dump();
}

// What an engine works on: equal whether the answer is streamed or whole, and
// however the JSON is laid out.
std::string
WorkText(nlohmann::json aBody)
{
  aBody.erase("stream");
  aBody.erase("stream_options");
  return aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
QueryText(const HttpHeaders& aQuery)
{
  std::string text;
  for (const auto& [name, value] : aQuery) {
    text += text.empty() ? "?" : "&";
    text += PercentEncode(name) + "=" + PercentEncode(value);
  }
  return text;
}

// A class of work as the OpenAI API shows a model.
nlohmann::json
ModelJson(const std::string& aName, const ClassConfig& aWork)
{
  return { { "id", aName },
           { "object", "model" },
           { "created", 0 },
           { "owned_by", aWork.m_service } };
}

} // namespace

Front::Front(FrontParts aParts)
  : m_parts(std::move(aParts))
{
}

void
Front::Handle(HttpRequest aRequest,
              const std::shared_ptr<HttpResponder>& aResponder)
{
  try {
    if (aRequest.m_path == "/v1/entry" && aRequest.m_method == "GET") {
      RespondJson(*aResponder, 200, m_parts.m_entriesJson());
      return;
    }
    if (aRequest.m_path == "/v1/models" && aRequest.m_method == "GET") {
      HandleModels(*aResponder);
      return;
    }
    if (aRequest.m_path.rfind(kModelPrefix, 0) == 0 &&
        aRequest.m_method == "GET") {
      HandleModel(aRequest.m_path.substr(kModelPrefix.size()), *aResponder);
      return;
    }
    if (aRequest.m_path == "/v1/chat/completions" &&
        aRequest.m_method == "POST") {
      m_parts.m_forward(ReadChat(aRequest), aResponder);
      return;
    }
    if (aRequest.m_path.rfind(kServicePrefix, 0) == 0) {
      m_parts.m_forward(ReadService(aRequest), aResponder);
      return;
    }
    Refuse(Reason::NotFound,
           "no such resource: " + aRequest.m_method + " " + aRequest.m_path);
  } catch (const Error& refusal) {
    RespondError(*aResponder, refusal);
  }
}

void
Front::HandleModels(HttpResponder& aResponder) const
{
  nlohmann::json models = nlohmann::json::array();
  for (const auto& [name, work] : m_parts.m_config()->m_classes) {
    models.push_back(ModelJson(name, work));
  }
  RespondJson(
    aResponder,
    200,
    nlohmann::json{ { "object", "list" }, { "data", models } }.dump());
}

void
Front::HandleModel(const std::string& aName, HttpResponder& aResponder) const
{
  const auto config = m_parts.m_config();
  const auto work = config->m_classes.find(aName);
  if (work == config->m_classes.end()) {
    Refuse(Reason::NotFound, "no class of work has this name");
  }
  RespondJson(aResponder, 200, ModelJson(aName, work->second).dump());
}

void
Front::ReadCommon(const HttpRequest& aRequest, CallerRequest& aResult) const
{
  aResult.m_id = NewId();
  aResult.m_team = HeaderOr(aRequest, "x-team", kNoTeam);
  aResult.m_session = HeaderOr(aRequest, "x-session", "");
  aResult.m_key = HeaderOr(aRequest, "idempotency-key", "");
  if (aResult.m_key.size() > kMostKeyBytes) {
    Refuse(Reason::BadRequest, "idempotency-key is longer than 256 bytes");
  }
  aResult.m_method = aRequest.m_method;
  aResult.m_body = aRequest.m_body;
  for (const auto* name : kPassedHeaders) {
    const auto found = aRequest.m_headers.find(name);
    if (found != aRequest.m_headers.end()) {
      aResult.m_headers[name] = found->second;
    }
  }
  const auto deadline = HeaderOr(aRequest, "x-deadline-ms", "");
  if (deadline.empty()) {
    return;
  }
  std::int64_t millis = 0;
  if (!absl::SimpleAtoi(deadline, &millis) || millis <= 0) {
    Refuse(Reason::BadRequest, "x-deadline-ms is not a positive number");
  }
  aResult.m_timeout =
    std::min(aResult.m_timeout, std::chrono::milliseconds(millis));
}

CallerRequest
Front::ReadChat(const HttpRequest& aRequest) const
{
  const auto body = ReadJsonBody(aRequest);
  if (!body.contains("model") || !body["model"].is_string()) {
    Refuse(Reason::BadRequest, "\"model\" must name a class of work");
  }
  if (!body.contains("messages") || !body["messages"].is_array() ||
      body["messages"].empty()) {
    Refuse(Reason::BadRequest, "\"messages\" must be a list with a message");
  }
  const auto stream = body.value("stream", nlohmann::json(false));
  if (!stream.is_boolean()) {
    Refuse(Reason::BadRequest, "\"stream\" must be true or false");
  }
  const auto config = m_parts.m_config();
  const auto work = config->m_classes.find(body["model"].get<std::string>());
  if (work == config->m_classes.end()) {
    Refuse(Reason::NotFound, "no class of work has the name in \"model\"");
  }
  CallerRequest result;
  result.m_class = work->first;
  result.m_service = work->second.m_service;
  result.m_priority = work->second.m_priority;
  result.m_stream = stream.get<bool>();
  const auto service = config->m_services.find(result.m_service);
  result.m_timeout = service == config->m_services.end()
                       ? m_parts.m_http.m_requestTimeout
                       : service->second.m_timeout;
  ReadCommon(aRequest, result);
  result.m_path = "/v1/chat/completions";
  result.m_idempotent = result.m_key.empty();
  result.m_fingerprint =
    FingerprintOf(work->first, "POST", result.m_path, WorkText(body));
  result.m_prefixHash = StableHash(FirstMessage(body["messages"]));
  return result;
}

CallerRequest
Front::ReadService(const HttpRequest& aRequest) const
{
  const auto rest =
    std::string_view(aRequest.m_path).substr(kServicePrefix.size());
  const auto slash = rest.find('/');
  const auto config = m_parts.m_config();
  const auto service =
    config->m_services.find(std::string(rest.substr(0, slash)));
  if (service == config->m_services.end()) {
    Refuse(Reason::NotFound, "no service has this name");
  }
  if (service->second.m_kind == ServiceConfig::Kind::Model) {
    Refuse(Reason::BadRequest,
           "a model service is reached at /v1/chat/completions");
  }
  CallerRequest result;
  result.m_service = service->first;
  result.m_timeout = service->second.m_timeout;
  ReadCommon(aRequest, result);
  result.m_path =
    slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  result.m_path =
    PercentEncodePath(result.m_path) + QueryText(aRequest.m_query);
  result.m_idempotent =
    service->second.m_repeatableMethods.count(aRequest.m_method) > 0;
  if (result.m_idempotent) {
    result.m_key.clear();
  } else if (result.m_key.empty()) {
    Refuse(Reason::KeyRequired,
           "this call may not be repeated: send an idempotency-key");
  }
  result.m_fingerprint = FingerprintOf(
    result.m_service, result.m_method, result.m_path, result.m_body);
  return result;
}

} // namespace siskindeal

#include "caller_api_p.h"

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
constexpr std::size_t kMaxKeyBytes = 256;
constexpr int kMaxNesting = 128; // of JSON values
constexpr const char* kDefaultTeam = "default";

// Request headers that are forwarded to upstreams.
constexpr std::array kForwardedHeaders = { "content-type",
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
ThrowError(Reason aReason, const std::string& aMessage)
{
  throw Error(aReason, Verdict::NotRun, aMessage);
}

nlohmann::json
ReadJsonBody(const HttpRequest& aRequest)
{
  const auto type = HeaderOr(aRequest, "content-type", "");
  if (type.rfind("application/json", 0) != 0) {
    ThrowError(Reason::BadRequest, "content-type must be application/json");
  }
  // Copying and serializing JSON recurse once per nesting level.
  const auto checkDepth =
    [](int aDepth, nlohmann::json::parse_event_t, const nlohmann::json&) {
      if (aDepth > kMaxNesting) {
        ThrowError(Reason::BadRequest, "request body is nested too deeply");
      }
      return true;
    };
  auto body = nlohmann::json::parse(aRequest.m_body, checkDepth, false);
  if (body.is_discarded() || !body.is_object()) {
    ThrowError(Reason::BadRequest, "request body is not a JSON object");
  }
  return body;
}

// Returns the text of the first message, which is the same for every prompt of
// a conversation.
std::string
FirstMessage(const nlohmann::json& aMessages)
{
  const auto& first = aMessages.front();
  if (!first.is_object() || !first.contains("content")) {
    ThrowError(Reason::BadRequest, "messages[0] has no content");
  }
  const auto& content = first["content"];
  return content.is_string() ? content.get<std::string>() : content.dump();
}

// Returns a canonical form of the body for the fingerprint. Streaming options
// and JSON formatting don't affect it.
std::string
CanonicalBody(nlohmann::json aBody)
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

// Formats a class of work as a model object of the OpenAI API.
nlohmann::json
ModelJson(const std::string& aName, const ClassConfig& aWork)
{
  return { { "id", aName },
           { "object", "model" },
           { "created", 0 },
           { "owned_by", aWork.m_service } };
}

} // namespace

CallerApi::CallerApi(CallerApiContext aContext)
  : m_context(std::move(aContext))
{
}

void
CallerApi::Handle(HttpRequest aRequest,
                  const std::shared_ptr<HttpResponder>& aResponder)
{
  try {
    if (aRequest.m_path == "/v1/entry" && aRequest.m_method == "GET") {
      RespondJson(*aResponder, 200, m_context.m_entriesJson());
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
      m_context.m_forward(ReadChat(aRequest), aResponder);
      return;
    }
    if (aRequest.m_path.rfind(kServicePrefix, 0) == 0) {
      m_context.m_forward(ReadService(aRequest), aResponder);
      return;
    }
    ThrowError(Reason::NotFound,
               "no such resource: " + aRequest.m_method + " " +
                 aRequest.m_path);
  } catch (const Error& refusal) {
    RespondError(*aResponder, refusal);
  }
}

void
CallerApi::HandleModels(HttpResponder& aResponder) const
{
  nlohmann::json models = nlohmann::json::array();
  for (const auto& [name, work] : m_context.m_config()->m_classes) {
    models.push_back(ModelJson(name, work));
  }
  RespondJson(
    aResponder,
    200,
    nlohmann::json{ { "object", "list" }, { "data", models } }.dump());
}

void
CallerApi::HandleModel(const std::string& aName,
                       HttpResponder& aResponder) const
{
  const auto config = m_context.m_config();
  const auto work = config->m_classes.find(aName);
  if (work == config->m_classes.end()) {
    ThrowError(Reason::NotFound, "unknown class of work");
  }
  RespondJson(aResponder, 200, ModelJson(aName, work->second).dump());
}

void
CallerApi::ReadCommon(const HttpRequest& aRequest, CallerRequest& aResult) const
{
  aResult.m_id = NewId();
  aResult.m_team = HeaderOr(aRequest, "x-team", kDefaultTeam);
  aResult.m_session = HeaderOr(aRequest, "x-session", "");
  aResult.m_key = HeaderOr(aRequest, "idempotency-key", "");
  if (aResult.m_key.size() > kMaxKeyBytes) {
    ThrowError(Reason::BadRequest, "idempotency-key is longer than 256 bytes");
  }
  aResult.m_method = aRequest.m_method;
  aResult.m_body = aRequest.m_body;
  for (const auto* name : kForwardedHeaders) {
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
    ThrowError(Reason::BadRequest, "x-deadline-ms is not a positive number");
  }
  aResult.m_timeout =
    std::min(aResult.m_timeout, std::chrono::milliseconds(millis));
}

CallerRequest
CallerApi::ReadChat(const HttpRequest& aRequest) const
{
  const auto body = ReadJsonBody(aRequest);
  if (!body.contains("model") || !body["model"].is_string()) {
    ThrowError(Reason::BadRequest, "\"model\" must name a class of work");
  }
  if (!body.contains("messages") || !body["messages"].is_array() ||
      body["messages"].empty()) {
    ThrowError(Reason::BadRequest, "\"messages\" must be a non-empty array");
  }
  const auto stream = body.value("stream", nlohmann::json(false));
  if (!stream.is_boolean()) {
    ThrowError(Reason::BadRequest, "\"stream\" must be true or false");
  }
  const auto config = m_context.m_config();
  const auto work = config->m_classes.find(body["model"].get<std::string>());
  if (work == config->m_classes.end()) {
    ThrowError(Reason::NotFound, "\"model\" names an unknown class of work");
  }
  CallerRequest result;
  result.m_class = work->first;
  result.m_service = work->second.m_service;
  result.m_priority = work->second.m_priority;
  result.m_stream = stream.get<bool>();
  const auto service = config->m_services.find(result.m_service);
  result.m_timeout = service == config->m_services.end()
                       ? m_context.m_http.m_requestTimeout
                       : service->second.m_timeout;
  ReadCommon(aRequest, result);
  result.m_path = "/v1/chat/completions";
  result.m_idempotent = result.m_key.empty();
  result.m_fingerprint =
    FingerprintOf(work->first, "POST", result.m_path, CanonicalBody(body));
  result.m_prefixHash = StableHash(FirstMessage(body["messages"]));
  return result;
}

CallerRequest
CallerApi::ReadService(const HttpRequest& aRequest) const
{
  const auto rest =
    std::string_view(aRequest.m_path).substr(kServicePrefix.size());
  const auto slash = rest.find('/');
  const auto config = m_context.m_config();
  const auto service =
    config->m_services.find(std::string(rest.substr(0, slash)));
  if (service == config->m_services.end()) {
    ThrowError(Reason::NotFound, "unknown service");
  }
  if (service->second.m_kind == ServiceConfig::Kind::Model) {
    ThrowError(Reason::BadRequest,
               "model services are only available at /v1/chat/completions");
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
    ThrowError(
      Reason::KeyRequired,
      "this request is not idempotent: an idempotency-key is required");
  }
  result.m_fingerprint = FingerprintOf(
    result.m_service, result.m_method, result.m_path, result.m_body);
  return result;
}

} // namespace siskindeal

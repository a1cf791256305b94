#include "operators/answers_p.h"

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr int kMsPerSecond = 1000;

// The value as JSON, or as a string where it isn't any.
Json
ValueJson(const std::string& aValue)
{
  if (aValue.empty()) {
    return nullptr;
  }
  Json value = Json::parse(aValue, nullptr, false);
  return value.is_discarded() ? Json(aValue) : value;
}

} // namespace

Json
ErrorJson(const Error& aError)
{
  return { { "error",
             { { "reason", ToString(aError.GetReason()) },
               { "message", aError.what() },
               { "verdict", ToString(aError.GetVerdict()) },
               { "retry_after_ms", aError.RetryAfter().count() } } } };
}

void
AnswerJson(const std::shared_ptr<HttpResponder>& aResponder,
           int aStatus,
           const Json& aBody)
{
  aResponder->Respond(
    aStatus,
    { { "content-type", "application/json" } },
    aBody.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
}

void
AnswerError(const std::shared_ptr<HttpResponder>& aResponder,
            const Error& aError)
{
  HttpHeaders headers = { { "content-type", "application/json" },
                          { std::string(kVerdictHeader),
                            std::string(ToString(aError.GetVerdict())) } };
  if (aError.RetryAfter().count() > 0) {
    const auto seconds =
      (aError.RetryAfter().count() + kMsPerSecond - 1) / kMsPerSecond;
    headers["retry-after"] = std::to_string(seconds);
  }
  aResponder->Respond(
    HttpStatus(aError.GetReason()),
    std::move(headers),
    ErrorJson(aError).dump(-1, ' ', false, Json::error_handler_t::replace) +
      "\n");
}

Json
ObjectJson(const PlatformObject& aObject)
{
  return { { "key", aObject.m_key },
           { "version", aObject.m_version },
           { "change_id", aObject.m_changeId },
           { "deleted", aObject.m_deleted || aObject.m_version == 0 },
           { "value", ValueJson(aObject.m_value) } };
}

Error
PlatformRefusal(const PlatformReply& aReply)
{
  if (aReply.m_outcome == PlatformOutcome::Invalid) {
    return { Reason::TooLarge,
             Verdict::NotRun,
             "the platform refuses the value; it holds at most 1 MiB" };
  }
  constexpr std::chrono::milliseconds kRetryAfter{ 2000 };
  return { Reason::Unavailable,
           Verdict::NotRun,
           "the platform's object API can't be reached; nothing was changed",
           std::max(aReply.m_retryAfter, kRetryAfter) };
}

} // namespace siskindeal

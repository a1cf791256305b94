#include "operators/answers_p.h"

#include "node/answer_p.h"

namespace siskindeal {

namespace {

using Json = nlohmann::json;

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
  RespondError(*aResponder, aError);
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

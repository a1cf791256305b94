#include "operators/responses_p.h"

#include "node/answer_p.h"
#include "siskindeal/json.h"

namespace siskindeal {

namespace {

using Json = nlohmann::json;

// Parses the value as JSON; a value that is not JSON becomes a string.
Json
ValueToJson(const std::string& aValue)
{
  if (aValue.empty()) {
    return nullptr;
  }
  Json value = ParseJsonOrDiscard(aValue);
  return value.is_discarded() ? Json(aValue) : value;
}

} // namespace

void
SendJsonResponse(const std::shared_ptr<HttpResponder>& aResponder,
                 int aStatus,
                 const Json& aBody)
{
  aResponder->Respond(
    aStatus,
    { { "content-type", "application/json" } },
    aBody.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
}

void
SendErrorResponse(const std::shared_ptr<HttpResponder>& aResponder,
                  const Error& aError)
{
  RespondError(*aResponder, aError);
}

Json
ObjectToJson(const PlatformObject& aObject)
{
  return { { "key", aObject.m_key },
           { "version", aObject.m_version },
           { "change_id", aObject.m_changeId },
           { "deleted", aObject.m_deleted || aObject.m_version == 0 },
           { "value", ValueToJson(aObject.m_value) } };
}

Error
PlatformCallError(const PlatformReply& aReply)
{
  if (aReply.m_outcome == PlatformOutcome::Invalid) {
    return { Reason::TooLarge,
             Verdict::NotRun,
             "the platform rejected the value; the limit is 1 MiB" };
  }
  constexpr std::chrono::milliseconds kMinRetryAfter{ 2000 };
  return { Reason::Unavailable,
           Verdict::NotRun,
           "the platform's object API is unreachable; nothing was changed",
           std::max(aReply.m_retryAfter, kMinRetryAfter) };
}

} // namespace siskindeal

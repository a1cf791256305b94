#include "node/answer_p.h"

namespace siskindeal {

namespace {

// Replaces bytes that are not valid UTF-8.
std::string
SerializeJson(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

nlohmann::json
ErrorJson(const Error& aError)
{
  return { { "error",
             { { "reason", ToString(aError.GetReason()) },
               { "message", aError.what() },
               { "verdict", ToString(aError.GetVerdict()) },
               { "retry_after_ms", aError.RetryAfter().count() } } } };
}

void
RespondError(HttpResponder& aResponder,
             const Error& aError,
             HttpHeaders aHeaders)
{
  aHeaders["content-type"] = "application/json";
  aHeaders[std::string(kVerdictHeader)] = ToString(aError.GetVerdict());
  if (aError.RetryAfter().count() > 0) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aError.RetryAfter());
    aHeaders["retry-after"] = std::to_string(seconds.count());
  }
  aResponder.Respond(HttpStatus(aError.GetReason()),
                     std::move(aHeaders),
                     SerializeJson(ErrorJson(aError)) + "\n");
}

void
RespondJson(HttpResponder& aResponder, int aStatus, std::string aBody)
{
  aResponder.Respond(
    aStatus, { { "content-type", "application/json" } }, std::move(aBody));
}

} // namespace siskindeal

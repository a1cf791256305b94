#include "node/answer_p.h"

namespace siskindeal {

namespace {

// Bytes that aren't UTF-8 are replaced.
std::string
Text(const nlohmann::json& aJson)
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
                     Text(ErrorJson(aError)) + "\n");
}

void
RespondJson(HttpResponder& aResponder, int aStatus, std::string aBody)
{
  aResponder.Respond(
    aStatus, { { "content-type", "application/json" } }, std::move(aBody));
}

} // namespace siskindeal

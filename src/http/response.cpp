#include "http/response_p.h"

#include "http/uri_p.h"
#include "siskindeal/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace siskindeal {

namespace {

// Set by the server together with the framing of a response.
constexpr std::array<std::string_view, 5> kFramingHeaders = {
  "connection",
  "content-length",
  "date",
  "keep-alive",
  "transfer-encoding"
};

bool
IsFramingHeader(std::string_view aName)
{
  return std::find(kFramingHeaders.begin(), kFramingHeaders.end(), aName) !=
         kFramingHeaders.end();
}

} // namespace

HttpFields
MakeFields(const HttpHeaders& aHeaders)
{
  HttpFields fields;
  for (const auto& [name, value] : aHeaders) {
    if (IsFramingHeader(name)) {
      continue;
    }
    if (!IsToken(name) || HasControlCharacter(value)) {
      Log(LogLevel::Warning, "response_header_refused", { { "name", name } });
      continue;
    }
    fields.Add(name, value);
  }
  return fields;
}

ErrorResponse
MakeErrorResponse(const Error& aError, const std::string& aRequestId)
{
  HttpHeaders headers{
    { "content-type", "application/json" },
    { std::string(kVerdictHeader), std::string(ToString(aError.GetVerdict())) },
    { std::string(kRequestIdHeader), aRequestId },
  };
  const auto retryAfter = aError.RetryAfter();
  if (retryAfter.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    headers["retry-after"] = std::to_string(seconds.count());
  }
  const nlohmann::ordered_json body = {
    { "error",
      { { "reason", ToString(aError.GetReason()) },
        { "message", aError.what() },
        { "verdict", ToString(aError.GetVerdict()) },
        { "retry_after_ms", retryAfter.count() } } }
  };
  constexpr auto kReplace = nlohmann::json::error_handler_t::replace;
  return { MakeFields(headers), body.dump(-1, ' ', false, kReplace) };
}

} // namespace siskindeal

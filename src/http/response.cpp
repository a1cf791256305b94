#include "http/response_p.h"

#include "siskindeal/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <memory>

namespace siskindeal {

namespace {

// Set by the library itself.
constexpr std::array<std::string_view, 5> kOwnedHeaders = {
  "connection",
  "content-length",
  "date",
  "keep-alive",
  "transfer-encoding"
};

void
FreeBody(void* aBody)
{
  delete static_cast<std::string*>(aBody);
}

} // namespace

void
AddHeaders(MHD_Response* aResponse, const HttpHeaders& aHeaders)
{
  for (const auto& [name, value] : aHeaders) {
    if (std::find(kOwnedHeaders.begin(), kOwnedHeaders.end(), name) !=
        kOwnedHeaders.end()) {
      continue;
    }
    if (MHD_add_response_header(aResponse, name.c_str(), value.c_str()) !=
        MHD_YES) {
      Log(LogLevel::Warning, "response_header_refused", { { "name", name } });
    }
  }
}

MHD_Response*
MakeWhole(const HttpHeaders& aHeaders, std::string aBody)
{
  auto body = std::make_unique<std::string>(std::move(aBody));
  auto* const text = body.get();
  auto* const response = MHD_create_response_from_buffer_with_free_callback_cls(
    text->size(), text->data(), &FreeBody, body.release());
  AddHeaders(response, aHeaders);
  return response;
}

MHD_Response*
MakeRefusal(const Error& aError, const std::string& aRequestId)
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
  return MakeWhole(headers, body.dump());
}

} // namespace siskindeal

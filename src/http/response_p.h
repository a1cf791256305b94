#pragma once
// Builds the error responses that the server generates itself, and the header
// fields of all responses.

#include "net/http_fields_p.h"
#include "siskindeal/error.h"
#include "siskindeal/http.h"

#include <string>
#include <string_view>

namespace siskindeal {

inline constexpr std::string_view kRequestIdHeader = "x-request-id";

// Converts headers to fields. Skips headers that the framing sets, and logs and
// skips those with an invalid name or value.
HttpFields
MakeFields(const HttpHeaders& aHeaders);

struct ErrorResponse
{
  HttpFields m_fields;
  std::string m_body; // JSON: reason, message, verdict and retry time
};

ErrorResponse
MakeErrorResponse(const Error& aError, const std::string& aRequestId);

} // namespace siskindeal

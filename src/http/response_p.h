#pragma once
// The answers that the server gives by itself, and the fields of all answers.

#include "net/http_fields_p.h"
#include "siskindeal/error.h"
#include "siskindeal/http.h"

#include <string>
#include <string_view>

namespace siskindeal {

inline constexpr std::string_view kRequestIdHeader = "x-request-id";

// All but the headers that framing sets, and but those that would break it.
HttpFields
FieldsOf(const HttpHeaders& aHeaders);

struct Refusal
{
  HttpFields m_fields;
  std::string m_body; // JSON: reason, message, verdict and retry time
};

Refusal
MakeRefusal(const Error& aError, const std::string& aRequestId);

} // namespace siskindeal

#pragma once
// JSON responses to operators' calls.

#include "siskindeal/error.h"
#include "siskindeal/http.h"
#include "siskindeal/platform.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace siskindeal {

void
SendJsonResponse(const std::shared_ptr<HttpResponder>& aResponder,
                 int aStatus,
                 const nlohmann::json& aBody);

// Sends the status, verdict and Retry-After of aError.
void
SendErrorResponse(const std::shared_ptr<HttpResponder>& aResponder,
                  const Error& aError);

// {"key","version","change_id","deleted","value"}; the value is embedded as
// JSON.
nlohmann::json
ObjectToJson(const PlatformObject& aObject);

// The error for a call that the platform did not execute.
Error
PlatformCallError(const PlatformReply& aReply);

} // namespace siskindeal

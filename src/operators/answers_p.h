#pragma once
// JSON answers to operators.

#include "siskindeal/error.h"
#include "siskindeal/http.h"
#include "siskindeal/platform.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace siskindeal {

void
AnswerJson(const std::shared_ptr<HttpResponder>& aResponder,
           int aStatus,
           const nlohmann::json& aBody);

// Answers with the error's own status, verdict and Retry-After.
void
AnswerError(const std::shared_ptr<HttpResponder>& aResponder,
            const Error& aError);

// {"key","version","change_id","deleted","value"}, the value as JSON.
nlohmann::json
ObjectJson(const PlatformObject& aObject);

// The refusal of a call that the platform provably didn't execute.
Error
PlatformRefusal(const PlatformReply& aReply);

} // namespace siskindeal

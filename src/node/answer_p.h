#pragma once
// The JSON responses that a process generates itself.

#include "siskindeal/error.h"
#include "siskindeal/http.h"

#include <nlohmann/json.hpp>

#include <string>

namespace siskindeal {

// The object {"error":{...}} of docs/INTERFACES.md.
nlohmann::json
ErrorJson(const Error& aError);

// Sends an error response: the HTTP status of its reason, the verdict header,
// retry-after if the error has one, and the JSON body.
void
RespondError(HttpResponder& aResponder,
             const Error& aError,
             HttpHeaders aHeaders = {});

// Sends a JSON response.
void
RespondJson(HttpResponder& aResponder, int aStatus, std::string aBody);

} // namespace siskindeal

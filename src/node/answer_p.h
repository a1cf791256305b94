#pragma once
// The JSON answers of a process that do not come from an upstream.

#include "siskindeal/error.h"
#include "siskindeal/http.h"

#include <nlohmann/json.hpp>

#include <string>

namespace siskindeal {

// The object {"error":{...}} of docs/INTERFACES.md.
nlohmann::json
ErrorJson(const Error& aError);

// Sends a refusal or failure: status of the reason, verdict header, retry-after
// where it helps, and the JSON body.
void
RespondError(HttpResponder& aResponder,
             const Error& aError,
             HttpHeaders aHeaders = {});

// Sends JSON made by the process itself.
void
RespondJson(HttpResponder& aResponder, int aStatus, std::string aBody);

} // namespace siskindeal

#pragma once
// Responses of the HTTP library.

#include "siskindeal/error.h"
#include "siskindeal/http.h"

#include <microhttpd.h>

#include <string>
#include <string_view>

namespace siskindeal {

inline constexpr std::string_view kRequestIdHeader = "x-request-id";

// Adds all but the headers that the library sets itself.
void
AddHeaders(MHD_Response* aResponse, const HttpHeaders& aHeaders);

MHD_Response*
MakeWhole(const HttpHeaders& aHeaders, std::string aBody);

// A JSON refusal with the error's reason, verdict and retry time.
MHD_Response*
MakeRefusal(const Error& aError, const std::string& aRequestId);

} // namespace siskindeal

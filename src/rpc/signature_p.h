#pragma once
// Signs and checks calls between siskindeal's own processes with shared keys.

#include "siskindeal/settings.h"

#include <chrono>
#include <string>
#include <string_view>

namespace siskindeal {

// The metadata key that carries a signature.
inline constexpr const char* kSignatureKey = "siskindeal-auth";

// Difference allowed between the clocks of two processes.
inline constexpr std::chrono::seconds kClockAllowance{ 300 };

// "KEYID:UNIX_SECONDS:VM:HMAC" over method, time and VM under the active key;
// empty when no keys are set.
std::string
SignCall(const AuthSettings& aAuth,
         std::string_view aMethod,
         std::string_view aVm,
         std::chrono::system_clock::time_point aNow);

// Whether aSignature was made for aMethod, by any listed key, within the
// allowance. Always true when no keys are set.
bool
CallIsSigned(const AuthSettings& aAuth,
             std::string_view aMethod,
             std::string_view aSignature,
             std::chrono::system_clock::time_point aNow);

} // namespace siskindeal

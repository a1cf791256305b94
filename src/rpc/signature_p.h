#pragma once
// Signs and verifies calls between siskindeal processes with shared keys.

#include "siskindeal/settings.h"

#include <chrono>
#include <string>
#include <string_view>

namespace siskindeal {

// The metadata key that carries a signature.
inline constexpr const char* kSignatureKey = "siskindeal-auth";

// Maximum difference between the clocks of two processes.
inline constexpr std::chrono::seconds kMaxClockSkew{ 300 };

// Returns "KEYID:UNIX_SECONDS:VM:HMAC", where the HMAC covers method, time and
// VM with the active key. Empty if the active key is not set.
std::string
SignCall(const AuthSettings& aAuth,
         std::string_view aMethod,
         std::string_view aVm,
         std::chrono::system_clock::time_point aNow);

// Whether aSignature is valid for aMethod with any of the keys and its time is
// within kMaxClockSkew. Always true if no keys are set.
bool
VerifySignature(const AuthSettings& aAuth,
                std::string_view aMethod,
                std::string_view aSignature,
                std::chrono::system_clock::time_point aNow);

} // namespace siskindeal

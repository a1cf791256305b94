#pragma once
// Content digests.

#include <cstdint>
#include <string>
#include <string_view>

namespace siskindeal {

// The SHA-256 of aBytes as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aBytes);

// HMAC-SHA-256 as 64 lower-case hexadecimal digits.
std::string
HmacSha256Hex(std::string_view aKey, std::string_view aBytes);

// A fast 64-bit hash, stable between processes and releases. Not for secrets.
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

// A random 128-bit identifier as 32 hexadecimal digits, unique over the fleet.
std::string
NewId();

} // namespace siskindeal

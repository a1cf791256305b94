#pragma once
// Digests, hashes and random identifiers.

#include <cstdint>
#include <string>
#include <string_view>

namespace siskindeal {

// Returns the SHA-256 of aBytes as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aBytes);

// Returns the HMAC-SHA-256 of aBytes as 64 lower-case hexadecimal digits.
std::string
HmacSha256Hex(std::string_view aKey, std::string_view aBytes);

// Fast 64-bit hash, stable across processes and releases. Not cryptographic.
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

// Returns a random 128-bit identifier as 32 hexadecimal digits, unique within
// the fleet.
std::string
NewId();

} // namespace siskindeal

#pragma once
// Compression with gzip.

#include <cstddef>
#include <string>
#include <string_view>

namespace siskindeal {

// Compresses aBytes, preferring speed to size.
std::string
Compress(std::string_view aBytes);

// Throws std::invalid_argument if aBytes are not gzip or decompress to more
// than aMaxBytes.
std::string
Decompress(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace siskindeal

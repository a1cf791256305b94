#pragma once
// Parsing and formatting of durations, sizes and URLs in settings files.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace siskindeal {

// Parses "500ms", "10s", "5m" or "1h"; throws std::invalid_argument with the
// expected format.
std::chrono::milliseconds
ParseDuration(std::string_view aText);

// The shortest text that ParseDuration parses to the same value.
std::string
FormatDuration(std::chrono::milliseconds aDuration);

// Parses "512B", "64KiB", "1MiB", "1GiB", "250kB", "250MB" or "1GB"; throws
// std::invalid_argument with the expected format.
std::uint64_t
ParseByteSize(std::string_view aText);

// The shortest text that ParseByteSize parses to the same value.
std::string
FormatByteSize(std::uint64_t aBytes);

// Throws std::invalid_argument with the expected format unless aText is
// "http://IP:PORT" or "https://IP:PORT".
void
CheckUrl(const std::string& aText);

} // namespace siskindeal

#pragma once
// Settings' values as text: durations, sizes and URLs with their units.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace siskindeal {

// Reads "500ms", "10s", "5m" or "1h"; throws std::invalid_argument saying what
// was expected.
std::chrono::milliseconds
ParseDuration(std::string_view aText);

// The shortest text that ParseDuration reads back.
std::string
DurationText(std::chrono::milliseconds aDuration);

// Reads "512B", "64KiB", "1MiB", "1GiB", "250kB", "250MB" or "1GB"; throws
// std::invalid_argument saying what was expected.
std::uint64_t
ParseByteSize(std::string_view aText);

// The shortest text that ParseByteSize reads back.
std::string
ByteSizeText(std::uint64_t aBytes);

// Checks "http://IP:PORT" or "https://IP:PORT"; throws std::invalid_argument
// saying what was expected.
void
CheckUrl(const std::string& aText);

} // namespace siskindeal

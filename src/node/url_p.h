#pragma once
// Percent-encoding of URLs.

#include <string>
#include <string_view>

namespace siskindeal {

// Encodes everything but unreserved characters.
std::string
PercentEncode(std::string_view aText);

// The same, but does not encode '/'.
std::string
PercentEncodePath(std::string_view aPath);

} // namespace siskindeal

#pragma once
// Reads parameters of a request target's query.

#include <string>
#include <string_view>

namespace siskindeal {

// The value of a parameter as it stands, without percent-decoding. Empty if the
// target has no such parameter.
std::string
QueryValue(std::string_view aTarget, std::string_view aName);

} // namespace siskindeal

#pragma once
// Tells whether a response's head may consist of the heads of two responses. A
// peer that breaks a response off and goes on with the next one on the same
// connection leaves the second one's status line inside the first one's head.

#include "net/http_connection_p.h"

#include <string_view>

namespace siskindeal {

// Whether a text contains the beginning of a status line.
bool
ContainsStatusLine(std::string_view aText);

// Returns what makes a head ambiguous, or nothing. aEchoName is the field that
// names a response's request; it must not occur twice. May be empty.
std::string_view
AmbiguityOf(const ResponseHead& aHead, std::string_view aEchoName);

} // namespace siskindeal

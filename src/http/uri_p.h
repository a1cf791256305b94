#pragma once
// Request targets, and the characters that parts of a request may hold.

#include "siskindeal/http.h"

#include <string>
#include <string_view>

namespace siskindeal {

// A request target, percent-decoded.
struct RequestTarget
{
  std::string m_path;
  HttpHeaders m_query;
};

// Reads "/path?name=value". Throws Error (BadRequest) for a target that isn't
// absolute, a bad percent escape, a space or a control character.
RequestTarget
ParseRequestTarget(std::string_view aRaw);

// Whether aText may be a method or the name of a header (RFC 9110, 5.6.2).
bool
IsToken(std::string_view aText);

// Whether aText holds a control character other than a tab.
bool
HasControlCharacter(std::string_view aText);

} // namespace siskindeal

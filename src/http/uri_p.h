#pragma once
// Parses request targets and checks the characters of request fields.

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

// Parses "/path?name=value". Throws Error (BadRequest) if the path doesn't
// begin with '/', or on an invalid percent escape, a space or a control
// character.
RequestTarget
ParseRequestTarget(std::string_view aRaw);

// Whether aText is a token, as in method and header names (RFC 9110, 5.6.2).
bool
IsToken(std::string_view aText);

// Whether aText contains a control character other than a tab.
bool
HasControlCharacter(std::string_view aText);

} // namespace siskindeal

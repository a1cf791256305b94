#pragma once
// Request targets of HTTP/1.1.

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
// absolute, a bad percent escape or a control character.
RequestTarget
ParseRequestTarget(std::string_view aRaw);

} // namespace siskindeal

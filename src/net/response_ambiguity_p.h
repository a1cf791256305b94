#pragma once
// Tells whether what arrives may consist of two responses. A peer that breaks a
// response off and goes on with the next one on the same connection leaves the
// second one's status line inside the first one's head or body.

#include "net/http_fields_p.h"

#include <string>
#include <string_view>

namespace siskindeal {

struct ResponseHead;

// Whether a text contains the beginning of a status line.
bool
ContainsStatusLine(std::string_view aText);

// Returns what makes a head ambiguous, or nothing. aEchoName is the field that
// names a response's request; it must not occur twice. May be empty.
std::string_view
AmbiguityOf(const ResponseHead& aHead, std::string_view aEchoName);

// Looks for the head of another response in a body that arrives in parts.
class BodyScanner
{
public:
  // aEcho must follow the status line, since a body may quote one. May be
  // empty.
  explicit BodyScanner(std::string aEcho)
    : m_echo(std::move(aEcho))
  {
  }

  // Takes the next part. Returns whether the body so far contains a head.
  bool Add(std::string_view aPart);
  // Whether a head that begins in the body goes on in what follows it.
  bool IsContinuedBy(std::string_view aRest) const;

private:
  std::string m_echo;
  std::string m_tail; // of the parts so far
  bool m_hasStatusLine = false;
};

} // namespace siskindeal

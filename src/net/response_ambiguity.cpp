#include "net/response_ambiguity_p.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace siskindeal {

bool
ContainsStatusLine(std::string_view aText)
{
  constexpr std::string_view kProtocol = "HTTP/";
  constexpr std::size_t kVersionLength = 4; // "1.1 "
  for (auto at = aText.find(kProtocol); at != std::string_view::npos;
       at = aText.find(kProtocol, at + 1)) {
    const auto rest = aText.substr(at + kProtocol.size());
    if (rest.size() >= kVersionLength && absl::ascii_isdigit(rest[0]) &&
        rest[1] == '.' && absl::ascii_isdigit(rest[2]) && rest[3] == ' ') {
      return true;
    }
  }
  return false;
}

std::string_view
AmbiguityOf(const ResponseHead& aHead, std::string_view aEchoName)
{
  const auto& fields = aHead.m_fields.All();
  const bool hasStatusLine =
    ContainsStatusLine(aHead.m_reason) ||
    std::any_of(fields.begin(), fields.end(), [](const auto& aField) {
      return ContainsStatusLine(aField.second);
    });
  if (hasStatusLine) {
    return "a status line inside the head";
  }
  const auto echoes =
    std::count_if(fields.begin(), fields.end(), [&](const auto& aField) {
      return SameName(aField.first, aEchoName);
    });
  return echoes > 1 ? "two request ids" : "";
}

} // namespace siskindeal

#include "url_p.h"

#include <absl/strings/ascii.h>

namespace siskindeal {

namespace {

std::string
Encode(std::string_view aText, std::string_view aUnescaped)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string text;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (absl::ascii_isalnum(byte) ||
        aUnescaped.find(c) != std::string_view::npos) {
      text += c;
      continue;
    }
    text += '%';
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 15];
  }
  return text;
}

} // namespace

std::string
PercentEncode(std::string_view aText)
{
  return Encode(aText, "-._~");
}

std::string
PercentEncodePath(std::string_view aPath)
{
  return Encode(aPath, "-._~/");
}

} // namespace siskindeal

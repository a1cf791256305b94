#include "net/http_fields_p.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace siskindeal {

namespace {

absl::string_view
View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

// Hop-by-hop fields (RFC 9110, 7.6.1). Content-Length and Trailer are generated
// with the forwarded body.
constexpr std::array<std::string_view, 10> kHopByHop = {
  "connection", "keep-alive",        "proxy-connection", "transfer-encoding",
  "te",         "trailer",           "upgrade",          "content-length",
  "expect",     "proxy-authenticate"
};

} // namespace

const std::string*
HttpFields::Find(std::string_view aName) const
{
  for (const auto& [name, value] : m_fields) {
    if (SameName(name, aName)) {
      return &value;
    }
  }
  return nullptr;
}

std::size_t
HttpFields::MemoryBytes() const
{
  const std::size_t inPlace = std::string().capacity(); // needs no allocation
  std::size_t bytes = m_fields.capacity() * sizeof(Field);
  for (const auto& [name, value] : m_fields) {
    bytes += name.capacity() > inPlace ? name.capacity() : 0;
    bytes += value.capacity() > inPlace ? value.capacity() : 0;
  }
  return bytes;
}

bool
SameName(std::string_view aFirst, std::string_view aSecond)
{
  return absl::EqualsIgnoreCase(View(aFirst), View(aSecond));
}

bool
HasToken(const std::string* aList, std::string_view aToken)
{
  if (aList == nullptr) {
    return false;
  }
  for (const auto& part : absl::StrSplit(*aList, ',')) {
    if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(part),
                               View(aToken))) {
      return true;
    }
  }
  return false;
}

bool
IsHopByHop(std::string_view aName, const HttpFields& aFields)
{
  return std::any_of(kHopByHop.begin(),
                     kHopByHop.end(),
                     [&](auto aListed) { return SameName(aName, aListed); }) ||
         HasToken(aFields.Find("connection"), aName);
}

void
AppendField(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

} // namespace siskindeal

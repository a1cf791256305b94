#include "http/uri_p.h"

#include "siskindeal/error.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace siskindeal {

namespace {

[[noreturn]] void
ThrowBadRequest(const std::string& aMessage)
{
  throw Error(Reason::BadRequest, Verdict::NotRun, aMessage);
}

int
ParseHexDigit(char aDigit)
{
  if (!absl::ascii_isxdigit(static_cast<unsigned char>(aDigit))) {
    ThrowBadRequest("request target: invalid percent escape");
  }
  if (absl::ascii_isdigit(static_cast<unsigned char>(aDigit))) {
    return aDigit - '0';
  }
  return absl::ascii_tolower(static_cast<unsigned char>(aDigit)) - 'a' + 10;
}

std::string
PercentDecode(std::string_view aText, bool aPlusIsSpace)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    char byte = aText[i];
    if (byte == ' ') {
      ThrowBadRequest("request target: space");
    }
    if (byte == '%') {
      if (i + 2 >= aText.size()) {
        ThrowBadRequest("request target: invalid percent escape");
      }
      byte = static_cast<char>(ParseHexDigit(aText[i + 1]) * 16 +
                               ParseHexDigit(aText[i + 2]));
      i += 2;
    } else if (byte == '+' && aPlusIsSpace) {
      byte = ' ';
    }
    if (absl::ascii_iscntrl(static_cast<unsigned char>(byte))) {
      ThrowBadRequest("request target: control character");
    }
    decoded.push_back(byte);
  }
  return decoded;
}

// Removes the scheme and authority of a target in absolute form.
std::string_view
StripAuthority(std::string_view aRaw)
{
  const auto scheme = aRaw.find("://");
  if (aRaw.empty() || aRaw.front() == '/' || scheme == std::string_view::npos) {
    return aRaw;
  }
  const auto path = aRaw.find('/', scheme + 3);
  return path == std::string_view::npos ? "/" : aRaw.substr(path);
}

HttpHeaders
ParseQuery(std::string_view aQuery)
{
  HttpHeaders query;
  while (!aQuery.empty()) {
    const auto pair = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(std::min(aQuery.size(), pair.size() + 1));
    if (pair.empty()) {
      continue;
    }
    const auto equals = pair.find('=');
    const auto value = equals == std::string_view::npos
                         ? std::string_view()
                         : pair.substr(equals + 1);
    query[PercentDecode(pair.substr(0, equals), true)] =
      PercentDecode(value, true);
  }
  return query;
}

} // namespace

bool
IsToken(std::string_view aText)
{
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [&](char aByte) {
           return absl::ascii_isalnum(static_cast<unsigned char>(aByte)) ||
                  kTokenSymbols.find(aByte) != std::string_view::npos;
         });
}

bool
HasControlCharacter(std::string_view aText)
{
  return std::any_of(aText.begin(), aText.end(), [](char aByte) {
    return aByte != '\t' &&
           absl::ascii_iscntrl(static_cast<unsigned char>(aByte));
  });
}

RequestTarget
ParseRequestTarget(std::string_view aRaw)
{
  const auto target = StripAuthority(aRaw);
  const auto queryStart = target.find('?');
  RequestTarget parsed;
  parsed.m_path = PercentDecode(target.substr(0, queryStart), false);
  if (parsed.m_path.empty() || parsed.m_path.front() != '/') {
    ThrowBadRequest("request target: the path must begin with '/'");
  }
  if (queryStart != std::string_view::npos) {
    parsed.m_query = ParseQuery(target.substr(queryStart + 1));
  }
  return parsed;
}

} // namespace siskindeal

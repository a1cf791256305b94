#include "http/uri_p.h"

#include "siskindeal/error.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace siskindeal {

namespace {

[[noreturn]] void
Refuse(const std::string& aWhat)
{
  throw Error(Reason::BadRequest, Verdict::NotRun, aWhat);
}

int
HexDigit(char aDigit)
{
  if (!absl::ascii_isxdigit(static_cast<unsigned char>(aDigit))) {
    Refuse("request target: bad percent escape");
  }
  if (absl::ascii_isdigit(static_cast<unsigned char>(aDigit))) {
    return aDigit - '0';
  }
  return absl::ascii_tolower(static_cast<unsigned char>(aDigit)) - 'a' + 10;
}

std::string
Decode(std::string_view aText, bool aPlusIsSpace)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    char byte = aText[i];
    if (byte == ' ') {
      Refuse("request target: space");
    }
    if (byte == '%') {
      if (i + 2 >= aText.size()) {
        Refuse("request target: bad percent escape");
      }
      byte =
        static_cast<char>(HexDigit(aText[i + 1]) * 16 + HexDigit(aText[i + 2]));
      i += 2;
    } else if (byte == '+' && aPlusIsSpace) {
      byte = ' ';
    }
    if (absl::ascii_iscntrl(static_cast<unsigned char>(byte))) {
      Refuse("request target: control character");
    }
    decoded.push_back(byte);
  }
  return decoded;
}

// Drops the scheme and authority of a target in absolute form.
std::string_view
PathAndQuery(std::string_view aRaw)
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
    query[Decode(pair.substr(0, equals), true)] = Decode(value, true);
  }
  return query;
}

} // namespace

bool
IsToken(std::string_view aText)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [&](char aByte) {
           return absl::ascii_isalnum(static_cast<unsigned char>(aByte)) ||
                  kMarks.find(aByte) != std::string_view::npos;
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
  const auto target = PathAndQuery(aRaw);
  const auto mark = target.find('?');
  RequestTarget parsed;
  parsed.m_path = Decode(target.substr(0, mark), false);
  if (parsed.m_path.empty() || parsed.m_path.front() != '/') {
    Refuse("request target: expected a path that begins with '/'");
  }
  if (mark != std::string_view::npos) {
    parsed.m_query = ParseQuery(target.substr(mark + 1));
  }
  return parsed;
}

} // namespace siskindeal

#include "net/response_ambiguity_p.h"

#include "net/http_connection_p.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace siskindeal {

namespace {

// "HTTP/1.1 200"; a digit stands for any.
constexpr std::string_view kStatusLineStart = "HTTP/0.0 000";

bool
BeginsWithStatusLine(std::string_view aText)
{
  return aText.size() >= kStatusLineStart.size() &&
         std::equal(kStatusLineStart.begin(),
                    kStatusLineStart.end(),
                    aText.begin(),
                    [](char aExpected, char aFound) {
                      return aExpected == '0' ? absl::ascii_isdigit(aFound)
                                              : aExpected == aFound;
                    });
}

} // namespace

bool
ContainsStatusLine(std::string_view aText)
{
  constexpr std::string_view kProtocol = "HTTP/";
  for (auto at = aText.find(kProtocol); at != std::string_view::npos;
       at = aText.find(kProtocol, at + 1)) {
    if (BeginsWithStatusLine(aText.substr(at))) {
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

bool
BodyScanner::Add(std::string_view aPart)
{
  const std::string text = m_tail.append(aPart);
  m_hasStatusLine = m_hasStatusLine || ContainsStatusLine(text);
  const std::size_t kept = std::max(kStatusLineStart.size(), m_echo.size()) - 1;
  m_tail = text.substr(text.size() - std::min(text.size(), kept));
  return m_hasStatusLine && text.find(m_echo) != std::string::npos;
}

bool
BodyScanner::IsContinuedBy(std::string_view aRest) const
{
  if (aRest.empty() || m_hasStatusLine) {
    return !aRest.empty();
  }
  std::string text = m_tail;
  text += aRest.substr(0, kStatusLineStart.size());
  for (std::size_t at = 0; at < m_tail.size(); ++at) {
    if (BeginsWithStatusLine(std::string_view(text).substr(at))) {
      return true;
    }
  }
  return false;
}

} // namespace siskindeal

#include "siskindeal/json.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr int kErrorId = 600; // the library's own are below
constexpr std::size_t kMaxReasonBytes = 200;
constexpr std::string_view kSpaces = " \t\r\n";

// Moves over a JSON text by its strings, brackets and separators.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : m_text(aText)
  {
  }

  bool TryConsume(char aCharacter)
  {
    SkipSpaces();
    if (m_at == m_text.size() || m_text[m_at] != aCharacter) {
      return false;
    }
    ++m_at;
    return true;
  }

  void Consume(char aCharacter)
  {
    if (!TryConsume(aCharacter)) {
      throw JsonError(std::string("expected '") + aCharacter + "' at byte " +
                      std::to_string(m_at));
    }
  }

  void ConsumeEnd()
  {
    SkipSpaces();
    if (m_at != m_text.size()) {
      throw JsonError("unexpected text at byte " + std::to_string(m_at));
    }
  }

  std::string_view TakeValue()
  {
    SkipSpaces();
    const std::size_t start = m_at;
    if (m_at == m_text.size()) {
      throw JsonError("value missing at byte " + std::to_string(start));
    }
    if (m_text[m_at] == '"') {
      SkipString();
    } else if (m_text[m_at] == '{' || m_text[m_at] == '[') {
      SkipNested(m_text.size());
    } else {
      m_at = std::min(m_text.find_first_of(",:]} \t\r\n", m_at), m_text.size());
    }
    if (m_at == start) {
      throw JsonError("value missing at byte " + std::to_string(start));
    }
    return m_text.substr(start, m_at - start);
  }

  // Throws if a bracket opens below aMaxDepth others.
  void CheckDepth(std::size_t aMaxDepth)
  {
    while ((m_at = m_text.find_first_of("\"[{", m_at)) !=
           std::string_view::npos) {
      if (m_text[m_at] == '"') {
        SkipString();
      } else {
        SkipNested(aMaxDepth);
      }
    }
  }

private:
  void SkipSpaces()
  {
    m_at = std::min(m_text.find_first_not_of(kSpaces, m_at), m_text.size());
  }

  void SkipString()
  {
    for (++m_at; m_at < m_text.size(); ++m_at) {
      if (m_text[m_at] == '"') {
        ++m_at;
        return;
      }
      if (m_text[m_at] == '\\') {
        ++m_at;
      }
    }
    throw JsonError("string without an end");
  }

  void SkipNested(std::size_t aMaxDepth)
  {
    std::size_t depth = 0;
    while ((m_at = m_text.find_first_of("\"[]{}", m_at)) !=
           std::string_view::npos) {
      const char character = m_text[m_at];
      if (character == '"') {
        SkipString();
        continue;
      }
      ++m_at;
      const bool opens = character == '[' || character == '{';
      depth = opens ? depth + 1 : depth - 1;
      if (depth > aMaxDepth) {
        throw JsonError("nested deeper than " + std::to_string(aMaxDepth) +
                        " levels");
      }
      if (depth == 0) {
        return;
      }
    }
    throw JsonError("bracket without an end");
  }

  std::string_view m_text;
  std::size_t m_at = 0;
};

std::string
MemberName(std::string_view aText)
{
  return aText.find('\\') == std::string_view::npos
           ? std::string(aText.substr(1, aText.size() - 2))
           : ParseJson(aText).get<std::string>();
}

} // namespace

JsonError::JsonError(const std::string& aReason)
  : Json::exception(kErrorId, aReason.c_str())
{
}

Json
ParseJson(std::string_view aText)
{
  CheckJsonDepth(aText);
  try {
    return Json::parse(aText);
  } catch (const Json::exception& error) { // which may quote the whole text
    throw JsonError(std::string(error.what()).substr(0, kMaxReasonBytes));
  }
}

Json
ParseJsonOrDiscard(std::string_view aText)
{
  try {
    return ParseJson(aText);
  } catch (const Json::exception&) {
    return Json(Json::value_t::discarded);
  }
}

void
CheckJsonDepth(std::string_view aText)
{
  Scanner(aText).CheckDepth(kMaxJsonDepth);
}

std::uint64_t
ReadJsonCount(const Json& aValue, std::uint64_t aMax)
{
  constexpr double kExactLimit = 9007199254740992.0; // 2^53
  std::uint64_t count = 0;
  if (aValue.is_number_unsigned()) {
    count = aValue.get<std::uint64_t>();
  } else if (const double number =
               aValue.is_number_float() ? aValue.get<double>() : -1;
             number >= 0 && number < kExactLimit &&
             number == std::floor(number)) {
    count = static_cast<std::uint64_t>(number);
  } else {
    throw JsonError("expected a whole number from 0 to " +
                    std::to_string(aMax));
  }
  if (count > aMax) {
    throw JsonError("number above " + std::to_string(aMax));
  }
  return count;
}

double
ReadJsonNumber(const Json& aValue, double aMin, double aMax)
{
  const double number = aValue.is_number() ? aValue.get<double>() : NAN;
  if (!(number >= aMin && number <= aMax)) {
    throw JsonError("expected a number from " + std::to_string(aMin) + " to " +
                    std::to_string(aMax));
  }
  return number;
}

JsonMemberTexts
SplitJsonObject(std::string_view aText)
{
  Scanner scanner(aText);
  JsonMemberTexts members;
  scanner.Consume('{');
  if (!scanner.TryConsume('}')) {
    do {
      const std::string_view name = scanner.TakeValue();
      if (name.front() != '"') {
        throw JsonError("member without a name");
      }
      scanner.Consume(':');
      members.emplace_back(MemberName(name), scanner.TakeValue());
    } while (scanner.TryConsume(','));
    scanner.Consume('}');
  }
  scanner.ConsumeEnd();
  return members;
}

std::vector<std::string_view>
SplitJsonArray(std::string_view aText)
{
  Scanner scanner(aText);
  std::vector<std::string_view> elements;
  scanner.Consume('[');
  if (!scanner.TryConsume(']')) {
    do {
      elements.push_back(scanner.TakeValue());
    } while (scanner.TryConsume(','));
    scanner.Consume(']');
  }
  scanner.ConsumeEnd();
  return elements;
}

std::string_view
FindJsonMember(const JsonMemberTexts& aMembers, std::string_view aName)
{
  const auto found =
    std::find_if(aMembers.rbegin(), aMembers.rend(), [&](const auto& aMember) {
      return aMember.first == aName;
    });
  return found == aMembers.rend() ? std::string_view() : found->second;
}

} // namespace siskindeal

#pragma once
// Reads JSON that comes from outside the process. The nesting of a value is
// checked before it is built, since copying or serializing a value recurses
// once per level. Errors are nlohmann::json::exception.

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskindeal {

inline constexpr std::size_t kMaxJsonDepth = 64;

class JsonError final : public nlohmann::json::exception
{
public:
  explicit JsonError(const std::string& aReason);
};

// Parses a text that nests no deeper than kMaxJsonDepth.
nlohmann::json
ParseJson(std::string_view aText);

// The same, but returns a discarded value on errors.
nlohmann::json
ParseJsonOrDiscard(std::string_view aText);

// Throws if a text nests deeper than kMaxJsonDepth.
void
CheckJsonDepth(std::string_view aText);

// Returns a whole number from 0 to aMax. Throws for any other value: the
// library's own conversions wrap and truncate.
std::uint64_t
ReadJsonCount(const nlohmann::json& aValue, std::uint64_t aMax);

// Returns a number within the bounds.
double
ReadJsonNumber(const nlohmann::json& aValue, double aMin, double aMax);

// Reads a member of an object; returns aDefault if there is none.
template<typename T>
T
JsonCountOr(const nlohmann::json& aObject,
            const char* aName,
            T aDefault,
            T aMax = std::numeric_limits<T>::max())
{
  const auto found = aObject.find(aName);
  return found == aObject.end() ? aDefault
                                : static_cast<T>(ReadJsonCount(*found, aMax));
}

// Returns the texts of an object's members by name, or of an array's elements.
// Checks only what is needed to find their ends: a text may be malformed, nest
// deeply or hold invalid UTF-8. They point into aText.
using JsonMemberTexts = std::vector<std::pair<std::string, std::string_view>>;
JsonMemberTexts
SplitJsonObject(std::string_view aText);
std::vector<std::string_view>
SplitJsonArray(std::string_view aText);

// Returns the text of the last member of that name, or an empty one.
std::string_view
FindJsonMember(const JsonMemberTexts& aMembers, std::string_view aName);

} // namespace siskindeal

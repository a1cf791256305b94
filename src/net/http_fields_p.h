#pragma once
// HTTP header fields in the order of arrival, and functions on field names and
// statuses.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskindeal {

class HttpFields
{
public:
  void Add(std::string_view aName, std::string_view aValue)
  {
    m_fields.emplace_back(aName, aValue);
  }

  // Returns the first value of a name, ignoring case; null if there is none.
  const std::string* Find(std::string_view aName) const;

  const std::vector<std::pair<std::string, std::string>>& All() const
  {
    return m_fields;
  }

  // Bytes of memory that the fields take. Many times the length of names and
  // values, if these are short.
  std::size_t MemoryBytes() const;

private:
  using Field = std::pair<std::string, std::string>;

  std::vector<Field> m_fields;
};

// Whether a response may have this status. Others have no meaning to a caller.
constexpr bool
IsHttpStatus(int aStatus)
{
  return aStatus >= 100 && aStatus <= 599;
}

// Compares two field names, ignoring case.
bool
SameName(std::string_view aFirst, std::string_view aSecond);

// Whether a field is hop-by-hop, by its name or because Connection lists it,
// and must not be forwarded.
bool
IsHopByHop(std::string_view aName, const HttpFields& aFields);

// Whether a comma-separated field value contains a token, ignoring case.
bool
HasToken(const std::string* aList, std::string_view aToken);

void
AppendField(std::string& aHead,
            std::string_view aName,
            std::string_view aValue);

} // namespace siskindeal

#pragma once
// Header fields in the order in which they came.

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

  // The first value of a name, in any case; null when there is none.
  const std::string* Find(std::string_view aName) const;

  const std::vector<std::pair<std::string, std::string>>& All() const
  {
    return m_fields;
  }

private:
  std::vector<std::pair<std::string, std::string>> m_fields;
};

// Whether two header names are the same, whatever their case.
bool
SameName(std::string_view aFirst, std::string_view aSecond);

// Whether a field concerns one connection only and isn't passed on, by its name
// or because Connection lists it.
bool
IsOfOneConnection(std::string_view aName, const HttpFields& aFields);

// Whether the comma-separated list in a field holds a word.
bool
HasWord(const std::string* aList, std::string_view aWord);

void
AppendField(std::string& aHead,
            std::string_view aName,
            std::string_view aValue);

} // namespace siskindeal

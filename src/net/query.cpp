#include "net/query_p.h"

#include <absl/strings/str_split.h>

#include <vector>

namespace siskindeal {

std::string
QueryValue(std::string_view aTarget, std::string_view aName)
{
  const auto query = aTarget.find('?');
  if (query == std::string_view::npos) {
    return {};
  }
  const auto parameters = aTarget.substr(query + 1);
  const std::vector<std::string> parts = absl::StrSplit(
    absl::string_view(parameters.data(), parameters.size()), '&');
  for (const std::string& part : parts) {
    const auto equals = part.find('=');
    if (equals != std::string::npos && part.substr(0, equals) == aName) {
      return part.substr(equals + 1);
    }
  }
  return {};
}

} // namespace siskindeal

#pragma once
// Parses the JSON bodies of the platform's replies and encodes keys for URLs.

#include "siskindeal/platform.h"

#include <string>

namespace siskindeal {

// Throw std::exception on malformed input.
PlatformObject
ParseObject(const std::string& aJson);
PlatformChanges
ParseChanges(const std::string& aJson);
VmList
ParseVms(const std::string& aJson);

// Percent-encodes all characters but letters, digits and "-._~/".
std::string
EncodeKey(const std::string& aKey);

} // namespace siskindeal

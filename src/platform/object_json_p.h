#pragma once
// The JSON forms of the platform's answers.

#include "siskindeal/platform.h"

#include <string>

namespace siskindeal {

// Each throws std::exception for a text that isn't such an answer.
PlatformObject
ParseObject(const std::string& aJson);
PlatformChanges
ParseChanges(const std::string& aJson);
VmList
ParseVms(const std::string& aJson);

// Percent-encodes all but letters, digits and "-._~/".
std::string
EncodeKey(const std::string& aKey);

} // namespace siskindeal

#pragma once
// Encodes the platform's VM list as an object relayed between processes.

#include "siskindeal/platform.h"

#include <string>
#include <vector>

namespace siskindeal {

// Never written to the platform. A process that reads a changed list increments
// its version.
inline constexpr const char* kVmListKey = "local/vms";

std::string
VmListToJson(std::vector<VmListing> aVms);
// Throws std::exception for malformed JSON.
std::vector<VmListing>
VmListFromJson(const std::string& aJson);

} // namespace siskindeal

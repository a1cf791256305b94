#pragma once
// The platform's list of VMs as an object that is relayed between processes.

#include "siskindeal/platform.h"

#include <string>
#include <vector>

namespace siskindeal {

// Never written to the platform. Its version grows whenever a process that
// reads the list finds it changed.
inline constexpr const char* kVmListKey = "local/vms";

std::string
VmListToJson(std::vector<VmListing> aVms);
// Throws std::exception for a malformed text.
std::vector<VmListing>
VmListFromJson(const std::string& aJson);

} // namespace siskindeal

#pragma once
// Parsers for the reports of an upstream. They never throw; entries that do not
// follow docs/INTERFACES.md are ignored.

#include "siskindeal/rpc.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// Returns nothing if the report cannot be parsed. aSlots is used if the report
// has no slots.
std::optional<wire::Load>
ParseLoad(const std::string& aJson, std::uint32_t aSlots);

// Skips malformed events.
std::vector<wire::CacheEvent>
ParseCacheEvents(const std::string& aJson);

} // namespace siskindeal

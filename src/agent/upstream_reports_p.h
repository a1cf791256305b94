#pragma once
// What an upstream reports of itself. Nothing in a report throws: what isn't as
// docs/INTERFACES.md says is left out.

#include "siskindeal/rpc.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// The load; none when it can't be read. Slots that aren't reported are aSlots.
std::optional<wire::Load>
ParseLoad(const std::string& aJson, std::uint32_t aSlots);

// The cache events that can be read.
std::vector<wire::CacheEvent>
ParseCacheEvents(const std::string& aJson);

} // namespace siskindeal

#pragma once
// Decodes objects of the platform's store. Malformed objects are logged and
// ignored, since other programs may write to the store.

#include "siskindeal/site.h"

#include <string_view>
#include <vector>

namespace siskindeal {

// Logs and counts the objects of a kind that couldn't be read.
void
LogRejected(std::string_view aKind, const SiteObjects& aObjects);

// Returns none if the object is not a valid runner.
std::optional<RunnerRecord>
ReadRunner(const SiteObject& aObject);

// Returns the valid runners of a list.
std::vector<RunnerRecord>
ReadRunners(const std::vector<SiteObject>& aObjects);

// Returns none if the object was deleted or is malformed.
std::optional<NamedVersion>
ReadNamedVersion(const SiteObject& aObject);

} // namespace siskindeal

#pragma once
// Objects of the platform's store as they are read: what can't be read is left
// out, with a line in the log, since others may write there.

#include "siskindeal/site.h"

#include <vector>

namespace siskindeal {

// The runner that an object tells of; none when it can't be one.
std::optional<RunnerRecord>
ReadRunner(const SiteObject& aObject);

// The runners of a list, without what can't be one.
std::vector<RunnerRecord>
ReadRunners(const std::vector<SiteObject>& aObjects);

// The weights that an object names; none when it was deleted or can't be read.
std::optional<NamedVersion>
ReadNamedVersion(const SiteObject& aObject);

} // namespace siskindeal

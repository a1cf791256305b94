#pragma once
// The platform's list of runners as it is read.

#include "siskindeal/site.h"

#include <vector>

namespace siskindeal {

// The runner that an object tells of; none, and a line in the log, when the
// object can't be one. Others may write there.
std::optional<RunnerRecord>
ReadRunner(const SiteObject& aObject);

// The runners of a list, without what can't be one.
std::vector<RunnerRecord>
ReadRunners(const std::vector<SiteObject>& aObjects);

} // namespace siskindeal

#pragma once
// How the status of a target reads on a terminal.

#include "siskindeal/target.h"

#include <ostream>
#include <vector>

namespace siskindeal {

// "40 s", "3 min" or "2 h", rounded up.
std::string
EstimateText(std::chrono::seconds aEstimate);

// One line: bar, share, VMs, estimate and what holds the target up.
std::string
ProgressLine(const TargetStatus& aStatus);

void
PrintStatusTable(const std::vector<TargetStatus>& aStatuses,
                 std::ostream& aOut);

} // namespace siskindeal

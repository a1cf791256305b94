#pragma once
// Formats the status of a target for a terminal.

#include "siskindeal/target.h"

#include <ostream>
#include <vector>

namespace siskindeal {

// "40 s", "3 min" or "2 h", rounded up.
std::string
FormatEstimate(std::chrono::seconds aEstimate);

// One line: progress bar, percentage, VMs, estimate and why the target is not
// met.
std::string
ProgressLine(const TargetStatus& aStatus);

void
PrintStatusTable(const std::vector<TargetStatus>& aStatuses,
                 std::ostream& aOut);

} // namespace siskindeal

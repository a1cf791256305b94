#pragma once
// The path of a request through real processes, against the same callers going
// straight to the upstream.

namespace siskindeal::bench {

// Prints latency, processor time and the cost of abandoned requests.
void
PrintPathRows();

} // namespace siskindeal::bench

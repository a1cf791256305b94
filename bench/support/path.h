#pragma once
// Measures requests through real processes against the same requests sent
// directly to the upstream.

namespace siskindeal::bench {

// Prints latency, CPU time and the cost of cancelled requests.
void
PrintPathRows();

} // namespace siskindeal::bench

#pragma once
// Measures the resident memory of an agent process that receives weights.

namespace siskindeal::bench {

// Prints the peak at rest, for one size of weights and for ten times that size.
void
MeasureAgentMemory();

} // namespace siskindeal::bench

#pragma once
// The resident memory of a real agent process while weights go through it.

namespace siskindeal::bench {

// Prints its peak at rest, for one size of weights and for ten times that.
void
MeasureAgentMemory();

} // namespace siskindeal::bench

#pragma once
// Measures the resident memory of an agent process that receives weights.

namespace siskindeal::bench {

// Prints the peak when idle, after a rollout, and after one of ten times its
// size.
void
MeasureAgentMemory();

} // namespace siskindeal::bench

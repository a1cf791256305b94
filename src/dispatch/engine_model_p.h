#pragma once
// Predicts how long requests take at a runner from what occupies it and, for
// model runners, from the figures of the engine. Does no I/O.

#include "dispatch/request_shape_p.h"
#include "dispatch/runner_table_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/site.h"

#include <chrono>

namespace siskindeal {

// What occupies a runner, or would if requests were added.
struct Occupancy
{
  double m_slots = 1;
  double m_requests = 0;
  double m_promptTokens = 0; // not processed yet
  // Expected of the requests and not generated yet; 0: unknown.
  double m_answerTokens = 0;
  // Requests that are less urgent than the one to be placed. They wait behind
  // it, as runners serve the most urgent first.
  double m_lessUrgent = 0;
  double m_pace = 1; // factor of the time that work usually takes
  // Of plain services' requests, and whether it is outdated.
  std::chrono::duration<double, std::milli> m_typicalDuration{ 0 };
  bool m_isOutdated = false;
};

// What occupies a runner for a request of that shape.
Occupancy
OccupancyOf(const RequestShape& aShape,
            const ServiceRecord& aService,
            const RunnerState& aRunner,
            MonotonicTime aNow);

// Time in which an engine that does nothing else reads so many prompt tokens,
// in ms; 0 if its speed is unknown.
double
PrefillMs(const EngineProfile& aEngine, double aTokens);

// Time for which a typical request occupies its slot in a full batch, in ms.
double
ResidenceMs(const EngineProfile& aEngine, double aSlots);

// Slot time that a request takes of a runner with a full batch, in ms. Reading
// its prompt holds up all slots.
double
WorkMs(const RequestShape& aShape, const EngineProfile& aEngine);

// Time from the first byte of a request to its last one at an engine with that
// occupancy, in ms.
double
GenerationMs(const RequestShape& aShape,
             const EngineProfile& aEngine,
             const Occupancy& aOccupancy);

// Longest time to expect between two events at an engine with that occupancy,
// in ms.
double
EventGapMs(const EngineProfile& aEngine, const Occupancy& aOccupancy);

// Time to the first byte at a runner with that occupancy.
std::chrono::duration<double, std::milli>
PredictAt(const RequestShape& aShape,
          const ServiceRecord& aService,
          const Occupancy& aOccupancy);

} // namespace siskindeal

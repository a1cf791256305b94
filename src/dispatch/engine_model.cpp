#include "dispatch/engine_model_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using Ms = std::chrono::duration<double, std::milli>;

// Duration of a plain service's requests until one has been measured.
constexpr Ms kDefaultDuration{ 30 };
constexpr double kFirstTokenOverheadMs = 12; // of engines, without the prompt
constexpr double kDefaultSlots = 8; // of a runner that reports no slots
constexpr double kPassesWhenBusy = 1.5;
constexpr double kOccupancyWeight = 0.3;

double
EngineMs(std::uint32_t aPromptTokens,
         const EngineProfile& aEngine,
         const Occupancy& aOccupancy)
{
  const double requests = aOccupancy.m_requests;
  const double slots = aOccupancy.m_slots;
  const double pass =
    aEngine.m_stepsPerPass *
    (aEngine.m_stepMs + aEngine.m_stepMsPerRequest * requests);
  const double waiting = std::max(0.0, requests - slots + 1);
  const double wait = waiting * ResidenceMs(aEngine, slots) / slots;
  // The current pass ends first; the prompt is processed in the next one.
  const double passes = requests > 0 ? kPassesWhenBusy : 1;
  return kFirstTokenOverheadMs + wait + passes * pass +
         PrefillMs(aEngine, aOccupancy.m_promptTokens + aPromptTokens);
}

double
PlainMs(const Occupancy& aOccupancy)
{
  const double requests = aOccupancy.m_requests;
  const double slots = aOccupancy.m_slots;
  const double waiting = std::max(0.0, requests - slots + 1);
  // The occupancy term avoids nearly full runners while others have free slots.
  return aOccupancy.m_typicalDuration.count() *
         (1 + kOccupancyWeight * requests / slots + waiting / slots);
}

} // namespace

Occupancy
OccupancyOf(const ServiceRecord& aService,
            const RunnerState& aRunner,
            MonotonicTime aNow)
{
  Occupancy occupancy;
  occupancy.m_slots = aRunner.m_record.m_slots > 0 ? aRunner.m_record.m_slots
                      : aService.m_engine          ? aService.m_engine->m_slots
                                                   : kDefaultSlots;
  occupancy.m_requests = aRunner.Requests();
  occupancy.m_promptTokens =
    aRunner.m_ownLoad.m_promptTokens +
    static_cast<double>(aRunner.m_peerLoad.m_promptTokens);
  occupancy.m_typicalDuration = aRunner.m_smoothedDuration.count() > 0
                                  ? aRunner.m_smoothedDuration
                                  : kDefaultDuration;
  occupancy.m_isOutdated = aRunner.DurationIsOutdated(aNow);
  return occupancy;
}

double
PrefillMs(const EngineProfile& aEngine, double aTokens)
{
  return aEngine.m_promptTokensPerMs <= 0
           ? 0
           : aTokens / aEngine.m_promptTokensPerMs;
}

double
ResidenceMs(const EngineProfile& aEngine, double aSlots)
{
  const double step = aEngine.m_stepMs + aEngine.m_stepMsPerRequest * aSlots;
  return aEngine.m_typicalAnswerTokens * step +
         aSlots * PrefillMs(aEngine, aEngine.m_typicalPromptTokens);
}

Ms
PredictAt(const RequestShape& aShape,
          const ServiceRecord& aService,
          const Occupancy& aOccupancy)
{
  return Ms(aService.m_engine
              ? EngineMs(aShape.m_promptTokens, *aService.m_engine, aOccupancy)
              : PlainMs(aOccupancy));
}

} // namespace siskindeal

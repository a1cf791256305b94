#include "dispatch/engine_model_p.h"

#include <algorithm>
#include <numeric>

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
AnswerTokens(const RequestShape& aShape, const EngineProfile& aEngine)
{
  return aShape.m_answerTokens > 0 ? aShape.m_answerTokens
                                   : aEngine.m_typicalAnswerTokens;
}

// Duration of one step in a batch of so many requests, at the usual pace.
double
StepMs(const EngineProfile& aEngine, double aRequests)
{
  return aEngine.m_stepMs + aEngine.m_stepMsPerRequest * aRequests;
}

// Time for which the requests at a runner occupy their slots in a full batch,
// on average and at the usual pace. Slots become free at the rate of whole
// answers, so that the tokens left count by how they compare with the usual
// rest.
double
MeanResidenceMs(const EngineProfile& aEngine, const Occupancy& aOccupancy)
{
  // Of an answer, on average over the requests in flight: long answers are in
  // flight for longer.
  constexpr double kUsualRest = 0.7;
  // Less work left than usual doesn't count: reports of it are late, and a
  // queue that is longer than predicted costs more than a slot that waits.
  constexpr double kMinRatio = 1;
  constexpr double kMaxRatio = 2;
  const double residence = ResidenceMs(aEngine, aOccupancy.m_slots);
  const double usualLeft =
    kUsualRest * aEngine.m_typicalAnswerTokens * aOccupancy.m_requests;
  if (aOccupancy.m_answerTokens <= 0 || usualLeft <= 0) {
    return residence;
  }
  return residence * std::clamp(aOccupancy.m_answerTokens / usualLeft,
                                kMinRatio,
                                kMaxRatio);
}

double
EngineMs(std::uint32_t aPromptTokens,
         const EngineProfile& aEngine,
         const Occupancy& aOccupancy)
{
  const double requests = aOccupancy.m_requests;
  const double slots = aOccupancy.m_slots;
  const double pass = aEngine.m_stepsPerPass * StepMs(aEngine, requests);
  // Of the requests without a slot, the less urgent ones are passed by.
  const double beyond = requests - slots + 1;
  const double waiting = beyond <= 1
                           ? std::max(0.0, beyond)
                           : std::max(1.0, beyond - aOccupancy.m_lessUrgent);
  const double wait = waiting * MeanResidenceMs(aEngine, aOccupancy) / slots;
  // The current pass ends first; the prompt is processed in the next one.
  const double passes = requests > 0 ? kPassesWhenBusy : 1;
  return kFirstTokenOverheadMs +
         aOccupancy.m_pace *
           (wait + passes * pass +
            PrefillMs(aEngine, aOccupancy.m_promptTokens + aPromptTokens));
}

double
PlainMs(const Occupancy& aOccupancy)
{
  const double requests = aOccupancy.m_requests;
  const double slots = aOccupancy.m_slots;
  const double waiting = std::max(0.0, requests - slots + 1);
  // The occupancy term avoids nearly full runners while others have free slots.
  return aOccupancy.m_pace * aOccupancy.m_typicalDuration.count() *
         (1 + kOccupancyWeight * requests / slots + waiting / slots);
}

} // namespace

Occupancy
OccupancyOf(const RequestShape& aShape,
            const ServiceRecord& aService,
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
  if (aShape.m_learnsCosts) {
    occupancy.m_pace = aRunner.m_pace.Expected(aNow);
    RunnerLoad load = aRunner.m_ownLoad;
    load += aRunner.m_peerLoad;
    occupancy.m_answerTokens = load.m_answerTokens;
    occupancy.m_lessUrgent = std::accumulate(
      load.m_byLevel.begin() + static_cast<std::ptrdiff_t>(aShape.m_level) + 1,
      load.m_byLevel.end(),
      0.0);
  }
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
  return aEngine.m_typicalAnswerTokens * StepMs(aEngine, aSlots) +
         aSlots * PrefillMs(aEngine, aEngine.m_typicalPromptTokens);
}

double
WorkMs(const RequestShape& aShape, const EngineProfile& aEngine)
{
  const double slots = aEngine.m_slots;
  return AnswerTokens(aShape, aEngine) * StepMs(aEngine, slots) +
         slots * PrefillMs(aEngine, aShape.m_promptTokens);
}

double
GenerationMs(const RequestShape& aShape,
             const EngineProfile& aEngine,
             const Occupancy& aOccupancy)
{
  const double requests =
    std::min(aOccupancy.m_requests + 1, aOccupancy.m_slots);
  const double answer = AnswerTokens(aShape, aEngine);
  // While it runs, others take the slots that become free, and their prompts
  // hold it up.
  const double others =
    aEngine.m_typicalAnswerTokens <= 0
      ? 0
      : (requests - 1) * answer / aEngine.m_typicalAnswerTokens;
  return aOccupancy.m_pace *
         (answer * StepMs(aEngine, requests) +
          others * PrefillMs(aEngine, aEngine.m_typicalPromptTokens));
}

double
EventGapMs(const EngineProfile& aEngine, const Occupancy& aOccupancy)
{
  return aOccupancy.m_pace *
         (aEngine.m_stepsPerPass *
            StepMs(aEngine,
                   std::min(aOccupancy.m_requests + 1, aOccupancy.m_slots)) +
          PrefillMs(aEngine, aEngine.m_typicalPromptTokens));
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

#include "dispatch/placement_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using Ms = std::chrono::duration<double, std::milli>;

// Latency that a request may lose rather than send its bytes further: bytes
// between regions cost more than ones between places.
constexpr double kOtherRegionMs = 80;
constexpr double kOtherPlaceMs = 15;
// A plain service's usual time until one has been seen.
constexpr Ms kUnknownTime{ 30 };
constexpr double kFirstTokenMs = 12; // of an engine, beside the prompt
constexpr double kFallbackSlots = 8; // of a runner that tells none
// A request is refused once its first byte is expected later than this share of
// its target. One that comes back would be late in any case: it gets what room
// newcomers leave, or those would all be late too.
constexpr double kNewcomerShare = 0.9;
constexpr double kReturnerShare = 0.4;
// What was begun elsewhere has used capacity already; refusing it wastes that.
constexpr double kGoesOnShare = 2.5;
constexpr milliseconds kLeastRetryAfter{ 200 };
constexpr milliseconds kRetrySpread{ 600 };
constexpr double kRetryShareOfTimeLeft = 0.3; // callers wait no longer
constexpr double kWaitDoubt = 2; // a wait may be so many times the predicted
constexpr double kTieMs = 4;     // differences below it are decided by chance

double
SlotsOf(const ServiceRecord& aService, const RunnerState& aRunner)
{
  if (aRunner.m_record.m_slots > 0) {
    return aRunner.m_record.m_slots;
  }
  return aService.m_engine ? aService.m_engine->m_slots : kFallbackSlots;
}

double
PrefillMs(const EngineFigures& aEngine, double aTokens)
{
  return aEngine.m_promptTokensPerMs <= 0
           ? 0
           : aTokens / aEngine.m_promptTokensPerMs;
}

// Time that a usual request keeps its slot in a full batch.
double
ResidenceMs(const EngineFigures& aEngine, double aSlots)
{
  const double step = aEngine.m_stepMs + aEngine.m_stepMsPerRequest * aSlots;
  return aEngine.m_usualAnswerTokens * step +
         aSlots * PrefillMs(aEngine, aEngine.m_usualPromptTokens);
}

double
EngineMs(const RequestShape& aShape,
         const EngineFigures& aEngine,
         double aSlots,
         const RunnerState& aRunner)
{
  const double requests = aRunner.Requests();
  const double pass =
    aEngine.m_stepsPerPass *
    (aEngine.m_stepMs + aEngine.m_stepMsPerRequest * requests);
  const double ahead = aRunner.m_own.m_promptTokens +
                       static_cast<double>(aRunner.m_others.m_promptTokens);
  const double waiting = std::max(0.0, requests - aSlots + 1);
  const double wait = waiting * ResidenceMs(aEngine, aSlots) / aSlots;
  // The pass that runs ends first; the prompt is then read with the next one.
  const double passes = requests > 0 ? 1.5 : 1;
  return kFirstTokenMs + wait + passes * pass +
         PrefillMs(aEngine, ahead + aShape.m_promptTokens);
}

double
PlainMs(double aSlots, const RunnerState& aRunner)
{
  const double usual =
    (aRunner.m_usualTime.count() > 0 ? aRunner.m_usualTime : kUnknownTime)
      .count();
  const double requests = aRunner.Requests();
  const double waiting = std::max(0.0, requests - aSlots + 1);
  // A slot that is nearly the last one is taken only if the others are too.
  return usual * (1 + 0.3 * requests / aSlots + waiting / aSlots);
}

// Whether the request may begin on what the runner holds, aWait from now.
bool
HoldsVersion(const RequestShape& aShape, const RunnerState& aRunner, Ms aWait)
{
  if (aShape.m_model.empty()) {
    return true;
  }
  const std::uint64_t held = aRunner.VersionOf(aShape.m_model);
  const bool nextIsDue =
    aShape.m_nextVersion > 0 && aWait * kWaitDoubt > aShape.m_nextDueIn;
  const std::uint64_t least =
    nextIsDue ? aShape.m_nextVersion : aShape.m_leastVersion;
  return held > 0 && held >= least;
}

} // namespace

double
Placer::DistanceMs(const std::string& aPlace) const
{
  if (aPlace == m_place) {
    return 0;
  }
  const auto own = m_regions.find(m_place);
  const auto other = m_regions.find(aPlace);
  const bool sameRegion = own != m_regions.end() && other != m_regions.end() &&
                          own->second == other->second;
  return sameRegion ? kOtherPlaceMs : kOtherRegionMs;
}

Ms
Placer::Predict(const RequestShape& aShape,
                const ServiceRecord& aService,
                const RunnerState& aRunner) const
{
  const double slots = SlotsOf(aService, aRunner);
  return Ms(aService.m_engine
              ? EngineMs(aShape, *aService.m_engine, slots, aRunner)
              : PlainMs(slots, aRunner));
}

milliseconds
Placer::RetryAfter(milliseconds aExcess, milliseconds aTimeLeft)
{
  const milliseconds spread(m_random.Below(kRetrySpread.count()));
  const auto most =
    std::chrono::duration_cast<milliseconds>(aTimeLeft * kRetryShareOfTimeLeft);
  return std::min(std::max(kLeastRetryAfter, aExcess) + spread,
                  std::max(most, kLeastRetryAfter));
}

Decision
Placer::Place(const RequestShape& aShape,
              const ServiceRecord& aService,
              RunnerTable& aRunners,
              const std::set<std::string>& aTried,
              MonotonicTime aNow)
{
  const RunnerState* best = nullptr;
  double bestCost = 0;
  bool bestAvoided = false;
  for (const RunnerState* runner : aRunners.Usable(aShape.m_service)) {
    const Ms predicted = Predict(aShape, aService, *runner);
    if (aTried.count(runner->m_record.m_id) > 0 ||
        !HoldsVersion(aShape, *runner, predicted)) {
      continue;
    }
    const bool avoided =
      runner->m_avoidUntil > aNow || runner->m_loadingUntil > aNow;
    const double cost = predicted.count() +
                        DistanceMs(runner->m_record.m_place) +
                        kTieMs * m_random.Unit();
    if (best == nullptr || (bestAvoided && !avoided) ||
        (bestAvoided == avoided && cost < bestCost)) {
      best = runner;
      bestCost = cost;
      bestAvoided = avoided;
    }
  }
  if (best == nullptr) {
    return PlaceRefusal{ "no runner can take it",
                         RetryAfter(kLeastRetryAfter, aShape.m_timeLeft),
                         milliseconds(0) };
  }
  const auto predicted =
    std::chrono::duration_cast<milliseconds>(Predict(aShape, aService, *best));
  const double share = aShape.m_goesOn     ? kGoesOnShare
                       : aShape.m_cameBack ? kReturnerShare
                                           : kNewcomerShare;
  const auto limit = std::chrono::duration_cast<milliseconds>(
    std::max(aShape.m_target, milliseconds(100)) * share);
  if (predicted > limit || predicted > aShape.m_timeLeft) {
    return PlaceRefusal{ "its answer would be late",
                         RetryAfter(predicted - limit, aShape.m_timeLeft),
                         predicted };
  }
  return Placement{ best->m_record.m_id,
                    predicted,
                    { best->Requests(),
                      best->m_own.m_promptTokens +
                        best->m_others.m_promptTokens } };
}

} // namespace siskindeal

#include "dispatch/placement_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using Ms = std::chrono::duration<double, std::milli>;

// Latency that is accepted to keep traffic local: bytes between regions cost
// more than bytes between places of one region.
constexpr double kCrossRegionPenaltyMs = 80;
constexpr double kCrossPlacePenaltyMs = 15;
// Duration of a plain service's requests until one has been measured.
constexpr Ms kDefaultDuration{ 30 };
constexpr double kFirstTokenOverheadMs = 12; // of engines, without the prompt
constexpr double kDefaultSlots = 8; // of a runner that reports no slots
// A request is refused if its first byte is predicted later than this share of
// its target. A retry by the caller is late in any case, so it gets only the
// capacity that new requests leave; otherwise it would make those late too.
constexpr double kNewRequestShare = 0.9;
constexpr double kCallerRetryShare = 0.4;
// Refusing a request that was started before wastes the capacity it has used.
constexpr double kStartedRequestShare = 2.5;
constexpr milliseconds kMinTarget{ 100 };
constexpr milliseconds kMinRetryAfter{ 200 };
constexpr milliseconds kRetryAfterJitter{ 600 };
// Of the time until the caller's deadline. Callers do not wait longer.
constexpr double kMaxRetryAfterShare = 0.3;
constexpr double kMaxWaitFactor = 2; // ratio of actual to predicted wait
constexpr double kTieBreakMs = 4;    // smaller differences are decided randomly
constexpr double kPassesWhenBusy = 1.5;
constexpr double kOccupancyWeight = 0.3;

double
SlotsOf(const ServiceRecord& aService, const RunnerState& aRunner)
{
  if (aRunner.m_record.m_slots > 0) {
    return aRunner.m_record.m_slots;
  }
  return aService.m_engine ? aService.m_engine->m_slots : kDefaultSlots;
}

double
PrefillMs(const EngineProfile& aEngine, double aTokens)
{
  return aEngine.m_promptTokensPerMs <= 0
           ? 0
           : aTokens / aEngine.m_promptTokensPerMs;
}

// Time for which a typical request occupies its slot in a full batch.
double
ResidenceMs(const EngineProfile& aEngine, double aSlots)
{
  const double step = aEngine.m_stepMs + aEngine.m_stepMsPerRequest * aSlots;
  return aEngine.m_typicalAnswerTokens * step +
         aSlots * PrefillMs(aEngine, aEngine.m_typicalPromptTokens);
}

double
EngineMs(const RequestShape& aShape,
         const EngineProfile& aEngine,
         double aSlots,
         const RunnerState& aRunner)
{
  const double requests = aRunner.Requests();
  const double pass =
    aEngine.m_stepsPerPass *
    (aEngine.m_stepMs + aEngine.m_stepMsPerRequest * requests);
  const double queuedTokens =
    aRunner.m_ownLoad.m_promptTokens +
    static_cast<double>(aRunner.m_peerLoad.m_promptTokens);
  const double waiting = std::max(0.0, requests - aSlots + 1);
  const double wait = waiting * ResidenceMs(aEngine, aSlots) / aSlots;
  // The current pass ends first; the prompt is processed in the next one.
  const double passes = requests > 0 ? kPassesWhenBusy : 1;
  return kFirstTokenOverheadMs + wait + passes * pass +
         PrefillMs(aEngine, queuedTokens + aShape.m_promptTokens);
}

double
PlainMs(double aSlots, const RunnerState& aRunner)
{
  const double typical =
    (aRunner.m_smoothedDuration.count() > 0 ? aRunner.m_smoothedDuration
                                            : kDefaultDuration)
      .count();
  const double requests = aRunner.Requests();
  const double waiting = std::max(0.0, requests - aSlots + 1);
  // The occupancy term avoids nearly full runners while others have free slots.
  return typical *
         (1 + kOccupancyWeight * requests / aSlots + waiting / aSlots);
}

// Whether the runner's weights are new enough for a request that starts after
// aWait.
bool
HoldsVersion(const RequestShape& aShape, const RunnerState& aRunner, Ms aWait)
{
  if (aShape.m_model.empty()) {
    return true;
  }
  const std::uint64_t held = aRunner.VersionOf(aShape.m_model);
  const bool nextIsDue =
    aShape.m_nextVersion > 0 && aWait * kMaxWaitFactor > aShape.m_nextDueIn;
  const std::uint64_t minVersion =
    nextIsDue ? aShape.m_nextVersion : aShape.m_minVersion;
  return held > 0 && held >= minVersion;
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
  return sameRegion ? kCrossPlacePenaltyMs : kCrossRegionPenaltyMs;
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
  const milliseconds jitter(m_random.Below(kRetryAfterJitter.count()));
  const auto maxDelay =
    std::chrono::duration_cast<milliseconds>(aTimeLeft * kMaxRetryAfterShare);
  return std::min(std::max(kMinRetryAfter, aExcess) + jitter,
                  std::max(maxDelay, kMinRetryAfter));
}

PlacementRefusal
Placer::RefuseForNow(const std::vector<RunnerIncarnation>& aLimited,
                     const std::vector<RunnerIncarnation>& aWaiting,
                     const RunnerLimits& aLimits,
                     const RunnerNotices& aNotices,
                     milliseconds aTimeLeft,
                     MonotonicTime aNow)
{
  if (aLimited.empty()) {
    // Not cut to the time that callers wait: no runner takes work before.
    const milliseconds jitter(m_random.Below(kRetryAfterJitter.count()));
    return { "the runners want no requests for now",
             std::max(kMinRetryAfter, aNotices.RetryAfter(aWaiting, aNow)) +
               jitter };
  }
  milliseconds delay = aLimits.RetryAfter(aLimited);
  if (!aWaiting.empty()) {
    delay = std::min(delay, aNotices.RetryAfter(aWaiting, aNow));
  }
  return { "the runners' limits are used up", RetryAfter(delay, aTimeLeft) };
}

Decision
Placer::Place(const RequestShape& aShape,
              const ServiceRecord& aService,
              RunnerTable& aRunners,
              const RunnerLimits& aLimits,
              const RunnerNotices& aNotices,
              const std::set<std::string>& aTried,
              MonotonicTime aNow)
{
  const RunnerState* best = nullptr;
  double bestCost = 0;
  bool bestAvoided = false;
  std::vector<RunnerIncarnation> limited;
  std::vector<RunnerIncarnation> waiting;
  for (const RunnerState* runner : aRunners.Usable(aShape.m_service)) {
    const RunnerIncarnation incarnation = runner->m_record.Incarnation();
    const Ms predicted = Predict(aShape, aService, *runner);
    if (aNotices.IsLeaving(incarnation) ||
        !HoldsVersion(aShape, *runner, predicted)) {
      continue;
    }
    // Before the runners that were tried, since a caller that returns may be
    // sent to those.
    if (aNotices.WaitEnd(incarnation, aNow)) {
      waiting.push_back(incarnation);
      continue;
    }
    if (aTried.count(runner->m_record.m_id) > 0) {
      continue;
    }
    if (!aLimits.Allows(incarnation, aNow)) {
      limited.push_back(incarnation);
      continue;
    }
    const bool avoided =
      runner->m_avoidUntil > aNow || runner->m_loadingUntil > aNow;
    const double cost = predicted.count() +
                        DistanceMs(runner->m_record.m_place) +
                        kTieBreakMs * m_random.Unit();
    if (best == nullptr || (bestAvoided && !avoided) ||
        (bestAvoided == avoided && cost < bestCost)) {
      best = runner;
      bestCost = cost;
      bestAvoided = avoided;
    }
  }
  if (best == nullptr && !(limited.empty() && waiting.empty())) {
    return RefuseForNow(
      limited, waiting, aLimits, aNotices, aShape.m_timeLeft, aNow);
  }
  if (best == nullptr) {
    return PlacementRefusal{ "no eligible runner",
                             RetryAfter(kMinRetryAfter, aShape.m_timeLeft),
                             milliseconds(0) };
  }
  const auto predicted =
    std::chrono::duration_cast<milliseconds>(Predict(aShape, aService, *best));
  const double share = aShape.m_alreadyStarted  ? kStartedRequestShare
                       : aShape.m_isCallerRetry ? kCallerRetryShare
                                                : kNewRequestShare;
  const auto limit = std::chrono::duration_cast<milliseconds>(
    std::max(aShape.m_target, kMinTarget) * share);
  if (predicted > limit || predicted > aShape.m_timeLeft) {
    return PlacementRefusal{ "predicted latency exceeds the limit",
                             RetryAfter(predicted - limit, aShape.m_timeLeft),
                             predicted };
  }
  return Placement{ best->m_record.m_id,
                    predicted,
                    { best->Requests(),
                      best->m_ownLoad.m_promptTokens +
                        best->m_peerLoad.m_promptTokens } };
}

} // namespace siskindeal

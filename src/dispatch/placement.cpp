#include "dispatch/placement_p.h"

#include "dispatch/engine_model_p.h"
#include "siskindeal/site.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using Ms = std::chrono::duration<double, std::milli>;

// Latency that is accepted to keep traffic local: bytes between regions cost
// more than bytes between places of one region.
constexpr double kCrossRegionPenaltyMs = 80;
constexpr double kCrossPlacePenaltyMs = 15;
// A new request is in time if its first byte is predicted within this share of
// its target.
constexpr double kNewRequestShare = 0.9;
// A request that is late in any case, such as a retry by the caller, gets only
// the capacity that others leave; otherwise it would make those late too. There
// is some if requests without a prompt are predicted within this share of the
// target and a place stays free. The length of the own prompt doesn't count: no
// runner would ever be free enough for a long one.
constexpr double kSpareCapacityShare = 0.4;
constexpr double kPlacesLeftFree = 1;
// Refusing a request that was started before wastes the capacity it has used.
constexpr double kStartedRequestShare = 2.5;
constexpr milliseconds kMinTarget{ 100 };
constexpr milliseconds kMinRetryAfter{ 200 };
constexpr milliseconds kRetryAfterJitter{ 600 };
// Nobody knows when an evacuation ends.
constexpr milliseconds kEvacuatedRetryAfter{ 1000 };
// Only a new configuration gives a request without a home one.
constexpr milliseconds kNoHomeRetryAfter{ 5000 };
// Of the time until the caller's deadline. Callers do not wait longer.
constexpr double kMaxRetryAfterShare = 0.3;
constexpr double kMaxWaitFactor = 2; // ratio of actual to predicted wait
constexpr double kTieBreakMs = 4;    // smaller differences are decided randomly
constexpr milliseconds kArrivalWindow{
  1000
}; // over which arrivals are counted

// By how much the request would miss its caller's deadline or its target, or
// would take capacity from requests that can be in time; unset if it may be
// sent. aLinkDelay: of the link to the runner, there and back.
std::optional<milliseconds>
ExcessTime(const RequestShape& aShape,
           const ServiceRecord& aService,
           const Occupancy& aOccupancy,
           Ms aLinkDelay)
{
  const bool isPlain = !aService.m_engine;
  if (isPlain && aOccupancy.m_isOutdated && aOccupancy.m_requests == 0) {
    return std::nullopt;
  }
  const Ms predicted = PredictAt(aShape, aService, aOccupancy) + aLinkDelay;
  if (predicted > aShape.m_timeLeft) {
    return std::chrono::ceil<milliseconds>(predicted - aShape.m_timeLeft);
  }
  // With a free place the request keeps no other one waiting, however late it
  // is.
  if (isPlain && aOccupancy.m_requests + 1 <= aOccupancy.m_slots) {
    return std::nullopt;
  }
  const Ms target = std::max(aShape.m_target, kMinTarget);
  const double share =
    aShape.m_alreadyStarted ? kStartedRequestShare : kNewRequestShare;
  const bool isInTime = predicted <= target * share &&
                        (aShape.m_alreadyStarted || aShape.m_replacesNew ||
                         !aShape.m_isCallerRetry);
  const Ms ownPrefill(aService.m_engine
                        ? PrefillMs(*aService.m_engine, aShape.m_promptTokens)
                        : 0);
  const Ms spareExcess = predicted - ownPrefill - target * kSpareCapacityShare;
  const bool leavesPlaces =
    aOccupancy.m_requests + 1 + kPlacesLeftFree <= aOccupancy.m_slots;
  if (isInTime || (spareExcess <= Ms(0) && leavesPlaces)) {
    return std::nullopt;
  }
  const Ms excess =
    aShape.m_isCallerRetry ? spareExcess : predicted - target * share;
  return std::chrono::duration_cast<milliseconds>(std::max(excess, Ms(0)));
}

// Whether the whole response would come after the caller's deadline, or its
// events with longer pauses than its target, at a runner that is that busy.
bool
IsTooSlow(const RequestShape& aShape,
          const ServiceRecord& aService,
          const Occupancy& aOccupancy,
          Ms aFirstByte)
{
  if (!aShape.m_learnsCosts || !aService.m_engine) {
    return false;
  }
  const EngineProfile& engine = *aService.m_engine;
  const Ms end = aFirstByte + Ms(GenerationMs(aShape, engine, aOccupancy));
  return end > aShape.m_timeLeft ||
         (aShape.m_targetGap.count() > 0 &&
          Ms(EventGapMs(engine, aOccupancy)) > aShape.m_targetGap);
}

// What a slow VM adds to the time of the answer, weighted against the time to
// the first byte, so that long answers go to fast VMs.
double
ExtraGenerationMs(const RequestShape& aShape,
                  const ServiceRecord& aService,
                  const Occupancy& aOccupancy)
{
  constexpr double kWeight = 0.1;
  if (!aShape.m_learnsCosts || !aService.m_engine || aOccupancy.m_pace <= 1) {
    return 0;
  }
  return kWeight * GenerationMs(aShape, *aService.m_engine, aOccupancy) *
         (1 - 1 / aOccupancy.m_pace);
}

// How many typical requests may be sent to a runner before this one may not.
double
PlacesFor(const RequestShape& aShape,
          const ServiceRecord& aService,
          Occupancy aOccupancy,
          Ms aLinkDelay)
{
  constexpr double kMaxPlaces = 16;
  double places = 0;
  while (places < kMaxPlaces &&
         !ExcessTime(aShape, aService, aOccupancy, aLinkDelay)) {
    ++places;
    ++aOccupancy.m_requests;
    if (aService.m_engine) {
      aOccupancy.m_promptTokens += aService.m_engine->m_typicalPromptTokens;
    }
    if (aOccupancy.m_answerTokens > 0) {
      aOccupancy.m_answerTokens += aService.m_engine->m_typicalAnswerTokens;
    }
  }
  return places;
}

// The oldest weights for a request that starts after aWait; unset: any.
std::optional<std::uint64_t>
RequiredVersion(const RequestShape& aShape, Ms aWait)
{
  std::optional<std::uint64_t> required = aShape.m_minVersion;
  for (const UpcomingVersion& upcoming : aShape.m_upcoming) {
    if (aWait * kMaxWaitFactor > upcoming.m_dueIn) {
      required = std::max(required.value_or(0), upcoming.m_version);
    }
  }
  return required;
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
  return held > 0 && held >= RequiredVersion(aShape, aWait).value_or(0);
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

milliseconds
Placer::LinkDelay(const std::string& aPlace) const
{
  const auto found = m_linkDelays.find(RegionOf(m_regions, aPlace));
  return found == m_linkDelays.end() ? milliseconds(0) : found->second;
}

void
Placer::RecordArrival(const std::string& aService, MonotonicTime aNow)
{
  Arrivals& arrivals = m_arrivals[aService];
  const double elapsed = Ms(aNow - arrivals.m_at) / Ms(kArrivalWindow);
  arrivals.m_recent = arrivals.m_recent * std::exp(-elapsed) + 1;
  arrivals.m_at = aNow;
}

double
Placer::UnseenRequests(const std::string& aService) const
{
  const auto found = m_arrivals.find(aService);
  if (found == m_arrivals.end() || m_gateways <= 1) {
    return 0;
  }
  const double windows = Ms(m_reportInterval) / Ms(kArrivalWindow);
  return found->second.m_recent * windows * static_cast<double>(m_gateways - 1);
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
  milliseconds delay =
    std::min(aLimits.RetryAfter(aLimited), m_cold.RetryAfter(aLimited));
  if (!aWaiting.empty()) {
    delay = std::min(delay, aNotices.RetryAfter(aWaiting, aNow));
  }
  return { "the runners' limits are used up", RetryAfter(delay, aTimeLeft) };
}

Exclusion
Placer::ExclusionOf(const RequestShape& aShape, const std::string& aPlace) const
{
  const auto found = m_regions.find(aPlace);
  if (!aShape.m_homes.Allows(found == m_regions.end()
                               ? std::nullopt
                               : std::optional(found->second))) {
    return Exclusion::NotAtHome;
  }
  return m_evacuatedPlaces.contains(aPlace) ? Exclusion::Evacuated
                                            : Exclusion::None;
}

PlacementRefusal
Placer::RefuseWithoutRunner(const RequestShape& aShape,
                            std::size_t aEvacuated,
                            std::size_t aAway)
{
  const milliseconds jitter(m_random.Below(kRetryAfterJitter.count()));
  PlacementRefusal refusal{ "no eligible runner",
                            RetryAfter(kMinRetryAfter, aShape.m_timeLeft) };
  if (aShape.m_homes.IsEmpty()) {
    refusal = { "no home region is left", kNoHomeRetryAfter + jitter };
    refusal.m_exclusion = Exclusion::NotAtHome;
  } else if (aEvacuated > 0) {
    refusal = { "the places of the service's runners are evacuated",
                kEvacuatedRetryAfter + jitter };
    refusal.m_exclusion = Exclusion::Evacuated;
  } else if (aAway > 0) {
    refusal.m_reason = "no eligible runner in the home regions";
    refusal.m_exclusion = Exclusion::NotAtHome;
  }
  return refusal;
}

Decision
Placer::Place(const RequestShape& aShape,
              const ServiceRecord& aService,
              RunnerTable& aRunners,
              const RunnerLimits& aLimits,
              const RunnerNotices& aNotices,
              const std::set<RunnerIncarnation>& aTried,
              MonotonicTime aNow)
{
  RecordArrival(aShape.m_service, aNow);
  std::vector<Candidate> candidates;
  std::vector<RunnerIncarnation> limited;
  std::vector<RunnerIncarnation> waiting;
  std::size_t evacuated = 0;
  std::size_t away = 0;
  for (const RunnerState* runner : aRunners.Usable(aShape.m_service)) {
    const RunnerIncarnation incarnation = runner->m_record.Incarnation();
    const std::string& place = runner->m_record.m_place;
    const Exclusion exclusion = ExclusionOf(aShape, place);
    if (exclusion != Exclusion::None) {
      ++(exclusion == Exclusion::Evacuated ? evacuated : away);
      continue;
    }
    const Occupancy occupancy = OccupancyOf(aShape, aService, *runner, aNow);
    const milliseconds linkDelay = LinkDelay(place);
    const Ms predicted = PredictAt(aShape, aService, occupancy);
    if (aNotices.IsLeaving(incarnation) ||
        !HoldsVersion(aShape, *runner, predicted + linkDelay)) {
      continue;
    }
    // Before the runners that were tried, since a caller that returns may be
    // sent to those.
    if (aNotices.WaitEnd(incarnation, aNow)) {
      waiting.push_back(incarnation);
      continue;
    }
    if (aTried.contains(incarnation)) {
      continue;
    }
    if (!aLimits.Allows(incarnation, aNow) ||
        !m_cold.Allows(incarnation, aNow)) {
      limited.push_back(incarnation);
      continue;
    }
    candidates.push_back(
      { runner,
        runner->m_avoidUntil > aNow || runner->m_loadingUntil > aNow,
        IsTooSlow(aShape, aService, occupancy, predicted),
        ExcessTime(aShape, aService, occupancy, linkDelay),
        linkDelay,
        predicted + linkDelay,
        predicted.count() + ExtraGenerationMs(aShape, aService, occupancy) +
          std::max(DistanceMs(place), Ms(linkDelay).count()) +
          kTieBreakMs * m_random.Unit() });
  }
  if (candidates.empty() && !(limited.empty() && waiting.empty())) {
    return RefuseForNow(
      limited, waiting, aLimits, aNotices, aShape.m_timeLeft, aNow);
  }
  if (candidates.empty()) {
    return RefuseWithoutRunner(aShape, evacuated, away);
  }
  return Choose(aShape, aService, std::move(candidates), aNow);
}

Decision
Placer::Choose(const RequestShape& aShape,
               const ServiceRecord& aService,
               std::vector<Candidate> aCandidates,
               MonotonicTime aNow)
{
  std::sort(aCandidates.begin(), aCandidates.end());
  const Candidate& best = aCandidates.front();
  const auto bestPredicted =
    std::chrono::duration_cast<milliseconds>(best.m_predicted);
  if (best.m_excess) {
    return PlacementRefusal{ "predicted latency exceeds the limit",
                             RetryAfter(*best.m_excess, aShape.m_timeLeft),
                             bestPredicted,
                             best.m_linkDelay };
  }
  // This request and those that other gateways have sent but not reported yet
  // fill the best places; it gets a random one of these.
  const double wanted = 1 + UnseenRequests(aShape.m_service);
  double offered = 0;
  std::vector<double> places;
  for (const Candidate& candidate : aCandidates) {
    if (offered >= wanted || candidate.m_excess ||
        candidate.m_avoided != best.m_avoided ||
        candidate.m_isSlow != best.m_isSlow) {
      break;
    }
    places.push_back(
      PlacesFor(aShape,
                aService,
                OccupancyOf(aShape, aService, *candidate.m_runner, aNow),
                candidate.m_linkDelay));
    offered += places.back();
  }
  double drawn = m_random.Unit() * std::max(offered, wanted);
  // Less urgent requests of other gateways don't take its place.
  if (drawn >= offered && !aShape.m_alreadyStarted && !aShape.m_isMostUrgent) {
    return PlacementRefusal{ "other gateways' requests take the free places",
                             RetryAfter(milliseconds(0), aShape.m_timeLeft),
                             bestPredicted,
                             best.m_linkDelay };
  }
  std::size_t chosen = 0;
  while (chosen + 1 < places.size() && drawn >= places[chosen]) {
    drawn -= places[chosen++];
  }
  const Candidate& candidate = aCandidates[chosen];
  const RunnerState& runner = *candidate.m_runner;
  const Ms generation(
    aShape.m_learnsCosts && aService.m_engine
      ? GenerationMs(aShape,
                     *aService.m_engine,
                     OccupancyOf(aShape, aService, runner, aNow))
      : 0);
  return Placement{
    runner.m_record.m_id,
    std::chrono::duration_cast<milliseconds>(candidate.m_predicted),
    std::chrono::duration_cast<milliseconds>(generation),
    RegionOf(m_regions, runner.m_record.m_place),
    candidate.m_linkDelay,
    { runner.Requests(),
      runner.m_ownLoad.m_promptTokens + runner.m_peerLoad.m_promptTokens,
      runner.m_ownLoad.m_answerTokens + runner.m_peerLoad.m_answerTokens },
    RequiredVersion(aShape, candidate.m_predicted)
  };
}

} // namespace siskindeal

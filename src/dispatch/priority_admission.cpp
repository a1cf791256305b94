#include "dispatch/priority_admission_p.h"

#include "siskindeal/digest.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Over which demand is averaged; runners queue shorter bursts.
constexpr Seconds kDemandWindow{ 1.0 };
// Guaranteed to each level, of an equal division of the capacity. A kind of
// request starves if it is served less than a quarter as often as all.
constexpr double kGuaranteedShare = 0.4;
// Of what a level gets, for requests that came back.
constexpr double kReturnedShare = 0.2;
// Requests in flight for each slot, at which slots are busy and queues short.
constexpr double kWantedOccupancy = 1.0;
// By how much the correction changes a second if the occupancy is off by 1.
// Idle slots beside refused callers cost more than a short queue.
constexpr double kRaiseRate = 3;
constexpr double kLowerRate = 0.8;
constexpr double kMinCorrection = 0.7;
// Callers that retry at once inflate the measured demand, so that far more has
// to be admitted than the sums suggest.
constexpr double kMaxCorrection = 3;
constexpr double kMsPerSecond = 1000;
constexpr milliseconds kMinRetryAfter{ 600 };
constexpr milliseconds kMaxRetryAfter{ 4000 };

// A number from 0 to 1 that all gateways compute alike.
double
UnitHash(std::uint64_t aKey, std::uint64_t aEpoch, bool aHasReturned)
{
  constexpr double kSteps = 1U << 30U;
  const std::string text = std::to_string(aEpoch) + (aHasReturned ? "r" : "n");
  return static_cast<double>(StableHash(text, aKey) % (1U << 30U)) / kSteps;
}

} // namespace

std::size_t
PriorityLevel(int aPriority)
{
  return static_cast<std::size_t>(
    std::clamp(aPriority, 0, static_cast<int>(kPriorityLevels) - 1));
}

ServiceShares
DivideCapacity(const ServiceDemand& aDemand, double aCapacity)
{
  ServiceShares shares{};
  double total = 0;
  for (const LevelDemand& level : aDemand) {
    total += level.m_offered;
  }
  if (total <= aCapacity || total <= 0) {
    return shares;
  }
  const double guaranteed = kGuaranteedShare * aCapacity / total;
  double left = aCapacity * (1 - kGuaranteedShare);
  for (std::size_t i = 0; i < kPriorityLevels; ++i) {
    const LevelDemand& level = aDemand[i];
    if (level.m_offered <= 0) {
      continue;
    }
    const double floor = guaranteed * level.m_offered;
    const double extra = std::min(level.m_offered - floor, left);
    left -= extra;
    const double granted = floor + extra;
    const double returned = std::min(level.m_returned, level.m_offered);
    const double fresh = level.m_offered - returned;
    // Capacity that new requests don't need goes to returned ones too.
    const double toReturned =
      std::max(std::min(returned, granted * kReturnedShare), granted - fresh);
    shares[i].m_returned = returned > 0 ? toReturned / returned : 1;
    shares[i].m_new =
      fresh > 0 ? std::min(1.0, (granted - toReturned) / fresh) : 1;
  }
  return shares;
}

LevelDemand
PriorityAdmission::SumAt(const Service::Meter& aMeter, MonotonicTime aNow)
{
  const double decay = std::exp(-Seconds(aNow - aMeter.m_at) / kDemandWindow);
  return { aMeter.m_sum.m_offered * decay, aMeter.m_sum.m_returned * decay };
}

void
PriorityAdmission::Add(std::map<std::string, ServiceDemand>& aSum,
                       const std::map<std::string, ServiceDemand>& aDemand)
{
  for (const auto& [service, demand] : aDemand) {
    ServiceDemand& sum = aSum[service];
    for (std::size_t i = 0; i < kPriorityLevels; ++i) {
      sum[i] += demand[i];
    }
  }
}

AdmissionDecision
PriorityAdmission::Decide(const AdmissionRequest& aRequest,
                          MonotonicTime aNow,
                          milliseconds aWallTime)
{
  Service& service = m_services[aRequest.m_service];
  Service::Meter& meter = service.m_meters.at(aRequest.m_level);
  meter.m_sum = SumAt(meter, aNow);
  meter.m_at = aNow;
  meter.m_sum +=
    { aRequest.m_work, aRequest.m_hasReturned ? aRequest.m_work : 0 };
  const LevelShares& shares = service.m_shares.at(aRequest.m_level);
  AdmissionDecision decision;
  decision.m_share = aRequest.m_hasReturned ? shares.m_returned : shares.m_new;
  const auto epoch = static_cast<std::uint64_t>(aWallTime / kEpoch);
  decision.m_isAdmitted =
    decision.m_share >= 1 ||
    UnitHash(aRequest.m_key, epoch, aRequest.m_hasReturned) < decision.m_share;
  if (!decision.m_isAdmitted) {
    // The smaller the share, the longer until capacity is available.
    const double wait =
      kMinRetryAfter.count() / std::max(0.1, decision.m_share);
    decision.m_retryAfter =
      std::min(kMaxRetryAfter, milliseconds(static_cast<std::int64_t>(wait)));
  }
  return decision;
}

std::map<std::string, ServiceDemand>
PriorityAdmission::OwnDemand(MonotonicTime aNow) const
{
  std::map<std::string, ServiceDemand> demand;
  for (const auto& [name, service] : m_services) {
    for (std::size_t i = 0; i < kPriorityLevels; ++i) {
      const LevelDemand sum = SumAt(service.m_meters[i], aNow);
      demand[name][i] = { sum.m_offered / kDemandWindow.count(),
                          sum.m_returned / kDemandWindow.count() };
    }
  }
  return demand;
}

void
PriorityAdmission::RecordDemand(const std::string& aSource,
                                std::map<std::string, ServiceDemand> aDemand,
                                MonotonicTime aNow)
{
  m_reports[aSource] = { aNow, std::move(aDemand) };
  std::erase_if(m_reports, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_at > kDemandLifetime;
  });
}

void
PriorityAdmission::Update(const std::string& aService,
                          const ServiceCapacity& aCapacity,
                          MonotonicTime aNow)
{
  Service& service = m_services[aService];
  std::map<std::string, ServiceDemand> fleet = OwnDemand(aNow);
  Add(fleet, DemandOf([](const std::string&) { return true; }, aNow));
  service.m_demand = fleet[aService];
  double total = 0;
  for (const LevelDemand& level : service.m_demand) {
    total += level.m_offered;
  }
  const double nominal = aCapacity.m_slots * kMsPerSecond;
  const Seconds elapsed =
    std::min(Seconds(aNow - service.m_updatedAt), kDemandWindow);
  service.m_updatedAt = aNow;
  const double occupancy = aCapacity.m_slots > 0
                             ? aCapacity.m_requests / aCapacity.m_slots
                             : kWantedOccupancy;
  const double room = kWantedOccupancy - occupancy;
  if (room < 0) {
    service.m_correction += kLowerRate * room * elapsed.count();
  } else if (total > nominal * service.m_correction) {
    service.m_correction += kRaiseRate * room * elapsed.count();
  }
  service.m_correction =
    std::clamp(service.m_correction, kMinCorrection, kMaxCorrection);
  service.m_capacity = nominal * service.m_correction;
  service.m_shares = DivideCapacity(service.m_demand, service.m_capacity);
}

} // namespace siskindeal

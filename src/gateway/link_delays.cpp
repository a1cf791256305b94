#include "gateway/link_delays_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Clocks drift apart by a few milliseconds in two periods.
constexpr milliseconds kBaselinePeriod{ 120000 };
// Of the loops of both processes; not a queue.
constexpr milliseconds kSchedulingDelay{ 20 };
// More than three intervals between two reports of one sender to one receiver.
constexpr milliseconds kReferenceLifetime{ 1000 };
// Several reports are probably queued rather than lost after this time.
constexpr milliseconds kUsualSilence{ 700 };
// A silent region may have lost its gateways, and its runners still serve.
constexpr milliseconds kKnowledgeLifetime{ 5000 };
constexpr milliseconds kMaxDelay{ 10000 };

} // namespace

milliseconds
LinkDelays::Measure(Baseline& aBaseline,
                    std::uint64_t aIncarnation,
                    milliseconds aDifference,
                    milliseconds aNow)
{
  const bool isNew = aBaseline.m_incarnation != aIncarnation ||
                     aNow - aBaseline.m_lastAt > 2 * kBaselinePeriod;
  if (isNew) {
    aBaseline = { aIncarnation, aNow, aNow, aNow, aDifference, aDifference };
    return milliseconds(0);
  }
  aBaseline.m_lastAt = aNow;
  if (aNow - aBaseline.m_periodStart >= kBaselinePeriod) {
    aBaseline.m_periodStart = aNow;
    aBaseline.m_formerLeast = aBaseline.m_least;
    aBaseline.m_least = aDifference;
  }
  aBaseline.m_least = std::min(aBaseline.m_least, aDifference);
  const milliseconds queued =
    aDifference - std::min(aBaseline.m_least, aBaseline.m_formerLeast);
  return queued <= kSchedulingDelay ? milliseconds(0)
                                    : std::min(queued, kMaxDelay);
}

// All reports that a short measurement has seen may have been queued, so while
// one that began earlier is heard, it doesn't lower the delay.
void
LinkDelays::Take(Delay& aDelay,
                 const LinkMeasurement& aLatest,
                 milliseconds aNow)
{
  const milliseconds since = aNow - aLatest.m_measuredFor;
  const bool isOutranked =
    aNow - aDelay.m_rankedAt < kReferenceLifetime && aDelay.m_since < since;
  const milliseconds former = isOutranked ? aDelay.m_queued : milliseconds(0);
  aDelay.m_queued = std::min(kMaxDelay, std::max(aLatest.m_queued, former));
  aDelay.m_at = aNow;
  if (!isOutranked) {
    aDelay.m_since = since;
    aDelay.m_rankedAt = aNow;
  }
}

void
LinkDelays::RecordReport(const std::string& aRegion,
                         const Sender& aSender,
                         milliseconds aSentAt,
                         milliseconds aNow)
{
  Region& region = m_regions[aRegion];
  Baseline& baseline = region.m_baselines[aSender.m_vm];
  const milliseconds queued =
    Measure(baseline, aSender.m_incarnation, aNow - aSentAt, aNow);
  Take(region.m_measured, { queued, aNow - baseline.m_firstAt }, aNow);
  std::erase_if(region.m_baselines, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_lastAt > 2 * kBaselinePeriod;
  });
}

void
LinkDelays::RecordRelayed(const std::string& aRegion,
                          const LinkMeasurement& aMeasured,
                          milliseconds aNow)
{
  Take(m_regions[aRegion].m_relayed, aMeasured, aNow);
}

void
LinkDelays::RecordOutbound(const std::string& aRegion,
                           const LinkMeasurement& aMeasured,
                           milliseconds aNow)
{
  Take(m_regions[aRegion].m_outbound, aMeasured, aNow);
}

void
LinkDelays::Forget(const std::string& aRegion)
{
  m_regions.erase(aRegion);
}

milliseconds
LinkDelays::WithSilence(const Delay& aDelay, milliseconds aNow)
{
  const milliseconds silence = aNow - aDelay.m_at;
  if (silence > kKnowledgeLifetime) {
    return milliseconds(0);
  }
  return std::min(kMaxDelay,
                  aDelay.m_queued +
                    std::max(milliseconds(0), silence - kUsualSilence));
}

// Of what is measured here and by another gateway of the region, the longer
// measurement counts, and the recent one if the other has ceased.
const LinkDelays::Delay&
LinkDelays::InboundDelay(const Region& aRegion, milliseconds aNow)
{
  const Delay& measured = aRegion.m_measured;
  const Delay& relayed = aRegion.m_relayed;
  const auto isHeard = [&](const Delay& aDelay) {
    return aNow - aDelay.m_rankedAt < kReferenceLifetime;
  };
  if (isHeard(measured) && isHeard(relayed)) {
    return relayed.m_since < measured.m_since ? relayed : measured;
  }
  return relayed.m_at > measured.m_at ? relayed : measured;
}

milliseconds
LinkDelays::Inbound(const Region& aRegion, milliseconds aNow)
{
  return WithSilence(InboundDelay(aRegion, aNow), aNow);
}

milliseconds
LinkDelays::Outbound(const Region& aRegion, milliseconds aNow)
{
  const Delay& delay = aRegion.m_outbound;
  return aNow - delay.m_at > kKnowledgeLifetime ? milliseconds(0)
                                                : delay.m_queued;
}

milliseconds
LinkDelays::Inbound(const std::string& aRegion, milliseconds aNow) const
{
  const auto found = m_regions.find(aRegion);
  return found == m_regions.end() ? milliseconds(0)
                                  : Inbound(found->second, aNow);
}

milliseconds
LinkDelays::Outbound(const std::string& aRegion, milliseconds aNow) const
{
  const auto found = m_regions.find(aRegion);
  return found == m_regions.end() ? milliseconds(0)
                                  : Outbound(found->second, aNow);
}

std::map<std::string, LinkMeasurement>
LinkDelays::Measurements(milliseconds aNow) const
{
  std::map<std::string, LinkMeasurement> measurements;
  for (const auto& [name, region] : m_regions) {
    const Delay& measured = region.m_measured;
    if (aNow - measured.m_at <= kKnowledgeLifetime) {
      measurements[name] = { WithSilence(measured, aNow),
                             aNow - measured.m_since };
    }
  }
  return measurements;
}

std::map<std::string, milliseconds>
LinkDelays::RoundTrips(milliseconds aNow) const
{
  std::map<std::string, milliseconds> delays;
  for (const auto& [name, region] : m_regions) {
    delays[name] = Inbound(region, aNow) + Outbound(region, aNow);
  }
  return delays;
}

} // namespace siskindeal

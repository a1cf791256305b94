#include "gateway/link_delays_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Clocks drift apart by a few milliseconds in two periods.
constexpr milliseconds kBaselinePeriod{ 30000 };
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

void
LinkDelays::RecordReport(const std::string& aRegion,
                         const Sender& aSender,
                         milliseconds aSentAt,
                         milliseconds aNow)
{
  Region& region = m_regions[aRegion];
  Baseline& baseline = region.m_baselines[aSender.m_vm];
  milliseconds queued =
    Measure(baseline, aSender.m_incarnation, aNow - aSentAt, aNow);
  // All reports of a recent sender may have been queued, so while one with a
  // longer history is heard, only that one lowers the delay.
  const bool isHeard = !region.m_reference.empty() &&
                       aNow - region.m_referenceAt < kReferenceLifetime;
  const auto reference = region.m_baselines.find(region.m_reference);
  const bool isReference =
    !isHeard || baseline.m_firstAt <= reference->second.m_firstAt;
  if (isReference) {
    region.m_reference = aSender.m_vm;
    region.m_referenceAt = aNow;
  } else if (aNow - region.m_inboundAt < kKnowledgeLifetime) {
    queued = std::max(queued, region.m_inbound);
  }
  region.m_inbound = queued;
  region.m_inboundAt = aNow;
  std::erase_if(region.m_baselines, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_lastAt > 2 * kBaselinePeriod;
  });
}

void
LinkDelays::RecordRelayed(const std::string& aRegion,
                          milliseconds aQueued,
                          milliseconds aNow)
{
  Region& region = m_regions[aRegion];
  const bool measuresItself = !region.m_reference.empty() &&
                              aNow - region.m_referenceAt < kReferenceLifetime;
  if (!measuresItself) {
    region.m_inbound = std::min(aQueued, kMaxDelay);
    region.m_inboundAt = aNow;
  }
}

void
LinkDelays::RecordOutbound(const std::string& aRegion,
                           milliseconds aQueued,
                           milliseconds aNow)
{
  Region& region = m_regions[aRegion];
  region.m_outbound = std::min(aQueued, kMaxDelay);
  region.m_outboundAt = aNow;
}

milliseconds
LinkDelays::Inbound(const Region& aRegion, milliseconds aNow)
{
  const milliseconds silence = aNow - aRegion.m_inboundAt;
  if (silence > kKnowledgeLifetime) {
    return milliseconds(0);
  }
  return std::min(kMaxDelay,
                  aRegion.m_inbound +
                    std::max(milliseconds(0), silence - kUsualSilence));
}

milliseconds
LinkDelays::Outbound(const Region& aRegion, milliseconds aNow)
{
  return aNow - aRegion.m_outboundAt > kKnowledgeLifetime ? milliseconds(0)
                                                          : aRegion.m_outbound;
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

std::map<std::string, milliseconds>
LinkDelays::AllInbound(milliseconds aNow) const
{
  std::map<std::string, milliseconds> delays;
  for (const auto& [name, region] : m_regions) {
    delays[name] = Inbound(region, aNow);
  }
  return delays;
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

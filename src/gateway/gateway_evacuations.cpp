// Reads evacuated places from the store, exchanges them with the other gateways
// and applies them to placement.

#include "gateway/gateway_p.h"
#include "siskindeal/metrics.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// A watch that the store never answers delays an evacuation by its wait.
constexpr FeedTiming kEvacuationFeedTiming{ milliseconds(1000),
                                            milliseconds(100) };

std::set<std::string>
Difference(const std::set<std::string>& aOf, const std::set<std::string>& aFrom)
{
  std::set<std::string> places;
  std::set_difference(aOf.begin(),
                      aOf.end(),
                      aFrom.begin(),
                      aFrom.end(),
                      std::inserter(places, places.end()));
  return places;
}

} // namespace

void
Gateway::StartEvacuationFeed()
{
  if (m_settings.m_gateway.m_evacuateWithin <= milliseconds(0)) {
    return;
  }
  m_evacuationFeed = StartFeed(
    dialect::kEvacuationKind,
    kEvacuationFeedTiming,
    { [this](const auto& aObjects) { OnEvacuations(aObjects); },
      [this](const SiteObject& aObject) { OnEvacuation(aObject); },
      [] {},
      [this] {
        RecordEvacuations({ m_evacuationFeed->Position(), m_storedEvacuations },
                          "store");
      },
      [this](std::uint64_t aEra) { OnStoreEra(aEra); } },
    m_readsStore);
}

void
Gateway::OnEvacuations(const std::vector<SiteObject>& aObjects)
{
  const std::set<std::string> former = std::move(m_storedEvacuations);
  m_storedEvacuations.clear();
  for (const SiteObject& object : aObjects) {
    // An entry that has become unreadable is still there.
    if (former.contains(object.m_name) || IsEvacuation(object)) {
      m_storedEvacuations.insert(object.m_name);
    }
  }
}

void
Gateway::OnEvacuation(const SiteObject& aObject)
{
  if (aObject.m_deleted) {
    m_storedEvacuations.erase(aObject.m_name);
  } else if (IsEvacuation(aObject)) {
    m_storedEvacuations.insert(aObject.m_name);
  }
}

bool
Gateway::IsEvacuation(const SiteObject& aObject) const
{
  std::string reason;
  if (!IsKnownPlace(aObject.m_name)) {
    reason = "no such place";
  } else {
    try {
      dialect::CheckEvacuation(aObject);
      return true;
    } catch (const std::invalid_argument& error) {
      reason = error.what();
    }
  }
  CountMetric("siskindeal_gateway_evacuations_ignored_total");
  Log(LogLevel::Warning,
      "evacuation ignored",
      { { "name", aObject.m_name }, { "reason", reason } });
  return false;
}

bool
Gateway::IsKnownPlace(const std::string& aPlace) const
{
  return m_settings.m_gateway.m_regions.contains(aPlace) ||
         RunnersIn({ aPlace }) > 0;
}

std::size_t
Gateway::RunnersIn(const std::set<std::string>& aPlaces) const
{
  return static_cast<std::size_t>(std::count_if(
    m_runners.All().begin(), m_runners.All().end(), [&](const auto& aEntry) {
      return aPlaces.contains(aEntry.second.m_record.m_place);
    }));
}

void
Gateway::RecordEvacuations(const EvacuationKnowledge& aKnown,
                           std::string_view aSource)
{
  const std::set<std::string> former = m_evacuations.Places();
  const bool wasKnown = m_evacuations.Known().has_value();
  if (m_evacuations.Record(aKnown, LoopNow())) {
    ApplyEvacuations(former, aSource);
  }
  if (!wasKnown && m_evacuations.Known()) {
    Advertise(true); // gateways that start wait for it
  }
}

void
Gateway::ApplyEvacuations(const std::set<std::string>& aFormer,
                          std::string_view aSource)
{
  const std::set<std::string> places = m_evacuations.Places();
  const StorePosition& position = m_evacuations.Known()->m_position;
  m_placer.SetEvacuatedPlaces(places);
  RecordReturnedPlaces(Difference(aFormer, places));
  SetMetric("siskindeal_gateway_evacuated_places",
            static_cast<double>(places.size()));
  Log(LogLevel::Info,
      "evacuations changed",
      { { "source", aSource },
        { "evacuated", absl::StrJoin(places, ",") },
        { "begun", absl::StrJoin(Difference(places, aFormer), ",") },
        { "ended", absl::StrJoin(Difference(aFormer, places), ",") },
        { "era", position.m_era },
        { "revision", position.m_revision },
        { "runners_excluded", RunnersIn(places) } });
  Advertise(true); // only one gateway of a region reads the store
}

void
Gateway::SweepEvacuations()
{
  const std::set<std::string> former = m_evacuations.Places();
  if (m_evacuations.Sweep(LoopNow())) {
    ApplyEvacuations(former, "end of a former era");
  }
}

bool
Gateway::KnowsEvacuations() const
{
  return m_settings.m_gateway.m_evacuateWithin <= milliseconds(0) ||
         m_evacuations.Known();
}

void
Gateway::MergeEvacuations(const v1::EvacuationState& aState)
{
  if (m_settings.m_gateway.m_evacuateWithin <= milliseconds(0)) {
    return;
  }
  RecordEvacuations({ { aState.era(), aState.revision() },
                      { aState.places().begin(), aState.places().end() } },
                    "peer");
}

void
Gateway::AppendEvacuations(v1::EvacuationState& aState) const
{
  const EvacuationKnowledge& known = *m_evacuations.Known();
  aState.set_era(known.m_position.m_era);
  aState.set_revision(known.m_position.m_revision);
  for (const std::string& place : known.m_places) {
    aState.add_places(place);
  }
}

} // namespace siskindeal

#include "gateway/suspicion_exchange_p.h"

#include "siskindeal/log.h"
#include "siskindeal/operators.h"

#include <algorithm>
#include <set>
#include <utility>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kAdvertisePeriod{ 3000 };
constexpr std::size_t kMaxAdvertised = 8;
constexpr int kFirstServerError = 500;

std::string
Describe(const SuspicionListing& aListing)
{
  return FormatFingerprint(aListing.m_fingerprint) + ":" +
         std::to_string(aListing.m_crashes) + "-" +
         std::to_string(aListing.m_attributed) +
         (aListing.m_state == SuspicionState::Quarantined ? "q" : "");
}

// The parts of the requests, without duplicates.
std::vector<PromptPart>
PartsOf(const std::vector<RequestTraits>& aRequests)
{
  std::set<PromptPart> parts;
  for (const RequestTraits& request : aRequests) {
    parts.insert(request.m_parts.begin(), request.m_parts.end());
  }
  return { parts.begin(), parts.end() };
}

} // namespace

void
SuspicionExchange::RecordCrash(const RunnerIncarnation& aRunner,
                               const std::vector<RequestTraits>& aInFlight,
                               MonotonicTime aNow)
{
  std::vector<SuspicionTable::InFlight> inFlight;
  inFlight.reserve(aInFlight.size());
  for (const RequestTraits& request : aInFlight) {
    inFlight.push_back({ request.m_fingerprint, {} });
  }
  // All gateways use the incarnation as crash id.
  m_table.RecordCrash(aRunner.ToString(), inFlight, aNow);
  std::string suspects;
  for (const RequestTraits& request : aInFlight) {
    if (const auto listing = m_table.ListingOf(request.m_fingerprint)) {
      suspects += Describe(*listing) + ' ';
    }
  }
  std::string parts;
  for (const PromptPart part : PartsOf(aInFlight)) {
    parts += FormatFingerprint(part) + ' ';
  }
  Log(LogLevel::Warning,
      "runner crashed",
      { { "runner", aRunner.m_id },
        { "created", aRunner.m_created },
        { "requests", aInFlight.size() },
        { "suspects", suspects },
        { "parts", parts } });
}

void
SuspicionExchange::RecordCompletion(const RequestTraits& aRequest,
                                    int aStatus,
                                    MonotonicTime aNow)
{
  // A failing runner may give up the request before the point of the crash.
  if (aStatus >= kFirstServerError || !m_table.Find(aRequest.m_fingerprint)) {
    return;
  }
  if (const auto listing = m_table.ListingOf(aRequest.m_fingerprint)) {
    Log(LogLevel::Info,
        "suspect completed",
        { { "suspect", Describe(*listing) }, { "status", aStatus } });
  }
  // Counts as run alone, since a request that crashes runners never completes.
  m_table.RecordCompletion(aRequest.m_fingerprint, true, aNow);
}

bool
SuspicionExchange::IsQuarantined(std::uint64_t aFingerprint) const
{
  return m_table.StateOf(aFingerprint) == SuspicionState::Quarantined;
}

std::vector<wire::Suspicion>
SuspicionExchange::SuspicionsToAdvertise(MonotonicTime aNow)
{
  for (const wire::Suspicion& changed : m_table.ChangedSince(m_lastNumber)) {
    m_advertised[changed.fingerprint()] = { aNow, 0 };
  }
  m_lastNumber = m_table.Number();
  UpdateQuarantined();
  for (const std::uint64_t fingerprint : m_quarantined) {
    m_advertised.try_emplace(fingerprint);
  }
  std::erase_if(m_advertised, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_changedAt > kAdvertisePeriod &&
           !m_quarantined.contains(aEntry.first);
  });
  std::vector<wire::Suspicion> advertised;
  for (const auto& [fingerprint, state] : m_advertised) {
    if (auto suspicion = m_table.Find(fingerprint)) {
      advertised.push_back(std::move(*suspicion));
    }
  }
  std::stable_sort(advertised.begin(),
                   advertised.end(),
                   [&](const auto& aOne, const auto& aOther) {
                     return std::pair(LastRound(aOne), aOther.crashes()) <
                            std::pair(LastRound(aOther), aOne.crashes());
                   });
  advertised.resize(std::min(advertised.size(), kMaxAdvertised));
  ++m_round;
  for (const wire::Suspicion& suspicion : advertised) {
    m_advertised[suspicion.fingerprint()].m_lastRound = m_round;
  }
  return advertised;
}

std::uint64_t
SuspicionExchange::LastRound(const wire::Suspicion& aSuspicion) const
{
  return m_advertised.at(aSuspicion.fingerprint()).m_lastRound;
}

void
SuspicionExchange::Merge(const wire::Suspicion& aSuspicion)
{
  m_table.Merge(aSuspicion);
}

void
SuspicionExchange::UpdateQuarantined()
{
  std::set<std::uint64_t> quarantined;
  std::string added;
  for (const SuspicionListing& listing : m_table.List()) {
    if (listing.m_state == SuspicionState::Quarantined) {
      quarantined.insert(listing.m_fingerprint);
      if (!m_quarantined.contains(listing.m_fingerprint)) {
        added += Describe(listing) + ' ';
      }
    }
  }
  if (quarantined != m_quarantined) {
    Log(LogLevel::Warning,
        "requests quarantined",
        { { "requests", quarantined.size() }, { "added", added } });
    m_quarantined = std::move(quarantined);
  }
}

} // namespace siskindeal

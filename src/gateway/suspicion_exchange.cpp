#include "gateway/suspicion_exchange_p.h"

#include "siskindeal/digest.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "siskindeal/operators.h"

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

constexpr int kFirstServerError = 500;

std::string
Describe(const SuspicionListing& aListing)
{
  return FormatFingerprint(aListing.m_fingerprint) + ":" +
         std::to_string(aListing.m_crashes) + "-" +
         std::to_string(aListing.m_attributed) +
         (aListing.m_state == SuspicionState::Quarantined ? "q" : "");
}

std::string
Describe(const SuspectedPart& aPart)
{
  return FormatFingerprint(aPart.m_part) + ":" +
         std::to_string(aPart.m_crashes) + (aPart.m_quarantined ? "q" : "");
}

std::string
Describe(const std::vector<PromptPart>& aParts)
{
  std::string text;
  for (const PromptPart part : aParts) {
    text += FormatFingerprint(part) + ' ';
  }
  return text;
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
  const std::string crash = aRunner.ToString();
  std::vector<SuspicionTable::InFlight> inFlight;
  inFlight.reserve(aInFlight.size());
  for (const RequestTraits& request : aInFlight) {
    inFlight.push_back({ request.m_fingerprint, {} });
  }
  const std::vector<PromptPart> parts = PartsOf(aInFlight);
  m_requests.RecordCrash(crash, inFlight, aNow);
  m_parts.RecordCrash({ StableHash(crash), aNow }, parts);
  std::string suspects;
  for (const RequestTraits& request : aInFlight) {
    ConfirmIfTried(request.m_fingerprint, aNow);
    if (const auto listing = m_requests.ListingOf(request.m_fingerprint)) {
      suspects += Describe(*listing) + ' ';
    }
  }
  Log(LogLevel::Warning,
      "runner crashed",
      { { "runner", aRunner.m_id },
        { "created", aRunner.m_created },
        { "born", aRunner.m_born },
        { "requests", aInFlight.size() },
        { "suspects", suspects },
        { "parts", Describe(parts) } });
}

void
SuspicionExchange::RecordCompletion(const RequestTraits& aRequest,
                                    int aStatus,
                                    MonotonicTime aSentAt,
                                    MonotonicTime aNow)
{
  // A failing runner may give up the request before the point of the crash.
  if (aStatus >= kFirstServerError) {
    return;
  }
  m_parts.RecordCompletion(aRequest.m_parts, aSentAt, aNow);
  if (!m_requests.Find(aRequest.m_fingerprint)) {
    return;
  }
  if (const auto listing = m_requests.ListingOf(aRequest.m_fingerprint)) {
    Log(LogLevel::Info,
        "suspect completed",
        { { "suspect", Describe(*listing) }, { "status", aStatus } });
  }
  // Counts as run alone, since a request that crashes runners never completes.
  m_requests.RecordCompletion(aRequest.m_fingerprint, true, aNow);
}

void
SuspicionExchange::RecordTrial(const std::vector<PromptPart>& aParts,
                               MonotonicTime aNow)
{
  if (!m_parts.RecordTrial(aParts, aNow)) {
    return;
  }
  CountMetric("siskindeal_gateway_part_trials_total", {});
  Log(LogLevel::Warning,
      "suspected parts tried",
      { { "parts", Describe(aParts) } });
}

bool
SuspicionExchange::IsQuarantined(std::uint64_t aFingerprint) const
{
  return m_requests.StateOf(aFingerprint) == SuspicionState::Quarantined;
}

bool
SuspicionExchange::IsTrialDue(std::uint64_t aFingerprint,
                              MonotonicTime aNow) const
{
  const auto found = m_requestTrials.find(aFingerprint);
  return found != m_requestTrials.end() && aNow >= found->second.m_due &&
         !m_requests.IsConfirmed(aFingerprint);
}

void
SuspicionExchange::RecordRequestTrial(std::uint64_t aFingerprint,
                                      MonotonicTime aNow)
{
  const auto found = m_requestTrials.find(aFingerprint);
  if (found == m_requestTrials.end()) {
    return;
  }
  RequestTrials& trials = found->second;
  ++trials.m_count;
  trials.m_sentAt = aNow;
  trials.m_due =
    aNow + kTrialDelay * (1U << std::min(trials.m_count, kMaxTrialDoublings));
  CountMetric("siskindeal_gateway_request_trials_total", {});
  Log(LogLevel::Warning,
      "quarantined request tried",
      { { "fingerprint", FormatFingerprint(aFingerprint) },
        { "trial", trials.m_count } });
}

void
SuspicionExchange::ConfirmIfTried(std::uint64_t aFingerprint,
                                  MonotonicTime aNow)
{
  const auto found = m_requestTrials.find(aFingerprint);
  if (found == m_requestTrials.end() || !found->second.m_sentAt ||
      aNow - *found->second.m_sentAt > kTrialDuration) {
    return;
  }
  m_requests.Confirm(aFingerprint);
  Log(LogLevel::Warning,
      "quarantine confirmed by a trial",
      { { "fingerprint", FormatFingerprint(aFingerprint) } });
}

std::vector<wire::Suspicion>
SuspicionExchange::SuspicionsToAdvertise(MonotonicTime aNow)
{
  for (const wire::Suspicion& changed :
       m_requests.ChangedSince(m_requestsNumber)) {
    m_requestTurns.RecordChange(changed.fingerprint(), aNow);
  }
  m_requestsNumber = m_requests.Number();
  UpdateQuarantined(aNow);
  const auto crashes = [this](std::uint64_t aFingerprint) -> std::size_t {
    const auto listing = m_requests.ListingOf(aFingerprint);
    return listing ? listing->m_crashes : 0;
  };
  std::vector<wire::Suspicion> advertised;
  for (const std::uint64_t fingerprint :
       m_requestTurns.Take(m_quarantined, crashes, aNow)) {
    if (auto suspicion = m_requests.Find(fingerprint)) {
      advertised.push_back(std::move(*suspicion));
    }
  }
  return advertised;
}

std::vector<v1::PartSuspicion>
SuspicionExchange::PartsToAdvertise(MonotonicTime aNow)
{
  for (const PromptPart part : m_parts.ChangedSince(m_partsNumber)) {
    m_partTurns.RecordChange(part, aNow);
  }
  m_partsNumber = m_parts.Number();
  UpdateSuspectedParts();
  const auto crashes = [this](PromptPart aPart) {
    return m_parts.CrashCount(aPart);
  };
  std::vector<v1::PartSuspicion> advertised;
  for (const PromptPart part :
       m_partTurns.Take(m_suspectedParts, crashes, aNow)) {
    advertised.push_back(m_parts.Export(part, aNow));
  }
  return advertised;
}

void
SuspicionExchange::Merge(const wire::Suspicion& aSuspicion)
{
  m_requests.Merge(aSuspicion);
}

void
SuspicionExchange::Merge(const v1::PartSuspicion& aSuspicion,
                         MonotonicTime aNow)
{
  m_parts.Merge(aSuspicion, aNow);
}

SuspicionRecord
SuspicionExchange::RecordToStore(MonotonicTime aNow) const
{
  SuspicionRecord record;
  std::set<PromptPart> parts = m_suspectedParts;
  parts.insert(m_storedParts.begin(), m_storedParts.end());
  for (const PromptPart part : parts) {
    if (m_parts.CrashCount(part) > 0 &&
        record.m_parts.size() < kMaxRecordedParts) {
      record.m_parts.push_back(m_parts.Export(part, aNow));
    }
  }
  for (const std::uint64_t fingerprint : m_quarantined) {
    const auto suspicion = m_requests.Find(fingerprint);
    if (suspicion && record.m_requests.size() < kMaxRecordedRequests) {
      record.m_requests.push_back(*suspicion);
    }
  }
  return record;
}

void
SuspicionExchange::MergeStored(const SuspicionRecord& aRecord,
                               MonotonicTime aNow)
{
  m_storedParts.clear();
  for (const v1::PartSuspicion& part : aRecord.m_parts) {
    if (part.crashes_size() > 0) {
      m_storedParts.insert(part.part());
      m_parts.Merge(part, aNow);
    }
  }
  for (const wire::Suspicion& request : aRecord.m_requests) {
    m_requests.Merge(request);
  }
  UpdateQuarantined(aNow);
  UpdateSuspectedParts();
}

void
SuspicionExchange::UpdateQuarantined(MonotonicTime aNow)
{
  std::set<std::uint64_t> quarantined;
  std::string added;
  for (const SuspicionListing& listing : m_requests.List()) {
    if (listing.m_state == SuspicionState::Quarantined) {
      quarantined.insert(listing.m_fingerprint);
      if (!m_quarantined.contains(listing.m_fingerprint)) {
        added += Describe(listing) + ' ';
        m_requestTrials[listing.m_fingerprint].m_due = aNow + kTrialDelay;
      }
    }
  }
  if (quarantined != m_quarantined) {
    Log(LogLevel::Warning,
        "requests quarantined",
        { { "requests", quarantined.size() }, { "added", added } });
    m_quarantined = std::move(quarantined);
    std::erase_if(m_requestTrials, [&](const auto& aEntry) {
      return !m_quarantined.contains(aEntry.first);
    });
  }
}

void
SuspicionExchange::UpdateSuspectedParts()
{
  std::set<PromptPart> suspected;
  std::string described;
  for (const SuspectedPart& part : m_parts.Suspected()) {
    suspected.insert(part.m_part);
    described += Describe(part) + ' ';
  }
  if (suspected != m_suspectedParts) {
    Log(LogLevel::Warning,
        "prompt parts suspected",
        { { "parts", suspected.size() }, { "suspected", described } });
    m_suspectedParts = std::move(suspected);
  }
}

} // namespace siskindeal

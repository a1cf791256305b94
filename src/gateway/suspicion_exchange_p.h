#pragma once
// Requests and parts of prompts that may crash the runners that execute them,
// as far as this gateway knows: what it saw itself and what other gateways
// advertised. Does no I/O; the caller passes the time.

#include "gateway/advertising_turns_p.h"
#include "gateway/suspicion_record_p.h"
#include "quarantine/prompt_part_table_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/quarantine.h"
#include "siskindeal/site.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

// What a request has in common with others that may crash the same runners.
struct RequestTraits
{
  std::uint64_t m_fingerprint = 0; // equal for identical requests
  // Parts of the prompt that other requests may share.
  std::vector<PromptPart> m_parts{};
};

class SuspicionExchange
{
public:
  // Records that a runner crashed and which of this gateway's requests were in
  // flight there.
  void RecordCrash(const RunnerIncarnation& aRunner,
                   const std::vector<RequestTraits>& aInFlight,
                   MonotonicTime aNow);
  // aStatus is that of the runner's complete response. Clears the suspicions
  // unless it is a server error.
  void RecordCompletion(const RequestTraits& aRequest,
                        int aStatus,
                        MonotonicTime aSentAt,
                        MonotonicTime aNow);

  // Whether a request has crashed its runners and must not be sent again.
  bool IsQuarantined(std::uint64_t aFingerprint) const;
  // Whether a quarantined request may be sent once more. It may only have been
  // in flight when its runners crashed for another reason; one that crashes a
  // runner when it is tried stays quarantined. To be asked by one gateway.
  bool IsTrialDue(std::uint64_t aFingerprint, MonotonicTime aNow) const;
  // Records that a quarantined request is sent.
  void RecordRequestTrial(std::uint64_t aFingerprint, MonotonicTime aNow);

  // Whether a request may be sent in view of its prompt.
  PartDecision DecideParts(const std::vector<PromptPart>& aParts,
                           const PromptPartTable::MayTry& aMayTry,
                           MonotonicTime aNow) const
  {
    return m_parts.Decide(aParts, aMayTry, aNow);
  }
  // Records that a request is sent whose prompt has suspected parts.
  void RecordTrial(const std::vector<PromptPart>& aParts, MonotonicTime aNow);

  // Suspicions to send to other gateways: those that changed recently and those
  // of quarantined requests. Bounded; successive calls take turns, beginning
  // with what was never sent and has most crashes.
  std::vector<wire::Suspicion> SuspicionsToAdvertise(MonotonicTime aNow);
  std::vector<v1::PartSuspicion> PartsToAdvertise(MonotonicTime aNow);
  void Merge(const wire::Suspicion& aSuspicion);
  void Merge(const v1::PartSuspicion& aSuspicion, MonotonicTime aNow);

  // What is suspected, as of the last call of SuspicionsToAdvertise and
  // PartsToAdvertise, and what was stored and hasn't been cleared since.
  SuspicionRecord RecordToStore(MonotonicTime aNow) const;
  void MergeStored(const SuspicionRecord& aRecord, MonotonicTime aNow);

  // Returns nullopt for a request that was in flight at no known crash.
  std::optional<SuspicionListing> ListingOf(std::uint64_t aFingerprint) const
  {
    return m_requests.ListingOf(aFingerprint);
  }
  std::vector<SuspicionListing> List() const { return m_requests.List(); }
  std::vector<SuspectedPart> SuspectedParts() const
  {
    return m_parts.Suspected();
  }

private:
  static constexpr std::chrono::milliseconds kAdvertisePeriod{ 3000 };
  static constexpr std::size_t kMaxRequestsAdvertised = 8;
  static constexpr std::size_t kMaxPartsAdvertised = 16;

  // The time from a quarantine, in which its runners come back, or from a trial
  // without a result. Doubles with each trial.
  static constexpr std::chrono::milliseconds kTrialDelay{ 10000 };
  static constexpr std::uint32_t kMaxTrialDoublings = 10;
  // A runner that crashes within this time after a trial was sent crashed of
  // it.
  static constexpr std::chrono::milliseconds kTrialDuration{ 10000 };

  struct RequestTrials
  {
    MonotonicTime m_due{};
    std::uint32_t m_count = 0;
    std::optional<MonotonicTime> m_sentAt; // of the last one
  };

  // Update what is quarantined or suspected, and log its changes.
  void UpdateQuarantined(MonotonicTime aNow);
  void ConfirmIfTried(std::uint64_t aFingerprint, MonotonicTime aNow);
  void UpdateSuspectedParts();

  SuspicionTable m_requests{ CrashView::Partial };
  std::set<std::uint64_t> m_quarantined; // when last advertised
  std::map<std::uint64_t, RequestTrials> m_requestTrials; // of these
  std::uint64_t m_requestsNumber = 0; // the table's, when last advertised
  AdvertisingTurns m_requestTurns{ kAdvertisePeriod, kMaxRequestsAdvertised };

  PromptPartTable m_parts;
  std::set<PromptPart> m_suspectedParts; // when last advertised
  std::uint64_t m_partsNumber = 0;       // the table's, when last advertised
  AdvertisingTurns m_partTurns{ kAdvertisePeriod, kMaxPartsAdvertised };

  std::set<PromptPart> m_storedParts; // by any gateway, when last merged
};

} // namespace siskindeal

#pragma once
// Requests that may crash the runners that execute them, as far as this gateway
// knows: what it saw itself and what other gateways advertised. Does no I/O;
// the caller passes the time.

#include "siskindeal/clock.h"
#include "siskindeal/quarantine.h"
#include "siskindeal/site.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

using PromptPart = std::uint64_t; // hash of the part's id

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
  // aStatus is that of the runner's complete response. Clears the suspicion
  // unless it is a server error.
  void RecordCompletion(const RequestTraits& aRequest,
                        int aStatus,
                        MonotonicTime aNow);

  // Whether a request has crashed its runners and must not be sent again.
  bool IsQuarantined(std::uint64_t aFingerprint) const;

  // Suspicions to send to other gateways: those that changed recently and those
  // of quarantined requests. Bounded; successive calls take turns, beginning
  // with what was never sent and has most crashes.
  std::vector<wire::Suspicion> SuspicionsToAdvertise(MonotonicTime aNow);
  void Merge(const wire::Suspicion& aSuspicion);

  // Returns nullopt for a request that was in flight at no known crash.
  std::optional<SuspicionListing> ListingOf(std::uint64_t aFingerprint) const
  {
    return m_table.ListingOf(aFingerprint);
  }
  std::vector<SuspicionListing> List() const { return m_table.List(); }

private:
  // Updates m_quarantined and logs its changes.
  void UpdateQuarantined();
  std::uint64_t LastRound(const wire::Suspicion& aSuspicion) const;

  SuspicionTable m_table{ CrashView::Partial };
  std::set<std::uint64_t> m_quarantined; // when last advertised
  struct Advertised
  {
    MonotonicTime m_changedAt{};
    std::uint64_t m_lastRound = 0; // 0: not since it changed
  };
  std::map<std::uint64_t, Advertised> m_advertised; // by fingerprint
  std::uint64_t m_round = 0;
  std::uint64_t m_lastNumber = 0; // the table's, when last advertised
};

} // namespace siskindeal

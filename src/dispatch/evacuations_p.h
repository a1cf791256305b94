#pragma once
// The places that operators have evacuated: no requests are sent to their
// runners. Gateways advertise what they know, so one that can't reach the store
// learns it from the others. Does no I/O; the caller passes the time.

#include "siskindeal/clock.h"
#include "siskindeal/site.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace siskindeal {

// The evacuations in the store.
struct EvacuationKnowledge
{
  StorePosition m_position; // up to which all of them are known
  std::set<std::string> m_places;
};

class Evacuations
{
public:
  // Applies what is known of the store, by this gateway or another one, unless
  // something newer is known already. Returns whether the evacuated places have
  // changed.
  bool Record(const EvacuationKnowledge& aKnown, MonotonicTime aNow);
  // Ends what is kept of a former era of the store once its time is over.
  // Returns whether the evacuated places have changed.
  bool Sweep(MonotonicTime aNow);

  // Unset before anything is known.
  const std::optional<EvacuationKnowledge>& Known() const { return m_known; }
  // All places that get no requests.
  std::set<std::string> Places() const;

private:
  std::optional<EvacuationKnowledge> m_known;
  // Evacuated in a former era, and until when they stay so.
  std::map<std::string, MonotonicTime> m_kept;
};

} // namespace siskindeal

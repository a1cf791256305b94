#pragma once
// Runners that tolerate few requests a second for some time after a start or an
// evacuation, and this gateway's share of what they tolerate. Does no I/O; the
// caller passes the time.

#include "dispatch/runner_limits_p.h"
#include "dispatch/runner_table_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/site.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

// Gateways don't tell each other what is cold: all follow the same list, and
// divide a runner's rate by what they know of each other.
class ColdRunners
{
public:
  // Records what is known of a runner of aService. A start that is new here and
  // doesn't state for how long it is cold is cold as long as the service says.
  void Observe(const RunnerRecord& aRunner,
               const ServiceRecord& aService,
               MonotonicTime aNow);
  // The runner may be back, and cold, before its new start is listed.
  void RecordCrash(const RunnerIncarnation& aRunner,
                   const ServiceRecord& aService,
                   MonotonicTime aNow);
  // The runner's place was evacuated until now; it may have become cold without
  // an update of its entry.
  void RecordReturn(const RunnerRecord& aRunner,
                    const ServiceRecord& aService,
                    MonotonicTime aNow);
  // Updates this gateway's shares, and forgets the runners for which aIsKnown
  // is false.
  void Update(const RunnerLimits::PositionOf& aPositionOf,
              const std::function<bool(const RunnerIncarnation&)>& aIsKnown,
              MonotonicTime aNow);

  // Whether a runner may get a request from this gateway now.
  bool Allows(const RunnerIncarnation& aRunner, MonotonicTime aNow) const;
  // Records that a request is sent. Call it for each attempt.
  void RecordSend(const RunnerIncarnation& aRunner, MonotonicTime aNow)
  {
    m_limits.RecordSend(aRunner, aNow);
  }
  // The time until some gateway may send one of these runners a request.
  std::chrono::milliseconds RetryAfter(
    const std::vector<RunnerIncarnation>& aRunners) const
  {
    return m_limits.RetryAfter(aRunners);
  }
  bool IsCold(const RunnerIncarnation& aRunner, MonotonicTime aNow) const;

private:
  struct Known
  {
    // As last stated, to notice when it is stated anew.
    std::optional<std::chrono::milliseconds> m_stated;
    MonotonicTime m_coldUntil{};
  };

  void ExtendUntil(const RunnerIncarnation& aRunner,
                   const ServiceRecord& aService,
                   MonotonicTime aUntil,
                   const char* aReason,
                   MonotonicTime aNow);

  std::map<RunnerIncarnation, Known> m_known;
  RunnerLimits m_limits{ LimitReason::Cold }; // of those that are cold
};

} // namespace siskindeal

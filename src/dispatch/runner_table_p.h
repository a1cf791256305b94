#pragma once
// The runners known to this gateway, with their weights and load. The data
// comes from the platform's list, the other gateways, the stagers next to the
// runners and this gateway's own requests. Does no I/O; the caller passes the
// time.

#include "dispatch/priority_admission_p.h"
#include "dispatch/runner_pace_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/site.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace siskindeal {

// The load that requests put on a runner.
struct RunnerLoad
{
  std::uint32_t m_requests = 0;     // in flight
  std::uint32_t m_promptTokens = 0; // of those without a first event
  // Only of services whose costs are learned: the tokens of answers that are
  // expected and not generated yet, and the requests by level of priority.
  std::uint32_t m_answerTokens = 0;
  std::array<std::uint32_t, kPriorityLevels> m_byLevel{};

  bool operator==(const RunnerLoad&) const = default;
  RunnerLoad& operator+=(const RunnerLoad& aOther)
  {
    m_requests += aOther.m_requests;
    m_promptTokens += aOther.m_promptTokens;
    m_answerTokens += aOther.m_answerTokens;
    for (std::size_t i = 0; i < kPriorityLevels; ++i) {
      m_byLevel[i] += aOther.m_byLevel[i];
    }
    return *this;
  }
};

struct RunnerState
{
  RunnerRecord m_record;
  RunnerLoad m_ownLoad;
  RunnerLoad m_peerLoad; // sum of the other gateways' last reports
  // Reported by the runner with its responses.
  std::uint32_t m_reportedRequests = 0;
  RunnerPace m_pace;

  // Smoothed duration of requests, and when it was last measured; used for
  // plain services only.
  std::chrono::duration<double, std::milli> m_smoothedDuration{ 0 };
  MonotonicTime m_durationMeasuredAt{};
  // Until then the runner gets requests only if no other runner is eligible.
  MonotonicTime m_avoidUntil{};
  std::uint32_t m_consecutiveFailures = 0;
  // Until then its connections carry one request each, since it sent a response
  // that belonged to none, or to two.
  MonotonicTime m_unsharedUntil{};
  // Until then its stager is loading weights and new requests avoid it.
  MonotonicTime m_loadingUntil{};
  // Set while the runner is missing from the list but may have only expired.
  std::optional<MonotonicTime> m_missingSince;
  // An entry of an earlier start that came after that of the present one.
  std::optional<RunnerRecord> m_olderRecord;
  std::optional<MonotonicTime> m_olderSince; // set by Sweep

  // Returns the last known version of a model's weights, or 0 for none.
  std::uint64_t VersionOf(const std::string& aModel) const
  {
    const auto found = m_record.m_versions.find(aModel);
    return found == m_record.m_versions.end() ? 0 : found->second;
  }

  // Records how long a request of a plain service took.
  void RecordDuration(std::chrono::duration<double, std::milli> aDuration,
                      MonotonicTime aNow)
  {
    constexpr double kSampleWeight = 0.1;
    constexpr double kWeightAfterAPause = 0.5;
    const double weight =
      DurationIsOutdated(aNow) ? kWeightAfterAPause : kSampleWeight;
    m_durationMeasuredAt = aNow;
    m_smoothedDuration =
      m_smoothedDuration.count() == 0
        ? aDuration
        : m_smoothedDuration * (1 - weight) + aDuration * weight;
  }
  // Whether the runner may have become faster since its duration was measured.
  // If it is idle, one request is sent to it, whatever is predicted.
  bool DurationIsOutdated(MonotonicTime aNow) const
  {
    constexpr std::chrono::milliseconds kLifetime{ 500 };
    return aNow - m_durationMeasuredAt > kLifetime;
  }

  // Starts a backoff period; it doubles with each failure in a row.
  void AvoidAfterFailure(MonotonicTime aNow)
  {
    constexpr std::chrono::milliseconds kBaseAvoidance{ 250 };
    constexpr std::uint32_t kMaxDoublings = 4;
    const std::uint32_t doublings =
      std::min(m_consecutiveFailures++, kMaxDoublings);
    m_avoidUntil = aNow + kBaseAvoidance * (1U << doublings);
  }

  std::uint32_t Requests() const
  {
    return m_ownLoad.m_requests + m_peerLoad.m_requests;
  }
};

class RunnerTable
{
public:
  // Applies a complete list; runners that are not in it become missing.
  void Replace(const std::vector<RunnerRecord>& aRunners, MonotonicTime aNow);
  // Adds or updates one runner. Nothing is kept of an earlier start of it, and
  // an entry of an earlier start changes nothing at first.
  void Put(const RunnerRecord& aRunner);
  // Applies what a runner says of its start to others than the store; the
  // record's address and state hold until the store has a newer one. Returns
  // false for a start before the one that is known.
  bool RecordStart(RunnerState& aState, std::uint64_t aBorn);
  // Returns the starts that a later one of the same runner has replaced since
  // the last call.
  std::vector<RunnerIncarnation> TakeReplacedStarts()
  {
    return std::exchange(m_replacedStarts, {});
  }
  // Marks a runner missing; drops it unless it may have only expired.
  void Remove(const std::string& aId, MonotonicTime aNow);
  // Drops a runner whose entry is there but names no runner to use. It has not
  // expired, so it isn't kept.
  void Withdraw(const std::string& aId);
  // Records that reading the list failed. Runners may expire from it during an
  // outage and are listed again after it, so missing ones are kept until then.
  void RecordListFailure(MonotonicTime aNow);
  // Records that what was taken for a failure of the list was none, and drops
  // missing runners.
  void ForgetListFailure(MonotonicTime aNow);
  // Records that the store came back from a copy; runners write their entries
  // again.
  void RecordListRebuilt(MonotonicTime aNow);
  // Drops missing runners once they can no longer be listed again, and takes
  // over entries of earlier starts that have lasted.
  void Sweep(MonotonicTime aNow);

  // Returns null if there is no such runner.
  RunnerState* Find(const std::string& aId);
  // Returns null unless this start of the runner is the one known.
  RunnerState* Find(const RunnerIncarnation& aRunner);
  // Whether a later start of the runner is known.
  bool IsReplaced(const RunnerIncarnation& aRunner) const;
  // Prefers a runner that started at aBorn, unless that is 0.
  RunnerState* FindByAddress(const Address& aAddress, std::uint64_t aBorn);

  // Returns the start that another process names. A process that doesn't state
  // the time of the start names the record's creation.
  RunnerIncarnation Resolve(const RunnerIncarnation& aNamed) const;

  // Returns the runners of a service that are not draining.
  std::vector<RunnerState*> Usable(const std::string& aService);

  const std::map<std::string, RunnerState>& All() const { return m_runners; }
  std::map<std::string, RunnerState>& All() { return m_runners; }

private:
  bool MayHaveExpired(MonotonicTime aNow) const;
  void AcceptOlderRecords(MonotonicTime aNow);

  std::map<std::string, RunnerState> m_runners; // by id
  std::optional<MonotonicTime> m_lastListFailure;
  std::optional<MonotonicTime> m_lastListRebuilt;
  std::vector<RunnerIncarnation> m_replacedStarts;
};

} // namespace siskindeal

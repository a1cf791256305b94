#pragma once
// Runners that announced that they are leaving, and the times for which runners
// asked this gateway to send them nothing. Does no I/O; the caller passes the
// time.

#include "siskindeal/clock.h"
#include "siskindeal/site.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// A runner that is leaving gets nothing more; only a later start of it does.
// Gateways tell each other which runners are leaving. A wait applies to this
// gateway alone.
class RunnerNotices
{
public:
  using Seconds = std::chrono::duration<double>;
  using IsListed = std::function<bool(const RunnerIncarnation&)>;

  // Records that a runner's response announced that it is leaving. Returns
  // whether that is new.
  bool RecordLeaving(const RunnerIncarnation& aRunner, MonotonicTime aNow);
  // Applies what another gateway knows. Returns whether it is new.
  bool MergeLeaving(const RunnerIncarnation& aRunner, MonotonicTime aNow);
  // Records the time for which a runner asked for no requests, NaN if it was
  // unreadable. Never shortens a wait. Returns the time that is applied.
  std::chrono::milliseconds RecordWait(const RunnerIncarnation& aRunner,
                                       Seconds aNamed,
                                       MonotonicTime aNow);
  // Updates which runners are listed, and forgets what no longer applies.
  void Update(const IsListed& aIsListed, MonotonicTime aNow);

  bool IsLeaving(const RunnerIncarnation& aRunner) const;
  // Returns nullopt if the runner may get requests, as far as its wait decides.
  std::optional<MonotonicTime> WaitEnd(const RunnerIncarnation& aRunner,
                                       MonotonicTime aNow) const;
  // The time until the first of these runners' waits ends.
  std::chrono::milliseconds RetryAfter(
    const std::vector<RunnerIncarnation>& aRunners,
    MonotonicTime aNow) const;
  // Leaving runners to tell other gateways. Bounded; successive calls take
  // turns.
  std::vector<RunnerIncarnation> Advertise();

  // Applies if the named time is negative or unreadable.
  static constexpr std::chrono::milliseconds kDefaultWait{ 1000 };
  // Longer waits are cut, so that a wrong unit doesn't exclude a runner.
  static constexpr std::chrono::minutes kMaxWait{ 10 };
  // How long a leaving runner is remembered once it isn't listed: the store may
  // list it again from an older copy.
  static constexpr std::chrono::minutes kMemory{ 10 };
  static constexpr std::size_t kMaxRunners = 4096; // of either kind
  static constexpr std::size_t kMaxAdvertised = 16;

private:
  struct Leaving
  {
    bool m_isListed = false;
    MonotonicTime m_lastListed{};
  };

  bool AddLeaving(const RunnerIncarnation& aRunner,
                  bool aIsListed,
                  MonotonicTime aNow);

  std::map<RunnerIncarnation, Leaving> m_leaving;
  std::map<RunnerIncarnation, MonotonicTime> m_waits; // their ends
  std::optional<RunnerIncarnation> m_lastAdvertised;
};

} // namespace siskindeal

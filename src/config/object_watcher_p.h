#pragma once
// Reads the objects under one prefix from the platform: a list, then watches
// from its revision on, and a list again when the history was compacted.

#include "siskindeal/backoff.h"
#include "siskindeal/clock.h"
#include "siskindeal/platform.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// Keeps itself alive while a call is out.
class ObjectWatcher : public std::enable_shared_from_this<ObjectWatcher>
{
public:
  struct Hooks
  {
    // What is held under the prefix, by key to version.
    std::function<std::map<std::string, std::uint64_t>()> m_held;
    // Whether an object held under the prefix was only relayed.
    std::function<bool()> m_unconfirmed;
    std::function<void(const std::vector<PlatformObject>&)> m_onObjects;
  };

  ObjectWatcher(Platform& aPlatform,
                std::string aPrefix,
                std::uint64_t aSeed,
                Hooks aHooks);

  // Starts a call if none is out and the wait after a failure is over; to be
  // called often. With aWatching false, no new call is started.
  void Tick(MonotonicTime aNow, bool aWatching) ABSL_LOCKS_EXCLUDED(m_mutex);

  // Whether the last call failed, and a success hasn't followed.
  bool Failing() const ABSL_LOCKS_EXCLUDED(m_mutex);
  // Whether the prefix has been read whole once.
  bool Listed() const ABSL_LOCKS_EXCLUDED(m_mutex);
  // No hook is called afterwards.
  void Stop() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
  void List();
  void Confirm(MonotonicTime aNow) ABSL_LOCKS_EXCLUDED(m_mutex);
  void Watch(std::uint64_t aAfter);
  void OnList(const std::map<std::string, std::uint64_t>& aHeld,
              const PlatformChanges& aChanges) ABSL_LOCKS_EXCLUDED(m_mutex);
  void Give(const std::map<std::string, std::uint64_t>& aHeld,
            const PlatformChanges& aChanges);
  void OnWatch(const PlatformChanges& aChanges) ABSL_LOCKS_EXCLUDED(m_mutex);
  void Fail() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  Platform& m_platform;
  const std::string m_prefix;
  const Hooks m_hooks;
  mutable absl::Mutex m_mutex;
  Random m_random ABSL_GUARDED_BY(m_mutex);
  Backoff m_backoff ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_now ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_notBefore ABSL_GUARDED_BY(m_mutex);
  std::optional<std::uint64_t> m_revision ABSL_GUARDED_BY(m_mutex);
  std::optional<MonotonicTime> m_unconfirmedSince ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_confirmedAt ABSL_GUARDED_BY(m_mutex);
  bool m_confirming ABSL_GUARDED_BY(m_mutex) = false;
  bool m_out ABSL_GUARDED_BY(m_mutex) = false;
  bool m_watching ABSL_GUARDED_BY(m_mutex) = false;
  bool m_failing ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

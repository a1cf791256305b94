#pragma once
// Reads the objects under one prefix from the platform: lists them, watches
// from the list's revision, and lists again when the history was compacted.

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

// Keeps itself alive while a call is in flight.
class ObjectWatcher : public std::enable_shared_from_this<ObjectWatcher>
{
public:
  struct Hooks
  {
    // The stored versions under the prefix, by key.
    std::function<std::map<std::string, std::uint64_t>()> m_held;
    // Whether an object under the prefix was only relayed.
    std::function<bool()> m_unconfirmed;
    std::function<void(const std::vector<PlatformObject>&)> m_onObjects;
  };

  ObjectWatcher(Platform& aPlatform,
                std::string aPrefix,
                std::uint64_t aSeed,
                Hooks aHooks);

  // Starts a call if none is in flight and the backoff after a failure is over.
  // Must be called periodically. Starts no new call if aWatching is false.
  void Tick(MonotonicTime aNow, bool aWatching) ABSL_LOCKS_EXCLUDED(m_mutex);

  // Whether the last call failed.
  bool Failing() const ABSL_LOCKS_EXCLUDED(m_mutex);
  // Whether the prefix has been listed and is being watched.
  bool Listed() const ABSL_LOCKS_EXCLUDED(m_mutex);
  // No hook is called afterwards.
  void Stop() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
  void List();
  void ConfirmRelayedObjects(MonotonicTime aNow) ABSL_LOCKS_EXCLUDED(m_mutex);
  void Watch(std::uint64_t aAfter);
  void OnList(const std::map<std::string, std::uint64_t>& aHeld,
              const PlatformChanges& aChanges) ABSL_LOCKS_EXCLUDED(m_mutex);
  void ApplyList(const std::map<std::string, std::uint64_t>& aHeld,
                 const PlatformChanges& aChanges);
  void OnWatch(const PlatformChanges& aChanges) ABSL_LOCKS_EXCLUDED(m_mutex);
  void RecordFailure() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  Platform& m_platform;
  const std::string m_prefix;
  const Hooks m_hooks;
  mutable absl::Mutex m_mutex;
  Random m_random ABSL_GUARDED_BY(m_mutex);
  Backoff m_backoff ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_lastTickAt ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_backoffUntil ABSL_GUARDED_BY(m_mutex);
  std::optional<std::uint64_t> m_revision ABSL_GUARDED_BY(m_mutex);
  std::optional<MonotonicTime> m_unconfirmedSince ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_lastConfirmAt ABSL_GUARDED_BY(m_mutex);
  bool m_confirming ABSL_GUARDED_BY(m_mutex) = false;
  bool m_callInFlight ABSL_GUARDED_BY(m_mutex) = false;
  bool m_watching ABSL_GUARDED_BY(m_mutex) = false;
  bool m_failing ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

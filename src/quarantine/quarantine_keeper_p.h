#pragma once
// Persists quarantines in the platform so that they survive the replacement of
// every VM. While the platform is unreachable, each process enforces its own
// suspicion table.

#include "siskindeal/backoff.h"
#include "siskindeal/clock.h"
#include "siskindeal/platform.h"
#include "siskindeal/quarantine.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// The key and the value of a quarantine's object.
std::string
QuarantineKey(std::uint64_t aFingerprint);
std::string
QuarantineJson(const wire::Suspicion& aSuspicion);
// Returns nullopt for a value that QuarantineJson can't produce.
std::optional<wire::Suspicion>
ParseQuarantine(const std::string& aJson);

// Writes an entry's quarantines to the platform. Every entry may run one: a
// stored value is merged into the table before it is overwritten, so that
// concurrent writers converge on the same object. A write in flight keeps the
// object alive.
class QuarantineKeeper : public std::enable_shared_from_this<QuarantineKeeper>
{
public:
  // Called without locks held.
  struct Hooks
  {
    // The sequence number of the table's last change.
    std::function<std::uint64_t()> m_number;
    // The contents of the table.
    std::function<std::vector<wire::Suspicion>()> m_all;
    std::function<SuspicionState(std::uint64_t)> m_stateOf;
    std::function<void(const wire::Suspicion&)> m_merge;
    // Receives the object returned by a write.
    std::function<void(const PlatformObject&)> m_onStored;
  };

  QuarantineKeeper(Platform& aPlatform, std::uint64_t aSeed, Hooks aHooks);

  // Handles an object under kQuarantinePrefix, from a watch or from a peer.
  void OnObject(const PlatformObject& aObject);
  // Writes at most one object that is older than the table. Called
  // periodically.
  void Tick(MonotonicTime aNow);
  // Stops writing. Later objects and replies are ignored.
  void Stop();

  // A write is delayed by a random duration below this, so that usually only
  // one entry writes.
  static constexpr std::chrono::milliseconds kMaxWriteDelay{ 1000 };

private:
  struct KnownObject
  {
    std::uint64_t m_version = 0;
    wire::Suspicion m_value;
    bool m_deleted = false;
  };

  std::optional<wire::Suspicion> FindOutdated(
    const std::vector<wire::Suspicion>& aAll,
    const std::vector<bool>& aQuarantined) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Write(const wire::Suspicion& aValue, std::uint64_t aVersion);
  void OnReply(const PlatformReply& aReply);

  Platform& m_platform;
  const Hooks m_hooks;
  mutable absl::Mutex m_mutex;
  Random m_random ABSL_GUARDED_BY(m_mutex);
  Backoff m_backoff ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, KnownObject> m_knownObjects
    ABSL_GUARDED_BY(m_mutex); // by key
  MonotonicTime m_now ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_notBefore ABSL_GUARDED_BY(m_mutex);
  // The table's sequence number when all objects were last up to date.
  std::optional<std::uint64_t> m_syncedSequence ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_objectsHandled ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_writePending ABSL_GUARDED_BY(m_mutex) = false;
  bool m_writeInFlight ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

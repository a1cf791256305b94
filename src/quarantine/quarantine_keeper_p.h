#pragma once
// Keeps quarantines in the platform, so that they outlive the replacement of
// every VM. The tables of the processes stay in force while it is out of reach.

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

// The object of a fingerprint, and its value.
std::string
QuarantineKey(std::uint64_t aFingerprint);
std::string
QuarantineJson(const wire::Suspicion& aSuspicion);
// Nothing where the value isn't one that QuarantineJson makes.
std::optional<wire::Suspicion>
ParseQuarantine(const std::string& aJson);

// An entry's writer. Every entry may run one: a value is merged into the table
// before it is written over, so that writers who race end with the same object.
// Keeps itself alive while a write is out.
class QuarantineKeeper : public std::enable_shared_from_this<QuarantineKeeper>
{
public:
  // Each is called without locks held.
  struct Hooks
  {
    // The number of the table's last change, and what the table says.
    std::function<std::uint64_t()> m_number;
    std::function<std::vector<wire::Suspicion>()> m_all;
    std::function<SuspicionState(std::uint64_t)> m_stateOf;
    std::function<void(const wire::Suspicion&)> m_merge;
    // An object that a write's answer gave.
    std::function<void(const PlatformObject&)> m_learned;
  };

  QuarantineKeeper(Platform& aPlatform, std::uint64_t aSeed, Hooks aHooks);

  // An object under the prefix of quarantines, from a watch or a relay.
  void OnObject(const PlatformObject& aObject);
  // Writes one object that is behind the table, if any; to be called often.
  void Tick(MonotonicTime aNow);
  // No hook is called afterwards.
  void Stop();

  // Entries wait a random part of this, so that mostly one of them writes.
  static constexpr std::chrono::milliseconds kLongestWait{ 1000 };

private:
  struct Held
  {
    std::uint64_t m_version = 0;
    wire::Suspicion m_value;
    bool m_deleted = false;
  };

  std::optional<wire::Suspicion> FirstBehind(
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
  std::map<std::string, Held> m_held ABSL_GUARDED_BY(m_mutex); // by key
  MonotonicTime m_now ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_notBefore ABSL_GUARDED_BY(m_mutex);
  // The table's number when no object was behind it.
  std::optional<std::uint64_t> m_settled ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_objects ABSL_GUARDED_BY(m_mutex) = 0; // taken in
  bool m_due ABSL_GUARDED_BY(m_mutex) = false;
  bool m_out ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

#pragma once
// In-memory platform on a ManualClock, with fault injection. Nothing happens
// until the test advances the time: a request reaches the platform after one
// random latency and the reply reaches the client after another.

#include "siskindeal/clock.h"
#include "siskindeal/platform.h"
#include "siskindeal/random.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <map>
#include <set>

namespace siskindeal {

// Probabilities are in [0, 1] and apply to each call independently.
struct FakePlatformFaults
{
  bool m_outage = false;     // every call is rejected without effect
  double m_lostAnswers = 0;  // a write is applied, its outcome is Unknown
  double m_lostRequests = 0; // a write is not applied, its outcome is Unknown
  double m_rateLimited = 0;  // rejected without effect, with a retry-after
  double m_watchGaps = 0;    // a watch ends in Unavailable
  std::chrono::milliseconds m_minLatency{ 1 };
  std::chrono::milliseconds m_maxLatency{ 4 };
  std::chrono::milliseconds m_timeout{ 2000 }; // of a call without a reply
};

// The direction that is cut between a client and the platform.
enum class Cut
{
  None,
  Requests, // the client's calls do not arrive
  Answers,  // calls are applied, but the client gets no reply
};

class FakePlatform final : public Platform
{
public:
  FakePlatform(ManualClock& aClock, std::uint64_t aSeed);
  ~FakePlatform() override;

  // The platform as seen by one client. SetCut takes the same name.
  Platform& Client(const std::string& aName);
  void SetCut(const std::string& aName, Cut aCut);

  FakePlatformFaults& Faults() { return m_faults; }

  // Advances the clock by aStep and runs the tasks that become due.
  void Advance(std::chrono::milliseconds aStep);

  // Applies a write at once, bypassing faults; false on a version conflict.
  bool Write(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aExpectedVersion);
  // Deletes an existing object, bypassing faults.
  void Remove(const std::string& aKey);
  // The stored object; version 0 if it was never written.
  PlatformObject Stored(const std::string& aKey) const;
  std::uint64_t Revision() const;
  // Drops the history, so that watches from older revisions get Compacted.
  void Compact();
  void SetVms(std::vector<VmListing> aVms);

  std::uint64_t Reads() const;
  std::uint64_t Writes() const;
  // The number of pending watches.
  std::size_t PendingWatchCount() const;

  void Get(PlatformUse aUse,
           const std::string& aKey,
           ReplyCallback aDone) override;
  void Put(PlatformUse aUse,
           const PlatformWrite& aWrite,
           ReplyCallback aDone) override;
  void Delete(PlatformUse aUse,
              const PlatformWrite& aWrite,
              ReplyCallback aDone) override;
  void List(PlatformUse aUse,
            const std::string& aPrefix,
            ChangesCallback aDone) override;
  void Watch(PlatformUse aUse,
             const std::string& aPrefix,
             std::uint64_t aAfterRevision,
             std::chrono::milliseconds aWait,
             ChangesCallback aDone) override;
  void Vms(VmsCallback aDone) override;

private:
  class ClientView;
  using Task = std::function<void()>;

  struct HistoryEntry
  {
    std::uint64_t m_revision = 0;
    std::string m_key;
  };

  struct PendingWatch
  {
    std::string m_client;
    std::string m_prefix;
    std::uint64_t m_afterRevision = 0;
    MonotonicTime m_deadline;
    ChangesCallback m_done;
  };

  std::chrono::milliseconds Latency() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Schedule(std::chrono::milliseconds aDelay, Task aTask)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Dispatch(const std::string& aClient,
                std::function<Task()> aHandler,
                Task aTimedOut,
                Task aRejected);
  void WriteFrom(const std::string& aClient,
                 const PlatformWrite& aWrite,
                 bool aDelete,
                 const ReplyCallback& aDone);
  void GetFrom(const std::string& aClient,
               const std::string& aKey,
               const ReplyCallback& aDone);
  void ListFrom(const std::string& aClient,
                const std::string& aPrefix,
                const ChangesCallback& aDone);
  void WatchFrom(const std::string& aClient,
                 const std::string& aPrefix,
                 std::uint64_t aAfterRevision,
                 std::chrono::milliseconds aWait,
                 const ChangesCallback& aDone);
  void VmsFrom(const std::string& aClient, const VmsCallback& aDone);
  PlatformReply Apply(const PlatformWrite& aWrite, bool aDelete)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  PlatformChanges ChangesAfter(const std::string& aPrefix,
                               std::uint64_t aAfterRevision) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void CompleteWatches() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool IsCut(const std::string& aClient, Cut aCut) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  ManualClock& m_clock;
  FakePlatformFaults m_faults;
  mutable absl::Mutex m_mutex;
  Random m_random ABSL_GUARDED_BY(m_mutex);
  std::multimap<MonotonicTime, Task> m_scheduledTasks ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, PlatformObject> m_objects ABSL_GUARDED_BY(m_mutex);
  std::deque<HistoryEntry> m_history ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint64_t m_compactedRevision ABSL_GUARDED_BY(m_mutex) = 0;
  std::vector<PendingWatch> m_pendingWatches ABSL_GUARDED_BY(m_mutex);
  std::vector<VmListing> m_vms ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Cut> m_cuts ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::unique_ptr<ClientView>> m_clients
    ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_reads ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint64_t m_writes ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace siskindeal

#pragma once
// The platform in memory, on a ManualClock, with faults that a test switches.
// Nothing happens until the test advances time: a request reaches the platform
// after part of its latency and its answer comes back after the rest.

#include "siskindeal/clock.h"
#include "siskindeal/platform.h"
#include "siskindeal/random.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <map>
#include <set>

namespace siskindeal {

// Chances are in [0, 1] and apply to each call by itself.
struct FakePlatformFaults
{
  bool m_outage = false;     // every call is refused without effect
  double m_lostAnswers = 0;  // a write takes effect, its answer is Unknown
  double m_lostRequests = 0; // a write takes no effect, its answer is Unknown
  double m_rateLimited = 0;  // refused without effect, with a retry-after
  double m_watchGaps = 0;    // a watch ends in Unavailable
  std::chrono::milliseconds m_leastLatency{ 1 };
  std::chrono::milliseconds m_mostLatency{ 4 };
  std::chrono::milliseconds m_timeout{ 2000 }; // of a call that got no answer
};

// Which direction between a client and the platform is cut.
enum class Cut
{
  None,
  Requests, // nothing of the client arrives
  Answers,  // the client's calls take effect and it hears nothing
};

class FakePlatform final : public Platform
{
public:
  FakePlatform(ManualClock& aClock, std::uint64_t aSeed);
  ~FakePlatform() override;

  // The platform as seen by one client, which can be cut off by its name.
  Platform& Client(const std::string& aName);
  void SetCut(const std::string& aName, Cut aCut);

  FakePlatformFaults& Faults() { return m_faults; }

  // Moves the clock on by aStep and, on the way, delivers what falls due.
  void Advance(std::chrono::milliseconds aStep);

  // Applies a write at once, past all faults; false on a version conflict.
  bool Write(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aExpectedVersion);
  // Deletes an object that exists, past all faults.
  void Remove(const std::string& aKey);
  // The object as it stands; version 0 if it was never written.
  PlatformObject Stored(const std::string& aKey) const;
  std::uint64_t Revision() const;
  // Forgets the history, so that older watches answer Compacted.
  void Compact();
  void SetVms(std::vector<VmListing> aVms);

  std::uint64_t Reads() const;
  std::uint64_t Writes() const;
  // Watches that are waiting now.
  std::size_t Watching() const;

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

  struct Change
  {
    std::uint64_t m_revision = 0;
    std::string m_key;
  };

  struct Waiting
  {
    std::string m_client;
    std::string m_prefix;
    std::uint64_t m_after = 0;
    MonotonicTime m_until;
    ChangesCallback m_done;
  };

  std::chrono::milliseconds Latency() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void At(std::chrono::milliseconds aDelay, Task aTask)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Call(const std::string& aClient,
            std::function<Task()> aAnswer,
            Task aNoAnswer,
            Task aRefused);
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
                 std::uint64_t aAfter,
                 std::chrono::milliseconds aWait,
                 const ChangesCallback& aDone);
  void VmsFrom(const std::string& aClient, const VmsCallback& aDone);
  PlatformReply Apply(const PlatformWrite& aWrite, bool aDelete)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  PlatformChanges ChangesAfter(const std::string& aPrefix,
                               std::uint64_t aAfter) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void AnswerWatches() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool IsCut(const std::string& aClient, Cut aCut) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  ManualClock& m_clock;
  FakePlatformFaults m_faults;
  mutable absl::Mutex m_mutex;
  Random m_random ABSL_GUARDED_BY(m_mutex);
  std::multimap<MonotonicTime, Task> m_tasks ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, PlatformObject> m_objects ABSL_GUARDED_BY(m_mutex);
  std::deque<Change> m_history ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint64_t m_compacted ABSL_GUARDED_BY(m_mutex) = 0;
  std::vector<Waiting> m_waiting ABSL_GUARDED_BY(m_mutex);
  std::vector<VmListing> m_vms ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Cut> m_cuts ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::unique_ptr<ClientView>> m_clients
    ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_reads ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint64_t m_writes ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace siskindeal

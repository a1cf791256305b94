#pragma once
// The driver behind NodeSync: one Exchange, the watchers of the platform, and
// the hooks of the role.

#include "siskindeal/node_sync.h"

#include "config/object_watcher_p.h"
#include "membership/exchange_p.h"

#include "siskindeal/lock_order.h"

#include <deque>
#include <optional>

namespace siskindeal {

struct PendingSpread
{
  std::uint64_t m_number = 0;
  MonotonicTime m_until;
  std::function<void(bool)> m_done;
};

// Counts the hooks that are running, so that the end can wait for them.
class HookGate
{
public:
  bool Enter() ABSL_LOCKS_EXCLUDED(m_mutex)
  {
    const absl::MutexLock lock(&m_mutex);
    m_running += m_closed ? 0 : 1;
    return !m_closed;
  }
  void Leave() ABSL_LOCKS_EXCLUDED(m_mutex)
  {
    const absl::MutexLock lock(&m_mutex);
    --m_running;
  }
  void Close() ABSL_LOCKS_EXCLUDED(m_mutex)
  {
    const absl::MutexLock lock(&m_mutex);
    m_closed = true;
    m_mutex.Await(absl::Condition(
      +[](int* aRunning) { return *aRunning == 0; }, &m_running));
  }

private:
  absl::Mutex m_mutex;
  bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
  int m_running ABSL_GUARDED_BY(m_mutex) = 0;
};

class NodeSync::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(const NodeSettings& aNode,
       const MembershipSettings& aSettings,
       wire::Role aRole,
       const std::string& aAddress,
       NodeClient& aClient,
       Platform& aPlatform,
       WorkerPool& aPool,
       const Clock& aClock,
       NodeSyncHooks aHooks);
  void Start();
  void Stop();
  void TickSoon();
  void OnExchange(const wire::ExchangeRequest& aRequest,
                  const NodeHandler::Done<wire::ExchangeReply>& aDone);
  void Learned(const std::vector<PlatformObject>& aObjects);
  void Spread(const wire::Suspicion& aSuspicion,
              std::chrono::milliseconds aLongest,
              std::function<void(bool)> aDone);
  void Leave();
  std::shared_ptr<const FleetView> View();
  std::shared_ptr<const FleetConfig> Config();
  std::map<std::string, PlatformObject> Objects(const std::string& aPrefix);
  std::string StateJson();

private:
  std::shared_ptr<ObjectWatcher> MakeWatcher(const std::string& aPrefix);
  void TickAgain();
  void Tick();
  void Call(Exchange::Due aCall);
  void OnCalled(const Exchange::Due& aCall,
                const RpcStatus& aStatus,
                const wire::ExchangeReply& aReply);
  void ReadVms(MonotonicTime aNow);
  void OnVms(const std::vector<VmListing>& aVms);
  bool PlatformFailing(MonotonicTime aNow)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Queues what the role is to be told.
  void TakeNews(Exchange::News aNews) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void TakeObject(const PlatformObject& aObject)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // A configuration that doesn't check is refused whole; the one in force
  // stays.
  void TakeConfig(const PlatformObject& aObject)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::shared_ptr<const FleetView> MakeView()
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void TakeSpreads(MonotonicTime aNow) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Runs the queued notices in order; one thread at a time does.
  void Notify() ABSL_LOCKS_EXCLUDED(m_mutex);
  static void RunNotice(const std::function<void()>& aNotice);
  const wire::Role m_role;
  NodeClient& m_client;
  Platform& m_platform;
  WorkerPool& m_pool;
  const Clock& m_clock;
  const NodeSyncHooks m_hooks;
  HookGate m_gate;
  std::vector<std::shared_ptr<ObjectWatcher>> m_watchers; // set by Start
  OrderedMutex m_mutex{ LockLevel::Membership };
  Exchange m_exchange ABSL_GUARDED_BY(m_mutex);
  std::shared_ptr<const FleetView> m_view ABSL_GUARDED_BY(m_mutex);
  std::shared_ptr<const FleetConfig> m_config ABSL_GUARDED_BY(m_mutex);
  std::deque<std::function<void()>> m_notices ABSL_GUARDED_BY(m_mutex);
  bool m_notifying ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<PendingSpread> m_spreads ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_nextVms ABSL_GUARDED_BY(m_mutex);
  std::optional<MonotonicTime> m_failingSince ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_failingUntil ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal

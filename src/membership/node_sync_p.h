#pragma once
// The implementation of NodeSync. Drives an Exchange and the platform watchers
// and calls the role's hooks.

#include "siskindeal/node_sync.h"

#include "config/object_watcher_p.h"
#include "membership/exchange_p.h"

#include "siskindeal/lock_order.h"

#include <deque>
#include <optional>

namespace siskindeal {

struct PendingBroadcast
{
  std::uint64_t m_number = 0;
  MonotonicTime m_deadline;
  std::function<void(bool)> m_done;
};

// RPC and task scheduling used by the driver. Tests replace them to run on a
// simulated clock.
struct NodeSyncPorts
{
  template<typename Request, typename Reply>
  using Call = std::function<void(const std::string& aAddress,
                                  const Request&,
                                  std::chrono::milliseconds aTimeout,
                                  NodeClient::Done<Reply>)>;

  Call<wire::GreetRequest, wire::GreetReply> m_greet;
  Call<wire::ExchangeRequest, wire::ExchangeReply> m_exchange;
  std::function<void(WorkerPool::Task)> m_post;
  std::function<void(std::chrono::milliseconds, WorkerPool::Task)> m_postAfter;
  std::uint64_t m_seed = 0;
};

// Counts running hooks. Close refuses new ones and waits for the running ones.
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

class NodeSyncDriver : public std::enable_shared_from_this<NodeSyncDriver>
{
public:
  NodeSyncDriver(const NodeSettings& aNode,
                 const MembershipSettings& aSettings,
                 wire::Role aRole,
                 const std::string& aAddress,
                 NodeSyncPorts aPorts,
                 Platform& aPlatform,
                 const Clock& aClock,
                 NodeSyncHooks aHooks,
                 ProtocolRange aProtocols);
  void Start();
  void Stop();
  void TickSoon();
  void OnExchange(const wire::ExchangeRequest& aRequest,
                  const NodeHandler::Done<wire::ExchangeReply>& aDone);
  void OnObjectsRead(const std::vector<PlatformObject>& aObjects);
  void BroadcastSuspicion(const wire::Suspicion& aSuspicion,
                          std::chrono::milliseconds aTimeout,
                          std::function<void(bool)> aDone);
  void Leave();
  std::shared_ptr<const FleetView> View();
  std::uint64_t Incarnation();
  std::shared_ptr<const FleetConfig> Config();
  std::map<std::string, PlatformObject> Objects(const std::string& aPrefix);
  std::string StateJson();

private:
  std::shared_ptr<ObjectWatcher> MakeWatcher(const std::string& aPrefix);
  void TickPeriodically();
  void Tick();
  // The result of the Greet call to an address.
  struct Greeting
  {
    std::uint64_t m_incarnation = 0; // 0 if not known yet
    std::uint32_t m_protocol = 0;
  };

  // Sends an exchange, preceded by a Greet if the peer has not been greeted.
  void Call(Exchange::OutgoingExchange aCall);
  void Greet(const std::shared_ptr<const Exchange::OutgoingExchange>& aCall);
  void OnGreeted(const std::shared_ptr<const Exchange::OutgoingExchange>& aCall,
                 const RpcStatus& aStatus,
                 const wire::GreetReply& aReply);
  // Records that the peer shares no protocol version.
  void RefuseProtocol(const Exchange::OutgoingExchange& aCall,
                      const std::string& aReason)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void SendExchange(
    const std::shared_ptr<const Exchange::OutgoingExchange>& aCall);
  void OnExchangeDone(const Exchange::OutgoingExchange& aCall,
                      const RpcStatus& aStatus,
                      const wire::ExchangeReply& aReply);
  void PollVmList(MonotonicTime aNow);
  void OnVmList(const std::vector<VmListing>& aVms);
  bool PlatformFailing(MonotonicTime aNow)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Applies changes and queues notifications for the role's hooks.
  void ApplyUpdates(Exchange::Updates aUpdates)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ApplyObject(const PlatformObject& aObject)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Rejects an invalid configuration and keeps the active one.
  void ApplyConfig(const PlatformObject& aObject)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::shared_ptr<const FleetView> MakeView()
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void CompleteBroadcasts(MonotonicTime aNow)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Runs the queued notifications in order, on one thread at a time.
  void RunNotifications() ABSL_LOCKS_EXCLUDED(m_mutex);
  static void RunNotification(const std::function<void()>& aNotification);

  const std::string m_vm;
  const wire::Role m_role;
  const ProtocolRange m_protocols;
  const NodeSyncPorts m_ports;
  Platform& m_platform;
  const Clock& m_clock;
  const NodeSyncHooks m_hooks;
  HookGate m_gate;
  std::vector<std::shared_ptr<ObjectWatcher>> m_watchers; // created by Start
  OrderedMutex m_mutex{ LockLevel::Membership };
  Exchange m_exchange ABSL_GUARDED_BY(m_mutex);
  std::shared_ptr<const FleetView> m_view ABSL_GUARDED_BY(m_mutex);
  std::shared_ptr<const FleetConfig> m_config ABSL_GUARDED_BY(m_mutex);
  std::deque<std::function<void()>> m_notifications ABSL_GUARDED_BY(m_mutex);
  bool m_notifying ABSL_GUARDED_BY(m_mutex) = false;
  std::map<std::string, Greeting> m_greetings // by address
    ABSL_GUARDED_BY(m_mutex);
  std::vector<PendingBroadcast> m_broadcasts ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_nextVmListAt ABSL_GUARDED_BY(m_mutex);
  std::optional<MonotonicTime> m_failingSince ABSL_GUARDED_BY(m_mutex);
  MonotonicTime m_failingUntil ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal

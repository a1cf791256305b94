#pragma once
// A process of the fleet without request handling: NodeSync, its gRPC server
// and client, and its platform client.

#include "siskindeal/lease.h"
#include "siskindeal/node_sync.h"
#include "siskindeal/platform_client.h"
#include "siskindeal/random.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace siskindeal::bench {

// Prints one measurement as a line of JSON. Baseline and target are numbers as
// text, or empty.
void
PrintRow(const std::string& aBench,
         const std::string& aCase,
         const std::string& aMetric,
         const std::string& aUnit,
         double aValue,
         const std::string& aBaseline,
         const std::string& aTarget);

struct BenchNodeOptions
{
  std::string m_vm;
  std::string m_place;
  wire::Role m_role = wire::ROLE_ENTRY;
  std::vector<Address> m_entries;
  std::string m_platformUrl;
  double m_lostAnswers = 0; // probability of losing an exchange reply
};

class BenchNode final : public NodeHandler
{
public:
  BenchNode(const BenchNodeOptions& aOptions,
            HttpClient& aHttp,
            WorkerPool& aPool,
            const Clock& aClock);
  ~BenchNode() override;
  BenchNode(const BenchNode&) = delete;
  BenchNode& operator=(const BenchNode&) = delete;

  Address Rpc() const;
  NodeSync& Sync() { return *m_sync; }
  std::uint64_t ConfigVersion() const { return m_configVersion; }
  void StartLeases();
  LeaseKeeper* Leases() { return m_leases.get(); }
  // Sets the load that the node's record advertises.
  void SetLoad(const wire::Load& aLoad);

  wire::GreetReply OnGreet(const wire::GreetRequest& aRequest) override;
  void OnExchange(const wire::ExchangeRequest& aRequest,
                  Done<wire::ExchangeReply> aDone) override;
  std::string StateJson() override;

private:
  bool ShouldLoseReply();

  const BenchNodeOptions m_options;
  WorkerPool& m_pool;
  const Clock& m_clock;
  AuthSettings m_auth;
  std::unique_ptr<Platform> m_platform;
  std::unique_ptr<NodeClient> m_client;
  std::unique_ptr<NodeServer> m_server;
  std::unique_ptr<NodeSync> m_sync;
  std::unique_ptr<LeaseKeeper> m_leases;
  std::atomic<std::uint64_t> m_configVersion{ 0 };
  std::atomic<bool> m_ready{ false };
  absl::Mutex m_mutex;
  wire::Load m_load ABSL_GUARDED_BY(m_mutex);
  Random m_random ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal::bench

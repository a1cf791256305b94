#pragma once
// VMs of a simulated rollout. Each has a real agent, an engine stand-in, a gRPC
// server and a rate-limited link. In one kWindow the origin can send four
// copies of the weights, and a VM's link can transfer two, inbound and outbound
// combined.

#include "siskindeal/planner.h"
#include "siskindeal/rpc.h"
#include "siskindeal/weights_agent.h"
#include "standin/engine.h"
#include "standin/scheduler.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace siskindeal::bench {

using Seconds = std::chrono::duration<double>;

inline constexpr std::uint64_t kCopyBytes = 32 << 20;
inline constexpr std::uint64_t kChunkBytes = 256 << 10;
inline constexpr Seconds kWindow{ 5 };
inline constexpr std::uint64_t kVmRate = 2 * kCopyBytes / 5; // bytes per second
inline constexpr std::uint64_t kOriginRate = 4 * kCopyBytes / 5;
// Longer than the agent's chunk timeout.
inline constexpr Seconds kStallDuration{ 4 };

struct VmFaults
{
  std::atomic<bool> m_stallChunks{ false };
  std::atomic<bool> m_corruptChunks{ false };
  std::atomic<bool> m_killed{ false };
};

class RolloutVm;
using RolloutVms = std::vector<std::unique_ptr<RolloutVm>>;

class RolloutVm final : public NodeHandler
{
public:
  // aVms contains the VMs that may receive chunks. It must outlive the VM.
  RolloutVm(const std::string& aVm,
            const std::string& aPlace,
            const std::string& aStoreUrl,
            const AuthSettings& aAuth,
            standin::Scheduler& aScheduler,
            const RolloutVms& aVms);
  ~RolloutVm() override;
  RolloutVm(const RolloutVm&) = delete;
  RolloutVm& operator=(const RolloutVm&) = delete;

  void StopAgent() { m_agent->Stop(); }
  // Stops the agent and the server. Calls in flight fail at the callers.
  void Kill();
  // Simulates a live request: a transfer over the link, the engine's processing
  // time and the transfer of the response.
  void SendLiveRequest(standin::Scheduler& aScheduler,
                       std::function<void()> aDone);
  wire::NodeRecord Record() const;
  // Returns the bytes transferred over the link, in both directions.
  std::uint64_t TransferredBytes() const { return m_link->Carried(); }

  wire::GreetReply OnGreet(const wire::GreetRequest& aRequest) override;
  void OnExchange(const wire::ExchangeRequest& aRequest,
                  Done<wire::ExchangeReply> aDone) override;
  void OnRun(const wire::RunRequest& aRequest,
             std::shared_ptr<RunSink> aSink) override;
  void OnCancel(const wire::CancelRequest& aRequest,
                Done<wire::CancelReply> aDone) override;
  void OnOrder(const wire::OrderRequest& aRequest,
               Done<wire::OrderReply> aDone) override;
  void OnHave(const wire::HaveRequest& aRequest,
              Done<wire::HaveReply> aDone) override;
  void OnChunk(const wire::ChunkRequest& aRequest,
               Done<wire::ChunkReply> aDone) override;
  std::string StateJson() override { return m_agent->StateJson(); }

  const std::string m_vm;
  const std::string m_place;
  VmFaults m_faults;

private:
  std::shared_ptr<standin::Link> FindLink(const std::string& aVm) const;
  void SendChunk(std::shared_ptr<standin::Link> aReceiver,
                 wire::ChunkReply aReply,
                 Done<wire::ChunkReply> aDone);

  const RolloutVms& m_vms;
  const std::shared_ptr<standin::Link> m_link;
  standin::EngineStandIn m_engine;
  WorkerPool m_workers; // must outlive the clients, whose callbacks post to it
  HttpClient m_http;
  NodeClient m_peers;
  SystemClock m_clock;
  std::unique_ptr<WeightsAgent> m_agent;
  std::unique_ptr<NodeServer> m_server;
  std::string m_address;
};

} // namespace siskindeal::bench

#pragma once
// The agent process. It runs on each upstream VM, and all requests to the
// upstream go through it.

#include "run_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/http.h"
#include "siskindeal/node_sync.h"
#include "siskindeal/platform.h"
#include "siskindeal/rpc.h"
#include "siskindeal/settings.h"
#include "siskindeal/weights_agent.h"
#include "siskindeal/worker_pool.h"
#include "upstream_health_p.h"

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace siskindeal {

class AgentNode final : public NodeHandler
{
public:
  explicit AgentNode(const AgentSettings& aSettings);
  ~AgentNode() override;

  // Announces the leave, refuses new requests after a grace period, and returns
  // once in-flight requests have finished or the drain limit has passed.
  void Drain();

  std::uint16_t RpcPort() const;
  std::uint16_t HttpPort() const;

  wire::GreetReply OnGreet(const wire::GreetRequest& aRequest) override;
  void OnExchange(const wire::ExchangeRequest& aRequest,
                  Done<wire::ExchangeReply> aDone) override;
  void OnRun(const wire::RunRequest& aRequest,
             std::shared_ptr<RunSink> aSink) override;
  void OnCancel(const wire::CancelRequest& aRequest,
                Done<wire::CancelReply> aDone) override;
  void OnOrder(const wire::OrderRequest& aRequest,
               Done<wire::OrderReply> aDone) override;
  void OnChunk(const wire::ChunkRequest& aRequest,
               Done<wire::ChunkReply> aDone) override;
  void OnHave(const wire::HaveRequest& aRequest,
              Done<wire::HaveReply> aDone) override;
  std::string StateJson() override;

private:
  wire::NodeRecord OwnRecord();
  void OnNodes(const FleetView& aView);
  void PollUpstream();
  void PollCacheEvents();
  void OnLoadReply(const HttpReply& aReply);
  void HandleHttp(const HttpRequest& aRequest, HttpResponder& aResponder);
  std::string NotReadyReason() const;
  bool IsModel() const;

  const AgentSettings m_settings;
  const std::uint64_t m_incarnation;
  SystemClock m_clock;
  WorkerPool m_pool;
  HttpClient m_http;
  NodeClient m_client;
  std::unique_ptr<Platform> m_platform;
  std::unique_ptr<WeightsAgent> m_weights; // null for plain upstreams
  std::shared_ptr<ClaimLog> m_claims;      // null: the upstream deduplicates
  std::shared_ptr<RunService> m_runs;
  std::unique_ptr<NodeSync> m_sync;
  mutable OrderedMutex m_mutex{ LockLevel::Lifecycle };
  std::optional<wire::Load> m_load ABSL_GUARDED_BY(m_mutex);
  std::deque<wire::CacheEvent> m_cacheEvents ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_lastCacheEvent ABSL_GUARDED_BY(m_mutex) = 0;
  UpstreamHealth m_upstream ABSL_GUARDED_BY(m_mutex);
  std::atomic<bool> m_draining{ false };
  std::atomic<bool> m_started{ false };
  std::unique_ptr<NodeServer> m_server;
  std::unique_ptr<HttpServer> m_httpServer;
};

} // namespace siskindeal

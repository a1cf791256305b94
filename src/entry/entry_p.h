#pragma once
// The process on an entry VM. It serves callers and operators over HTTP and
// plans rollouts while it holds a lease.

#include "caller_api_p.h"
#include "forward_p.h"
#include "quarantine/quarantine_keeper_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/http.h"
#include "siskindeal/lease.h"
#include "siskindeal/node_sync.h"
#include "siskindeal/operators.h"
#include "siskindeal/planner_loop.h"
#include "siskindeal/platform.h"
#include "siskindeal/rpc.h"
#include "siskindeal/settings.h"
#include "siskindeal/worker_pool.h"

#include <atomic>
#include <memory>
#include <string>

namespace siskindeal {

class EntryNode final : public NodeHandler
{
public:
  explicit EntryNode(const EntrySettings& aSettings);
  ~EntryNode() override;

  // Stops advertising this entry, serves callers until their GET /v1/entry
  // response has expired, rejects later requests, and returns once the
  // in-flight requests have ended. Those that outlast the drain timeout get an
  // error response.
  void Drain();

  wire::GreetReply OnGreet(const wire::GreetRequest& aRequest) override;
  void OnExchange(const wire::ExchangeRequest& aRequest,
                  Done<wire::ExchangeReply> aDone) override;
  std::string StateJson() override;

private:
  wire::NodeRecord OwnRecord() const;
  void MakePlanner();
  void MakeQuarantineKeeper();
  void StopPlanning();
  // Responds to all requests that have no response yet.
  void EndUnfinished();
  OperatorView MakeOperatorView();
  std::string EntriesJson();
  std::string NotReadyReason() const;
  void HandleHttp(const HttpRequest& aRequest,
                  const std::shared_ptr<HttpResponder>& aResponder);
  void RejectWhileDraining(HttpResponder& aResponder);
  std::shared_ptr<const FleetConfig> Config() const;

  const EntrySettings m_settings;
  SystemClock m_clock;
  WorkerPool m_pool;
  HttpClient m_http;
  NodeClient m_client;
  std::unique_ptr<Platform> m_platform;
  std::unique_ptr<NodeSync> m_sync;
  std::shared_ptr<Traffic> m_traffic;
  std::shared_ptr<QuarantineKeeper> m_quarantine;
  std::shared_ptr<Forwarder> m_forwarder;
  std::unique_ptr<CallerApi> m_callerApi;
  std::unique_ptr<LeaseKeeper> m_leases;
  std::unique_ptr<PlannerLoop> m_planner;
  std::unique_ptr<OperatorApi> m_operators;
  std::atomic<bool> m_leaving{ false };
  std::atomic<bool> m_rejecting{ false };
  std::atomic<bool> m_started{ false };
  std::unique_ptr<NodeServer> m_server;
  std::unique_ptr<HttpServer> m_httpServer;
};

} // namespace siskindeal

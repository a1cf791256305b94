#pragma once
// Network, worker pool and timer interface of the agent's weights code. Tests
// replace it to run the same code on a simulated clock.

#include "siskindeal/http.h"
#include "siskindeal/rpc.h"
#include "siskindeal/worker_pool.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

// Calls do not block. Each callback runs exactly once, on any thread, and never
// before the call has returned.
class WeightsIo
{
public:
  template<typename Reply>
  using Done = std::function<void(RpcStatus, Reply)>;

  virtual ~WeightsIo() = default;
  // Calls the engine, the origin or the platform.
  virtual void Http(HttpClientRequest aRequest,
                    std::function<void(HttpReply)> aDone) = 0;
  virtual void Chunk(const std::string& aAddress,
                     const wire::ChunkRequest& aRequest,
                     std::chrono::milliseconds aTimeout,
                     Done<wire::ChunkReply> aDone) = 0;
  virtual void Have(const std::string& aAddress,
                    const wire::HaveRequest& aRequest,
                    std::chrono::milliseconds aTimeout,
                    Done<wire::HaveReply> aDone) = 0;
  virtual void Post(std::function<void()> aTask) = 0;
  virtual void PostAfter(std::chrono::milliseconds aDelay,
                         std::function<void()> aTask) = 0;
};

// Uses the given clients and worker pool, which must outlive it.
std::shared_ptr<WeightsIo>
MakeWeightsIo(HttpClient& aHttp, NodeClient& aPeers, WorkerPool& aWorkers);

} // namespace siskindeal

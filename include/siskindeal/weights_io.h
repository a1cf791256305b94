#pragma once
// What the agent's weights code asks of the network, the worker pool and its
// timers, so that the same code runs under a given clock.

#include "siskindeal/http.h"
#include "siskindeal/rpc.h"
#include "siskindeal/worker_pool.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

// Every call returns at once. Callbacks run exactly once, on any thread, and
// never before the call has returned.
class WeightsIo
{
public:
  template<typename Reply>
  using Done = std::function<void(RpcStatus, Reply)>;

  virtual ~WeightsIo() = default;
  // To the engine, the origin or the platform.
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

// Over the process's own clients, which must outlive it.
std::shared_ptr<WeightsIo>
MakeWeightsIo(HttpClient& aHttp, NodeClient& aPeers, WorkerPool& aWorkers);

} // namespace siskindeal

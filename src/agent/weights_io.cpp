#include "siskindeal/weights_io.h"

namespace siskindeal {

namespace {

class ProcessIo final : public WeightsIo
{
public:
  ProcessIo(HttpClient& aHttp, NodeClient& aPeers, WorkerPool& aWorkers)
    : m_http(aHttp)
    , m_peers(aPeers)
    , m_workers(aWorkers)
  {
  }

  void Http(HttpClientRequest aRequest,
            std::function<void(HttpReply)> aDone) override
  {
    m_http.Start(std::move(aRequest), std::move(aDone));
  }

  void Chunk(const std::string& aAddress,
             const wire::ChunkRequest& aRequest,
             std::chrono::milliseconds aTimeout,
             Done<wire::ChunkReply> aDone) override
  {
    m_peers.Chunk(aAddress, aRequest, aTimeout, std::move(aDone));
  }

  void Have(const std::string& aAddress,
            const wire::HaveRequest& aRequest,
            std::chrono::milliseconds aTimeout,
            Done<wire::HaveReply> aDone) override
  {
    m_peers.Have(aAddress, aRequest, aTimeout, std::move(aDone));
  }

  void Post(std::function<void()> aTask) override
  {
    m_workers.Post(std::move(aTask));
  }

  void PostAfter(std::chrono::milliseconds aDelay,
                 std::function<void()> aTask) override
  {
    m_workers.PostAfter(aDelay, std::move(aTask));
  }

private:
  HttpClient& m_http;
  NodeClient& m_peers;
  WorkerPool& m_workers;
};

} // namespace

std::shared_ptr<WeightsIo>
MakeWeightsIo(HttpClient& aHttp, NodeClient& aPeers, WorkerPool& aWorkers)
{
  return std::make_shared<ProcessIo>(aHttp, aPeers, aWorkers);
}

} // namespace siskindeal

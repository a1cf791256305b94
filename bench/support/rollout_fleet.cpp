#include "support/rollout_fleet.h"

#include <utility>

namespace siskindeal::bench {

namespace {

constexpr std::size_t kLiveRequestBytes = 2 << 10;
constexpr std::size_t kLiveResponseBytes = 4 << 10;
// The engine's time for 64 tokens.
constexpr std::chrono::milliseconds kLiveEngineTime{ 140 };
constexpr std::chrono::milliseconds kShutdownGrace{ 200 };
constexpr std::chrono::milliseconds kChunkTimeout{ 2000 };

// The agent's I/O, with bytes from the origin sent over the VM's link.
class LinkLimitedIo final : public WeightsIo
{
public:
  LinkLimitedIo(std::shared_ptr<WeightsIo> aIo,
                std::shared_ptr<standin::Link> aLink)
    : m_io(std::move(aIo))
    , m_link(std::move(aLink))
  {
  }

  void Http(HttpClientRequest aRequest,
            std::function<void(HttpReply)> aDone) override
  {
    const bool origin = aRequest.m_url.find("/v1/origin/") != std::string::npos;
    if (!origin) {
      return m_io->Http(std::move(aRequest), std::move(aDone));
    }
    m_io->Http(std::move(aRequest),
               [link = m_link, aDone = std::move(aDone)](HttpReply aReply) {
                 const auto bytes = aReply.m_body.size();
                 link->Transfer(
                   bytes, [reply = std::move(aReply), aDone] { aDone(reply); });
               });
  }

  void Chunk(const std::string& aAddress,
             const wire::ChunkRequest& aRequest,
             std::chrono::milliseconds aTimeout,
             Done<wire::ChunkReply> aDone) override
  {
    m_io->Chunk(aAddress, aRequest, aTimeout, std::move(aDone));
  }

  void Have(const std::string& aAddress,
            const wire::HaveRequest& aRequest,
            std::chrono::milliseconds aTimeout,
            Done<wire::HaveReply> aDone) override
  {
    m_io->Have(aAddress, aRequest, aTimeout, std::move(aDone));
  }

  void Post(std::function<void()> aTask) override
  {
    m_io->Post(std::move(aTask));
  }

  void PostAfter(std::chrono::milliseconds aDelay,
                 std::function<void()> aTask) override
  {
    m_io->PostAfter(aDelay, std::move(aTask));
  }

private:
  const std::shared_ptr<WeightsIo> m_io;
  const std::shared_ptr<standin::Link> m_link;
};

} // namespace

RolloutVm::RolloutVm(const std::string& aVm,
                     const std::string& aPlace,
                     const std::string& aStoreUrl,
                     const AuthSettings& aAuth,
                     standin::Scheduler& aScheduler,
                     const RolloutVms& aVms)
  : m_vm(aVm)
  , m_place(aPlace)
  , m_vms(aVms)
  , m_link(std::make_shared<standin::Link>(aScheduler, kVmRate))
  , m_engine(standin::EngineOptions{})
  , m_workers(2)
  , m_peers(aAuth, aVm)
{
  AgentSettings settings;
  settings.m_node.m_vm = aVm;
  settings.m_node.m_place = aPlace;
  settings.m_upstream.m_url = m_engine.Url();
  settings.m_weights.m_storeUrl = aStoreUrl;
  settings.m_weights.m_linkBytesPerSecond = kVmRate;
  settings.m_weights.m_chunkTimeout = kChunkTimeout;
  m_agent = std::make_unique<WeightsAgent>(
    settings,
    std::make_shared<LinkLimitedIo>(MakeWeightsIo(m_http, m_peers, m_workers),
                                    m_link),
    m_clock);
  m_server =
    std::make_unique<NodeServer>(Address{ "127.0.0.1", 0 }, aAuth, *this);
  m_address = "127.0.0.1:" + std::to_string(m_server->Port());
  m_agent->Recover();
}

RolloutVm::~RolloutVm()
{
  m_agent->Stop();
  m_server->Shutdown(kShutdownGrace);
  m_server.reset();
  m_workers.Stop();
}

void
RolloutVm::Kill()
{
  m_faults.m_killed = true;
  m_agent->Stop();
  m_server->Shutdown(std::chrono::milliseconds(0));
}

void
RolloutVm::SendLiveRequest(standin::Scheduler& aScheduler,
                           std::function<void()> aDone)
{
  m_agent->RecordRequestBytes(kLiveRequestBytes + kLiveResponseBytes);
  m_link->Transfer(kLiveRequestBytes, [this, &aScheduler, aDone] {
    aScheduler.After(kLiveEngineTime, [this, aDone] {
      m_link->Transfer(kLiveResponseBytes, aDone);
    });
  });
}

wire::NodeRecord
RolloutVm::Record() const
{
  wire::NodeRecord record;
  record.set_vm(m_vm);
  record.set_place(m_place);
  record.set_service("caddie-llm");
  record.set_address(m_address);
  record.set_liveness(m_faults.m_killed ? wire::LIVENESS_UNREACHABLE
                                        : wire::LIVENESS_ALIVE);
  m_agent->FillRecord(record);
  return record;
}

wire::GreetReply
RolloutVm::OnGreet(const wire::GreetRequest& aRequest)
{
  return {};
}

void
RolloutVm::OnExchange(const wire::ExchangeRequest& aRequest,
                      Done<wire::ExchangeReply> aDone)
{
  aDone({});
}

void
RolloutVm::OnRun(const wire::RunRequest& aRequest,
                 std::shared_ptr<RunSink> aSink)
{
  aSink->Finish();
}

void
RolloutVm::OnCancel(const wire::CancelRequest& aRequest,
                    Done<wire::CancelReply> aDone)
{
  aDone({});
}

void
RolloutVm::OnOrder(const wire::OrderRequest& aRequest,
                   Done<wire::OrderReply> aDone)
{
  m_agent->OnOrder(aRequest, std::move(aDone));
}

void
RolloutVm::OnHave(const wire::HaveRequest& aRequest,
                  Done<wire::HaveReply> aDone)
{
  m_agent->OnHave(aRequest, std::move(aDone));
}

void
RolloutVm::OnChunk(const wire::ChunkRequest& aRequest,
                   Done<wire::ChunkReply> aDone)
{
  const auto receiver = FindLink(aRequest.requester());
  m_agent->OnChunk(aRequest, [this, receiver, aDone](wire::ChunkReply aReply) {
    if (aReply.bytes().empty() || receiver == nullptr) {
      return aDone(std::move(aReply));
    }
    if (m_faults.m_corruptChunks) {
      (*aReply.mutable_bytes())[0] ^= 1;
    }
    SendChunk(receiver, std::move(aReply), aDone);
  });
}

// A chunk is transferred over the sender's link, then over the receiver's.
void
RolloutVm::SendChunk(std::shared_ptr<standin::Link> aReceiver,
                     wire::ChunkReply aReply,
                     Done<wire::ChunkReply> aDone)
{
  const auto bytes = aReply.bytes().size();
  const auto stall = m_faults.m_stallChunks ? kStallDuration : Seconds{ 0 };
  auto send = [link = m_link,
               receiver = std::move(aReceiver),
               done = std::move(aDone),
               bytes,
               reply = std::move(aReply)] {
    link->Transfer(bytes, [receiver, done, bytes, reply] {
      receiver->Transfer(bytes, [done, reply] { done(reply); });
    });
  };
  m_workers.PostAfter(
    std::chrono::duration_cast<std::chrono::milliseconds>(stall),
    std::move(send));
}

std::shared_ptr<standin::Link>
RolloutVm::FindLink(const std::string& aVm) const
{
  for (const auto& vm : m_vms) {
    if (vm->m_vm == aVm) {
      return vm->m_link;
    }
  }
  return nullptr;
}

} // namespace siskindeal::bench

#include "signature_p.h"
#include "siskindeal/error.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "siskindeal/rpc.h"

#include <absl/synchronization/mutex.h>
#include <grpcpp/grpcpp.h>
#include <siskindeal.grpc.pb.h>

#include <deque>
#include <utility>

namespace siskindeal {

namespace {

constexpr int kMaxMessageBytes = 32 << 20;
constexpr int kMinPingIntervalMillis = 500; // below the client's keepalive time

// The server side of one Run call. Keeps itself alive until OnDone.
class RunReactor final
  : public grpc::ServerWriteReactor<wire::RunEvent>
  , public std::enable_shared_from_this<RunReactor>
{
public:
  RunReactor(std::string aRequestId, std::uint32_t aAttempt)
    : m_requestId(std::move(aRequestId))
    , m_attempt(aAttempt)
  {
  }

  void RetainSelf() { m_self = shared_from_this(); }

  void Send(wire::RunEvent aEvent)
  {
    aEvent.set_request_id(m_requestId);
    aEvent.set_attempt(m_attempt);
    const absl::MutexLock lock(&m_mutex);
    if (m_endRequested || m_cancelled) {
      return;
    }
    m_queue.push_back(std::move(aEvent));
    WriteNext();
  }

  void End(const grpc::Status& aStatus)
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_endRequested) {
      return;
    }
    m_endRequested = true;
    m_status = aStatus;
    WriteNext();
  }

  void SetCancelTask(std::function<void()> aTask)
  {
    {
      const absl::MutexLock lock(&m_mutex);
      if (!m_cancelled) {
        m_cancelTask = std::move(aTask);
        return;
      }
    }
    aTask();
  }

  void OnWriteDone(bool aOk) override
  {
    const absl::MutexLock lock(&m_mutex);
    m_writing = false;
    m_queue.pop_front();
    if (!aOk) {
      m_queue.clear();
    }
    WriteNext();
  }

  void OnCancel() override
  {
    std::function<void()> task;
    {
      const absl::MutexLock lock(&m_mutex);
      m_cancelled = true;
      task = std::exchange(m_cancelTask, nullptr);
    }
    if (task) {
      task();
    }
  }

  void OnDone() override
  {
    std::function<void()> dropped;
    {
      const absl::MutexLock lock(&m_mutex);
      dropped = std::exchange(m_cancelTask, nullptr);
    }
    m_self.reset();
  }

private:
  void WriteNext() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
  {
    if (m_writing || m_finished) {
      return;
    }
    if (!m_queue.empty()) {
      m_writing = true;
      StartWrite(&m_queue.front());
      return;
    }
    if (m_endRequested) {
      m_finished = true;
      Finish(m_status);
    }
  }

  const std::string m_requestId;
  const std::uint32_t m_attempt;
  std::shared_ptr<RunReactor> m_self;
  absl::Mutex m_mutex;
  std::deque<wire::RunEvent> m_queue ABSL_GUARDED_BY(m_mutex);
  std::function<void()> m_cancelTask ABSL_GUARDED_BY(m_mutex);
  grpc::Status m_status ABSL_GUARDED_BY(m_mutex);
  bool m_writing ABSL_GUARDED_BY(m_mutex) = false;
  bool m_endRequested ABSL_GUARDED_BY(m_mutex) = false;
  bool m_finished ABSL_GUARDED_BY(m_mutex) = false;
  bool m_cancelled ABSL_GUARDED_BY(m_mutex) = false;
};

// The role's handle to a Run call. Ends the call when destroyed.
class ReactorSink final : public RunSink
{
public:
  explicit ReactorSink(std::shared_ptr<RunReactor> aReactor)
    : m_reactor(std::move(aReactor))
  {
  }
  ~ReactorSink() override { m_reactor->End(grpc::Status::OK); }
  void Send(wire::RunEvent aEvent) override
  {
    m_reactor->Send(std::move(aEvent));
  }
  void Finish() override { m_reactor->End(grpc::Status::OK); }
  void OnCancel(std::function<void()> aTask) override
  {
    m_reactor->SetCancelTask(std::move(aTask));
  }

private:
  std::shared_ptr<RunReactor> m_reactor;
};

class NodeService final : public wire::Node::CallbackService
{
public:
  NodeService(const AuthSettings& aAuth,
              NodeHandler& aHandler,
              ProtocolRange aProtocols)
    : m_auth(aAuth)
    , m_handler(aHandler)
    , m_protocols(aProtocols)
  {
  }

  grpc::ServerUnaryReactor* Greet(grpc::CallbackServerContext* aContext,
                                  const wire::GreetRequest* aRequest,
                                  wire::GreetReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    if (!IsSigned(*aContext, "Greet")) {
      return RejectUnsigned(reactor);
    }
    const ProtocolRange peerRange{ aRequest->protocol_least(),
                                   aRequest->protocol_most() };
    if (!m_protocols.Overlaps(peerRange)) {
      reactor->Finish({ grpc::StatusCode::FAILED_PRECONDITION,
                        std::string(kNoCommonProtocol) +
                          ": the caller supports " + peerRange.ToString() +
                          ", this process supports " +
                          m_protocols.ToString() });
      return reactor;
    }
    *aReply = m_handler.OnGreet(*aRequest);
    aReply->set_protocol(std::min(m_protocols.m_max, peerRange.m_max));
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* aContext,
                                     const wire::ExchangeRequest* aRequest,
                                     wire::ExchangeReply* aReply) override
  {
    return Unary(
      *aContext, "Exchange", aRequest, aReply, &NodeHandler::OnExchange);
  }

  grpc::ServerUnaryReactor* Cancel(grpc::CallbackServerContext* aContext,
                                   const wire::CancelRequest* aRequest,
                                   wire::CancelReply* aReply) override
  {
    return Unary(*aContext, "Cancel", aRequest, aReply, &NodeHandler::OnCancel);
  }

  grpc::ServerUnaryReactor* Order(grpc::CallbackServerContext* aContext,
                                  const wire::OrderRequest* aRequest,
                                  wire::OrderReply* aReply) override
  {
    return Unary(*aContext, "Order", aRequest, aReply, &NodeHandler::OnOrder);
  }

  grpc::ServerUnaryReactor* Chunk(grpc::CallbackServerContext* aContext,
                                  const wire::ChunkRequest* aRequest,
                                  wire::ChunkReply* aReply) override
  {
    return Unary(*aContext, "Chunk", aRequest, aReply, &NodeHandler::OnChunk);
  }

  grpc::ServerUnaryReactor* Have(grpc::CallbackServerContext* aContext,
                                 const wire::HaveRequest* aRequest,
                                 wire::HaveReply* aReply) override
  {
    return Unary(*aContext, "Have", aRequest, aReply, &NodeHandler::OnHave);
  }

  grpc::ServerUnaryReactor* State(grpc::CallbackServerContext* aContext,
                                  const wire::StateRequest* aRequest,
                                  wire::StateReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    if (!IsSigned(*aContext, "State")) {
      return RejectUnsigned(reactor);
    }
    aReply->set_json(m_handler.StateJson());
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerWriteReactor<wire::RunEvent>* Run(
    grpc::CallbackServerContext* aContext,
    const wire::RunRequest* aRequest) override
  {
    const auto reactor =
      std::make_shared<RunReactor>(aRequest->request_id(), aRequest->attempt());
    reactor->RetainSelf();
    if (!IsSigned(*aContext, "Run")) {
      reactor->End({ grpc::StatusCode::UNAUTHENTICATED,
                     "call is not signed by a known key" });
      return reactor.get();
    }
    m_handler.OnRun(*aRequest, std::make_shared<ReactorSink>(reactor));
    return reactor.get();
  }

private:
  template<typename Request, typename Reply>
  grpc::ServerUnaryReactor* Unary(
    grpc::CallbackServerContext& aContext,
    std::string_view aMethod,
    const Request* aRequest,
    Reply* aReply,
    void (NodeHandler::*aCall)(const Request&, NodeHandler::Done<Reply>))
  {
    auto* reactor = aContext.DefaultReactor();
    if (!IsSigned(aContext, aMethod)) {
      return RejectUnsigned(reactor);
    }
    (m_handler.*aCall)(*aRequest, [reactor, aReply](Reply aAnswer) {
      aReply->Swap(&aAnswer);
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  static grpc::ServerUnaryReactor* RejectUnsigned(
    grpc::ServerUnaryReactor* aReactor)
  {
    CountMetric("siskindeal_unsigned_calls_total");
    aReactor->Finish({ grpc::StatusCode::UNAUTHENTICATED,
                       "call is not signed by a known key" });
    return aReactor;
  }

  bool IsSigned(const grpc::CallbackServerContext& aContext,
                std::string_view aMethod) const
  {
    const auto& metadata = aContext.client_metadata();
    const auto found = metadata.find(kSignatureKey);
    const std::string_view signature =
      found == metadata.end()
        ? std::string_view()
        : std::string_view(found->second.data(), found->second.size());
    return VerifySignature(
      m_auth, aMethod, signature, std::chrono::system_clock::now());
  }

  const AuthSettings m_auth;
  NodeHandler& m_handler;
  const ProtocolRange m_protocols;
};

} // namespace

class NodeServer::Impl
{
public:
  Impl(const Address& aListen,
       const AuthSettings& aAuth,
       NodeHandler& aHandler,
       ProtocolRange aProtocols)
    : m_service(aAuth, aHandler, aProtocols)
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
      aListen.ToString(), grpc::InsecureServerCredentials(), &m_port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      kMinPingIntervalMillis);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.RegisterService(&m_service);
    m_server = builder.BuildAndStart();
    if (!m_server || m_port == 0) {
      throw Error(Reason::Unavailable,
                  Verdict::NotRun,
                  "cannot listen on " + aListen.ToString());
    }
  }

  NodeService m_service;
  std::unique_ptr<grpc::Server> m_server;
  int m_port = 0;
};

NodeServer::NodeServer(const Address& aListen,
                       const AuthSettings& aAuth,
                       NodeHandler& aHandler,
                       ProtocolRange aProtocols)
  : m_impl(std::make_unique<Impl>(aListen, aAuth, aHandler, aProtocols))
{
}

NodeServer::~NodeServer()
{
  Shutdown(std::chrono::milliseconds(0));
}

std::uint16_t
NodeServer::Port() const
{
  return static_cast<std::uint16_t>(m_impl->m_port);
}

void
NodeServer::Shutdown(std::chrono::milliseconds aTimeout)
{
  m_impl->m_server->Shutdown(std::chrono::system_clock::now() + aTimeout);
}

} // namespace siskindeal

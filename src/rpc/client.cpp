#include "call_table_p.h"
#include "kernel/contain_p.h"
#include "signature_p.h"
#include "siskindeal/metrics.h"
#include "siskindeal/rpc.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>
#include <siskindeal.grpc.pb.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace siskindeal {

namespace {

constexpr int kMaxMessageBytes = 32 << 20;
constexpr int kInitialReconnectMillis = 100;
constexpr int kMaxReconnectMillis = 1000;
constexpr std::chrono::milliseconds kConnectTimeout{ 2000 };
// Unused channels are closed, because each takes about 40 kB of buffers at
// both ends.
constexpr std::chrono::seconds kIdleChannelTimeout{ 15 };
constexpr std::chrono::seconds kSweepPeriod{ 5 };
// While a call is in flight, a peer that does not answer a ping is considered
// disconnected.
constexpr int kKeepaliveMillis = 2000;
constexpr int kKeepaliveTimeoutMillis = 5000;

struct Peer
{
  std::shared_ptr<grpc::Channel> m_channel;
  std::unique_ptr<wire::Node::Stub> m_stub;
  std::chrono::steady_clock::time_point m_lastUsedAt;
};

RpcStatus
ToRpcStatus(const grpc::Status& aStatus)
{
  if (aStatus.ok()) {
    return { RpcOutcome::Ok, {} };
  }
  const auto code = aStatus.error_code();
  const bool refused = code == grpc::StatusCode::UNAUTHENTICATED ||
                       code == grpc::StatusCode::FAILED_PRECONDITION ||
                       code == grpc::StatusCode::UNIMPLEMENTED;
  return { refused ? RpcOutcome::Refused : RpcOutcome::Unknown,
           aStatus.error_message().empty() ? "call failed"
                                           : aStatus.error_message() };
}

// The client side of one Run call. Keeps itself alive until OnDone.
class RunReader final
  : public grpc::ClientReadReactor<wire::RunEvent>
  , public RunCall
  , public std::enable_shared_from_this<RunReader>
{
public:
  RunReader(std::shared_ptr<CallTable> aCalls,
            wire::RunRequest aRequest,
            std::function<void(wire::RunEvent)> aOnEvent,
            std::function<void(RpcStatus)> aOnEnd)
    : m_registered(std::move(aCalls))
    , m_request(std::move(aRequest))
    , m_onEvent(std::move(aOnEvent))
    , m_onEnd(std::move(aOnEnd))
  {
  }

  void Begin(std::shared_ptr<Peer> aPeer)
  {
    m_self = shared_from_this();
    m_peer = std::move(aPeer);
    m_peer->m_stub->async()->Run(&m_registered.m_context, &m_request, this);
    StartRead(&m_event);
    StartCall();
  }

  void FailNotSent(const std::string& aWhat)
  {
    End({ RpcOutcome::NotSent, aWhat });
  }

  void Cancel() override { m_registered.m_context.TryCancel(); }
  grpc::ClientContext& Context() { return m_registered.m_context; }

  void OnReadDone(bool aOk) override
  {
    if (!aOk) {
      return;
    }
    if (m_event.request_id() == m_request.request_id() &&
        m_event.attempt() == m_request.attempt()) {
      m_onEvent(std::move(m_event));
    } else {
      CountMetric("siskindeal_crossed_answers_total");
    }
    m_event.Clear();
    StartRead(&m_event);
  }

  void OnDone(const grpc::Status& aStatus) override
  {
    const auto self = std::move(m_self);
    End(ToRpcStatus(aStatus));
  }

private:
  void End(const RpcStatus& aStatus)
  {
    m_onEnd(aStatus);
    m_onEvent = nullptr;
    m_onEnd = nullptr;
    m_registered.Unregister();
  }

  RegisteredContext m_registered;
  const wire::RunRequest m_request;
  std::function<void(wire::RunEvent)> m_onEvent;
  std::function<void(RpcStatus)> m_onEnd;
  wire::RunEvent m_event;
  std::shared_ptr<Peer> m_peer;
  std::shared_ptr<RunReader> m_self;
};

using Async = wire::Node::StubInterface::async_interface;

template<typename Request, typename Reply>
using AsyncMethod = void (Async::*)(grpc::ClientContext*,
                                    const Request*,
                                    Reply*,
                                    std::function<void(grpc::Status)>);

template<typename Request, typename Reply>
struct UnaryCall
{
  explicit UnaryCall(std::shared_ptr<CallTable> aCalls)
    : m_registered(std::move(aCalls))
  {
  }

  RegisteredContext m_registered;
  Request m_request;
  Reply m_reply;
  std::shared_ptr<Peer> m_peer;
  NodeClient::Done<Reply> m_done;
};

} // namespace

class NodeClient::Impl
{
public:
  using ReadyCallback = std::function<void(bool)>;

  Impl(const AuthSettings& aAuth, std::string aVm)
    : m_auth(aAuth)
    , m_vm(std::move(aVm))
    , m_stateThread([this] { RunStateQueue(); })
  {
  }

  ~Impl() { Stop(); }

  void Stop()
  {
    {
      const absl::MutexLock lock(&m_mutex);
      m_closing = true;
    }
    m_calls->CancelAll();
    if (m_stateThread.joinable()) {
      m_stateQueue.Shutdown();
      m_stateThread.join();
    }
  }

  const std::shared_ptr<CallTable>& Calls() const { return m_calls; }

  std::shared_ptr<Peer> GetPeer(const std::string& aAddress)
  {
    const auto now = std::chrono::steady_clock::now();
    const absl::MutexLock lock(&m_mutex);
    if (now - m_lastSweepAt >= kSweepPeriod) {
      m_lastSweepAt = now;
      DropChannelsUnusedSince(now - kIdleChannelTimeout);
    }
    auto& peer = m_peers[aAddress];
    if (!peer) {
      peer = std::make_shared<Peer>();
      peer->m_channel = grpc::CreateCustomChannel(
        aAddress, grpc::InsecureChannelCredentials(), ChannelArguments());
      peer->m_stub = wire::Node::NewStub(peer->m_channel);
    }
    peer->m_lastUsedAt = now;
    return peer;
  }

  // Reports whether the channel is connected, once that is known. aReady runs
  // before this returns only if the channel is connected or the client is
  // closing. Calls start only on connected channels, so a call was not sent
  // if its channel did not connect.
  void WhenReady(const std::shared_ptr<Peer>& aPeer,
                 std::chrono::system_clock::time_point aDeadline,
                 ReadyCallback aReady)
  {
    if (IsClosing()) {
      aReady(false);
      return;
    }
    const auto state = aPeer->m_channel->GetState(true);
    if (state == GRPC_CHANNEL_READY) {
      aReady(true);
      return;
    }
    auto wait = std::make_unique<PendingReady>();
    wait->m_peer = aPeer;
    wait->m_deadline = aDeadline;
    wait->m_ready = std::move(aReady);
    wait->m_failed =
      state == GRPC_CHANNEL_TRANSIENT_FAILURE || state == GRPC_CHANNEL_SHUTDOWN;
    if (!WaitForStateChange(wait, state)) {
      wait->m_ready(false);
    }
  }

  void PrepareContext(grpc::ClientContext& aContext,
                      std::string_view aMethod,
                      std::chrono::system_clock::time_point aDeadline) const
  {
    aContext.set_deadline(aDeadline);
    const auto signature =
      SignCall(m_auth, aMethod, m_vm, std::chrono::system_clock::now());
    if (!signature.empty()) {
      aContext.AddMetadata(kSignatureKey, signature);
    }
  }

  template<typename Request, typename Reply>
  void Unary(std::string_view aMethod,
             const std::string& aAddress,
             const Request& aRequest,
             std::chrono::milliseconds aTimeout,
             NodeClient::Done<Reply> aDone,
             AsyncMethod<Request, Reply> aMethodCall)
  {
    const auto deadline = std::chrono::system_clock::now() + aTimeout;
    auto call = std::make_shared<UnaryCall<Request, Reply>>(m_calls);
    call->m_request = aRequest;
    call->m_done = std::move(aDone);
    call->m_peer = GetPeer(aAddress);
    PrepareContext(call->m_registered.m_context, aMethod, deadline);
    WhenReady(call->m_peer, deadline, [call, aMethodCall](bool aReady) {
      if (!aReady) {
        call->m_done({ RpcOutcome::NotSent, "no connection" }, Reply());
        return;
      }
      (call->m_peer->m_stub->async()->*aMethodCall)(
        &call->m_registered.m_context,
        &call->m_request,
        &call->m_reply,
        [call](const grpc::Status& aStatus) {
          call->m_done(ToRpcStatus(aStatus), std::move(call->m_reply));
        });
    });
  }

  void DropIdle(std::chrono::milliseconds aIdle)
  {
    const auto oldest = std::chrono::steady_clock::now() - aIdle;
    const absl::MutexLock lock(&m_mutex);
    DropChannelsUnusedSince(oldest);
  }

private:
  bool IsClosing()
  {
    const absl::MutexLock lock(&m_mutex);
    return m_closing;
  }

  // Closes channels last used before aOldest that no call is using.
  void DropChannelsUnusedSince(std::chrono::steady_clock::time_point aOldest)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
  {
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
      const auto current = peer++;
      if (current->second->m_lastUsedAt < aOldest &&
          current->second.use_count() == 1) {
        m_peers.erase(current);
      }
    }
  }

  struct PendingReady
  {
    std::shared_ptr<Peer> m_peer;
    std::chrono::system_clock::time_point m_deadline;
    ReadyCallback m_ready;
    bool m_failed = false; // channel has failed; alarm runs m_ready
    grpc::Alarm m_alarm;
  };

  // Returns false and leaves aWait unchanged if the client is closing.
  bool WaitForStateChange(std::unique_ptr<PendingReady>& aWait,
                          grpc_connectivity_state aState)
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_closing) {
      return false;
    }
    const auto deadline = std::min(
      aWait->m_deadline, std::chrono::system_clock::now() + kConnectTimeout);
    auto& wait = *aWait.release();
    if (wait.m_failed) {
      wait.m_alarm.Set(&m_stateQueue, std::chrono::system_clock::now(), &wait);
    } else {
      wait.m_peer->m_channel->NotifyOnStateChange(
        aState, deadline, &m_stateQueue, &wait);
    }
    return true;
  }

  static grpc::ChannelArguments ChannelArguments()
  {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     kInitialReconnectMillis);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMaxReconnectMillis);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMillis);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMillis);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMillis);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
    return arguments;
  }

  void RunStateQueue()
  {
    void* tag = nullptr;
    bool changed = false;
    while (m_stateQueue.Next(&tag, &changed)) {
      const std::unique_ptr<PendingReady> wait(static_cast<PendingReady*>(tag));
      Contain("channel", [&] {
        if (!changed || wait->m_failed) {
          wait->m_ready(false);
          return;
        }
        WhenReady(wait->m_peer, wait->m_deadline, std::move(wait->m_ready));
      });
    }
  }

  const AuthSettings m_auth;
  const std::string m_vm;
  const std::shared_ptr<CallTable> m_calls = std::make_shared<CallTable>();
  absl::Mutex m_mutex;
  absl::flat_hash_map<std::string, std::shared_ptr<Peer>> m_peers
    ABSL_GUARDED_BY(m_mutex);
  std::chrono::steady_clock::time_point m_lastSweepAt ABSL_GUARDED_BY(m_mutex);
  bool m_closing ABSL_GUARDED_BY(m_mutex) = false;
  grpc::CompletionQueue m_stateQueue;
  std::thread m_stateThread;
};

NodeClient::NodeClient(const AuthSettings& aAuth, const std::string& aVm)
  : m_impl(std::make_unique<Impl>(aAuth, aVm))
{
}

NodeClient::~NodeClient() = default;

void
NodeClient::Greet(const std::string& aAddress,
                  const wire::GreetRequest& aRequest,
                  std::chrono::milliseconds aTimeout,
                  Done<wire::GreetReply> aDone)
{
  m_impl->Unary(
    "Greet", aAddress, aRequest, aTimeout, std::move(aDone), &Async::Greet);
}

void
NodeClient::Exchange(const std::string& aAddress,
                     const wire::ExchangeRequest& aRequest,
                     std::chrono::milliseconds aTimeout,
                     Done<wire::ExchangeReply> aDone)
{
  m_impl->Unary("Exchange",
                aAddress,
                aRequest,
                aTimeout,
                std::move(aDone),
                &Async::Exchange);
}

void
NodeClient::Cancel(const std::string& aAddress,
                   const wire::CancelRequest& aRequest,
                   std::chrono::milliseconds aTimeout,
                   Done<wire::CancelReply> aDone)
{
  m_impl->Unary(
    "Cancel", aAddress, aRequest, aTimeout, std::move(aDone), &Async::Cancel);
}

void
NodeClient::Order(const std::string& aAddress,
                  const wire::OrderRequest& aRequest,
                  std::chrono::milliseconds aTimeout,
                  Done<wire::OrderReply> aDone)
{
  m_impl->Unary(
    "Order", aAddress, aRequest, aTimeout, std::move(aDone), &Async::Order);
}

void
NodeClient::Chunk(const std::string& aAddress,
                  const wire::ChunkRequest& aRequest,
                  std::chrono::milliseconds aTimeout,
                  Done<wire::ChunkReply> aDone)
{
  m_impl->Unary(
    "Chunk", aAddress, aRequest, aTimeout, std::move(aDone), &Async::Chunk);
}

void
NodeClient::Have(const std::string& aAddress,
                 const wire::HaveRequest& aRequest,
                 std::chrono::milliseconds aTimeout,
                 Done<wire::HaveReply> aDone)
{
  m_impl->Unary(
    "Have", aAddress, aRequest, aTimeout, std::move(aDone), &Async::Have);
}

void
NodeClient::State(const std::string& aAddress,

                  std::chrono::milliseconds aTimeout,
                  Done<wire::StateReply> aDone)
{
  m_impl->Unary("State",
                aAddress,
                wire::StateRequest(),
                aTimeout,
                std::move(aDone),
                &Async::State);
}

std::shared_ptr<RunCall>
NodeClient::Run(const std::string& aAddress,
                const wire::RunRequest& aRequest,
                std::chrono::milliseconds aTimeout,
                std::function<void(wire::RunEvent)> aOnEvent,
                std::function<void(RpcStatus)> aOnEnd)
{
  const auto deadline = std::chrono::system_clock::now() + aTimeout;
  auto call = std::make_shared<RunReader>(
    m_impl->Calls(), aRequest, std::move(aOnEvent), std::move(aOnEnd));
  auto peer = m_impl->GetPeer(aAddress);
  m_impl->PrepareContext(call->Context(), "Run", deadline);
  m_impl->WhenReady(peer, deadline, [call, peer](bool aReady) {
    if (aReady) {
      call->Begin(peer);
    } else {
      call->FailNotSent("no connection");
    }
  });
  return call;
}

void
NodeClient::Stop()
{
  m_impl->Stop();
}

void
NodeClient::DropIdle(std::chrono::milliseconds aIdle)
{
  m_impl->DropIdle(aIdle);
}

} // namespace siskindeal

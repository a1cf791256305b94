#include "call_table_p.h"
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

constexpr int kMessageBytes = 32 << 20;
constexpr int kLeastReconnectMillis = 100;
constexpr int kMostReconnectMillis = 1000;
constexpr std::chrono::milliseconds kLongestConnect{ 2000 };
// A channel costs some 40 kB of buffers at either end, so that one that hasn't
// been used for a while is closed.
constexpr std::chrono::seconds kIdleChannel{ 15 };
constexpr std::chrono::seconds kBetweenSweeps{ 5 };
// While a call is out, a peer that answers no ping is taken for cut off.
constexpr int kPingMillis = 2000;
constexpr int kPingAnswerMillis = 5000;

struct Peer
{
  std::shared_ptr<grpc::Channel> m_channel;
  std::unique_ptr<wire::Node::Stub> m_stub;
  std::chrono::steady_clock::time_point m_used;
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

// The client's side of one Run call. Owns itself until gRPC is done with it.
class RunReader final
  : public grpc::ClientReadReactor<wire::RunEvent>
  , public RunCall
  , public std::enable_shared_from_this<RunReader>
{
public:
  RunReader(std::shared_ptr<CallTable> aCalls,
            wire::RunRequest aRequest,
            std::function<void(wire::RunEvent)> aOnEvent,
            std::function<void(RpcStatus)> aEnd)
    : m_listed(std::move(aCalls))
    , m_request(std::move(aRequest))
    , m_onEvent(std::move(aOnEvent))
    , m_end(std::move(aEnd))
  {
  }

  void Begin(std::shared_ptr<Peer> aPeer)
  {
    m_self = shared_from_this();
    m_peer = std::move(aPeer);
    m_peer->m_stub->async()->Run(&m_listed.m_context, &m_request, this);
    StartRead(&m_event);
    StartCall();
  }

  void FailUnsent(const std::string& aWhat)
  {
    End({ RpcOutcome::NotSent, aWhat });
  }

  void Cancel() override { m_listed.m_context.TryCancel(); }
  grpc::ClientContext& Context() { return m_listed.m_context; }

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
    const auto keep = std::move(m_self);
    End(ToRpcStatus(aStatus));
  }

private:
  void End(const RpcStatus& aStatus)
  {
    m_end(aStatus);
    m_onEvent = nullptr;
    m_end = nullptr;
    m_listed.Unlist();
  }

  ListedContext m_listed;
  const wire::RunRequest m_request;
  std::function<void(wire::RunEvent)> m_onEvent;
  std::function<void(RpcStatus)> m_end;
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
    : m_listed(std::move(aCalls))
  {
  }

  ListedContext m_listed;
  Request m_request;
  Reply m_reply;
  std::shared_ptr<Peer> m_peer;
  NodeClient::Done<Reply> m_done;
};

} // namespace

class NodeClient::Impl
{
public:
  using Ready = std::function<void(bool)>;

  Impl(const AuthSettings& aAuth, std::string aVm)
    : m_auth(aAuth)
    , m_vm(std::move(aVm))
    , m_watcher([this] { WatchStates(); })
  {
  }

  ~Impl()
  {
    {
      const absl::MutexLock lock(&m_mutex);
      m_closing = true;
    }
    m_calls->CancelAll();
    m_states.Shutdown();
    m_watcher.join();
  }

  const std::shared_ptr<CallTable>& Calls() const { return m_calls; }

  std::shared_ptr<Peer> PeerAt(const std::string& aAddress)
  {
    const auto now = std::chrono::steady_clock::now();
    const absl::MutexLock lock(&m_mutex);
    if (now - m_swept >= kBetweenSweeps) {
      m_swept = now;
      Sweep(now - kIdleChannel);
    }
    auto& peer = m_peers[aAddress];
    if (!peer) {
      peer = std::make_shared<Peer>();
      peer->m_channel = grpc::CreateCustomChannel(
        aAddress, grpc::InsecureChannelCredentials(), ChannelArguments());
      peer->m_stub = wire::Node::NewStub(peer->m_channel);
    }
    peer->m_used = now;
    return peer;
  }

  // Says whether the channel has a connection, once that is known, never before
  // it returns unless it has. A call that is only begun on a connected channel
  // and that isn't is provably not sent.
  void WhenReady(const std::shared_ptr<Peer>& aPeer,
                 std::chrono::system_clock::time_point aDeadline,
                 Ready aReady)
  {
    const auto state = aPeer->m_channel->GetState(true);
    if (state == GRPC_CHANNEL_READY) {
      aReady(true);
      return;
    }
    auto wait = std::make_unique<StateWait>();
    wait->m_peer = aPeer;
    wait->m_deadline = aDeadline;
    wait->m_ready = std::move(aReady);
    wait->m_failed =
      state == GRPC_CHANNEL_TRANSIENT_FAILURE || state == GRPC_CHANNEL_SHUTDOWN;
    if (!Watch(wait, state)) {
      wait->m_ready(false);
    }
  }

  void Prepare(grpc::ClientContext& aContext,
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
    call->m_peer = PeerAt(aAddress);
    Prepare(call->m_listed.m_context, aMethod, deadline);
    WhenReady(call->m_peer, deadline, [call, aMethodCall](bool aReady) {
      if (!aReady) {
        call->m_done({ RpcOutcome::NotSent, "no connection" }, Reply());
        return;
      }
      (call->m_peer->m_stub->async()->*aMethodCall)(
        &call->m_listed.m_context,
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
    Sweep(oldest);
  }

private:
  // Drops the channels that were last used before aOldest and aren't now.
  void Sweep(std::chrono::steady_clock::time_point aOldest)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
  {
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
      const auto here = peer++;
      if (here->second->m_used < aOldest && here->second.use_count() == 1) {
        m_peers.erase(here);
      }
    }
  }

  struct StateWait
  {
    std::shared_ptr<Peer> m_peer;
    std::chrono::system_clock::time_point m_deadline;
    Ready m_ready;
    bool m_failed = false; // known already; the alarm only defers saying so
    grpc::Alarm m_alarm;
  };

  // False, keeping aWait, when the client is being destroyed.
  bool Watch(std::unique_ptr<StateWait>& aWait, grpc_connectivity_state aState)
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_closing) {
      return false;
    }
    const auto deadline = std::min(
      aWait->m_deadline, std::chrono::system_clock::now() + kLongestConnect);
    auto& wait = *aWait.release();
    if (wait.m_failed) {
      wait.m_alarm.Set(&m_states, std::chrono::system_clock::now(), &wait);
    } else {
      wait.m_peer->m_channel->NotifyOnStateChange(
        aState, deadline, &m_states, &wait);
    }
    return true;
  }

  static grpc::ChannelArguments ChannelArguments()
  {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     kLeastReconnectMillis);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMostReconnectMillis);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMostReconnectMillis);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kPingMillis);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kPingAnswerMillis);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetMaxReceiveMessageSize(kMessageBytes);
    return arguments;
  }

  void WatchStates()
  {
    void* tag = nullptr;
    bool changed = false;
    while (m_states.Next(&tag, &changed)) {
      const std::unique_ptr<StateWait> wait(static_cast<StateWait*>(tag));
      if (!changed || wait->m_failed) {
        wait->m_ready(false);
        continue;
      }
      WhenReady(wait->m_peer, wait->m_deadline, std::move(wait->m_ready));
    }
  }

  const AuthSettings m_auth;
  const std::string m_vm;
  const std::shared_ptr<CallTable> m_calls = std::make_shared<CallTable>();
  absl::Mutex m_mutex;
  absl::flat_hash_map<std::string, std::shared_ptr<Peer>> m_peers
    ABSL_GUARDED_BY(m_mutex);
  std::chrono::steady_clock::time_point m_swept ABSL_GUARDED_BY(m_mutex);
  bool m_closing ABSL_GUARDED_BY(m_mutex) = false;
  grpc::CompletionQueue m_states;
  std::thread m_watcher;
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
                std::function<void(RpcStatus)> aEnd)
{
  const auto deadline = std::chrono::system_clock::now() + aTimeout;
  auto call = std::make_shared<RunReader>(
    m_impl->Calls(), aRequest, std::move(aOnEvent), std::move(aEnd));
  auto peer = m_impl->PeerAt(aAddress);
  m_impl->Prepare(call->Context(), "Run", deadline);
  m_impl->WhenReady(peer, deadline, [call, peer](bool aReady) {
    if (aReady) {
      call->Begin(peer);
    } else {
      call->FailUnsent("no connection");
    }
  });
  return call;
}

void
NodeClient::DropIdle(std::chrono::milliseconds aIdle)
{
  m_impl->DropIdle(aIdle);
}

} // namespace siskindeal

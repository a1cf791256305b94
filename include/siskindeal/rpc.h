#pragma once
// gRPC between siskindeal's own processes: a server that hands calls to the
// role, and a client with one channel a peer. Calls are signed with the shared
// keys; an unsigned or wrongly signed call is refused as "not run".

#include "siskindeal/settings.h"
#include "siskindeal/verdict.h"

#include <siskindeal.pb.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

namespace wire = ::siskindeal::v1;

// The protocol versions this release speaks.
inline constexpr std::uint32_t kProtocolLeast = 1;
inline constexpr std::uint32_t kProtocolMost = 1;

// The protocol versions that a process speaks.
struct ProtocolRange
{
  std::uint32_t m_least = kProtocolLeast;
  std::uint32_t m_most = kProtocolMost;

  bool Overlaps(const ProtocolRange& aOther) const
  {
    return m_least <= aOther.m_most && aOther.m_least <= m_most;
  }
  // "1 to 2"
  std::string ToString() const
  {
    return std::to_string(m_least) + " to " + std::to_string(m_most);
  }
};

// How the refusal of a Greet begins whose range of versions doesn't overlap.
inline constexpr const char* kNoCommonProtocol =
  "no protocol version in common";

// The answer to a Run call, written by the agent. Any thread may call it; it
// keeps itself alive until Finish.
class RunSink
{
public:
  virtual ~RunSink() = default;
  // Queues an event; request id and attempt are filled in.
  virtual void Send(wire::RunEvent aEvent) = 0;
  // Ends the call after the queued events.
  virtual void Finish() = 0;
  // Runs aTask once if the entry gives the call up before Finish; at once if it
  // already has.
  virtual void OnCancel(std::function<void()> aTask) = 0;
};

// What a role answers. Calls arrive on gRPC's threads and must not block; a
// callback may be called later, from any thread, exactly once. A call that a
// role doesn't override is refused: runs and orders with a reason, the verdict
// of a run being "not run"; a chunk as missing; the others with an empty reply.
class NodeHandler
{
public:
  template<typename Reply>
  using Done = std::function<void(Reply)>;

  virtual ~NodeHandler() = default;
  virtual wire::GreetReply OnGreet(const wire::GreetRequest& aRequest) = 0;
  virtual void OnExchange(const wire::ExchangeRequest& aRequest,
                          Done<wire::ExchangeReply> aDone);
  virtual void OnRun(const wire::RunRequest& aRequest,
                     std::shared_ptr<RunSink> aSink);
  virtual void OnCancel(const wire::CancelRequest& aRequest,
                        Done<wire::CancelReply> aDone);
  virtual void OnOrder(const wire::OrderRequest& aRequest,
                       Done<wire::OrderReply> aDone);
  virtual void OnChunk(const wire::ChunkRequest& aRequest,
                       Done<wire::ChunkReply> aDone);
  virtual void OnHave(const wire::HaveRequest& aRequest,
                      Done<wire::HaveReply> aDone);
  virtual std::string StateJson() = 0;
};

// Serves NodeHandler on one address until destroyed.
class NodeServer
{
public:
  // Throws Error (Unavailable) when the address can't be bound.
  NodeServer(const Address& aListen,
             const AuthSettings& aAuth,
             NodeHandler& aHandler,
             ProtocolRange aProtocols = {});
  ~NodeServer();
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;

  std::uint16_t Port() const;
  // Refuses new calls, waits for those in progress until aLongest has passed.
  void Shutdown(std::chrono::milliseconds aLongest);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// How far a call between processes provably got.
enum class RpcOutcome
{
  Ok,
  NotSent, // no connection; the peer never saw it
  Refused, // the peer answered that it did nothing
  Unknown, // sent, or perhaps sent; no whole answer
};

struct RpcStatus
{
  RpcOutcome m_outcome = RpcOutcome::Unknown;
  std::string m_what; // empty when ok
};

// A Run call in progress.
class RunCall
{
public:
  virtual ~RunCall() = default;
  virtual void Cancel() = 0;
};

class NodeClient
{
public:
  template<typename Reply>
  using Done = std::function<void(RpcStatus, Reply)>;

  NodeClient(const AuthSettings& aAuth, const std::string& aVm);
  ~NodeClient();
  NodeClient(const NodeClient&) = delete;
  NodeClient& operator=(const NodeClient&) = delete;

  // Each starts a call to "IP:PORT" and returns; aDone runs exactly once on one
  // of gRPC's threads and must not block.
  void Greet(const std::string& aAddress,
             const wire::GreetRequest& aRequest,
             std::chrono::milliseconds aTimeout,
             Done<wire::GreetReply> aDone);
  void Exchange(const std::string& aAddress,
                const wire::ExchangeRequest& aRequest,
                std::chrono::milliseconds aTimeout,
                Done<wire::ExchangeReply> aDone);
  void Cancel(const std::string& aAddress,
              const wire::CancelRequest& aRequest,
              std::chrono::milliseconds aTimeout,
              Done<wire::CancelReply> aDone);
  void Order(const std::string& aAddress,
             const wire::OrderRequest& aRequest,
             std::chrono::milliseconds aTimeout,
             Done<wire::OrderReply> aDone);
  void Chunk(const std::string& aAddress,
             const wire::ChunkRequest& aRequest,
             std::chrono::milliseconds aTimeout,
             Done<wire::ChunkReply> aDone);
  void Have(const std::string& aAddress,
            const wire::HaveRequest& aRequest,
            std::chrono::milliseconds aTimeout,
            Done<wire::HaveReply> aDone);
  void State(const std::string& aAddress,
             std::chrono::milliseconds aTimeout,
             Done<wire::StateReply> aDone);

  // Events of another request or attempt are discarded and counted. aEnd runs
  // once, after the last event.
  std::shared_ptr<RunCall> Run(const std::string& aAddress,
                               const wire::RunRequest& aRequest,
                               std::chrono::milliseconds aTimeout,
                               std::function<void(wire::RunEvent)> aOnEvent,
                               std::function<void(RpcStatus)> aEnd);

  // Drops the channels to peers not called for aIdle.
  void DropIdle(std::chrono::milliseconds aIdle);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace siskindeal

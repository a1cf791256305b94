#pragma once
// gRPC between siskindeal processes: a server that dispatches calls to the
// role, and a client with one channel per peer. Calls are signed with shared
// keys. A call without a valid signature is refused with the verdict "not run".

#include "siskindeal/settings.h"
#include "siskindeal/verdict.h"

#include <siskindeal.pb.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

namespace wire = ::siskindeal::v1;

// The protocol versions that this release supports.
inline constexpr std::uint32_t kMinProtocolVersion = 1;
inline constexpr std::uint32_t kMaxProtocolVersion = 1;

// The protocol versions that a process supports.
struct ProtocolRange
{
  std::uint32_t m_min = kMinProtocolVersion;
  std::uint32_t m_max = kMaxProtocolVersion;

  bool Overlaps(const ProtocolRange& aOther) const
  {
    return m_min <= aOther.m_max && aOther.m_min <= m_max;
  }
  // "1 to 2"
  std::string ToString() const
  {
    return std::to_string(m_min) + " to " + std::to_string(m_max);
  }
};

// The prefix of the error message that refuses a Greet whose version range does
// not overlap. The client matches it.
inline constexpr const char* kNoCommonProtocol =
  "no protocol version in common";

// The response stream of a Run call, written by the agent. Thread-safe. The
// call stays open until Finish or until the sink is destroyed.
class RunSink
{
public:
  virtual ~RunSink() = default;
  // Queues an event and sets its request id and attempt.
  virtual void Send(wire::RunEvent aEvent) = 0;
  // Ends the call after the queued events.
  virtual void Finish() = 0;
  // Runs aTask once if the entry cancels the call before Finish; immediately if
  // it already has.
  virtual void OnCancel(std::function<void()> aTask) = 0;
};

// The calls that a role serves. They arrive on gRPC threads and must not block.
// Each callback must be called exactly once, from any thread, and may be called
// later. By default, runs and orders are refused with a reason, a run with the
// verdict "not run"; chunks are reported as missing; other calls get an empty
// reply.
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

// Serves a NodeHandler on one address until destroyed.
class NodeServer
{
public:
  // Throws Error (Unavailable) if the address cannot be bound.
  NodeServer(const Address& aListen,
             const AuthSettings& aAuth,
             NodeHandler& aHandler,
             ProtocolRange aProtocols = {});
  ~NodeServer();
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;

  std::uint16_t Port() const;
  // Refuses new calls and waits up to aTimeout for those in progress.
  void Shutdown(std::chrono::milliseconds aTimeout);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// The outcome of a call, in particular whether the peer may have processed it.
enum class RpcOutcome
{
  Ok,
  NotSent, // no connection; never reached the peer
  Refused, // rejected by the peer without effect
  Unknown, // possibly sent; no complete response
};

struct RpcStatus
{
  RpcOutcome m_outcome = RpcOutcome::Unknown;
  std::string m_what; // error message; empty if Ok
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

  // Each method starts a call to "IP:PORT" and returns. aDone runs exactly
  // once, on a thread of gRPC or of the client, and must not block.
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

  // Discards and counts events of another request or attempt. aOnEnd runs once,
  // after the last event.
  std::shared_ptr<RunCall> Run(const std::string& aAddress,
                               const wire::RunRequest& aRequest,
                               std::chrono::milliseconds aTimeout,
                               std::function<void(wire::RunEvent)> aOnEvent,
                               std::function<void(RpcStatus)> aOnEnd);

  // Closes channels that have not been used for aIdle.
  void DropIdle(std::chrono::milliseconds aIdle);

  // Cancels the calls in progress and returns once the last callback has
  // returned. A call started later fails as not sent. Must not be called from a
  // callback.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace siskindeal

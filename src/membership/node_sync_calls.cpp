// The outgoing calls of NodeSyncDriver.

#include "membership/node_sync_p.h"

#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <utility>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kExchangeTimeout{ 600 };

} // namespace

void
NodeSyncDriver::Call(Exchange::OutgoingExchange aCall)
{
  const auto call =
    std::make_shared<const Exchange::OutgoingExchange>(std::move(aCall));
  bool greeted = false;
  {
    const OrderedLock lock(m_mutex);
    greeted = m_greetings.count(call->m_address) != 0;
  }
  if (greeted) {
    SendExchange(call);
  } else {
    Greet(call);
  }
}

void
NodeSyncDriver::Greet(
  const std::shared_ptr<const Exchange::OutgoingExchange>& aCall)
{
  wire::GreetRequest request;
  request.set_protocol_least(m_protocols.m_min);
  request.set_protocol_most(m_protocols.m_max);
  request.set_release(SISKINDEAL_VERSION);
  request.set_vm(m_vm);
  request.set_role(m_role);
  m_ports.m_greet(aCall->m_address,
                  request,
                  kExchangeTimeout,
                  [weak = weak_from_this(), call = aCall](
                    const RpcStatus& aStatus, const wire::GreetReply& aReply) {
                    if (const auto self = weak.lock()) {
                      self->m_ports.m_post([self, call, aStatus, aReply] {
                        self->OnGreeted(call, aStatus, aReply);
                      });
                    }
                  });
}

void
NodeSyncDriver::OnGreeted(
  const std::shared_ptr<const Exchange::OutgoingExchange>& aCall,
  const RpcStatus& aStatus,
  const wire::GreetReply& aReply)
{
  {
    const OrderedLock lock(m_mutex);
    if (aStatus.m_outcome != RpcOutcome::Ok) {
      if (aStatus.m_what.rfind(kNoCommonProtocol, 0) == 0) {
        RefuseProtocol(*aCall, aStatus.m_what);
      }
      CountMetric("siskindeal_exchange_failures_total");
      m_exchange.OnFailure(*aCall, m_clock.Now());
      return;
    }
    m_greetings[aCall->m_address] = { aReply.incarnation(), aReply.protocol() };
    m_exchange.SetProtocolRefusal(aCall->m_address, {});
  }
  SendExchange(aCall);
}

void
NodeSyncDriver::RefuseProtocol(const Exchange::OutgoingExchange& aCall,
                               const std::string& aReason)
{
  CountMetric("siskindeal_protocol_refused_total");
  if (m_exchange.SetProtocolRefusal(aCall.m_address, aReason)) {
    Log(LogLevel::Error,
        "protocol_refused",
        { { "peer", aCall.m_vm },
          { "address", aCall.m_address },
          { "what", aReason } });
  }
}

void
NodeSyncDriver::SendExchange(
  const std::shared_ptr<const Exchange::OutgoingExchange>& aCall)
{
  m_ports.m_exchange(
    aCall->m_address,
    aCall->m_request,
    kExchangeTimeout,
    [weak = weak_from_this(), call = aCall](const RpcStatus& aStatus,
                                            wire::ExchangeReply aReply) {
      if (const auto self = weak.lock()) {
        self->m_ports.m_post([self, call, aStatus, reply = std::move(aReply)] {
          self->OnExchangeDone(*call, aStatus, reply);
        });
      }
    });
}

void
NodeSyncDriver::OnExchangeDone(const Exchange::OutgoingExchange& aCall,
                               const RpcStatus& aStatus,
                               const wire::ExchangeReply& aReply)
{
  {
    const OrderedLock lock(m_mutex);
    const auto now = m_clock.Now();
    // A process that is not ready yet sends an empty reply.
    if (aStatus.m_outcome != RpcOutcome::Ok || aReply.vm().empty()) {
      // The peer may restart with another release.
      m_greetings.erase(aCall.m_address);
      CountMetric("siskindeal_exchange_failures_total");
      m_exchange.OnFailure(aCall, now);
      return;
    }
    const auto greeting = m_greetings.find(aCall.m_address);
    if (greeting != m_greetings.end() &&
        greeting->second.m_incarnation != aReply.incarnation()) {
      const bool wasUnknown = greeting->second.m_incarnation == 0;
      greeting->second.m_incarnation = aReply.incarnation();
      if (!wasUnknown) {
        m_greetings.erase(greeting);
      }
    }
    Exchange::Updates news;
    m_exchange.OnReply(aCall, aReply, now, news);
    ApplyUpdates(std::move(news));
    CompleteBroadcasts(now);
  }
  RunNotifications();
}

} // namespace siskindeal

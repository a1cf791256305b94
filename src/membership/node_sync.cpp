#include "membership/node_sync_p.h"

#include "siskindeal/digest.h"

#include <utility>

namespace siskindeal {

namespace {

NodeSyncPorts
PortsOf(NodeClient& aClient, WorkerPool& aPool)
{
  NodeSyncPorts ports;
  ports.m_greet = [&aClient](const std::string& aAddress,
                             const wire::GreetRequest& aRequest,
                             std::chrono::milliseconds aTimeout,
                             NodeClient::Done<wire::GreetReply> aDone) {
    aClient.Greet(aAddress, aRequest, aTimeout, std::move(aDone));
  };
  ports.m_exchange = [&aClient](const std::string& aAddress,
                                const wire::ExchangeRequest& aRequest,
                                std::chrono::milliseconds aTimeout,
                                NodeClient::Done<wire::ExchangeReply> aDone) {
    aClient.Exchange(aAddress, aRequest, aTimeout, std::move(aDone));
  };
  ports.m_post = [&aPool](WorkerPool::Task aTask) {
    aPool.Post(std::move(aTask));
  };
  ports.m_postAfter = [&aPool](std::chrono::milliseconds aDelay,
                               WorkerPool::Task aTask) {
    aPool.PostAfter(aDelay, std::move(aTask));
  };
  ports.m_seed = StableHash(NewId());
  return ports;
}

} // namespace

NodeSync::NodeSync(const NodeSettings& aNode,
                   const MembershipSettings& aSettings,
                   wire::Role aRole,
                   const std::string& aAddress,
                   NodeClient& aClient,
                   Platform& aPlatform,
                   WorkerPool& aPool,
                   const Clock& aClock,
                   NodeSyncHooks aHooks,
                   ProtocolRange aProtocols)
  : m_driver(std::make_shared<NodeSyncDriver>(aNode,
                                              aSettings,
                                              aRole,
                                              aAddress,
                                              PortsOf(aClient, aPool),
                                              aPlatform,
                                              aClock,
                                              std::move(aHooks),
                                              aProtocols))
{
}

NodeSync::~NodeSync()
{
  m_driver->Stop();
}

void
NodeSync::Start()
{
  m_driver->Start();
}

void
NodeSync::OnExchange(const wire::ExchangeRequest& aRequest,
                     const NodeHandler::Done<wire::ExchangeReply>& aDone)
{
  m_driver->OnExchange(aRequest, aDone);
}

std::shared_ptr<const FleetView>
NodeSync::View() const
{
  return m_driver->View();
}

std::uint64_t
NodeSync::Incarnation() const
{
  return m_driver->Incarnation();
}

std::shared_ptr<const FleetConfig>
NodeSync::Config() const
{
  return m_driver->Config();
}

std::map<std::string, PlatformObject>
NodeSync::Objects(const std::string& aPrefix) const
{
  return m_driver->Objects(aPrefix);
}

void
NodeSync::ApplyObject(const PlatformObject& aObject)
{
  m_driver->OnObjectsRead({ aObject });
}

void
NodeSync::BroadcastSuspicion(const wire::Suspicion& aSuspicion,
                             std::chrono::milliseconds aTimeout,
                             std::function<void(bool)> aDone)
{
  m_driver->BroadcastSuspicion(aSuspicion, aTimeout, std::move(aDone));
}

void
NodeSync::RefreshOwnRecord()
{
  m_driver->TickSoon();
}

void
NodeSync::Leave()
{
  m_driver->Leave();
}

std::string
NodeSync::StateJson() const
{
  return m_driver->StateJson();
}

} // namespace siskindeal

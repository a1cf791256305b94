#include "membership/node_sync_p.h"

#include <utility>

namespace siskindeal {

NodeSync::NodeSync(const NodeSettings& aNode,
                   const MembershipSettings& aSettings,
                   wire::Role aRole,
                   const std::string& aAddress,
                   NodeClient& aClient,
                   Platform& aPlatform,
                   WorkerPool& aPool,
                   const Clock& aClock,
                   NodeSyncHooks aHooks)
  : m_impl(std::make_shared<Impl>(aNode,
                                  aSettings,
                                  aRole,
                                  aAddress,
                                  aClient,
                                  aPlatform,
                                  aPool,
                                  aClock,
                                  std::move(aHooks)))
{
}

NodeSync::~NodeSync()
{
  m_impl->Stop();
}

void
NodeSync::Start()
{
  m_impl->Start();
}

void
NodeSync::OnExchange(const wire::ExchangeRequest& aRequest,
                     const NodeHandler::Done<wire::ExchangeReply>& aDone)
{
  m_impl->OnExchange(aRequest, aDone);
}

std::shared_ptr<const FleetView>
NodeSync::View() const
{
  return m_impl->View();
}

std::shared_ptr<const FleetConfig>
NodeSync::Config() const
{
  return m_impl->Config();
}

std::map<std::string, PlatformObject>
NodeSync::Objects(const std::string& aPrefix) const
{
  return m_impl->Objects(aPrefix);
}

void
NodeSync::Learned(const PlatformObject& aObject)
{
  m_impl->Learned({ aObject });
}

void
NodeSync::Spread(const wire::Suspicion& aSuspicion,
                 std::chrono::milliseconds aLongest,
                 std::function<void(bool)> aDone)
{
  m_impl->Spread(aSuspicion, aLongest, std::move(aDone));
}

void
NodeSync::Changed()
{
  m_impl->TickSoon();
}

void
NodeSync::Leave()
{
  m_impl->Leave();
}

std::string
NodeSync::StateJson() const
{
  return m_impl->StateJson();
}

} // namespace siskindeal

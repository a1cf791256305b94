#include "support/sim_drivers.h"

#include "siskindeal/fleet_config.h"
#include "siskindeal/invariant.h"

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{ 1 };
constexpr milliseconds kCallTimeout{ 600 };
constexpr int kGreeted = -1;

std::string
StartId(const std::string& aVm, std::uint64_t aStart)
{
  return aVm + "/" + std::to_string(aStart);
}

} // namespace

SimDrivers::SimDrivers(std::uint64_t aSeed)
  : m_platform(m_clock, aSeed)
  , m_random(aSeed + 1)
{
}

SimDrivers::~SimDrivers()
{
  for (const auto& [vm, node] : m_nodes) {
    Kill(vm);
  }
}

void
SimDrivers::Add(const std::string& aVm,
                const std::string& aPlace,
                wire::Role aRole,
                ProtocolRange aProtocols)
{
  constexpr std::size_t kMaxContacts = 3;
  auto& node = m_nodes[aVm];
  node.m_settings.m_vm = aVm;
  node.m_settings.m_place = aPlace;
  node.m_role = aRole;
  node.m_protocols = aProtocols;
  for (const auto& [vm, other] : m_nodes) {
    if (other.m_role == wire::ROLE_ENTRY &&
        node.m_settings.m_entries.size() < kMaxContacts) {
      node.m_settings.m_entries.push_back({ vm, 1 });
    }
  }
  Start(aVm);
}

void
SimDrivers::Start(const std::string& aVm)
{
  auto& node = m_nodes.at(aVm);
  Kill(aVm);
  ++node.m_starts;
  node.m_up = true;
  node.m_versions.clear();
  node.m_readyAt =
    m_clock.Now() + milliseconds{ m_random.Below(m_startDelayLimitMs) };
  node.m_sync = std::make_shared<NodeSyncDriver>(node.m_settings,
                                                 MembershipSettings{},
                                                 node.m_role,
                                                 aVm + ":1",
                                                 MakePorts(node),
                                                 m_platform.Client(aVm),
                                                 m_clock,
                                                 MakeHooks(node),
                                                 node.m_protocols);
  node.m_sync->Start();
  if (node.m_role != wire::ROLE_ENTRY) {
    return;
  }
  node.m_leases = std::make_shared<LeaseDriver>(
    aVm,
    StartId(aVm, node.m_starts),
    LeaseSettings{},
    m_platform.Client(aVm),
    [this, &node](milliseconds aDelay, WorkerPool::Task aTask) {
      After(aDelay, node, std::move(aTask));
    },
    m_clock,
    [sync = node.m_sync] { return sync->View(); });
  node.m_leases->TickAndReschedule();
}

void
SimDrivers::Kill(const std::string& aVm)
{
  auto& node = m_nodes.at(aVm);
  if (!node.m_up) {
    return;
  }
  node.m_up = false;
  node.m_paused = false;
  node.m_deferredTasks.clear();
  node.m_sync->Stop();
  if (node.m_leases) {
    node.m_leases->Stop();
  }
}

void
SimDrivers::Pause(const std::string& aVm, bool aPaused)
{
  auto& node = m_nodes.at(aVm);
  node.m_paused = aPaused && node.m_up;
  if (node.m_paused) {
    return;
  }
  for (auto& task : std::exchange(node.m_deferredTasks, {})) {
    After(milliseconds{ 0 }, node, std::move(task));
  }
}

void
SimDrivers::Cut(const std::string& aFrom, const std::string& aTo, bool aCut)
{
  if (aCut) {
    m_cuts.emplace(aFrom, aTo);
  } else {
    m_cuts.erase({ aFrom, aTo });
  }
}

bool
SimDrivers::ShouldDeliver(const std::string& aFrom, const std::string& aTo)
{
  return m_cuts.count({ aFrom, aTo }) == 0 && !m_random.Chance(m_loss);
}

void
SimDrivers::After(milliseconds aDelay, Node& aNode, std::function<void()> aTask)
{
  m_tasks.emplace(
    m_clock.Now() + aDelay,
    [&aNode, start = aNode.m_starts, task = std::move(aTask)]() mutable {
      if (!aNode.m_up || aNode.m_starts != start) {
        return;
      }
      if (aNode.m_paused) {
        aNode.m_deferredTasks.push_back(std::move(task));
        return;
      }
      task();
    });
}

NodeSyncPorts
SimDrivers::MakePorts(Node& aNode)
{
  NodeSyncPorts ports;
  ports.m_greet = [this, &aNode](const std::string& aAddress,
                                 const wire::GreetRequest& aRequest,
                                 milliseconds,
                                 NodeClient::Done<wire::GreetReply> aDone) {
    SendCall(
      aNode,
      aAddress,
      [this, &aNode, start = aNode.m_starts, aRequest, aDone](Node& aTo) {
        return ServeGreet(aNode, start, aTo, aRequest, aDone);
      },
      [aDone](RpcOutcome aOutcome) {
        aDone({ aOutcome, "lost" }, {});
      });
  };
  ports.m_exchange = [this,
                      &aNode](const std::string& aAddress,
                              const wire::ExchangeRequest& aRequest,
                              milliseconds,
                              NodeClient::Done<wire::ExchangeReply> aDone) {
    SendCall(
      aNode,
      aAddress,
      [this, &aNode, start = aNode.m_starts, aRequest, aDone](Node& aTo) {
        CheckGreeted(aNode, start, aTo);
        wire::ExchangeReply reply; // empty while the callee is starting
        if (m_clock.Now() >= aTo.m_readyAt) {
          aTo.m_sync->OnExchange(
            aRequest, [&](wire::ExchangeReply aReply) { reply = aReply; });
        }
        return [aDone, reply] { aDone({ RpcOutcome::Ok, {} }, reply); };
      },
      [aDone](RpcOutcome aOutcome) {
        aDone({ aOutcome, "lost" }, {});
      });
  };
  ports.m_post = [this, &aNode](WorkerPool::Task aTask) {
    After(milliseconds{ 0 }, aNode, std::move(aTask));
  };
  ports.m_postAfter = [this, &aNode](milliseconds aDelay,
                                     WorkerPool::Task aTask) {
    After(aDelay, aNode, std::move(aTask));
  };
  ports.m_seed = m_random.Below(1000000);
  return ports;
}

NodeSyncHooks
SimDrivers::MakeHooks(Node& aNode)
{
  NodeSyncHooks hooks;
  hooks.m_onObject = [this, &aNode](const PlatformObject& aObject) {
    CheckObject(aNode, aObject);
  };
  return hooks;
}

void
SimDrivers::SendCall(Node& aFrom,
                     const std::string& aAddress,
                     std::function<std::function<void()>(Node& aTo)> aServe,
                     const std::function<void(RpcOutcome)>& aFail)
{
  const auto vm = aAddress.substr(0, aAddress.find(':'));
  const auto found = m_nodes.find(vm);
  const milliseconds latency{ 1 + m_random.Below(3) };
  if (found == m_nodes.end() || !found->second.m_up) {
    return After(latency, aFrom, [aFail] { aFail(RpcOutcome::NotSent); });
  }
  const auto fail = [aFail] { aFail(RpcOutcome::Unknown); };
  if (!ShouldDeliver(aFrom.m_settings.m_vm, vm)) {
    return After(kCallTimeout, aFrom, fail);
  }
  auto& to = found->second;
  // A paused callee serves the call when it resumes.
  const auto completed = std::make_shared<bool>(false);
  const auto start = aFrom.m_starts;
  After(
    latency, to, [this, &aFrom, &to, vm, completed, start, latency, aServe] {
      const auto deliver = aServe(to);
      if (!aFrom.m_up || aFrom.m_starts != start ||
          !ShouldDeliver(vm, aFrom.m_settings.m_vm)) {
        return;
      }
      After(latency, aFrom, [completed, deliver] {
        if (!std::exchange(*completed, true)) {
          deliver();
        }
      });
    });
  After(kCallTimeout, aFrom, [completed, fail] {
    if (!std::exchange(*completed, true)) {
      fail();
    }
  });
}

std::function<void()>
SimDrivers::ServeGreet(const Node& aFrom,
                       std::uint64_t aStart,
                       Node& aTo,
                       const wire::GreetRequest& aRequest,
                       const NodeClient::Done<wire::GreetReply>& aDone)
{
  ++m_greetings;
  const ProtocolRange theirs{ aRequest.protocol_least(),
                              aRequest.protocol_most() };
  if (!aTo.m_protocols.Overlaps(theirs)) {
    return [aDone] { aDone({ RpcOutcome::Refused, kNoCommonProtocol }, {}); };
  }
  m_callsBeforeGreet[{ StartId(aFrom.m_settings.m_vm, aStart),
                       StartId(aTo.m_settings.m_vm, aTo.m_starts) }] = kGreeted;
  wire::GreetReply reply;
  reply.set_incarnation(aTo.m_sync->Incarnation());
  reply.set_protocol(std::min(aTo.m_protocols.m_max, theirs.m_max));
  return [aDone, reply] { aDone({ RpcOutcome::Ok, {} }, reply); };
}

// The first call to a restarted process may be an exchange, because the caller
// learns of the restart from its reply.
void
SimDrivers::CheckGreeted(const Node& aFrom,
                         std::uint64_t aStart,
                         const Node& aTo)
{
  auto& calls =
    m_callsBeforeGreet[{ StartId(aFrom.m_settings.m_vm, aStart),
                         StartId(aTo.m_settings.m_vm, aTo.m_starts) }];
  if (calls == kGreeted) {
    return;
  }
  ++calls;
  SISKINDEAL_INVARIANT(calls == 1 && aTo.m_starts > 1,
                       "an exchange is preceded by a Greet");
}

void
SimDrivers::CheckObject(Node& aNode, const PlatformObject& aObject)
{
  auto& version = aNode.m_versions[aObject.m_key];
  SISKINDEAL_INVARIANT(aObject.m_version > version,
                       "the version of an applied object never decreases");
  version = aObject.m_version;
  SISKINDEAL_INVARIANT(aObject.m_version <=
                         m_platform.Stored(aObject.m_key).m_version,
                       "an applied object was accepted by the platform");
}

void
SimDrivers::CheckLeases()
{
  std::set<std::uint32_t> held;
  for (const auto& [vm, node] : m_nodes) {
    if (!node.m_up || !node.m_leases) {
      continue;
    }
    for (const auto& [shard, token] : node.m_leases->Held()) {
      SISKINDEAL_INVARIANT(held.insert(shard).second,
                           "a lease has at most one holder");
      auto& highest = m_tokens[shard];
      SISKINDEAL_INVARIANT(token >= highest, "fencing tokens never decrease");
      m_acquiredLeases += token > highest ? 1 : 0;
      highest = token;
    }
  }
}

void
SimDrivers::Run(milliseconds aFor)
{
  const auto end = m_clock.Now() + aFor;
  while (m_clock.Now() < end) {
    m_platform.Advance(kStep);
    bool ran = false;
    while (!m_tasks.empty() && m_tasks.begin()->first <= m_clock.Now()) {
      auto task = std::move(m_tasks.begin()->second);
      m_tasks.erase(m_tasks.begin());
      task();
      ++m_steps;
      ran = true;
    }
    if (ran) {
      CheckLeases();
    }
  }
}

} // namespace siskindeal

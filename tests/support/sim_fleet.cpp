#include "support/sim_fleet.h"

#include "siskindeal/fleet_config.h"
#include "siskindeal/invariant.h"

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 100 };
constexpr milliseconds kExchangeTimeout{ 600 };
constexpr std::size_t kMaxContacts = 3;

std::string
AddressOf(const std::string& aVm)
{
  return aVm + ":1";
}

} // namespace

SimFleet::SimFleet(std::uint64_t aSeed)
  : m_platform(m_clock, aSeed)
  , m_random(aSeed + 1)
{
}

SimFleet::~SimFleet() = default;

void
SimFleet::Add(const std::string& aVm,
              const std::string& aPlace,
              wire::Role aRole)
{
  auto& node = m_nodes[aVm];
  node.m_settings.m_vm = aVm;
  node.m_settings.m_place = aPlace;
  node.m_role = aRole;
  for (const auto& [vm, other] : m_nodes) {
    if (other.m_role == wire::ROLE_ENTRY &&
        node.m_settings.m_entries.size() < kMaxContacts) {
      node.m_settings.m_entries.push_back({ vm, 1 });
    }
  }
  Start(aVm);
}

void
SimFleet::Start(const std::string& aVm)
{
  auto& node = m_nodes.at(aVm);
  Kill(aVm);
  node.m_up = true;
  node.m_versions.clear();
  // Every third start has a lower incarnation, as after a clock that was set
  // back. No two incarnations are equal.
  ++node.m_starts;
  const auto incarnation = 1000 * (1 + node.m_starts % 3) + node.m_starts;
  node.m_exchange = std::make_unique<Exchange>(node.m_settings,
                                               MembershipSettings{},
                                               node.m_role,
                                               AddressOf(aVm),
                                               incarnation,
                                               m_random.Below(1000000));
  if (node.m_role != wire::ROLE_ENTRY) {
    return;
  }
  auto& exchange = *node.m_exchange;
  for (const auto* prefix : { kConfigPrefix, kTargetPrefix }) {
    ObjectWatcher::Hooks hooks;
    hooks.m_held = [&exchange, prefix] {
      return exchange.Objects().Held(prefix);
    };
    hooks.m_unconfirmed = [&exchange, prefix] {
      return exchange.Objects().HasUnconfirmed(prefix);
    };
    hooks.m_onObjects = [this, &node](const auto& aObjects) {
      Exchange::Updates news;
      news.m_objects = node.m_exchange->ApplyPlatformObjects(aObjects);
      CheckObjects(node, news);
    };
    node.m_watchers.push_back(
      std::make_shared<ObjectWatcher>(m_platform.Client(aVm),
                                      prefix,
                                      m_random.Below(1000000),
                                      std::move(hooks)));
  }
}

void
SimFleet::Kill(const std::string& aVm)
{
  auto& node = m_nodes.at(aVm);
  node.m_up = false;
  node.m_paused = false;
  for (const auto& watcher : node.m_watchers) {
    watcher->Stop();
  }
  node.m_watchers.clear();
}

void
SimFleet::Cut(const std::string& aFrom, const std::string& aTo, bool aCut)
{
  if (aCut) {
    m_cuts.insert({ aFrom, aTo });
  } else {
    m_cuts.erase({ aFrom, aTo });
  }
}

void
SimFleet::Isolate(const std::string& aPlace, bool aCut)
{
  for (const auto& [vm, node] : m_nodes) {
    if (node.m_settings.m_place != aPlace) {
      continue;
    }
    m_platform.SetCut(vm,
                      aCut ? siskindeal::Cut::Requests : siskindeal::Cut::None);
    for (const auto& [otherVm, other] : m_nodes) {
      if (other.m_settings.m_place != aPlace) {
        Cut(vm, otherVm, aCut);
        Cut(otherVm, vm, aCut);
      }
    }
  }
}

bool
SimFleet::ShouldDeliver(const std::string& aFrom, const std::string& aTo)
{
  return m_cuts.count({ aFrom, aTo }) == 0 && !m_random.Chance(m_loss);
}

void
SimFleet::At(milliseconds aDelay, std::function<void()> aTask)
{
  m_tasks.emplace(m_clock.Now() + aDelay, std::move(aTask));
}

SimFleet::Node*
SimFleet::FindByAddress(const std::string& aAddress)
{
  const auto found = m_nodes.find(aAddress.substr(0, aAddress.find(':')));
  return found == m_nodes.end() ? nullptr : &found->second;
}

// Checks that each applied object is newer than the one it replaces and was
// accepted by the platform.
void
SimFleet::CheckObjects(Node& aNode, const Exchange::Updates& aUpdates)
{
  for (const auto& object : aUpdates.m_objects) {
    auto& version = aNode.m_versions[object.m_key];
    SISKINDEAL_INVARIANT(object.m_version > version,
                         "the version of an applied object never decreases");
    version = object.m_version;
    const auto stored = m_platform.Stored(object.m_key);
    SISKINDEAL_INVARIANT(object.m_version <= stored.m_version,
                         "an applied object was accepted by the platform");
    SISKINDEAL_INVARIANT(object.m_version < stored.m_version ||
                           object.m_value == stored.m_value,
                         "an applied object has the accepted value");
  }
}

void
SimFleet::TickNode(Node& aNode)
{
  if (!aNode.m_up || aNode.m_paused) {
    return;
  }
  const auto now = m_clock.Now();
  auto& exchange = *aNode.m_exchange;
  wire::NodeRecord own;
  *own.mutable_load() = aNode.m_load;
  bool failing = false;
  for (const auto& watcher : aNode.m_watchers) {
    failing |= watcher->Failing();
  }
  exchange.SetPlatformFailing(failing);
  exchange.SetOwn(own, {}, now);
  exchange.UpdateLiveness(now);
  for (const auto& due : exchange.Tick(now)) {
    Send(aNode, due);
  }
  const bool watch = exchange.ShouldWatch();
  for (const auto& watcher : aNode.m_watchers) {
    watcher->Tick(now, watch);
  }
  ++m_steps;
}

void
SimFleet::Send(Node& aFrom, const Exchange::OutgoingExchange& aDue)
{
  ++m_exchanges;
  m_records += aDue.m_request.nodes_size() + aDue.m_request.objects_size();
  const auto starts = aFrom.m_starts;
  auto fail = [this, &aFrom, starts, aDue] {
    if (aFrom.m_up && aFrom.m_starts == starts) {
      aFrom.m_exchange->OnFailure(aDue, m_clock.Now());
    }
  };
  auto* to = FindByAddress(aDue.m_address);
  const milliseconds latency{ 1 + m_random.Below(3) };
  const auto fromVm = aFrom.m_settings.m_vm;
  if (to == nullptr || !ShouldDeliver(fromVm, to->m_settings.m_vm)) {
    return At(kExchangeTimeout, fail);
  }
  At(latency, [this, &aFrom, to, starts, aDue, fail, latency, fromVm] {
    ++m_steps;
    if (!to->m_up || to->m_paused) {
      return At(kExchangeTimeout, fail);
    }
    Exchange::Updates news;
    const auto reply =
      to->m_exchange->OnRequest(aDue.m_request, m_clock.Now(), news);
    CheckObjects(*to, news);
    m_records += reply.nodes_size() + reply.objects_size();
    if (!ShouldDeliver(to->m_settings.m_vm, fromVm)) {
      return At(kExchangeTimeout, fail);
    }
    At(latency, [this, &aFrom, starts, aDue, reply] {
      ++m_steps;
      if (!aFrom.m_up || aFrom.m_starts != starts) {
        return;
      }
      Exchange::Updates answered;
      aFrom.m_exchange->OnReply(aDue, reply, m_clock.Now(), answered);
      CheckObjects(aFrom, answered);
    });
  });
}

void
SimFleet::Run(milliseconds aFor)
{
  for (milliseconds passed{ 0 }; passed < aFor; passed += kTickInterval) {
    for (auto& [vm, node] : m_nodes) {
      TickNode(node);
    }
    const auto end = m_clock.Now() + kTickInterval;
    while (m_clock.Now() < end) {
      m_platform.Advance(milliseconds{ 1 });
      while (!m_tasks.empty() && m_tasks.begin()->first <= m_clock.Now()) {
        const auto task = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        task();
      }
    }
  }
}

bool
SimFleet::AllHold(const std::string& aKey) const
{
  const auto stored = m_platform.Stored(aKey);
  for (const auto& [vm, node] : m_nodes) {
    if (!node.m_up || node.m_paused) {
      continue;
    }
    const auto* held = node.m_exchange->Objects().Find(aKey);
    const bool missing = held == nullptr || held->m_object.m_deleted;
    if (missing != (stored.m_deleted || stored.m_version == 0) ||
        (!missing && held->m_object.m_version != stored.m_version)) {
      return false;
    }
  }
  return true;
}

} // namespace siskindeal

#include "gateway/config_sources_p.h"

#include "siskindeal/digest.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// Separates this order from other orders of the same gateways.
constexpr std::uint64_t kOrderSeed = 0x636f6e666967;

std::uint64_t
OrderOf(const std::string& aVm)
{
  return StableHash(aVm, kOrderSeed);
}

// This gateway's place among those of its region.
struct StoreOrder
{
  std::int64_t m_preceding = 0; // gateways, whether recent or not
  bool m_isRead = false; // another one is reading its first configuration
};

// Whether a gateway that gets nothing recent from others turns to the store.
bool
IsStoreTurn(const ConfigKnowledge& aOwn, const StoreOrder& aOrder)
{
  if (aOwn.m_age) {
    return *aOwn.m_age - kMaxConfigSourceAge >= StoreTurn(aOrder.m_preceding);
  }
  const milliseconds lacking = aOwn.m_knowsOthersFor - kConfigDiscoveryTime;
  if (aOrder.m_isRead) {
    return lacking >= kMaxFirstReadTurnTime;
  }
  return lacking >= std::min(kFirstReadTurnTime * aOrder.m_preceding,
                             kMaxFirstReadTurnTime);
}

// The gateway to ask for a version that is newer than the own one. Gateways
// choose different ones, so that the first that has it isn't overloaded.
const ConfigHolder*
ChooseNewer(const std::string& aOwnVm,
            const ConfigKnowledge& aOwn,
            const std::vector<ConfigHolder>& aHolders,
            bool aMayAskOtherRegions)
{
  const std::uint64_t own = OrderOf(aOwnVm);
  const ConfigHolder* best = nullptr;
  for (const ConfigHolder& holder : aHolders) {
    if (holder.m_version <= aOwn.m_version ||
        !(holder.m_isInOwnRegion || aMayAskOtherRegions)) {
      continue;
    }
    const auto precedes = [&](const ConfigHolder& aOther) {
      return aOther.m_isInOwnRegion != holder.m_isInOwnRegion
               ? holder.m_isInOwnRegion
               : StableHash(holder.m_vm, own) > StableHash(aOther.m_vm, own);
    };
    if (best == nullptr || precedes(*best)) {
      best = &holder;
    }
  }
  return best;
}

} // namespace

ConfigSources
ChooseConfigSources(const std::string& aOwnVm,
                    const ConfigKnowledge& aOwn,
                    const std::vector<ConfigHolder>& aHolders)
{
  const std::uint64_t ownOrder = OrderOf(aOwnVm);
  std::vector<const ConfigHolder*> recent; // in this region
  StoreOrder order;
  for (const ConfigHolder& holder : aHolders) {
    if (!holder.m_isInOwnRegion) {
      continue;
    }
    const bool precedes = OrderOf(holder.m_vm) > ownOrder;
    order.m_preceding += precedes ? 1 : 0;
    // Of two that began at once, one goes on.
    order.m_isRead = order.m_isRead ||
                     (holder.m_readsFirst && (precedes || !aOwn.m_readsFirst));
    if (holder.m_age && *holder.m_age <= kMaxConfigSourceAge) {
      recent.push_back(&holder);
    }
  }
  std::sort(
    recent.begin(), recent.end(), [](const auto* aOne, const auto* aTwo) {
      return OrderOf(aOne->m_vm) > OrderOf(aTwo->m_vm);
    });
  const auto rank = static_cast<std::size_t>(
    std::count_if(recent.begin(), recent.end(), [&](const auto* aHolder) {
      return OrderOf(aHolder->m_vm) > ownOrder;
    }));
  const bool isRecent = aOwn.m_age && *aOwn.m_age <= kMaxConfigSourceAge;
  ConfigSources sources;
  sources.m_store = isRecent ? rank == 0 : IsStoreTurn(aOwn, order);
  const ConfigHolder* source = nullptr;
  if (rank > 0) {
    source = recent[(rank - 1) / kConfigFanOut];
  } else if (!isRecent && !recent.empty()) {
    source = recent.front();
  }
  const ConfigHolder* newer =
    ChooseNewer(aOwnVm, aOwn, aHolders, sources.m_store);
  if (newer != nullptr &&
      (source == nullptr || source->m_version <= aOwn.m_version)) {
    source = newer;
  }
  if (source != nullptr) {
    sources.m_peer = *source;
  }
  return sources;
}

} // namespace siskindeal

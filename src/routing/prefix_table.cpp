#include "siskindeal/routing.h"

#include <algorithm>

namespace siskindeal {

PrefixTable::PrefixTable(std::size_t aMaxPrefixes)
  : m_maxPrefixes(aMaxPrefixes)
{
}

void
PrefixTable::RecordHolder(std::uint64_t aPrefix,
                          const std::string& aVm,
                          MonotonicTime aNow)
{
  const auto [found, added] = m_prefixes.try_emplace(aPrefix);
  if (added) {
    m_insertionOrder.push_back(aPrefix);
    while (m_prefixes.size() > m_maxPrefixes) {
      m_prefixes.erase(m_insertionOrder.front());
      m_insertionOrder.pop_front();
    }
  }
  auto& holders = m_prefixes[aPrefix];
  for (auto& holder : holders) {
    if (holder.m_vm == aVm) {
      holder.m_lastSeen = aNow;
      return;
    }
  }
  if (holders.size() >= kMaxHolders) {
    holders.erase(std::min_element(holders.begin(),
                                   holders.end(),
                                   [](const Holder& aOne, const Holder& aTwo) {
                                     return aOne.m_lastSeen < aTwo.m_lastSeen;
                                   }));
  }
  holders.push_back({ aVm, aNow, false });
}

void
PrefixTable::OnRequestSent(std::uint64_t aPrefix,
                           const std::string& aVm,
                           MonotonicTime aNow)
{
  if (aPrefix != 0) {
    RecordHolder(aPrefix, aVm, aNow);
  }
}

void
PrefixTable::OnCacheEvent(const std::string& aVm,
                          std::uint64_t aSequence,
                          std::uint64_t aPrefix,
                          bool aEvicted,
                          MonotonicTime aNow)
{
  auto& vm = m_vms[aVm];
  if (aSequence <= vm.m_lastSequence) {
    return;
  }
  if (vm.m_lastSequence != 0 && aSequence != vm.m_lastSequence + 1) {
    vm.m_lastGap = aNow;
  }
  vm.m_lastSequence = aSequence;
  if (!aEvicted) {
    RecordHolder(aPrefix, aVm, aNow);
    return;
  }
  const auto found = m_prefixes.find(aPrefix);
  if (found == m_prefixes.end()) {
    return;
  }
  std::erase_if(found->second, [&](const Holder& aHolder) {
    return aHolder.m_vm == aVm && aNow - aHolder.m_lastSeen > kMaxEventLag;
  });
}

void
PrefixTable::RemoveVm(const std::string& aVm)
{
  m_vms.erase(aVm);
  for (auto& [prefix, holders] : m_prefixes) {
    std::erase_if(holders,
                  [&](const Holder& aHolder) { return aHolder.m_vm == aVm; });
  }
}

std::vector<PrefixTable::Holder>
PrefixTable::Holders(std::uint64_t aPrefix, MonotonicTime aNow) const
{
  const auto found = m_prefixes.find(aPrefix);
  if (aPrefix == 0 || found == m_prefixes.end()) {
    return {};
  }
  std::vector<Holder> holders;
  for (auto holder : found->second) {
    if (aNow - holder.m_lastSeen > kHolderTtl) {
      continue;
    }
    const auto vm = m_vms.find(holder.m_vm);
    holder.m_unconfirmed =
      vm != m_vms.end() && vm->second.m_lastGap > holder.m_lastSeen;
    holders.push_back(std::move(holder));
  }
  std::stable_sort(
    holders.begin(), holders.end(), [](const Holder& aOne, const Holder& aTwo) {
      return aOne.m_unconfirmed < aTwo.m_unconfirmed;
    });
  return holders;
}

} // namespace siskindeal

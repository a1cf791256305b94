#include "siskindeal/routing.h"

#include <algorithm>

namespace siskindeal {

PrefixTable::PrefixTable(std::size_t aMost)
  : m_most(aMost)
{
}

void
PrefixTable::Note(std::uint64_t aPrefix,
                  const std::string& aVm,
                  MonotonicTime aNow)
{
  const auto [found, added] = m_prefixes.try_emplace(aPrefix);
  if (added) {
    m_order.push_back(aPrefix);
    while (m_prefixes.size() > m_most) {
      m_prefixes.erase(m_order.front());
      m_order.pop_front();
    }
  }
  auto& holders = m_prefixes[aPrefix];
  for (auto& holder : holders) {
    if (holder.m_vm == aVm) {
      holder.m_seen = aNow;
      return;
    }
  }
  if (holders.size() >= kMostHolders) {
    holders.erase(std::min_element(holders.begin(),
                                   holders.end(),
                                   [](const Holder& aOne, const Holder& aTwo) {
                                     return aOne.m_seen < aTwo.m_seen;
                                   }));
  }
  holders.push_back({ aVm, aNow, false });
}

void
PrefixTable::Sent(std::uint64_t aPrefix,
                  const std::string& aVm,
                  MonotonicTime aNow)
{
  if (aPrefix != 0) {
    Note(aPrefix, aVm, aNow);
  }
}

void
PrefixTable::Event(const std::string& aVm,
                   std::uint64_t aSequence,
                   std::uint64_t aPrefix,
                   bool aEvicted,
                   MonotonicTime aNow)
{
  auto& vm = m_vms[aVm];
  if (aSequence <= vm.m_sequence) {
    return;
  }
  if (vm.m_sequence != 0 && aSequence != vm.m_sequence + 1) {
    vm.m_gapAt = aNow;
  }
  vm.m_sequence = aSequence;
  if (!aEvicted) {
    Note(aPrefix, aVm, aNow);
    return;
  }
  const auto found = m_prefixes.find(aPrefix);
  if (found == m_prefixes.end()) {
    return;
  }
  std::erase_if(found->second, [&](const Holder& aHolder) {
    return aHolder.m_vm == aVm && aNow - aHolder.m_seen > kEventLag;
  });
}

void
PrefixTable::Forget(const std::string& aVm)
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
    if (aNow - holder.m_seen > kLifetime) {
      continue;
    }
    const auto vm = m_vms.find(holder.m_vm);
    holder.m_doubtful = vm != m_vms.end() && vm->second.m_gapAt > holder.m_seen;
    holders.push_back(std::move(holder));
  }
  std::stable_sort(
    holders.begin(), holders.end(), [](const Holder& aOne, const Holder& aTwo) {
      return aOne.m_doubtful < aTwo.m_doubtful;
    });
  return holders;
}

} // namespace siskindeal

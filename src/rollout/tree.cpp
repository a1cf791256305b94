#include "rollout/policy_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::size_t kChildren = 2;

std::optional<std::uint32_t>
FirstWanted(const DownloadView& aView)
{
  for (std::uint32_t i = 0; i < aView.m_wanted.Size(); ++i) {
    if (aView.m_wanted.Has(i)) {
      return i;
    }
  }
  return std::nullopt;
}

// A binary distribution tree over the VMs, ordered by place and name. A VM
// starts once its parent holds the complete copy. An unusable ancestor is
// skipped in favor of its own parent; the parent of the root is the origin.
class Tree final : public RolloutPolicy
{
public:
  std::optional<ChunkChoice> Next(const DownloadView& aView, Random&) override
  {
    const auto chunk = FirstWanted(aView);
    if (!chunk) {
      return std::nullopt;
    }
    const auto order = Order(aView);
    auto position = static_cast<std::size_t>(
      std::find(order.begin(), order.end(), kSelf) - order.begin());
    while (position > 0) {
      position = (position - 1) / kChildren;
      const auto parent = order[position];
      const auto& peer = aView.m_peers[parent];
      if (peer.m_usable) {
        return peer.m_have.Full() ? std::optional(ChunkChoice{ *chunk, parent })
                                  : std::nullopt;
      }
    }
    return aView.m_originUsable
             ? std::optional(ChunkChoice{ *chunk, std::nullopt })
             : std::nullopt;
  }

private:
  static constexpr std::size_t kSelf = SIZE_MAX;

  static std::vector<std::size_t> Order(const DownloadView& aView)
  {
    std::vector<std::size_t> order{ kSelf };
    for (std::size_t i = 0; i < aView.m_peers.size(); ++i) {
      order.push_back(i);
    }
    const auto key = [&](std::size_t aIndex) {
      return aIndex == kSelf ? std::pair(aView.m_place, aView.m_vm)
                             : std::pair(aView.m_peers[aIndex].m_info.m_place,
                                         aView.m_peers[aIndex].m_info.m_vm);
    };
    std::sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
      return key(aLeft) < key(aRight);
    });
    return order;
  }
};

const Registration<RolloutPolicy> kRegistered("tree", [] {
  return std::make_unique<Tree>();
});

} // namespace

} // namespace siskindeal

#include "rollout/policy_p.h"

namespace siskindeal {

namespace {

// Every VM fetches all chunks from the origin, in order.
class OriginOnly final : public RolloutPolicy
{
public:
  std::optional<ChunkChoice> Next(const DownloadView& aView, Random&) override
  {
    if (!aView.m_originUsable) {
      return std::nullopt;
    }
    for (std::uint32_t i = 0; i < aView.m_wanted.Size(); ++i) {
      if (aView.m_wanted.Has(i)) {
        return ChunkChoice{ i, std::nullopt };
      }
    }
    return std::nullopt;
  }

  bool NeedsPeers() const override { return false; }
};

const Registration<RolloutPolicy> kRegistered("origin_only", [] {
  return std::make_unique<OriginOnly>();
});

} // namespace

} // namespace siskindeal

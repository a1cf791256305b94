#include "stager/fetch_target_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// If a version was named kMinNamedGap before the next one, the fleet has most
// of its pieces. The next one's fetch is still in time if it starts
// kMaxNewerDelay late, or later if kMostlyHeldFraction of the pieces are here.
constexpr milliseconds kMinNamedGap{ 1500 };
constexpr milliseconds kMaxNewerDelay{ 2200 };
constexpr double kMostlyHeldFraction = 0.75;
constexpr milliseconds kMaxNewerDelayMostlyHeld{ 3500 };

} // namespace

bool
ShouldFinishTargetFirst(const FetchProgress& aProgress,
                        const NamedVersions& aNamed,
                        const std::string& aModel,
                        std::uint64_t aNewest,
                        milliseconds aNow)
{
  const auto newestAt = aNamed.NamedAt(aModel, aNewest);
  const auto targetAt = aNamed.NamedAt(aModel, aProgress.m_target);
  if (!newestAt || !targetAt || !aProgress.m_hasPieceList ||
      aProgress.m_target <= aProgress.m_coming) {
    return false;
  }
  const milliseconds maxDelay = aProgress.m_heldFraction >= kMostlyHeldFraction
                                  ? kMaxNewerDelayMostlyHeld
                                  : kMaxNewerDelay;
  return *newestAt - *targetAt >= kMinNamedGap && aNow - *newestAt < maxDelay;
}

} // namespace siskindeal

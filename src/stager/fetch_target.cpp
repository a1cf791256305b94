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
  // Counted from the oldest version that the target would satisfy. Otherwise
  // versions that are named one soon after the other would keep each other from
  // ever being fetched completely.
  const auto missing = aNamed.NextAfter(aModel, aProgress.m_coming);
  if (!newestAt || !missing || !aProgress.m_hasPieceList ||
      aProgress.m_isWithdrawn || aProgress.m_target <= aProgress.m_coming ||
      missing->m_version > aProgress.m_target) {
    return false;
  }
  const milliseconds maxDelay = aProgress.m_heldFraction >= kMostlyHeldFraction
                                  ? kMaxNewerDelayMostlyHeld
                                  : kMaxNewerDelay;
  return *newestAt - missing->m_namedAt >= kMinNamedGap &&
         aNow - *newestAt < maxDelay;
}

} // namespace siskindeal

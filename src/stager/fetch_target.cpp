#include "stager/fetch_target_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// A version may replace those named up to this long before it that the runner
// has not got. Counted from the first of them, so that versions in a row don't
// replace each other without end.
constexpr milliseconds kMinNamedGap{ 1500 };
// A newer version's fetch is still in time if it starts kMaxNewerDelay late, or
// later if kMostlyHeldFraction of the target's pieces are here.
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
  const auto firstMissing = aNamed.NextAfter(aModel, aProgress.m_coming);
  if (!newestAt || !firstMissing || !aProgress.m_hasPieceList ||
      aProgress.m_target <= aProgress.m_coming) {
    return false;
  }
  const milliseconds maxDelay = aProgress.m_heldFraction >= kMostlyHeldFraction
                                  ? kMaxNewerDelayMostlyHeld
                                  : kMaxNewerDelay;
  return *newestAt - firstMissing->m_namedAt >= kMinNamedGap &&
         aNow - *newestAt < maxDelay;
}

} // namespace siskindeal

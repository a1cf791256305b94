#pragma once
// Decides whether a stager goes on fetching a version of weights when newer
// ones have been named. All stagers of a fleet decide alike from the times at
// which versions were named, so that they exchange pieces of the same one. Does
// no I/O; the caller passes the time.

#include "dispatch/named_versions_p.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace siskindeal {

struct FetchProgress
{
  std::uint64_t m_target = 0; // the version that is being fetched
  bool m_hasPieceList = false;
  double m_heldFraction = 0; // of its pieces
  // The newest version that the runner holds or is loading; 0: none.
  std::uint64_t m_coming = 0;
};

// Whether the target should be fetched completely before a newer version is
// started, if aNewest, the newest one, can still be fetched in time after it.
bool
ShouldFinishTargetFirst(const FetchProgress& aProgress,
                        const NamedVersions& aNamed,
                        const std::string& aModel,
                        std::uint64_t aNewest,
                        std::chrono::milliseconds aNow);

} // namespace siskindeal

#include "stager/list_turn_p.h"

#include <algorithm>
#include <cstdint>

namespace siskindeal {

bool
MayAskOriginForList(std::size_t aRank,
                    std::size_t aStagers,
                    std::chrono::milliseconds aWaited)
{
  const std::size_t turns =
    (std::max<std::size_t>(1, aStagers) + kListAskers - 1) / kListAskers;
  const auto current =
    static_cast<std::size_t>(std::max<std::int64_t>(0, aWaited / kListTurn));
  return aRank / kListAskers % turns == current % turns;
}

} // namespace siskindeal

#pragma once
// Decides which stagers of a region ask the origin for a piece list. Does no
// I/O.

#include <chrono>
#include <cstddef>

namespace siskindeal {

// How many stagers of a region ask the origin at once. More would exceed its
// connection limit, and their lists would take its link from the pieces.
inline constexpr std::size_t kListAskers = 2;
// By the end of a turn, the others can get the list from those who asked.
inline constexpr std::chrono::milliseconds kListTurn{ 160 };

// Whether the stager of rank aRank among aStagers may ask the origin, aWaited
// after it began to want the list. All take turns, again and again, so that the
// origin isn't flooded when it returns after an outage, and stagers that can't
// reach it hold up nobody.
bool
MayAskOriginForList(std::size_t aRank,
                    std::size_t aStagers,
                    std::chrono::milliseconds aWaited);

} // namespace siskindeal

#pragma once
// Invariants that are checked in every build.

#include <cstdint>
#include <string_view>

namespace siskindeal {

// Counts and logs a broken invariant; aborts where SetAbortOnBrokenInvariant
// said so.
void
ReportBrokenInvariant(std::string_view aCondition,
                      std::string_view aWhat,
                      std::string_view aFile,
                      int aLine);

// Tests set it; a serving process goes on and counts.
void
SetAbortOnBrokenInvariant(bool aAbort);

// How many invariants were broken since the process started.
std::uint64_t
BrokenInvariants();

} // namespace siskindeal

// Checks aCondition in every build; aWhat says in a sentence what must hold.
#define SISKINDEAL_INVARIANT(aCondition, aWhat)                                \
  do {                                                                         \
    if (!(aCondition)) {                                                       \
      ::siskindeal::ReportBrokenInvariant(                                     \
        #aCondition, aWhat, __FILE__, __LINE__);                               \
    }                                                                          \
  } while (false)

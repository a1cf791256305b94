#pragma once
// Invariants that are checked in every build.

#include <cstdint>
#include <string_view>

namespace siskindeal {

// Counts and logs a broken invariant; aborts if SetAbortOnBrokenInvariant(true)
// was called.
void
ReportBrokenInvariant(std::string_view aCondition,
                      std::string_view aWhat,
                      std::string_view aFile,
                      int aLine);

// Used by tests. Without it the process continues and counts the failure.
void
SetAbortOnBrokenInvariant(bool aAbort);

// Returns how many invariant checks have failed since the process started.
std::uint64_t
BrokenInvariants();

} // namespace siskindeal

// Checks aCondition in every build; aWhat is a sentence that states it.
#define SISKINDEAL_INVARIANT(aCondition, aWhat)                                \
  do {                                                                         \
    if (!(aCondition)) {                                                       \
      ::siskindeal::ReportBrokenInvariant(                                     \
        #aCondition, aWhat, __FILE__, __LINE__);                               \
    }                                                                          \
  } while (false)

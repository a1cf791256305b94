#pragma once
// The cases and the runners that they start as processes.

#include <string>

namespace review {

class Record;

// What a case returns.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

int
RunUnframedCase(const std::string& aSelf,
                Record& aRecord,
                bool aTrouble,
                bool aIsStream);
void
RunUnframedRunner(const std::string& aHost,
                  const std::string& aId,
                  const std::string& aRuns);

} // namespace review

#pragma once
// The cases and the runners that they start as processes.

#include <nlohmann/json.hpp>

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
int
RunDeadlyCase(const std::string& aSelf,
              Record& aRecord,
              bool aTrouble,
              const std::string& aPath);
int
RunDarkCase(const std::string& aSelf, Record& aRecord, bool aTrouble);

// Runners that run a request to this path crash in the middle of its response.
inline const std::string kDarkPath = "/book/dark";
inline const std::string kDeadlyStreamPath = "/chat/deadly";
inline const std::string kDeadlyPath = "/book/deadly";

// The configuration of a club with a streaming and a booking route.
nlohmann::json
ClubConfig();
void
RunUnframedRunner(const std::string& aHost,
                  const std::string& aId,
                  const std::string& aRuns);

} // namespace review

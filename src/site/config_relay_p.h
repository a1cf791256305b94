#pragma once
// The questions and replies by which processes get what the platform's store
// holds from a gateway instead: the configuration and the list of runners.

#include "config_relay.pb.h"
#include "site/runner_list_p.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskindeal {

inline constexpr std::string_view kConfigPath = "/config";

struct ConfigQuestion
{
  // The configuration that the asking process has; 0: none.
  std::uint64_t m_version = 0;
  // Time since which it may have missed a change.
  std::chrono::milliseconds m_age{ 0 };
  // A gateway that has no news responds after this time.
  std::chrono::milliseconds m_wait{ 0 };
  // The list of runners that it has; unset if it wants none.
  std::optional<RunnerListMark> m_runners;

  // The target of the HTTP request.
  std::string Target() const;
};

// Reads the target of a request. Parameters that are missing or malformed
// count as zero, an unreadable list as one that isn't wanted.
ConfigQuestion
ParseConfigQuestion(std::string_view aTarget);

// Returns the object of the store that a reply holds. Throws
// std::invalid_argument if it can't be decompressed.
SiteObject
DecodeConfigReply(const v1::ConfigReply& aReply);

// Encodes what a copy of the list with that mark lacks; the caller adds how
// recent the list is.
v1::RunnerListReply
EncodeRunnerList(const RunnerList& aList, const RunnerListMark& aMark);

// Throws std::invalid_argument if a runner's address is malformed.
RunnerListDelta
DecodeRunnerList(const v1::RunnerListReply& aReply);

} // namespace siskindeal

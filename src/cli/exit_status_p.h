#pragma once
// Exit statuses of the command line, documented in docs/OPERATING.md.

#include "siskindeal/error.h"

#include <stdexcept>
#include <string>

namespace siskindeal {

enum class ExitStatus
{
  Done = 0,
  Failed = 1,      // internal error
  Usage = 2,       // invalid command line
  BadSettings = 3, // invalid settings or configuration file
  Refused = 4,     // rejected by the process; nothing was changed
  Conflict = 5,    // version conflict; nothing was changed
  NotFound = 6,
  Unreachable = 7, // no entry is available; nothing was changed
  Unknown = 8,     // sent, but the outcome is unknown
  NotMet = 9,      // target not met, or configuration not in force
};

struct ExitStatusText
{
  ExitStatus m_status;
  const char* m_text;
};

// Descriptions for the help; tests/docs_test.cpp compares docs/OPERATING.md
// with them.
inline constexpr ExitStatusText kExitStatusTexts[] = {
  { ExitStatus::Done, "done; for a status: met, or in force everywhere" },
  { ExitStatus::Failed, "an error inside siskindeal" },
  { ExitStatus::Usage, "the command line is wrong" },
  { ExitStatus::BadSettings, "a settings or configuration file is refused" },
  { ExitStatus::Refused, "refused by the process asked; nothing was changed" },
  { ExitStatus::Conflict,
    "someone else changed it first; both changes are shown" },
  { ExitStatus::NotFound, "no such target, configuration or fingerprint" },
  { ExitStatus::Unreachable,
    "no entry answers, or none reaches the platform; nothing was changed" },
  { ExitStatus::Unknown,
    "the change was sent and its outcome couldn't be resolved" },
  { ExitStatus::NotMet, "not met, or not in force everywhere" },
};

// Ends the command with this status and a message on standard error.
class CommandError : public std::runtime_error
{
public:
  CommandError(ExitStatus aStatus, const std::string& aWhat)
    : std::runtime_error(aWhat)
    , m_status(aStatus)
  {
  }

  ExitStatus Status() const { return m_status; }

private:
  ExitStatus m_status;
};

} // namespace siskindeal

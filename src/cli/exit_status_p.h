#pragma once
// The exit statuses of the command line, as docs/OPERATING.md lists them.

#include "siskindeal/error.h"

#include <stdexcept>
#include <string>

namespace siskindeal {

enum class ExitStatus
{
  Done = 0,
  Failed = 1,      // an error of siskindeal's own
  Usage = 2,       // the command line is wrong
  BadSettings = 3, // a settings or configuration file is refused
  Refused = 4,     // the entry or the process refused; nothing was changed
  Conflict = 5,    // someone else changed it; nothing was changed
  NotFound = 6,
  Unreachable = 7, // no entry can do it now; nothing was changed
  Unknown = 8,     // sent, and the outcome couldn't be resolved
  NotMet = 9,      // the target isn't met, or configuration not in force
};

struct ExitStatusText
{
  ExitStatus m_status;
  const char* m_text;
};

// What the help and the manual say of each.
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

// Ends the command with a status and a message on standard error.
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

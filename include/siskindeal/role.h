#pragma once
// Interface of the roles that the binary can run. Each role registers itself
// under the name of its subcommand; the command line depends on no role.
//
//   namespace {
//   const Registration<Role> kRegistered(
//     "entry", [] { return std::make_unique<EntryRole>(); });
//   }

#include "siskindeal/registry.h"

#include <string>

namespace siskindeal {

// A long-running process of siskindeal, such as "entry" or "agent".
class Role
{
public:
  virtual ~Role() = default;

  // One-line description in the list of commands.
  virtual std::string Summary() const = 0;

  // Reads the settings file, serves until SIGTERM or SIGINT, drains and returns
  // the exit status of the process, 0 after a graceful stop. Throws
  // SettingsError for invalid settings and Error if the process cannot start.
  virtual int Run(const std::string& aSettingsFile) = 0;
};

using RoleRegistry = Registry<Role>;

} // namespace siskindeal

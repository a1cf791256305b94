#pragma once
// What the binary can run as. Each role registers itself under the name of its
// subcommand; the command line knows no role by itself.
//
//   namespace {
//   const Registration<Role> kRegistered(
//     "entry", [] { return std::make_unique<EntryRole>(); });
//   }

#include "siskindeal/registry.h"

#include <string>

namespace siskindeal {

// A long-running process of siskindeal: "entry" or "agent".
class Role
{
public:
  virtual ~Role() = default;

  // One line for the list of commands.
  virtual std::string Summary() const = 0;

  // Reads the settings file, serves until SIGTERM or SIGINT, drains and returns
  // the process's exit status, 0 after a graceful stop. Throws SettingsError
  // for settings that are refused and Error where the process can't start.
  virtual int Run(const std::string& aSettingsFile) = 0;
};

using RoleRegistry = Registry<Role>;

} // namespace siskindeal

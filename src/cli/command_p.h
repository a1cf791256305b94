#pragma once
// Interface of the commands of the binary. Commands register themselves under
// their full name, such as "target create"; each role is also a command.

#include "cli/exit_status_p.h"
#include "siskindeal/registry.h"

#include <cxxopts.hpp>

#include <iosfwd>

namespace siskindeal {

// Output streams of a command.
struct Console
{
  std::ostream& m_out;
  std::ostream& m_error;
  bool m_isTerminal = false; // whether m_out is a terminal
};

class Command
{
public:
  virtual ~Command() = default;

  // One-line description in the list of commands.
  virtual std::string Summary() const = 0;
  // Paragraphs and examples in the command's own help.
  virtual std::string Explanation() const = 0;
  // The positional arguments as the usage line shows them, such as "NAME".
  virtual std::string Positional() const { return ""; }
  virtual void AddOptions(cxxopts::Options& aOptions) const = 0;
  // Throws CommandError, Error or SettingsError on failure.
  virtual ExitStatus Run(const cxxopts::ParseResult& aArguments,
                         Console& aConsole) = 0;
};

using CommandRegistry = Registry<Command>;

// Returns a positional argument; throws CommandError (Usage) if it is missing.
std::string
RequiredArgument(const cxxopts::ParseResult& aArguments,
                 const std::string& aName);

// Adds --output table|json.
void
AddOutputOption(cxxopts::Options& aOptions);

// Returns whether --output is json; throws CommandError (Usage) unless it is
// table or json.
bool
WantsJson(const cxxopts::ParseResult& aArguments);

// Runs the command line and returns the exit status of the process.
int
RunCommandLine(int aArgc, const char* const* aArgv, Console& aConsole);

} // namespace siskindeal

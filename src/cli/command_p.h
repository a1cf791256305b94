#pragma once
// A command of the binary. Commands register themselves under the words that
// call them, such as "target create"; roles are commands by their own registry.

#include "cli/exit_status_p.h"
#include "siskindeal/registry.h"

#include <cxxopts.hpp>

#include <iosfwd>

namespace siskindeal {

// Where a command writes.
struct Console
{
  std::ostream& m_out;
  std::ostream& m_error;
  bool m_isTerminal = false; // m_out
};

class Command
{
public:
  virtual ~Command() = default;

  // One line for the list of commands.
  virtual std::string Summary() const = 0;
  // Paragraphs for the command's own help, examples among them.
  virtual std::string Explanation() const = 0;
  // The positional arguments as the usage line shows them, such as "NAME".
  virtual std::string Positional() const { return ""; }
  virtual void AddOptions(cxxopts::Options& aOptions) const = 0;
  // Throws CommandError, Error or SettingsError to end with another status.
  virtual ExitStatus Run(const cxxopts::ParseResult& aArguments,
                         Console& aConsole) = 0;
};

using CommandRegistry = Registry<Command>;

// The positional argument that a command can't do without.
std::string
RequiredArgument(const cxxopts::ParseResult& aArguments,
                 const std::string& aName);

// Adds --output table|json.
void
AddOutputOption(cxxopts::Options& aOptions);

// Whether --output says json; throws CommandError (Usage) for another word.
bool
WantsJson(const cxxopts::ParseResult& aArguments);

// Runs the command line and returns the process's exit status.
int
RunCommandLine(int aArgc, const char* const* aArgv, Console& aConsole);

} // namespace siskindeal

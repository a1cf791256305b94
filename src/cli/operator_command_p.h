#pragma once
// Base class of the commands that call an entry: client options, output format
// and one positional argument.

#include "cli/client_p.h"
#include "cli/command_p.h"

#include <optional>
#include <string>

namespace siskindeal {

class OperatorCommand : public Command
{
public:
  std::string Explanation() const final;
  std::string Positional() const final;
  void AddOptions(cxxopts::Options& aOptions) const final;
  ExitStatus Run(const cxxopts::ParseResult& aArguments,
                 Console& aConsole) final;

protected:
  struct Argument
  {
    std::string m_name;
    std::string m_help;
    bool m_required = true;
  };

  // One run of the command.
  struct Invocation
  {
    const cxxopts::ParseResult& m_arguments;
    std::string m_argument; // positional argument; empty if omitted
    bool m_json = false;
    Console& m_console;
  };

  // Help paragraphs that precede the one on the client; end with an empty line.
  virtual std::string Details() const = 0;
  virtual std::optional<Argument> GetArgument() const { return std::nullopt; }
  virtual void AddOwnOptions(cxxopts::Options&) const {}
  // Throws CommandError (Usage) before anything is sent.
  virtual void Validate(const cxxopts::ParseResult&) const {}
  virtual ExitStatus Invoke(OperatorClient& aClient,
                            const Invocation& aInvocation) = 0;
};

// Adds --version V.
void
AddVersionOption(cxxopts::Options& aOptions, const std::string& aHelp);

// The value of --version, if given.
std::optional<std::uint64_t>
GetVersionOption(const cxxopts::ParseResult& aArguments);

} // namespace siskindeal

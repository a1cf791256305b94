#pragma once
// What the commands that ask an entry have in common: the client's options, the
// form of the output and one positional argument.

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
    std::string m_argument; // the positional one; empty when left out
    bool m_json = false;
    Console& m_console;
  };

  // Paragraphs of the help before that on the client, with an empty line at
  // their end.
  virtual std::string Details() const = 0;
  virtual std::optional<Argument> GetArgument() const { return std::nullopt; }
  virtual void AddOwnOptions(cxxopts::Options&) const {}
  // Throws CommandError (Usage) before anything is sent.
  virtual void Check(const cxxopts::ParseResult&) const {}
  virtual ExitStatus Ask(OperatorClient& aClient,
                         const Invocation& aInvocation) = 0;
};

// Adds --version V.
void
AddVersionOption(cxxopts::Options& aOptions, const std::string& aHelp);

// The value of --version, if given.
std::optional<std::uint64_t>
VersionOf(const cxxopts::ParseResult& aArguments);

} // namespace siskindeal

#include "cli/client_p.h"
#include "cli/command_p.h"

#include <iostream>

namespace siskindeal {

namespace {

class StateCommand final : public Command
{
public:
  std::string Summary() const override
  {
    return "print the state of one process";
  }
  std::string Explanation() const override
  {
    return std::string(
             "ADDRESS is the HTTP address of an entry or an agent. The state "
             "is "
             "JSON: what it\nknows of the fleet, what it holds and what it "
             "waits for, without secrets or prompts.\n\n"
             "  siskindeal state 10.0.0.1:8080\n\n") +
           kClientExplanation;
  }
  std::string Positional() const override { return "ADDRESS"; }
  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options("hidden")(
      "ADDRESS", "HTTP address of the process", cxxopts::value<std::string>());
    aOptions.parse_positional({ "ADDRESS" });
    AddOutputOption(aOptions);
    AddClientOptions(aOptions);
  }
  ExitStatus Run(const cxxopts::ParseResult& aArguments,
                 Console& aConsole) override
  {
    WantsJson(aArguments);
    Address address;
    try {
      address = ParseAddress(RequiredArgument(aArguments, "ADDRESS"));
    } catch (const std::invalid_argument& error) {
      throw CommandError(ExitStatus::Usage, error.what());
    }
    OperatorClient client(ClientSettingsOf(aArguments));
    aConsole.m_out << client.State(address).dump(2) << "\n";
    return ExitStatus::Done;
  }
};

const Registration<Command> kRegistered("state", [] {
  return std::make_unique<StateCommand>();
});

} // namespace

} // namespace siskindeal

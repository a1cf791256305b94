#include "cli/operator_command_p.h"

#include <iostream>

namespace siskindeal {

namespace {

class StateCommand final : public OperatorCommand
{
public:
  std::string Summary() const override
  {
    return "print the state of one process";
  }
  std::string Details() const override
  {
    return "ADDRESS is the HTTP address of an entry or an agent. The state "
           "is JSON:\nits view of the fleet, what it holds and what it is "
           "waiting for, without secrets or\nprompts.\n\n"
           "  siskindeal state 10.0.0.1:8080\n\n";
  }
  std::optional<Argument> GetArgument() const override
  {
    return Argument{ "ADDRESS", "HTTP address of the process" };
  }
  void Validate(const cxxopts::ParseResult& aArguments) const override
  {
    try {
      ParseAddress(aArguments["ADDRESS"].as<std::string>());
    } catch (const std::invalid_argument& error) {
      throw CommandError(ExitStatus::Usage, error.what());
    }
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    const auto address = ParseAddress(aInvocation.m_argument);
    aInvocation.m_console.m_out << aClient.State(address).dump(2) << "\n";
    return ExitStatus::Done;
  }
};

const Registration<Command> kRegistered("state", [] {
  return std::make_unique<StateCommand>();
});

} // namespace

} // namespace siskindeal

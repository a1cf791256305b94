#include "cli/operator_command_p.h"

#include <absl/strings/str_cat.h>

namespace siskindeal {

std::string
OperatorCommand::Explanation() const
{
  return Details() + kClientExplanation;
}

std::string
OperatorCommand::Positional() const
{
  const auto argument = GetArgument();
  if (!argument) {
    return "";
  }
  return argument->m_required ? argument->m_name
                              : absl::StrCat("[", argument->m_name, "]");
}

void
OperatorCommand::AddOptions(cxxopts::Options& aOptions) const
{
  if (const auto argument = GetArgument()) {
    aOptions.add_options("hidden")(
      argument->m_name, argument->m_help, cxxopts::value<std::string>());
    aOptions.parse_positional({ argument->m_name });
  }
  AddOwnOptions(aOptions);
  AddOutputOption(aOptions);
  AddClientOptions(aOptions);
}

ExitStatus
OperatorCommand::Run(const cxxopts::ParseResult& aArguments, Console& aConsole)
{
  Invocation invocation{ aArguments, "", WantsJson(aArguments), aConsole };
  const auto argument = GetArgument();
  if (argument &&
      (argument->m_required || aArguments.count(argument->m_name) != 0)) {
    invocation.m_argument = RequiredArgument(aArguments, argument->m_name);
  }
  Validate(aArguments);
  OperatorClient client(ResolveClientSettings(aArguments));
  return Invoke(client, invocation);
}

void
AddVersionOption(cxxopts::Options& aOptions, const std::string& aHelp)
{
  aOptions.add_options()(
    "version", aHelp, cxxopts::value<std::uint64_t>(), "V");
}

std::optional<std::uint64_t>
GetVersionOption(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("version") == 0) {
    return std::nullopt;
  }
  return aArguments["version"].as<std::uint64_t>();
}

} // namespace siskindeal

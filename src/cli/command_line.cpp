#include "cli/command_p.h"

#include "node/signals_p.h"
#include "siskindeal/log.h"
#include "siskindeal/role.h"
#include "siskindeal/settings.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace siskindeal {

namespace {

constexpr int kNameColumnWidth = 20; // in the list of commands

// Runs a role. The command has the name of the role.
class RoleCommand final : public Command
{
public:
  explicit RoleCommand(const std::string& aRole)
    : m_role(RoleRegistry::Instance().Make(aRole))
  {
  }

  std::string Summary() const override { return m_role->Summary(); }
  std::string Explanation() const override
  {
    return "Serves until SIGTERM or SIGINT, then accepts no new work, waits "
           "for requests in\nflight and exits with 0. All settings are "
           "validated before anything starts;\n`siskindeal config keys` lists "
           "them. Logs are JSON lines on standard error.";
  }
  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options()("config",
                           "settings, a TOML file (required)",
                           cxxopts::value<std::string>(),
                           "FILE");
  }
  ExitStatus Run(const cxxopts::ParseResult& aArguments, Console&) override
  {
    if (aArguments.count("config") == 0) {
      throw CommandError(ExitStatus::Usage, "expected --config FILE");
    }
    try {
      const int status = m_role->Run(aArguments["config"].as<std::string>());
      return status == 0 ? ExitStatus::Done : ExitStatus::Failed;
    } catch (const StoppedAtStart& stop) {
      Log(LogLevel::Info,
          "stop",
          { { "reason", std::string_view(stop.what()) } });
      return ExitStatus::Done;
    }
  }

private:
  std::unique_ptr<Role> m_role;
};

std::vector<std::string>
CommandNames()
{
  std::vector<std::string> names = RoleRegistry::Instance().Names();
  for (const std::string& name : CommandRegistry::Instance().Names()) {
    names.push_back(name);
  }
  return names;
}

std::unique_ptr<Command>
MakeCommand(const std::string& aName)
{
  if (RoleRegistry::Instance().Has(aName)) {
    return std::make_unique<RoleCommand>(aName);
  }
  return CommandRegistry::Instance().Make(aName);
}

bool
IsCommand(const std::string& aName)
{
  return RoleRegistry::Instance().Has(aName) ||
         CommandRegistry::Instance().Has(aName);
}

void
PrintCommands(std::ostream& aOut, const std::string& aGroup)
{
  for (const std::string& name : CommandNames()) {
    if (!aGroup.empty() && name.rfind(aGroup + " ", 0) != 0) {
      continue;
    }
    aOut << "  " << std::left << std::setw(kNameColumnWidth) << name
         << MakeCommand(name)->Summary() << "\n";
  }
}

void
PrintExitStatuses(std::ostream& aOut)
{
  aOut << "\nExit status:\n";
  for (const ExitStatusText& text : kExitStatusTexts) {
    aOut << "  " << static_cast<int>(text.m_status) << "  " << text.m_text
         << "\n";
  }
}

void
PrintHelp(std::ostream& aOut, const std::string& aGroup)
{
  aOut << "siskindeal " SISKINDEAL_VERSION
          ": distributes model weights to fleets and routes live requests"
          "\n\nUsage: siskindeal COMMAND [OPTIONS]\n\n"
          "Commands:\n";
  PrintCommands(aOut, aGroup);
  aOut << "\n`siskindeal COMMAND --help` describes a command; `siskindeal "
          "--version` prints the version.\n";
  PrintExitStatuses(aOut);
}

void
PrintCommandHelp(std::ostream& aOut,
                 const Command& aCommand,
                 const cxxopts::Options& aOptions)
{
  aOut << aCommand.Summary() << "\n\n"
       << aOptions.help({ "" }) << "\n"
       << aCommand.Explanation() << "\n";
  PrintExitStatuses(aOut);
}

ExitStatus
ToExitStatus(const Error& aError)
{
  if (aError.GetVerdict() == Verdict::MayHaveRun) {
    return ExitStatus::Unknown;
  }
  switch (aError.GetReason()) {
    case Reason::Conflict:
      return ExitStatus::Conflict;
    case Reason::NotFound:
      return ExitStatus::NotFound;
    case Reason::Internal:
      return ExitStatus::Failed;
    default:
      return ExitStatus::Refused;
  }
}

ExitStatus
RunCommand(const std::string& aName,
           const std::vector<const char*>& aArguments,
           Console& aConsole)
{
  const auto command = MakeCommand(aName);
  cxxopts::Options options("siskindeal " + aName);
  options.custom_help("[OPTIONS]");
  options.positional_help(command->Positional());
  command->AddOptions(options);
  options.add_options()("h,help", "print this help");
  const auto parsed =
    options.parse(static_cast<int>(aArguments.size()), aArguments.data());
  if (parsed.count("help") != 0) {
    PrintCommandHelp(aConsole.m_out, *command, options);
    return ExitStatus::Done;
  }
  if (!parsed.unmatched().empty()) {
    throw CommandError(ExitStatus::Usage,
                       "unexpected argument \"" + parsed.unmatched().front() +
                         "\"");
  }
  if (!RoleRegistry::Instance().Has(aName)) {
    UnblockSignals(); // only roles have handlers for them
  }
  return command->Run(parsed, aConsole);
}

bool
IsHelp(const std::string& aWord)
{
  return aWord == "--help" || aWord == "-h" || aWord == "help";
}

// Runs the command named by the first two words, else by the first one.
ExitStatus
Dispatch(int aArgc, const char* const* aArgv, Console& aConsole)
{
  const std::string first = aArgc > 1 ? aArgv[1] : "";
  if (first.empty() || IsHelp(first)) {
    PrintHelp(first.empty() ? aConsole.m_error : aConsole.m_out, "");
    return first.empty() ? ExitStatus::Usage : ExitStatus::Done;
  }
  if (first == "--version") {
    aConsole.m_out << "siskindeal " SISKINDEAL_VERSION "\n";
    return ExitStatus::Done;
  }
  const std::string second = aArgc > 2 ? aArgv[2] : "";
  const std::string pair = first + " " + second;
  const bool isPair = IsCommand(pair);
  if (!isPair && !IsCommand(first)) {
    const auto names = CommandNames();
    const bool isGroup =
      std::any_of(names.begin(), names.end(), [&](const std::string& aName) {
        return aName.rfind(first + " ", 0) == 0;
      });
    if (isGroup && (second.empty() || IsHelp(second))) {
      PrintHelp(second.empty() ? aConsole.m_error : aConsole.m_out, first);
      return second.empty() ? ExitStatus::Usage : ExitStatus::Done;
    }
    throw CommandError(ExitStatus::Usage,
                       "unknown command \"" +
                         (isGroup && !second.empty() ? pair : first) +
                         "\"; `siskindeal --help` lists the commands");
  }
  std::vector<const char*> arguments = { "siskindeal" };
  arguments.insert(arguments.end(), aArgv + (isPair ? 3 : 2), aArgv + aArgc);
  return RunCommand(isPair ? pair : first, arguments, aConsole);
}

ExitStatus
DispatchAndReportErrors(int aArgc, const char* const* aArgv, Console& aConsole)
{
  const auto report = [&](ExitStatus aStatus, const std::exception& aError) {
    aConsole.m_error << "siskindeal: " << aError.what() << "\n";
    return aStatus;
  };
  try {
    return Dispatch(aArgc, aArgv, aConsole);
  } catch (const CommandError& error) {
    return report(error.Status(), error);
  } catch (const SettingsError& error) {
    return report(ExitStatus::BadSettings, error);
  } catch (const Error& error) {
    return report(ToExitStatus(error), error);
  } catch (const cxxopts::exceptions::exception& error) {
    return report(ExitStatus::Usage, error);
  } catch (const std::exception& error) {
    return report(ExitStatus::Failed, error);
  }
}

} // namespace

std::string
RequiredArgument(const cxxopts::ParseResult& aArguments,
                 const std::string& aName)
{
  if (aArguments.count(aName) == 0) {
    throw CommandError(ExitStatus::Usage, "expected " + aName);
  }
  return aArguments[aName].as<std::string>();
}

void
AddOutputOption(cxxopts::Options& aOptions)
{
  aOptions.add_options()("output",
                         "table, or json for scripts",
                         cxxopts::value<std::string>()->default_value("table"),
                         "FORM");
}

bool
WantsJson(const cxxopts::ParseResult& aArguments)
{
  const auto form = aArguments["output"].as<std::string>();
  if (form != "table" && form != "json") {
    throw CommandError(ExitStatus::Usage,
                       "--output: expected table or json, got \"" + form +
                         "\"");
  }
  return form == "json";
}

int
RunCommandLine(int aArgc, const char* const* aArgv, Console& aConsole)
{
  const ExitStatus status = DispatchAndReportErrors(aArgc, aArgv, aConsole);
  aConsole.m_out.flush();
  return static_cast<int>(status);
}

} // namespace siskindeal

#include "cli/operator_command_p.h"
#include "cli/table_p.h"
#include "siskindeal/fleet_config.h"

#include <fstream>
#include <iostream>

namespace siskindeal {

namespace {

using Json = nlohmann::json;

constexpr const char* kConfigPath = "/v1/operator/config";
constexpr const char* kConfigStatusPath = "/v1/operator/config/status";

std::string
ReadFile(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(stream), {});
  if (!stream) {
    throw CommandError(ExitStatus::BadSettings, aFile + ": cannot be read");
  }
  return text;
}

// Reads and validates a configuration file before anything is sent.
std::string
ReadConfigurationFile(const std::string& aFile)
{
  std::string text = ReadFile(aFile);
  try {
    ParseFleetConfig(text, 0);
  } catch (const Error& error) {
    throw CommandError(ExitStatus::BadSettings, aFile + ": " + error.what());
  }
  return text;
}

class ConfigShow final : public OperatorCommand
{
public:
  std::string Summary() const override
  {
    return "print the fleet's configuration";
  }
  std::string Details() const override
  {
    return "The JSON goes to standard output, in the form that `config set` "
           "accepts, and its\nversion to standard error; with --output json "
           "both are in one object.\n\n  siskindeal config show > "
           "fleet.json\n\n";
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    const Json object = aClient.Read(kConfigPath);
    aInvocation.m_console.m_out
      << (aInvocation.m_json ? object : object.at("value")).dump(2) << "\n";
    if (!aInvocation.m_json) {
      aInvocation.m_console.m_error << "version " << object.at("version")
                                    << "\n";
    }
    return ExitStatus::Done;
  }
};

class ConfigSet final : public OperatorCommand
{
public:
  std::string Summary() const override
  {
    return "replace the fleet's configuration";
  }
  std::string Details() const override
  {
    return "The whole file is validated; an invalid file is rejected and the "
           "old configuration\nstays in force. --version is the version to "
           "replace, 0 for the first configuration;\nif someone else has "
           "changed it since, nothing is changed and both are shown.\n\n"
           "  siskindeal config set fleet.json --version 17\n\n";
  }
  std::optional<Argument> GetArgument() const override
  {
    return Argument{ "FILE", "configuration, a JSON file" };
  }
  void AddOwnOptions(cxxopts::Options& aOptions) const override
  {
    AddVersionOption(aOptions, "version to replace (required)");
  }
  void Validate(const cxxopts::ParseResult& aArguments) const override
  {
    if (!GetVersionOption(aArguments)) {
      throw CommandError(ExitStatus::Usage,
                         "expected --version V; `siskindeal config show` "
                         "prints it; 0 creates the first");
    }
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    const std::string text = ReadConfigurationFile(aInvocation.m_argument);
    const Json object = aClient.Change(
      { "PUT", kConfigPath, *GetVersionOption(aInvocation.m_arguments), text });
    if (aInvocation.m_json) {
      aInvocation.m_console.m_out << object.dump(2) << "\n";
    } else {
      aInvocation.m_console.m_out << "configuration accepted, version "
                                  << object.at("version") << "\n";
    }
    return ExitStatus::Done;
  }
};

class ConfigStatus final : public OperatorCommand
{
public:
  std::string Summary() const override
  {
    return "show which configuration version each process uses";
  }
  std::string Details() const override
  {
    return "Exits with 0 if the newest version is in force on every reachable "
           "process, else\nwith 9. Unreachable processes are shown as last "
           "known.\n\n";
  }
  ExitStatus Invoke(OperatorClient& aClient,
                    const Invocation& aInvocation) override
  {
    const Json status = aClient.Read(kConfigStatusPath);
    if (aInvocation.m_json) {
      aInvocation.m_console.m_out << status.dump(2) << "\n";
    } else {
      PrintTable(status, aInvocation.m_console.m_out);
    }
    return ToExitStatus(status);
  }

private:
  static void PrintTable(const Json& aStatus, std::ostream& aOut)
  {
    TextTable table({ "VM", "PLACE", "VERSION", "REACHABLE" });
    for (const Json& process : aStatus.at("processes")) {
      table.Add({ process.at("vm").get<std::string>(),
                  process.at("place").get<std::string>(),
                  process.at("version").dump(),
                  process.at("reachable").get<bool>() ? "yes" : "no" });
    }
    table.Print(aOut);
    aOut << "newest version: " << aStatus.at("newest") << "\n";
  }

  static ExitStatus ToExitStatus(const Json& aStatus)
  {
    for (const Json& process : aStatus.at("processes")) {
      const bool isBehind = process.at("version") != aStatus.at("newest");
      if (isBehind && process.at("reachable").get<bool>()) {
        return ExitStatus::NotMet;
      }
    }
    return ExitStatus::Done;
  }
};

const Registration<Command> kShow("config show", [] {
  return std::make_unique<ConfigShow>();
});
const Registration<Command> kSet("config set",
                                 [] { return std::make_unique<ConfigSet>(); });
const Registration<Command> kStatus("config status", [] {
  return std::make_unique<ConfigStatus>();
});

} // namespace

} // namespace siskindeal

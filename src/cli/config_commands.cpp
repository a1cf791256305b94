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
ReadWhole(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(stream), {});
  if (!stream) {
    throw CommandError(ExitStatus::BadSettings, aFile + ": can't be read");
  }
  return text;
}

// What a bad file is refused with, before anything is sent.
std::string
ReadConfiguration(const std::string& aFile)
{
  std::string text = ReadWhole(aFile);
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
    return "The JSON goes to standard output, ready for `config set`, and "
           "its "
           "version to\nstandard error; with --output json both are in one "
           "object.\n\n  siskindeal config show > fleet.json\n\n";
  }
  ExitStatus Ask(OperatorClient& aClient,
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
    return "The file is checked whole; a bad one is refused and the old "
           "configuration stays in\nforce. --version is the version that the "
           "change is made to, 0 for the first; when\nsomeone else has "
           "changed it meanwhile, nothing is changed and both are shown.\n\n"
           "  siskindeal config set fleet.json --version 17\n\n";
  }
  std::optional<Argument> GetArgument() const override
  {
    return Argument{ "FILE", "configuration, a JSON file" };
  }
  void AddOwnOptions(cxxopts::Options& aOptions) const override
  {
    AddVersionOption(aOptions, "the version that is changed (required)");
  }
  void Check(const cxxopts::ParseResult& aArguments) const override
  {
    if (!VersionOf(aArguments)) {
      throw CommandError(ExitStatus::Usage,
                         "expected --version V; `siskindeal config show` "
                         "prints it, and 0 is for the first");
    }
  }
  ExitStatus Ask(OperatorClient& aClient,
                 const Invocation& aInvocation) override
  {
    const std::string text = ReadConfiguration(aInvocation.m_argument);
    const Json object = aClient.Change(
      { "PUT", kConfigPath, *VersionOf(aInvocation.m_arguments), text });
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
    return "say which configuration is in force where";
  }
  std::string Details() const override
  {
    return "Exits with 0 when the newest version is in force at every "
           "process that can be\nreached, else with 9. What can't be reached "
           "is shown as last known.\n\n";
  }
  ExitStatus Ask(OperatorClient& aClient,
                 const Invocation& aInvocation) override
  {
    const Json status = aClient.Read(kConfigStatusPath);
    if (aInvocation.m_json) {
      aInvocation.m_console.m_out << status.dump(2) << "\n";
    } else {
      PrintTable(status, aInvocation.m_console.m_out);
    }
    return InForce(status);
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

  static ExitStatus InForce(const Json& aStatus)
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

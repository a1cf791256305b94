#include "cli/client_p.h"
#include "cli/command_p.h"
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

class ConfigShow final : public Command
{
public:
  std::string Summary() const override
  {
    return "print the fleet's configuration";
  }
  std::string Explanation() const override
  {
    return std::string(
             "The JSON goes to standard output, ready for `config set`, and "
             "its "
             "version to\nstandard error; with --output json both are in one "
             "object.\n\n  siskindeal config show > fleet.json\n\n") +
           kClientExplanation;
  }
  void AddOptions(cxxopts::Options& aOptions) const override
  {
    AddOutputOption(aOptions);
    AddClientOptions(aOptions);
  }
  ExitStatus Run(const cxxopts::ParseResult& aArguments,
                 Console& aConsole) override
  {
    const bool json = WantsJson(aArguments);
    OperatorClient client(ClientSettingsOf(aArguments));
    const Json object = client.Read(kConfigPath);
    aConsole.m_out << (json ? object : object.at("value")).dump(2) << "\n";
    if (!json) {
      aConsole.m_error << "version " << object.at("version") << "\n";
    }
    return ExitStatus::Done;
  }
};

class ConfigSet final : public Command
{
public:
  std::string Summary() const override
  {
    return "replace the fleet's configuration";
  }
  std::string Explanation() const override
  {
    return std::string(
             "The file is checked whole; a bad one is refused and the old "
             "configuration stays in\nforce. --version is the version that the "
             "change is made to, 0 for the first; when\nsomeone else has "
             "changed it meanwhile, nothing is changed and both are shown.\n\n"
             "  siskindeal config set fleet.json --version 17\n\n") +
           kClientExplanation;
  }
  std::string Positional() const override { return "FILE"; }
  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options("hidden")(
      "FILE", "configuration, a JSON file", cxxopts::value<std::string>());
    aOptions.parse_positional({ "FILE" });
    aOptions.add_options()("version",
                           "the version that is changed (required)",
                           cxxopts::value<std::uint64_t>(),
                           "V");
    AddOutputOption(aOptions);
    AddClientOptions(aOptions);
  }
  ExitStatus Run(const cxxopts::ParseResult& aArguments,
                 Console& aConsole) override
  {
    const bool json = WantsJson(aArguments);
    const std::string file = RequiredArgument(aArguments, "FILE");
    if (aArguments.count("version") == 0) {
      throw CommandError(ExitStatus::Usage,
                         "expected --version V; `siskindeal config show` "
                         "prints it, and 0 is for the first");
    }
    const std::string text = ReadConfiguration(file);
    OperatorClient client(ClientSettingsOf(aArguments));
    const Json object = client.Change(
      { "PUT", kConfigPath, aArguments["version"].as<std::uint64_t>(), text });
    if (json) {
      aConsole.m_out << object.dump(2) << "\n";
    } else {
      aConsole.m_out << "configuration accepted, version "
                     << object.at("version") << "\n";
    }
    return ExitStatus::Done;
  }
};

class ConfigStatus final : public Command
{
public:
  std::string Summary() const override
  {
    return "say which configuration is in force where";
  }
  std::string Explanation() const override
  {
    return std::string(
             "Exits with 0 when the newest version is in force at every "
             "process that can be\nreached, else with 9. What can't be reached "
             "is shown as last known.\n\n") +
           kClientExplanation;
  }
  void AddOptions(cxxopts::Options& aOptions) const override
  {
    AddOutputOption(aOptions);
    AddClientOptions(aOptions);
  }
  ExitStatus Run(const cxxopts::ParseResult& aArguments,
                 Console& aConsole) override
  {
    const bool json = WantsJson(aArguments);
    OperatorClient client(ClientSettingsOf(aArguments));
    const Json status = client.Read(kConfigStatusPath);
    if (json) {
      aConsole.m_out << status.dump(2) << "\n";
    } else {
      PrintTable(status, aConsole.m_out);
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

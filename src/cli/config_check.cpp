#include "cli/command_p.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/settings.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace siskindeal {

namespace {

// A listener of one of the files, to detect port conflicts.
struct Listener
{
  Address m_address;
  std::string m_file;
  std::string m_key;
};

struct CheckResult
{
  std::string m_file;
  std::string m_kind;    // such as "entry settings" or "configuration"
  std::string m_problem; // empty if accepted
  std::vector<std::string> m_notes{};
};

// Returns requirements that the operator must meet because the upstream does
// not enforce them.
std::vector<std::string>
UpstreamNotes(const UpstreamSettings& aUpstream)
{
  std::vector<std::string> notes;
  if (!aUpstream.m_checksCallers) {
    notes.push_back("only this agent should be able to reach " +
                    aUpstream.m_url +
                    ": the upstream does not authenticate callers");
  }
  if (aUpstream.m_kind == UpstreamSettings::Kind::Model &&
      !aUpstream.m_checksOrders) {
    notes.push_back("orders to " + aUpstream.m_url +
                    " must go through this agent: the engine accepts stale "
                    "fencing tokens");
  }
  return notes;
}

void
AddListeners(const NodeSettings& aNode,
             const std::string& aFile,
             std::vector<Listener>& aListeners)
{
  aListeners.push_back({ aNode.m_rpc, aFile, "[node] rpc" });
  aListeners.push_back({ aNode.m_http, aFile, "[node] http" });
}

bool
EndsWith(const std::string& aText, std::string_view aEnd)
{
  return aText.size() >= aEnd.size() &&
         aText.compare(aText.size() - aEnd.size(), aEnd.size(), aEnd) == 0;
}

std::string
CheckConfiguration(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  if (!stream) {
    return aFile + ": cannot be read";
  }
  try {
    ParseFleetConfig(text, 0);
    return "";
  } catch (const Error& error) {
    return aFile + ": " + error.what();
  }
}

void
CheckAgent(CheckResult& aResult, std::vector<Listener>& aListeners)
{
  const AgentSettings settings = ReadAgentSettings(aResult.m_file);
  AddListeners(settings.m_node, aResult.m_file, aListeners);
  aResult.m_notes = UpstreamNotes(settings.m_upstream);
}

void
CheckSettings(CheckResult& aResult,
              SettingsKind aKind,
              std::vector<Listener>& aListeners)
{
  switch (aKind) {
    case SettingsKind::Entry:
      AddListeners(
        ReadEntrySettings(aResult.m_file).m_node, aResult.m_file, aListeners);
      break;
    case SettingsKind::Agent:
      CheckAgent(aResult, aListeners);
      break;
    case SettingsKind::Gateway:
      AddListeners(
        ReadGatewaySettings(aResult.m_file).m_node, aResult.m_file, aListeners);
      break;
    case SettingsKind::Stager:
      AddListeners(
        ReadStagerSettings(aResult.m_file).m_node, aResult.m_file, aListeners);
      break;
    case SettingsKind::Client:
      ReadClientSettings(aResult.m_file);
      break;
  }
}

const char*
KindName(SettingsKind aKind)
{
  switch (aKind) {
    case SettingsKind::Entry:
      return "entry settings";
    case SettingsKind::Agent:
      return "agent settings";
    case SettingsKind::Gateway:
      return "gateway settings";
    case SettingsKind::Stager:
      return "stager settings";
    case SettingsKind::Client:
      return "client settings";
  }
  return "";
}

CheckResult
CheckFile(const std::string& aFile, std::vector<Listener>& aListeners)
{
  if (EndsWith(aFile, ".json")) {
    return { aFile, "configuration", CheckConfiguration(aFile) };
  }
  CheckResult result{ aFile, "settings", "" };
  try {
    const SettingsKind kind = DetectSettingsKind(aFile);
    result.m_kind = KindName(kind);
    CheckSettings(result, kind, aListeners);
  } catch (const SettingsError& error) {
    result.m_problem = error.what();
  }
  return result;
}

// Finds listeners of different files with the same address and port.
std::vector<std::string>
FindPortConflicts(const std::vector<Listener>& aListeners)
{
  std::vector<std::string> conflicts;
  for (std::size_t i = 0; i < aListeners.size(); ++i) {
    for (std::size_t k = i + 1; k < aListeners.size(); ++k) {
      const Listener& first = aListeners[i];
      const Listener& second = aListeners[k];
      if (first.m_file == second.m_file || first.m_address.m_port == 0 ||
          !(first.m_address == second.m_address)) {
        continue;
      }
      conflicts.push_back(second.m_file + ": " + second.m_key +
                          ": expected a port other than " + first.m_key +
                          " of " + first.m_file + ", got \"" +
                          second.m_address.ToString() + "\" for both");
    }
  }
  return conflicts;
}

class ConfigCheck final : public Command
{
public:
  std::string Summary() const override
  {
    return "check settings and configuration files";
  }
  std::string Explanation() const override
  {
    return "Reads TOML settings of an entry, an agent (with [upstream]) or a "
           "client (with [client]),\nand JSON configurations; nothing is "
           "started or sent. Every problem is listed with\nfile, line and what "
           "was expected. Two processes of different files with the same\n"
           "address and port are also a problem. Notes list checks that an "
           "agent's upstream does\nnot make itself.\n\n"
           "  siskindeal config check entry.toml agent.toml fleet.json";
  }
  std::string Positional() const override { return "FILE..."; }
  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options("hidden")(
      "FILE", "files to check", cxxopts::value<std::vector<std::string>>());
    aOptions.parse_positional({ "FILE" });
    AddOutputOption(aOptions);
  }
  ExitStatus Run(const cxxopts::ParseResult& aArguments,
                 Console& aConsole) override
  {
    const bool json = WantsJson(aArguments);
    if (aArguments.count("FILE") == 0) {
      throw CommandError(ExitStatus::Usage, "expected FILE");
    }
    std::vector<Listener> listeners;
    std::vector<CheckResult> files;
    for (const auto& file : aArguments["FILE"].as<std::vector<std::string>>()) {
      files.push_back(CheckFile(file, listeners));
    }
    for (const std::string& conflict : FindPortConflicts(listeners)) {
      files.push_back({ "", "", conflict });
    }
    Print(files, json, aConsole.m_out);
    for (const CheckResult& file : files) {
      if (!file.m_problem.empty()) {
        return ExitStatus::BadSettings;
      }
    }
    return ExitStatus::Done;
  }

private:
  static void Print(const std::vector<CheckResult>& aFiles,
                    bool aJson,
                    std::ostream& aOut)
  {
    auto all = nlohmann::json::array();
    for (const CheckResult& file : aFiles) {
      all.push_back({ { "file", file.m_file },
                      { "kind", file.m_kind },
                      { "accepted", file.m_problem.empty() },
                      { "problem", file.m_problem },
                      { "notes", file.m_notes } });
      if (!aJson) {
        aOut << (file.m_problem.empty()
                   ? file.m_file + ": " + file.m_kind + " accepted"
                   : file.m_problem)
             << "\n";
        for (const std::string& note : file.m_notes) {
          aOut << "  note: " << note << "\n";
        }
      }
    }
    if (aJson) {
      aOut << all.dump(2) << "\n";
    }
  }
};

const Registration<Command> kRegistered("config check", [] {
  return std::make_unique<ConfigCheck>();
});

} // namespace

} // namespace siskindeal

#include "cli/command_p.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/settings.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace siskindeal {

namespace {

// A listener of one of the files, to find two on one port.
struct Listener
{
  Address m_address;
  std::string m_file;
  std::string m_key;
};

struct Checked
{
  std::string m_file;
  std::string m_kind;    // entry, agent, client or configuration
  std::string m_problem; // empty: accepted
  std::vector<std::string> m_notes{};
};

// What an operator has to see to, since the upstream doesn't.
std::vector<std::string>
NotesOn(const UpstreamSettings& aUpstream)
{
  std::vector<std::string> notes;
  if (!aUpstream.m_checksCallers) {
    notes.push_back("only this agent may reach " + aUpstream.m_url +
                    ": the upstream doesn't check who calls it");
  }
  if (aUpstream.m_kind == UpstreamSettings::Kind::Model &&
      !aUpstream.m_checksOrders) {
    notes.push_back("orders to " + aUpstream.m_url +
                    " go through this agent only: the engine takes old "
                    "fencing tokens");
  }
  return notes;
}

void
AddNode(const NodeSettings& aNode,
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
    return aFile + ": can't be read";
  }
  try {
    ParseFleetConfig(text, 0);
    return "";
  } catch (const Error& error) {
    return aFile + ": " + error.what();
  }
}

void
CheckAgent(Checked& aChecked, std::vector<Listener>& aListeners)
{
  const AgentSettings settings = ReadAgentSettings(aChecked.m_file);
  AddNode(settings.m_node, aChecked.m_file, aListeners);
  aChecked.m_notes = NotesOn(settings.m_upstream);
}

void
CheckSettings(Checked& aChecked,
              SettingsKind aKind,
              std::vector<Listener>& aListeners)
{
  switch (aKind) {
    case SettingsKind::Entry:
      AddNode(
        ReadEntrySettings(aChecked.m_file).m_node, aChecked.m_file, aListeners);
      break;
    case SettingsKind::Agent:
      CheckAgent(aChecked, aListeners);
      break;
    case SettingsKind::Gateway:
      AddNode(ReadGatewaySettings(aChecked.m_file).m_node,
              aChecked.m_file,
              aListeners);
      break;
    case SettingsKind::Stager:
      AddNode(ReadStagerSettings(aChecked.m_file).m_node,
              aChecked.m_file,
              aListeners);
      break;
    case SettingsKind::Client:
      ReadClientSettings(aChecked.m_file);
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

Checked
CheckFile(const std::string& aFile, std::vector<Listener>& aListeners)
{
  if (EndsWith(aFile, ".json")) {
    return { aFile, "configuration", CheckConfiguration(aFile) };
  }
  Checked checked{ aFile, "settings", "" };
  try {
    const SettingsKind kind = SettingsKindOf(aFile);
    checked.m_kind = KindName(kind);
    CheckSettings(checked, kind, aListeners);
  } catch (const SettingsError& error) {
    checked.m_problem = error.what();
  }
  return checked;
}

// Two processes of different files on one address and port.
std::vector<std::string>
Clashes(const std::vector<Listener>& aListeners)
{
  std::vector<std::string> clashes;
  for (std::size_t i = 0; i < aListeners.size(); ++i) {
    for (std::size_t k = i + 1; k < aListeners.size(); ++k) {
      const Listener& first = aListeners[i];
      const Listener& second = aListeners[k];
      if (first.m_file == second.m_file || first.m_address.m_port == 0 ||
          !(first.m_address == second.m_address)) {
        continue;
      }
      clashes.push_back(second.m_file + ": " + second.m_key +
                        ": expected another port than " + first.m_key + " of " +
                        first.m_file + ", got \"" +
                        second.m_address.ToString() + "\" for both");
    }
  }
  return clashes;
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
           "client "
           "(with [client]),\nand JSON configurations; nothing is started or "
           "sent. Every problem is listed with\nfile, line and what was "
           "expected; two processes of different files on one address and\n"
           "port are a problem too. Notes say what an agent's upstream doesn't "
           "check itself.\n\n"
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
    std::vector<Checked> files;
    for (const auto& file : aArguments["FILE"].as<std::vector<std::string>>()) {
      files.push_back(CheckFile(file, listeners));
    }
    for (const std::string& clash : Clashes(listeners)) {
      files.push_back({ "", "", clash });
    }
    Print(files, json, aConsole.m_out);
    for (const Checked& file : files) {
      if (!file.m_problem.empty()) {
        return ExitStatus::BadSettings;
      }
    }
    return ExitStatus::Done;
  }

private:
  static void Print(const std::vector<Checked>& aFiles,
                    bool aJson,
                    std::ostream& aOut)
  {
    auto all = nlohmann::json::array();
    for (const Checked& file : aFiles) {
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

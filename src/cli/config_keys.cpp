#include "cli/command_p.h"
#include "cli/table_p.h"
#include "siskindeal/settings.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace siskindeal {

namespace {

std::string
DefaultText(const SettingDescription& aKey)
{
  if (aKey.m_required) {
    return "required";
  }
  return aKey.m_default.empty() ? "none" : aKey.m_default;
}

// Prints the table of docs/OPERATING.md; tests/docs_test.cpp compares them.
void
PrintMarkdown(std::ostream& aOut)
{
  aOut << "| section | key | type | default | used by | meaning |\n"
          "|---|---|---|---|---|---|\n";
  for (const SettingDescription& key : DescribeSettings()) {
    aOut << "| " << key.m_section << " | `" << key.m_key << "` | " << key.m_type
         << " | " << DefaultText(key) << " | " << key.m_usedBy << " | "
         << key.m_help << " |\n";
  }
}

void
PrintJson(std::ostream& aOut)
{
  auto keys = nlohmann::json::array();
  for (const SettingDescription& key : DescribeSettings()) {
    keys.push_back({ { "section", key.m_section },
                     { "key", key.m_key },
                     { "type", key.m_type },
                     { "default", key.m_default },
                     { "required", key.m_required },
                     { "used_by", key.m_usedBy },
                     { "help", key.m_help } });
  }
  aOut << keys.dump(2) << "\n";
}

void
PrintTable(std::ostream& aOut)
{
  TextTable table({ "KEY", "TYPE", "DEFAULT", "USED BY", "MEANING" });
  for (const SettingDescription& key : DescribeSettings()) {
    table.Add({ "[" + key.m_section + "] " + key.m_key,
                key.m_type,
                DefaultText(key),
                key.m_usedBy,
                key.m_help });
  }
  table.Print(aOut);
}

class ConfigKeys final : public Command
{
public:
  std::string Summary() const override
  {
    return "list every key of the settings files";
  }
  std::string Explanation() const override
  {
    return "Durations are strings with a unit, \"500ms\", \"10s\", \"5m\" or "
           "\"1h\"; sizes are\n\"512B\", \"64KiB\", \"1MiB\", \"250MB\" or "
           "whole bytes; addresses are IP addresses with a\nport, "
           "\"10.0.0.1:7100\" or \"[fd00::1]:7100\".";
  }
  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options()(
      "output",
      "table, markdown, or json for scripts",
      cxxopts::value<std::string>()->default_value("table"),
      "FORM");
  }
  ExitStatus Run(const cxxopts::ParseResult& aArguments,
                 Console& aConsole) override
  {
    const auto form = aArguments["output"].as<std::string>();
    if (form == "markdown") {
      PrintMarkdown(aConsole.m_out);
    } else if (WantsJson(aArguments)) {
      PrintJson(aConsole.m_out);
    } else {
      PrintTable(aConsole.m_out);
    }
    return ExitStatus::Done;
  }
};

const Registration<Command> kRegistered("config keys", [] {
  return std::make_unique<ConfigKeys>();
});

} // namespace

} // namespace siskindeal

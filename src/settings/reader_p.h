#pragma once
// Reads settings from a TOML file and collects every problem found in it.

#include "settings/schema_p.h"

#include <toml++/toml.h>

#include <set>

namespace siskindeal {

// Reads one TOML file. Problems are collected until ThrowIfInvalid is called.
class SettingsReader
{
public:
  // Throws SettingsError if the file cannot be read or is not TOML.
  explicit SettingsReader(const std::string& aFile);

  bool HasSection(std::string_view aSection) const
  {
    return m_root.contains(aSection);
  }

  // Sets the members of aTable whose keys are in the file. aRole names the kind
  // of settings in messages about unknown sections.
  void Fill(const SettingTable& aTable, std::string_view aRole);

  // Records a problem at the line of the key, or of its section if the key is
  // missing.
  void ReportProblem(std::string_view aSection,
                     std::string_view aKey,
                     const std::string& aProblem);

  // Throws SettingsError with every problem, sorted by line, if there are any.
  void ThrowIfInvalid() const;

private:
  void ReportUnknownSections(const SettingTable& aTable,
                             std::string_view aRole);
  void ReportUnknownKeys(std::string_view aSection,
                         const toml::table& aTable,
                         const std::set<std::string_view>& aKnown);
  void Set(const Setting& aSetting, const toml::node& aNode);
  int LineOf(std::string_view aSection, std::string_view aKey) const;

  std::string m_file;
  toml::table m_root;
  std::vector<std::pair<int, std::string>> m_problems; // line, text
};

} // namespace siskindeal

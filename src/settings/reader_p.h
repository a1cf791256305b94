#pragma once
// Fills a table of settings from a TOML file and gathers every problem.

#include "settings/schema_p.h"

#include <toml++/toml.h>

#include <set>

namespace siskindeal {

// One TOML file being read. Problems are gathered until Finish.
class SettingsReader
{
public:
  // Throws SettingsError when the file can't be read or isn't TOML.
  explicit SettingsReader(const std::string& aFile);

  bool HasSection(std::string_view aSection) const
  {
    return m_root.contains(aSection);
  }

  // Sets the members of aTable that the file names; aRole is who reads it, for
  // messages about sections and keys that it doesn't have.
  void Fill(const SettingTable& aTable, std::string_view aRole);

  // Notes a problem at the line of a key, or of its section when the key isn't
  // there.
  void Refuse(std::string_view aSection,
              std::string_view aKey,
              const std::string& aProblem);

  // Throws SettingsError with every problem, by line, if there was one.
  void Finish() const;

private:
  void RefuseUnknown(const SettingTable& aTable, std::string_view aRole);
  void RefuseUnknownKeys(std::string_view aSection,
                         const toml::table& aTable,
                         const std::set<std::string_view>& aKnown);
  void Set(const Setting& aSetting, const toml::node& aNode);
  int LineOf(std::string_view aSection, std::string_view aKey) const;

  std::string m_file;
  toml::table m_root;
  std::vector<std::pair<int, std::string>> m_problems; // line, text
};

} // namespace siskindeal

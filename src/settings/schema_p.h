#pragma once
// The table of settings: each key with its type, bounds and help text, bound to
// the member that it sets. Defaults are the members' initial values.

#include "siskindeal/settings.h"

#include <limits>
#include <string_view>
#include <variant>

namespace siskindeal {

// "http://IP:PORT"
struct UrlField
{
  std::string* m_value;
};

// A size in bytes or a rate in bytes per second.
struct BytesField
{
  std::uint64_t* m_value;
};

// A string restricted to the listed choices.
struct ChoiceField
{
  std::string* m_value;
  std::vector<std::string> m_choices;
};

// Map from key ids to secrets, which are never printed.
struct SecretsField
{
  std::map<std::string, std::string>* m_value;
};

// Map from strings to strings.
struct StringMapField
{
  std::map<std::string, std::string>* m_value;
};

using SettingField = std::variant<std::string*,
                                  std::uint32_t*,
                                  std::uint64_t*,
                                  double*,
                                  bool*,
                                  std::chrono::milliseconds*,
                                  Address*,
                                  std::vector<Address>*,
                                  UpstreamSettings::Kind*,
                                  UrlField,
                                  BytesField,
                                  ChoiceField,
                                  SecretsField,
                                  StringMapField>;

enum class Presence
{
  Optional,
  Required,
};

// Inclusive bounds of a number, a size or a duration in milliseconds.
struct Bounds
{
  double m_min = 0;
  double m_max = std::numeric_limits<std::uint32_t>::max();
};

struct Setting
{
  std::string_view m_section;
  std::string_view m_key;
  SettingField m_field;
  std::string_view m_help;
  Presence m_presence = Presence::Optional;
  Bounds m_bounds{};
};

using SettingTable = std::vector<Setting>;

// The table of each kind of settings file, bound to aSettings.
SettingTable
MakeSettingTable(EntrySettings& aSettings);
SettingTable
MakeSettingTable(AgentSettings& aSettings);
SettingTable
MakeSettingTable(GatewaySettings& aSettings);
SettingTable
MakeSettingTable(StagerSettings& aSettings);
SettingTable
MakeSettingTable(ClientSettings& aSettings);

// The type of a setting as docs/OPERATING.md shows it.
std::string
DescribeType(const Setting& aSetting);

// The current value of a setting in the syntax of a settings file.
std::string
FormatValue(const Setting& aSetting);

} // namespace siskindeal

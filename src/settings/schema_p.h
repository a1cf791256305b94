#pragma once
// The table of settings: every key with its type, bounds and help, bound to the
// member that it fills. Defaults are those of the members.

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

// Bytes, or bytes a second.
struct BytesField
{
  std::uint64_t* m_value;
};

// One of a few words.
struct WordField
{
  std::string* m_value;
  std::vector<std::string> m_words;
};

// Names to secrets.
struct SecretsField
{
  std::map<std::string, std::string>* m_value;
};

// Names to texts.
struct NamesField
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
                                  WordField,
                                  SecretsField,
                                  NamesField>;

enum class Need
{
  Optional,
  Required,
};

// Numbers, sizes and durations, the latter in milliseconds.
struct Bounds
{
  double m_least = 0;
  double m_most = std::numeric_limits<std::uint32_t>::max();
};

struct Setting
{
  std::string_view m_section;
  std::string_view m_key;
  SettingField m_field;
  std::string_view m_help;
  Need m_need = Need::Optional;
  Bounds m_bounds{};
};

using SettingTable = std::vector<Setting>;

// The tables of the kinds of file, bound to the given settings.
SettingTable
TableOf(EntrySettings& aSettings);
SettingTable
TableOf(AgentSettings& aSettings);
SettingTable
TableOf(GatewaySettings& aSettings);
SettingTable
TableOf(StagerSettings& aSettings);
SettingTable
TableOf(ClientSettings& aSettings);

// The type of a setting as the manual names it.
std::string
TypeText(const Setting& aSetting);

// The value that a setting's member holds, as it would be written in a file.
std::string
ValueText(const Setting& aSetting);

} // namespace siskindeal

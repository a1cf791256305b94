#include "settings/reader_p.h"

#include "settings/values_p.h"
#include "siskindeal/overloaded.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <functional>
#include <memory>
#include <set>
#include <sstream>
#include <system_error>

namespace siskindeal {

namespace {

constexpr std::size_t kMaxFileBytes = 1 << 20;
constexpr std::size_t kMinSecretLength = 16;

std::string
TypeName(const toml::node& aNode)
{
  std::ostringstream text;
  text << aNode.type();
  return text.str();
}

std::invalid_argument
WrongTypeError(const std::string& aExpected, const toml::node& aNode)
{
  std::ostringstream text;
  text << "expected " << aExpected << ", got " << TypeName(aNode);
  if (aNode.is_value() && !aNode.is_string()) {
    text << " " << toml::node_view<const toml::node>(aNode);
  }
  return std::invalid_argument(text.str());
}

std::string
ReadText(const toml::node& aNode, const std::string& aExpected)
{
  const auto* text = aNode.as_string();
  if (text == nullptr) {
    throw WrongTypeError(aExpected, aNode);
  }
  return text->get();
}

void
CheckBounds(double aValue,
            const Bounds& aBounds,
            const std::function<std::string(double)>& aText)
{
  if (aValue < aBounds.m_min || aValue > aBounds.m_max) {
    throw std::invalid_argument("expected " + aText(aBounds.m_min) + " to " +
                                aText(aBounds.m_max) + ", got " +
                                aText(aValue));
  }
}

std::string
FormatNumber(double aValue)
{
  std::ostringstream text;
  text.precision(15);
  text << aValue;
  return text.str();
}

std::int64_t
ReadInteger(const toml::node& aNode, const Bounds& aBounds)
{
  const auto* number = aNode.as_integer();
  if (number == nullptr) {
    throw WrongTypeError("a whole number", aNode);
  }
  CheckBounds(static_cast<double>(number->get()), aBounds, FormatNumber);
  return number->get();
}

double
ReadNumber(const toml::node& aNode, const Bounds& aBounds)
{
  if (!aNode.is_number()) {
    throw WrongTypeError("a number", aNode);
  }
  const double value = aNode.value<double>().value_or(0);
  if (!(value == value)) {
    throw std::invalid_argument("expected a number, got nan");
  }
  CheckBounds(value, aBounds, FormatNumber);
  return value;
}

std::chrono::milliseconds
ReadDuration(const toml::node& aNode, const Bounds& aBounds)
{
  const auto value = ParseDuration(
    ReadText(aNode, "a duration with a unit such as \"500ms\" or \"10s\""));
  CheckBounds(static_cast<double>(value.count()), aBounds, [](double aMs) {
    return "\"" +
           FormatDuration(
             std::chrono::milliseconds(static_cast<std::int64_t>(aMs))) +
           "\"";
  });
  return value;
}

std::uint64_t
ReadByteSize(const toml::node& aNode, const Bounds& aBounds)
{
  if (const auto* number = aNode.as_integer()) {
    CheckBounds(static_cast<double>(number->get()), aBounds, FormatNumber);
    return static_cast<std::uint64_t>(number->get());
  }
  const auto value =
    ParseByteSize(ReadText(aNode, "a size such as \"1MiB\", or whole bytes"));
  CheckBounds(static_cast<double>(value), aBounds, FormatNumber);
  return value;
}

std::vector<Address>
ReadAddresses(const toml::node& aNode)
{
  const auto* list = aNode.as_array();
  if (list == nullptr) {
    throw WrongTypeError("a list of addresses such as [\"10.0.0.1:7100\"]",
                         aNode);
  }
  std::vector<Address> addresses;
  for (const toml::node& element : *list) {
    const Address address =
      ParseAddress(ReadText(element, "an address such as \"10.0.0.1:7100\""));
    if (address.m_port == 0) {
      throw std::invalid_argument("expected a port to connect to, got \"" +
                                  address.ToString() + "\"");
    }
    addresses.push_back(address);
  }
  return addresses;
}

std::map<std::string, std::string>
ReadSecrets(const toml::node& aNode)
{
  const auto* table = aNode.as_table();
  if (table == nullptr) {
    throw WrongTypeError("a table of key names and secrets", aNode);
  }
  std::map<std::string, std::string> secrets;
  for (const auto& [name, value] : *table) {
    const std::string secret = ReadText(value, "a secret as text");
    if (secret.size() < kMinSecretLength) {
      throw std::invalid_argument(
        "expected secrets of at least " + std::to_string(kMinSecretLength) +
        " characters; the secret of \"" + std::string(name.str()) + "\" has " +
        std::to_string(secret.size()));
    }
    if (name.str().empty() || name.str().find(':') != std::string_view::npos) {
      throw std::invalid_argument("expected a key name without \":\", got \"" +
                                  std::string(name.str()) + "\"");
    }
    secrets.emplace(name.str(), secret);
  }
  return secrets;
}

std::map<std::string, std::string>
ReadStringMap(const toml::node& aNode)
{
  const auto* table = aNode.as_table();
  if (table == nullptr) {
    throw WrongTypeError("a table of names and texts", aNode);
  }
  std::map<std::string, std::string> names;
  for (const auto& [name, value] : *table) {
    names.emplace(name.str(), ReadText(value, "a text"));
  }
  return names;
}

std::string
ReadChoice(const toml::node& aNode,
           const ChoiceField& aField,
           const Setting& aSetting)
{
  std::string text = ReadText(aNode, DescribeType(aSetting));
  if (std::find(aField.m_choices.begin(), aField.m_choices.end(), text) ==
      aField.m_choices.end()) {
    throw std::invalid_argument("expected " + DescribeType(aSetting) +
                                ", got \"" + text + "\"");
  }
  return text;
}

UpstreamSettings::Kind
ReadUpstreamKind(const toml::node& aNode)
{
  const std::string text = ReadText(aNode, "\"model\" or \"plain\"");
  if (text == "model") {
    return UpstreamSettings::Kind::Model;
  }
  if (text == "plain") {
    return UpstreamSettings::Kind::Plain;
  }
  throw std::invalid_argument("expected \"model\" or \"plain\", got \"" + text +
                              "\"");
}

std::string
ReadNonEmptyText(const toml::node& aNode)
{
  std::string text = ReadText(aNode, "text");
  if (text.empty()) {
    throw std::invalid_argument("expected text, got \"\"");
  }
  return text;
}

std::string
ReadUrl(const toml::node& aNode)
{
  std::string text = ReadText(aNode, "a URL such as \"http://10.0.0.1:8000\"");
  CheckUrl(text);
  return text;
}

bool
ReadBool(const toml::node& aNode)
{
  const auto* flag = aNode.as_boolean();
  if (flag == nullptr) {
    throw WrongTypeError("true or false", aNode);
  }
  return flag->get();
}

std::string
JoinNames(const std::set<std::string_view>& aNames)
{
  std::string text;
  for (const std::string_view name : aNames) {
    text += (text.empty() ? "" : ", ") + std::string(name);
  }
  return text;
}

int
LineOfNode(const toml::node& aNode)
{
  return static_cast<int>(aNode.source().begin.line);
}

SettingsError
UnreadableFile(const std::string& aFile)
{
  return SettingsError(
    aFile + ": cannot be read: " + std::generic_category().message(errno));
}

std::string
ReadFile(const std::string& aFile)
{
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(
    std::fopen(aFile.c_str(), "rbe"), std::fclose);
  if (!file) {
    throw UnreadableFile(aFile);
  }
  std::string text(kMaxFileBytes + 1, '\0');
  text.resize(std::fread(text.data(), 1, text.size(), file.get()));
  if (std::ferror(file.get()) != 0) {
    throw UnreadableFile(aFile);
  }
  if (text.size() > kMaxFileBytes) {
    throw SettingsError(aFile + ": expected at most 1 MiB");
  }
  return text;
}

} // namespace

SettingsReader::SettingsReader(const std::string& aFile)
  : m_file(aFile)
{
  const std::string text = ReadFile(aFile);
  try {
    m_root = toml::parse(text, aFile);
  } catch (const toml::parse_error& error) {
    throw SettingsError(aFile + ":" +
                        std::to_string(error.source().begin.line) +
                        ": not TOML: " + std::string(error.description()));
  }
}

void
SettingsReader::Fill(const SettingTable& aTable, std::string_view aRole)
{
  ReportUnknownSections(aTable, aRole);
  for (const Setting& setting : aTable) {
    const auto* section = m_root.get_as<toml::table>(setting.m_section);
    const auto* node = section ? section->get(setting.m_key) : nullptr;
    if (node == nullptr) {
      if (setting.m_presence == Presence::Required) {
        ReportProblem(setting.m_section,
                      setting.m_key,
                      "missing; expected " + DescribeType(setting) + ": " +
                        std::string(setting.m_help));
      }
      continue;
    }
    try {
      Set(setting, *node);
    } catch (const std::invalid_argument& problem) {
      ReportProblem(setting.m_section, setting.m_key, problem.what());
    }
  }
}

void
SettingsReader::ReportUnknownSections(const SettingTable& aTable,
                                      std::string_view aRole)
{
  std::map<std::string_view, std::set<std::string_view>> known;
  std::set<std::string_view> sections;
  for (const Setting& setting : aTable) {
    known[setting.m_section].insert(setting.m_key);
    sections.insert(setting.m_section);
  }
  for (const auto& [name, node] : m_root) {
    const std::string section(name.str());
    const auto keys = known.find(section);
    if (keys == known.end()) {
      m_problems.emplace_back(LineOfNode(node),
                              "[" + section + "]: unknown; sections of " +
                                std::string(aRole) + " settings are " +
                                JoinNames(sections));
      continue;
    }
    const auto* table = node.as_table();
    if (table == nullptr) {
      m_problems.emplace_back(LineOfNode(node),
                              "[" + section + "]: expected a section, got " +
                                TypeName(node));
      continue;
    }
    ReportUnknownKeys(section, *table, keys->second);
  }
}

void
SettingsReader::ReportUnknownKeys(std::string_view aSection,
                                  const toml::table& aTable,
                                  const std::set<std::string_view>& aKnown)
{
  const std::string section = "[" + std::string(aSection) + "]";
  for (const auto& [key, value] : aTable) {
    if (aKnown.count(key.str()) != 0) {
      continue;
    }
    std::string problem = section;
    problem.append(" ").append(key.str()).append(": unknown key; keys of ");
    problem.append(section).append(" are ").append(JoinNames(aKnown));
    m_problems.emplace_back(static_cast<int>(key.source().begin.line),
                            std::move(problem));
  }
}

void
SettingsReader::Set(const Setting& aSetting, const toml::node& aNode)
{
  const Bounds& bounds = aSetting.m_bounds;
  std::visit(
    Overloaded{
      [&](std::string* aValue) { *aValue = ReadNonEmptyText(aNode); },
      [&](std::uint32_t* aValue) {
        *aValue = static_cast<std::uint32_t>(ReadInteger(aNode, bounds));
      },
      [&](std::uint64_t* aValue) {
        *aValue = static_cast<std::uint64_t>(ReadInteger(aNode, bounds));
      },
      [&](double* aValue) { *aValue = ReadNumber(aNode, bounds); },
      [&](bool* aValue) { *aValue = ReadBool(aNode); },
      [&](std::chrono::milliseconds* aValue) {
        *aValue = ReadDuration(aNode, bounds);
      },
      [&](Address* aValue) {
        *aValue =
          ParseAddress(ReadText(aNode, "an address such as \"10.0.0.1:7100\""));
      },
      [&](std::vector<Address>* aValue) { *aValue = ReadAddresses(aNode); },
      [&](UpstreamSettings::Kind* aValue) {
        *aValue = ReadUpstreamKind(aNode);
      },
      [&](const UrlField& aField) { *aField.m_value = ReadUrl(aNode); },
      [&](const BytesField& aField) {
        *aField.m_value = ReadByteSize(aNode, bounds);
      },
      [&](const ChoiceField& aField) {
        *aField.m_value = ReadChoice(aNode, aField, aSetting);
      },
      [&](const SecretsField& aField) { *aField.m_value = ReadSecrets(aNode); },
      [&](const StringMapField& aField) {
        *aField.m_value = ReadStringMap(aNode);
      },
    },
    aSetting.m_field);
}

int
SettingsReader::LineOf(std::string_view aSection, std::string_view aKey) const
{
  const auto* section = m_root.get_as<toml::table>(aSection);
  if (section == nullptr) {
    return 1;
  }
  const auto* node = section->get(aKey);
  return LineOfNode(node ? *node : *section);
}

void
SettingsReader::ReportProblem(std::string_view aSection,
                              std::string_view aKey,
                              const std::string& aProblem)
{
  m_problems.emplace_back(LineOf(aSection, aKey),
                          "[" + std::string(aSection) + "] " +
                            std::string(aKey) + ": " + aProblem);
}

void
SettingsReader::ThrowIfInvalid() const
{
  if (m_problems.empty()) {
    return;
  }
  auto sorted = m_problems;
  std::stable_sort(
    sorted.begin(), sorted.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::string text;
  for (const auto& [line, problem] : sorted) {
    text += (text.empty() ? "" : "\n") + m_file + ":" + std::to_string(line) +
            ": " + problem;
  }
  throw SettingsError(text);
}

} // namespace siskindeal

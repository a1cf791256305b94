#include "settings/schema_p.h"

#include "settings/values_p.h"
#include "siskindeal/overloaded.h"

#include <algorithm>

namespace siskindeal {

namespace {

std::string
FormatNumber(double aNumber)
{
  std::string text = std::to_string(aNumber);
  text.erase(text.find_last_not_of('0') + 1);
  return text.back() == '.' ? text + "0" : text;
}

std::string
FormatAddresses(const std::vector<Address>& aAddresses)
{
  std::string text;
  for (const Address& address : aAddresses) {
    text += (text.empty() ? "\"" : ", \"") + address.ToString() + "\"";
  }
  return "[" + text + "]";
}

std::string
Quote(const std::string& aText)
{
  return aText.empty() ? "" : "\"" + aText + "\"";
}

} // namespace

std::string
DescribeType(const Setting& aSetting)
{
  return std::visit(
    Overloaded{
      [](std::string*) { return std::string("text"); },
      [](std::uint32_t*) { return std::string("whole number"); },
      [](std::uint64_t*) { return std::string("whole number"); },
      [](double*) { return std::string("number"); },
      [](bool*) { return std::string("true or false"); },
      [](std::chrono::milliseconds*) { return std::string("duration"); },
      [](Address*) { return std::string("address"); },
      [](std::vector<Address>*) { return std::string("list of addresses"); },
      [](UpstreamSettings::Kind*) {
        return std::string("\"model\" or \"plain\"");
      },
      [](const UrlField&) { return std::string("URL"); },
      [](const BytesField&) { return std::string("bytes"); },
      [](const ChoiceField& aField) {
        std::string text;
        for (const std::string& choice : aField.m_choices) {
          text += (text.empty() ? "\"" : ", \"") + choice + "\"";
        }
        return "one of " + text;
      },
      [](const SecretsField&) { return std::string("table of texts"); },
      [](const StringMapField&) { return std::string("table of texts"); },
    },
    aSetting.m_field);
}

std::string
FormatValue(const Setting& aSetting)
{
  return std::visit(
    Overloaded{
      [](const std::string* aValue) { return Quote(*aValue); },
      [](const std::uint32_t* aValue) { return std::to_string(*aValue); },
      [](const std::uint64_t* aValue) { return std::to_string(*aValue); },
      [](const double* aValue) { return FormatNumber(*aValue); },
      [](const bool* aValue) {
        return std::string(*aValue ? "true" : "false");
      },
      [](const std::chrono::milliseconds* aValue) {
        return Quote(FormatDuration(*aValue));
      },
      [](const Address* aValue) {
        return aValue->m_host.empty() ? "" : Quote(aValue->ToString());
      },
      [](const std::vector<Address>* aValue) {
        return FormatAddresses(*aValue);
      },
      [](const UpstreamSettings::Kind* aValue) {
        return std::string(
          *aValue == UpstreamSettings::Kind::Model ? "\"model\"" : "\"plain\"");
      },
      [](const UrlField& aField) { return Quote(*aField.m_value); },
      [](const BytesField& aField) {
        return Quote(FormatByteSize(*aField.m_value));
      },
      [](const ChoiceField& aField) { return Quote(*aField.m_value); },
      [](const SecretsField&) { return std::string(); },
      [](const StringMapField&) { return std::string(); },
    },
    aSetting.m_field);
}

std::vector<SettingDescription>
DescribeSettings()
{
  EntrySettings entry;
  AgentSettings agent;
  GatewaySettings gateway;
  StagerSettings stager;
  ClientSettings client;
  std::vector<SettingDescription> descriptions;
  const auto add = [&](const SettingTable& aTable, const std::string& aUser) {
    for (const Setting& setting : aTable) {
      const auto known = std::find_if(
        descriptions.begin(), descriptions.end(), [&](const auto& aOther) {
          return aOther.m_section == setting.m_section &&
                 aOther.m_key == setting.m_key;
        });
      if (known != descriptions.end()) {
        known->m_usedBy += ", " + aUser;
        continue;
      }
      descriptions.push_back({ std::string(setting.m_section),
                               std::string(setting.m_key),
                               DescribeType(setting),
                               FormatValue(setting),
                               std::string(setting.m_help),
                               setting.m_presence == Presence::Required,
                               aUser });
    }
  };
  add(MakeSettingTable(entry), "entry");
  add(MakeSettingTable(agent), "agent");
  add(MakeSettingTable(gateway), "gateway");
  add(MakeSettingTable(stager), "stager");
  add(MakeSettingTable(client), "client");
  return descriptions;
}

} // namespace siskindeal

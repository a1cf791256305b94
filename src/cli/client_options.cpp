#include "cli/client_p.h"

#include <cctype>
#include <cstdlib>

namespace siskindeal {

namespace {

constexpr const char* kFileVariable = "SISKINDEAL_CLIENT";
constexpr const char* kSecretVariable = "SISKINDEAL_KEY";

std::string
Environment(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

std::vector<Address>
EntriesOf(const cxxopts::ParseResult& aArguments)
{
  std::vector<Address> entries;
  for (const auto& text : aArguments["entry"].as<std::vector<std::string>>()) {
    try {
      entries.push_back(ParseAddress(text));
    } catch (const std::invalid_argument& error) {
      throw CommandError(ExitStatus::Usage,
                         std::string("--entry: ") + error.what());
    }
  }
  return entries;
}

} // namespace

void
AddClientOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("client",
                         "client settings, a TOML file",
                         cxxopts::value<std::string>(),
                         "FILE");
  aOptions.add_options()("entry",
                         "HTTP address of an entry, in place of the file's; "
                         "may be given again",
                         cxxopts::value<std::vector<std::string>>(),
                         "IP:PORT");
  aOptions.add_options()("key-id",
                         "name of the signing key whose secret is in "
                         "SISKINDEAL_KEY, in place of the file's",
                         cxxopts::value<std::string>(),
                         "ID");
}

ClientSettings
ClientSettingsOf(const cxxopts::ParseResult& aArguments)
{
  const std::string file = aArguments.count("client") != 0
                             ? aArguments["client"].as<std::string>()
                             : Environment(kFileVariable);
  ClientSettings settings;
  if (!file.empty()) {
    settings = ReadClientSettings(file);
  }
  if (aArguments.count("entry") != 0) {
    settings.m_entries = EntriesOf(aArguments);
  }
  if (aArguments.count("key-id") != 0) {
    const auto id = aArguments["key-id"].as<std::string>();
    settings.m_auth = { id, { { id, Environment(kSecretVariable) } } };
  }
  const auto key = settings.m_auth.m_keys.find(settings.m_auth.m_activeKey);
  if (settings.m_entries.empty() || key == settings.m_auth.m_keys.end() ||
      key->second.empty()) {
    throw CommandError(ExitStatus::Usage,
                       "expected --client FILE (or SISKINDEAL_CLIENT), or "
                       "--entry, --key-id and SISKINDEAL_KEY");
  }
  return settings;
}

std::string
PercentEncoded(const std::string& aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string text;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    const bool isPlain =
      std::isalnum(byte) != 0 ||
      std::string_view("-._~/").find(character) != std::string_view::npos;
    if (isPlain) {
      text += character;
      continue;
    }
    text += '%';
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

} // namespace siskindeal

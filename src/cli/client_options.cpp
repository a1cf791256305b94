#include "cli/client_p.h"

#include <cctype>
#include <cstdlib>

namespace siskindeal {

namespace {

constexpr const char* kFileEnvironmentVariable = "SISKINDEAL_CLIENT";
constexpr const char* kSecretEnvironmentVariable = "SISKINDEAL_KEY";

std::string
GetEnvironment(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

std::vector<Address>
ParseEntries(const cxxopts::ParseResult& aArguments)
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
                         "HTTP address of an entry, overrides the file; "
                         "may be repeated",
                         cxxopts::value<std::vector<std::string>>(),
                         "IP:PORT");
  aOptions.add_options()("key-id",
                         "name of the signing key whose secret is in "
                         "SISKINDEAL_KEY, overrides the file",
                         cxxopts::value<std::string>(),
                         "ID");
}

ClientSettings
ResolveClientSettings(const cxxopts::ParseResult& aArguments)
{
  const std::string file = aArguments.count("client") != 0
                             ? aArguments["client"].as<std::string>()
                             : GetEnvironment(kFileEnvironmentVariable);
  ClientSettings settings;
  if (!file.empty()) {
    settings = ReadClientSettings(file);
  }
  if (aArguments.count("entry") != 0) {
    settings.m_entries = ParseEntries(aArguments);
  }
  if (aArguments.count("key-id") != 0) {
    const auto id = aArguments["key-id"].as<std::string>();
    settings.m_auth = {
      id, { { id, GetEnvironment(kSecretEnvironmentVariable) } }
    };
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
    const bool isUnreserved =
      std::isalnum(byte) != 0 ||
      std::string_view("-._~/").find(character) != std::string_view::npos;
    if (isUnreserved) {
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

#include "settings/values_p.h"

#include "siskindeal/settings.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <limits>
#include <optional>

namespace siskindeal {

namespace {

struct Unit
{
  std::string_view m_name;
  std::uint64_t m_factor;
};

// Largest first, so that the text of a value is the shortest.
constexpr std::array<Unit, 4> kDurationUnits{
  { { "h", 3600000 }, { "m", 60000 }, { "s", 1000 }, { "ms", 1 } }
};

constexpr std::array<Unit, 7> kByteUnits{ { { "GiB", 1ULL << 30 },
                                            { "GB", 1000000000 },
                                            { "MiB", 1ULL << 20 },
                                            { "MB", 1000000 },
                                            { "KiB", 1ULL << 10 },
                                            { "kB", 1000 },
                                            { "B", 1 } } };

// A whole number followed by one of the units; nothing for any other text.
template<std::size_t N>
std::optional<std::uint64_t>
ParseWithUnit(std::string_view aText, const std::array<Unit, N>& aUnits)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc{}) {
    return std::nullopt;
  }
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  for (const Unit& unit : aUnits) {
    if (name != unit.m_name) {
      continue;
    }
    const auto most = static_cast<std::uint64_t>(
      std::numeric_limits<std::int64_t>::max() / unit.m_factor);
    return number <= most ? std::optional(number * unit.m_factor)
                          : std::nullopt;
  }
  return std::nullopt;
}

template<std::size_t N>
std::string
TextWithUnit(std::uint64_t aNumber, const std::array<Unit, N>& aUnits)
{
  for (const Unit& unit : aUnits) {
    if (aNumber != 0 && aNumber % unit.m_factor == 0) {
      return std::to_string(aNumber / unit.m_factor) + std::string(unit.m_name);
    }
  }
  return "0" + std::string(aUnits.back().m_name);
}

bool
IsIpNumber(const std::string& aHost, bool aIsV6)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(aIsV6 ? AF_INET6 : AF_INET, aHost.c_str(), bytes.data()) ==
         1;
}

} // namespace

std::string
Address::ToString() const
{
  const bool isV6 = m_host.find(':') != std::string::npos;
  return (isV6 ? "[" + m_host + "]" : m_host) + ":" + std::to_string(m_port);
}

Address
ParseAddress(const std::string& aText)
{
  const std::invalid_argument refusal(
    "expected an IP number and a port such as \"10.0.0.1:7100\" or "
    "\"[fd00::1]:7100\", got \"" +
    aText + "\"");
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    throw refusal;
  }
  Address address;
  address.m_host = aText.substr(0, colon);
  const bool isV6 = address.m_host.size() > 2 && address.m_host.front() == '[';
  if (isV6) {
    if (address.m_host.back() != ']') {
      throw refusal;
    }
    address.m_host = address.m_host.substr(1, address.m_host.size() - 2);
  }
  const char* first = aText.data() + colon + 1;
  const char* last = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(first, last, address.m_port);
  if (error != std::errc{} || rest != last ||
      !IsIpNumber(address.m_host, isV6)) {
    throw refusal;
  }
  return address;
}

std::chrono::milliseconds
ParseDuration(std::string_view aText)
{
  const auto parsed = ParseWithUnit(aText, kDurationUnits);
  if (!parsed) {
    throw std::invalid_argument(
      "expected a duration with its unit such as \"500ms\", \"10s\", \"5m\" or "
      "\"1h\", got \"" +
      std::string(aText) + "\"");
  }
  return std::chrono::milliseconds(*parsed);
}

std::string
DurationText(std::chrono::milliseconds aDuration)
{
  return TextWithUnit(static_cast<std::uint64_t>(aDuration.count()),
                      kDurationUnits);
}

std::uint64_t
ParseByteSize(std::string_view aText)
{
  const auto parsed = ParseWithUnit(aText, kByteUnits);
  if (!parsed) {
    throw std::invalid_argument(
      "expected a size with its unit such as \"512B\", \"64KiB\", \"1MiB\" or "
      "\"250MB\", got \"" +
      std::string(aText) + "\"");
  }
  return *parsed;
}

std::string
ByteSizeText(std::uint64_t aBytes)
{
  return TextWithUnit(aBytes, kByteUnits);
}

void
CheckUrl(const std::string& aText)
{
  for (const std::string_view scheme : { "http://", "https://" }) {
    if (aText.rfind(scheme, 0) != 0) {
      continue;
    }
    try {
      if (ParseAddress(aText.substr(scheme.size())).m_port != 0) {
        return;
      }
    } catch (const std::invalid_argument&) {
      break;
    }
  }
  throw std::invalid_argument("expected a URL by IP number and port, without a "
                              "path, such as \"http://10.0.0.1:8000\", got \"" +
                              aText + "\"");
}

} // namespace siskindeal

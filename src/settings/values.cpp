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

// Units are sorted from largest to smallest; FormatWithUnit uses the first that
// divides the value.
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

// Parses a whole number followed by one of the units. Returns nullopt for other
// text and on overflow.
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
    const auto maxNumber = static_cast<std::uint64_t>(
      std::numeric_limits<std::int64_t>::max() / unit.m_factor);
    return number <= maxNumber ? std::optional(number * unit.m_factor)
                               : std::nullopt;
  }
  return std::nullopt;
}

template<std::size_t N>
std::string
FormatWithUnit(std::uint64_t aNumber, const std::array<Unit, N>& aUnits)
{
  for (const Unit& unit : aUnits) {
    if (aNumber != 0 && aNumber % unit.m_factor == 0) {
      return std::to_string(aNumber / unit.m_factor) + std::string(unit.m_name);
    }
  }
  return "0" + std::string(aUnits.back().m_name);
}

bool
IsIpAddress(const std::string& aHost, bool aIsV6)
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
  const std::invalid_argument invalidAddress(
    "expected an IP address and a port such as \"10.0.0.1:7100\" or "
    "\"[fd00::1]:7100\", got \"" +
    aText + "\"");
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    throw invalidAddress;
  }
  Address address;
  address.m_host = aText.substr(0, colon);
  const bool isV6 = address.m_host.size() > 2 && address.m_host.front() == '[';
  if (isV6) {
    if (address.m_host.back() != ']') {
      throw invalidAddress;
    }
    address.m_host = address.m_host.substr(1, address.m_host.size() - 2);
  }
  const char* first = aText.data() + colon + 1;
  const char* last = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(first, last, address.m_port);
  if (error != std::errc{} || rest != last ||
      !IsIpAddress(address.m_host, isV6)) {
    throw invalidAddress;
  }
  return address;
}

std::chrono::milliseconds
ParseDuration(std::string_view aText)
{
  const auto parsed = ParseWithUnit(aText, kDurationUnits);
  if (!parsed) {
    throw std::invalid_argument(
      "expected a duration with a unit such as \"500ms\", \"10s\", \"5m\" or "
      "\"1h\", got \"" +
      std::string(aText) + "\"");
  }
  return std::chrono::milliseconds(*parsed);
}

std::string
FormatDuration(std::chrono::milliseconds aDuration)
{
  return FormatWithUnit(static_cast<std::uint64_t>(aDuration.count()),
                        kDurationUnits);
}

std::uint64_t
ParseByteSize(std::string_view aText)
{
  const auto parsed = ParseWithUnit(aText, kByteUnits);
  if (!parsed) {
    throw std::invalid_argument(
      "expected a size with a unit such as \"512B\", \"64KiB\", \"1MiB\" or "
      "\"250MB\", got \"" +
      std::string(aText) + "\"");
  }
  return *parsed;
}

std::string
FormatByteSize(std::uint64_t aBytes)
{
  return FormatWithUnit(aBytes, kByteUnits);
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
  throw std::invalid_argument("expected a URL with IP address and port and no "
                              "path, such as \"http://10.0.0.1:8000\", got \"" +
                              aText + "\"");
}

} // namespace siskindeal

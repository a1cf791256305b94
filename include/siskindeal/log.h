#pragma once
// Structured logging through Boost.Log, one JSON object per line. Secrets and
// prompt text must not be logged.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace siskindeal {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

using LogValue = std::variant<bool, std::int64_t, double, std::string>;

// A named value of a log line. Integers are widened to 64 bits.
struct LogField
{
  LogField(std::string_view aName, std::string_view aValue)
    : m_name(aName)
    , m_value(std::string(aValue))
  {
  }
  LogField(std::string_view aName, const char* aValue)
    : LogField(aName, std::string_view(aValue))
  {
  }
  LogField(std::string_view aName, const std::string& aValue)
    : LogField(aName, std::string_view(aValue))
  {
  }
  LogField(std::string_view aName, bool aValue)
    : m_name(aName)
    , m_value(aValue)
  {
  }
  LogField(std::string_view aName, double aValue)
    : m_name(aName)
    , m_value(aValue)
  {
  }
  template<typename T>
  requires std::is_integral_v<T> LogField(std::string_view aName, T aValue)
    : m_name(aName)
    , m_value(static_cast<std::int64_t>(aValue))
  {
  }

  std::string m_name;
  LogValue m_value;
};

enum class LogStream
{
  StandardError,
  StandardOutput,
};

// Sets the fields of every line, the minimum level and the output stream. Must
// not be called while another thread may log.
void
ConfigureLog(std::string_view aRole,
             std::string_view aVm,
             LogLevel aMinLevel,
             LogStream aStream = LogStream::StandardError);

// Returns the level for "debug", "info", "warning" or "error"; throws
// std::invalid_argument for any other name.
LogLevel
ParseLogLevel(std::string_view aName);

// Writes one line: time, level, role, vm, event and the fields.
void
Log(LogLevel aLevel,
    std::string_view aEvent,
    std::initializer_list<LogField> aFields = {});

} // namespace siskindeal

#include "siskindeal/log.h"

#include "kernel/end_of_process_p.h"

#include <boost/log/attributes/scoped_attribute.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <stdexcept>

namespace siskindeal {

namespace {

namespace sinks = boost::log::sinks;

std::atomic<LogLevel> gMinLevel{ LogLevel::Info };
LogStream gStream = LogStream::StandardError;
std::string gRole;
std::string gVm;

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

void
InstallSink()
{
  using Backend = sinks::text_ostream_backend;
  const auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(
    gStream == LogStream::StandardOutput ? &std::cout : &std::clog,
    [](std::ostream*) {}));
  backend->auto_flush(true);
  boost::log::core::get()->add_sink(
    boost::make_shared<sinks::synchronous_sink<Backend>>(backend));
}

std::string
Timestamp()
{
  const auto now = std::chrono::system_clock::now();
  const auto seconds = std::chrono::system_clock::to_time_t(now);
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                        now.time_since_epoch())
                        .count() %
                      1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const auto length =
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(
    text + length, sizeof(text) - length, ".%03dZ", static_cast<int>(millis));
  return text;
}

} // namespace

void
ConfigureLog(std::string_view aRole,
             std::string_view aVm,
             LogLevel aMinLevel,
             LogStream aStream)
{
  gStream = aStream;
  gRole = aRole;
  gVm = aVm;
  gMinLevel.store(aMinLevel);
  const bool isOutput = aStream == LogStream::StandardOutput;
  InstallEndOfProcessLog(isOutput ? STDOUT_FILENO : STDERR_FILENO, aRole, aVm);
}

LogLevel
ParseLogLevel(std::string_view aName)
{
  for (const auto level : { LogLevel::Debug,
                            LogLevel::Info,
                            LogLevel::Warning,
                            LogLevel::Error }) {
    if (aName == LevelName(level)) {
      return level;
    }
  }
  throw std::invalid_argument("no log level named \"" + std::string(aName) +
                              "\"; known: debug, info, warning, error");
}

void
Log(LogLevel aLevel,
    std::string_view aEvent,
    std::initializer_list<LogField> aFields)
{
  if (aLevel < gMinLevel.load()) {
    return;
  }
  static std::once_flag sInstalled;
  std::call_once(sInstalled, InstallSink);
  nlohmann::ordered_json line;
  line["time"] = Timestamp();
  line["level"] = LevelName(aLevel);
  line["role"] = gRole;
  line["vm"] = gVm;
  line["event"] = aEvent;
  for (const auto& field : aFields) {
    std::visit([&](const auto& aValue) { line[field.m_name] = aValue; },
               field.m_value);
  }
  boost::log::sources::logger_mt logger;
  BOOST_LOG(logger) << line.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace siskindeal

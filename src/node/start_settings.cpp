#include "node/start_settings_p.h"

#include "node/signals_p.h"
#include "siskindeal/settings.h"

#include <chrono>
#include <thread>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{ 50 };
constexpr std::chrono::milliseconds kLongestRetry{ 2000 };

} // namespace

void
RetryUnusableSettings(std::string_view aRole,
                      LogStream aStream,
                      const std::function<void()>& aRead)
{
  ConfigureLog(aRole, "", LogLevel::Info, aStream);
  const auto end = std::chrono::steady_clock::now() + kLongestRetry;
  std::string logged;
  while (true) {
    ThrowIfStopped();
    try {
      aRead();
      return;
    } catch (const SettingsError& error) {
      if (std::chrono::steady_clock::now() >= end) {
        throw;
      }
      if (logged != error.what()) {
        logged = error.what();
        Log(LogLevel::Warning,
            "settings rejected",
            { { "reason", logged }, { "read_again", true } });
      }
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

} // namespace siskindeal

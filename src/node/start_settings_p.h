#pragma once
// Reads the settings of a process that is starting. The file may be written or
// replaced at that moment.

#include "siskindeal/log.h"

#include <functional>
#include <string>
#include <string_view>

namespace siskindeal {

// Calls aRead until it throws no SettingsError, for up to two seconds, then
// throws its last one. Throws StoppedAtStart if a stop signal arrives
// meanwhile. Logs as aRole, since the settings of the log aren't known yet.
void
RetryUnusableSettings(std::string_view aRole,
                      LogStream aStream,
                      const std::function<void()>& aRead);

// Reads aFile with aRead, one of the functions of settings.h, as above.
template<typename Settings>
Settings
ReadSettingsAtStart(std::string_view aRole,
                    LogStream aStream,
                    const std::string& aFile,
                    Settings (*aRead)(const std::string&))
{
  Settings settings;
  RetryUnusableSettings(aRole, aStream, [&] { settings = aRead(aFile); });
  return settings;
}

} // namespace siskindeal

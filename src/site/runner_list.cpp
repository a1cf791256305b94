#include "site/runner_list_p.h"

#include "platform/dialect.h"
#include "siskindeal/log.h"

#include <stdexcept>

namespace siskindeal {

std::optional<RunnerRecord>
ReadRunner(const SiteObject& aObject)
{
  try {
    return dialect::DecodeRunner(aObject);
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "runner left out",
        { { "name", aObject.m_name },
          { "reason", std::string_view(error.what()) } });
    return std::nullopt;
  }
}

std::vector<RunnerRecord>
ReadRunners(const std::vector<SiteObject>& aObjects)
{
  std::vector<RunnerRecord> runners;
  for (const SiteObject& object : aObjects) {
    if (auto runner = ReadRunner(object)) {
      runners.push_back(std::move(*runner));
    }
  }
  return runners;
}

} // namespace siskindeal

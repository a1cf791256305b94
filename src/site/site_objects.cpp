#include "site/site_objects_p.h"

#include "platform/dialect.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <stdexcept>

namespace siskindeal {

namespace {

// Decoders may quote the input.
constexpr std::size_t kMaxReasonBytes = 300;

template<typename Decode>
auto
DecodeOrLog(Decode aDecode, const SiteObject& aObject, std::string_view aEvent)
  -> std::optional<decltype(aDecode(aObject))>
{
  try {
    return aDecode(aObject);
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        aEvent,
        { { "name", aObject.m_name },
          { "reason",
            std::string_view(error.what()).substr(0, kMaxReasonBytes) } });
    return std::nullopt;
  }
}

} // namespace

void
LogRejected(std::string_view aKind, const SiteObjects& aObjects)
{
  if (aObjects.m_rejected.empty()) {
    return;
  }
  CountMetric("siskindeal_store_entries_rejected_total",
              { { "kind", std::string(aKind) } },
              aObjects.m_rejected.size());
  Log(LogLevel::Warning,
      "store entries rejected",
      { { "kind", aKind },
        { "rejected", aObjects.m_rejected.size() },
        { "kept", aObjects.m_objects.size() },
        { "first",
          std::string_view(aObjects.m_rejected.front())
            .substr(0, kMaxReasonBytes) } });
}

std::optional<RunnerRecord>
ReadRunner(const SiteObject& aObject)
{
  return DecodeOrLog(
    dialect::DecodeRunner, aObject, "malformed runner ignored");
}

std::optional<NamedVersion>
ReadNamedVersion(const SiteObject& aObject)
{
  if (aObject.m_deleted) {
    return std::nullopt;
  }
  return DecodeOrLog(
    dialect::DecodeVersion, aObject, "malformed weights version ignored");
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

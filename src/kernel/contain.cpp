#include "kernel/contain_p.h"

#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace siskindeal {

namespace {

constexpr std::chrono::seconds kLogInterval{ 1 };

class FailureLog
{
public:
  void Record(const std::string& aHandler, std::string_view aReason)
  {
    CountMetric("siskindeal_handler_failures_total",
                { { "handler", aHandler } });
    const std::uint64_t failures = TakeIfDue(aHandler);
    if (failures > 0) {
      Log(LogLevel::Error,
          "handler failed",
          { { "handler", aHandler },
            { "reason", aReason },
            { "failures", failures } });
    }
  }

private:
  struct Failures
  {
    std::uint64_t m_count = 0; // since the last log line
    std::chrono::steady_clock::time_point m_loggedAt{};
  };

  // Returns the number of failures to log; 0 if a line was logged recently.
  std::uint64_t TakeIfDue(const std::string& aHandler)
  {
    const auto now = std::chrono::steady_clock::now();
    const absl::MutexLock lock(&m_mutex);
    Failures& failures = m_failures[aHandler];
    ++failures.m_count;
    if (now - failures.m_loggedAt < kLogInterval) {
      return 0;
    }
    failures.m_loggedAt = now;
    return std::exchange(failures.m_count, 0);
  }

  absl::Mutex m_mutex;
  std::map<std::string, Failures> m_failures ABSL_GUARDED_BY(m_mutex);
};

} // namespace

void
RecordHandlerFailure(std::string_view aHandler,
                     std::string_view aReason) noexcept
{
  static FailureLog sLog;
  try {
    sLog.Record(std::string(aHandler), aReason);
  } catch (const std::exception&) {
    // Without the memory for a line there is nothing left to tell it with.
    return;
  }
}

} // namespace siskindeal

#include "cli/target_text_p.h"

#include "cli/table_p.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

constexpr int kBarWidth = 30; // characters
// Smallest estimates that are shown in minutes and in hours.
constexpr std::int64_t kMinSecondsForMinutes = 120;
constexpr std::int64_t kMinSecondsForHours = 7200;

double
ClampedProgress(const TargetStatus& aStatus)
{
  return std::clamp(aStatus.m_progress, 0.0, 1.0);
}

std::string
FormatPercent(const TargetStatus& aStatus)
{
  return std::to_string(static_cast<int>(ClampedProgress(aStatus) * 100)) + "%";
}

std::string
FormatServing(const TargetStatus& aStatus)
{
  return std::to_string(aStatus.m_serving) + "/" +
         std::to_string(aStatus.m_wanted);
}

std::string
FormatTimeLeft(const TargetStatus& aStatus)
{
  if (aStatus.m_met) {
    return "-";
  }
  return aStatus.m_estimate ? FormatEstimate(*aStatus.m_estimate) : "unknown";
}

} // namespace

std::string
FormatEstimate(std::chrono::seconds aEstimate)
{
  const std::int64_t seconds = std::max<std::int64_t>(0, aEstimate.count());
  const auto roundedUp = [seconds](std::int64_t aUnit) {
    return std::to_string((seconds + aUnit - 1) / aUnit);
  };
  if (seconds < kMinSecondsForMinutes) {
    return roundedUp(1) + " s";
  }
  if (seconds < kMinSecondsForHours) {
    return roundedUp(60) + " min";
  }
  return roundedUp(3600) + " h";
}

std::string
ProgressLine(const TargetStatus& aStatus)
{
  const auto filled =
    static_cast<std::size_t>(std::floor(ClampedProgress(aStatus) * kBarWidth));
  std::string line = "[" + std::string(filled, '#') +
                     std::string(kBarWidth - filled, '.') + "] " +
                     FormatPercent(aStatus) + "  " + FormatServing(aStatus) +
                     " VMs serving " + aStatus.m_release;
  if (aStatus.m_met) {
    return line + ", met";
  }
  line += aStatus.m_estimate ? ", about " + FormatTimeLeft(aStatus) + " left"
                             : ", time left unknown";
  return aStatus.m_blockedReason.empty()
           ? line
           : line + ": " + aStatus.m_blockedReason;
}

void
PrintStatusTable(const std::vector<TargetStatus>& aStatuses, std::ostream& aOut)
{
  TextTable table({ "TARGET",
                    "MET",
                    "SERVING",
                    "RELEASE",
                    "PROGRESS",
                    "TIME LEFT",
                    "VERSION",
                    "HELD UP BY" });
  for (const TargetStatus& status : aStatuses) {
    table.Add(
      { status.m_name,
        status.m_met ? "yes" : "no",
        FormatServing(status),
        status.m_release.empty() ? "-" : status.m_release,
        FormatPercent(status),
        FormatTimeLeft(status),
        std::to_string(status.m_version),
        status.m_blockedReason.empty() ? "-" : status.m_blockedReason });
  }
  table.Print(aOut);
}

} // namespace siskindeal

#include "cli/target_text_p.h"

#include "cli/table_p.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

constexpr int kBarWidth = 30;                   // characters
constexpr std::int64_t kSecondsToMinutes = 120; // from here on in minutes
constexpr std::int64_t kSecondsToHours = 7200;  // from here on in hours

double
Progress(const TargetStatus& aStatus)
{
  return std::clamp(aStatus.m_progress, 0.0, 1.0);
}

std::string
Percent(const TargetStatus& aStatus)
{
  return std::to_string(static_cast<int>(Progress(aStatus) * 100)) + "%";
}

std::string
Serving(const TargetStatus& aStatus)
{
  return std::to_string(aStatus.m_serving) + "/" +
         std::to_string(aStatus.m_wanted);
}

std::string
Estimate(const TargetStatus& aStatus)
{
  if (aStatus.m_met) {
    return "-";
  }
  return aStatus.m_estimate ? EstimateText(*aStatus.m_estimate) : "unknown";
}

} // namespace

std::string
EstimateText(std::chrono::seconds aEstimate)
{
  const std::int64_t seconds = std::max<std::int64_t>(0, aEstimate.count());
  const auto roundedUp = [seconds](std::int64_t aUnit) {
    return std::to_string((seconds + aUnit - 1) / aUnit);
  };
  if (seconds < kSecondsToMinutes) {
    return roundedUp(1) + " s";
  }
  if (seconds < kSecondsToHours) {
    return roundedUp(60) + " min";
  }
  return roundedUp(3600) + " h";
}

std::string
ProgressLine(const TargetStatus& aStatus)
{
  const auto filled =
    static_cast<std::size_t>(std::floor(Progress(aStatus) * kBarWidth));
  std::string line = "[" + std::string(filled, '#') +
                     std::string(kBarWidth - filled, '.') + "] " +
                     Percent(aStatus) + "  " + Serving(aStatus) +
                     " VMs serving " + aStatus.m_release;
  if (aStatus.m_met) {
    return line + ", met";
  }
  line += aStatus.m_estimate ? ", about " + Estimate(aStatus) + " left"
                             : ", time left unknown";
  return aStatus.m_holdUp.empty() ? line : line + ": " + aStatus.m_holdUp;
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
    table.Add({ status.m_name,
                status.m_met ? "yes" : "no",
                Serving(status),
                status.m_release.empty() ? "-" : status.m_release,
                Percent(status),
                Estimate(status),
                std::to_string(status.m_version),
                status.m_holdUp.empty() ? "-" : status.m_holdUp });
  }
  table.Print(aOut);
}

} // namespace siskindeal

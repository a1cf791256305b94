#include "support/agent_memory.h"

#include "support/fleet.h"
#include "support/rows.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <string>
#include <thread>

namespace siskindeal::bench {

namespace {

constexpr std::size_t kBytes = 32 << 20;
constexpr std::size_t kTimes = 10;
constexpr std::uint64_t kChunkBytes = 1 << 20;
constexpr int kEntries = 1;
constexpr int kAgents = 2; // each serves chunks to the other
constexpr double kTargetMb = 32;
constexpr std::chrono::seconds kGuard{ 120 }; // against hanging

// The highest resident memory of a process so far.
double
PeakMb(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  std::string word;
  while (status >> word) {
    double kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) {
      return kilobytes * 1024 / 1e6;
    }
  }
  return 0;
}

void
PrintPeak(Fleet& aFleet, const std::string& aCase)
{
  const auto peak = PeakMb(aFleet.GetVm("caddie-1").m_process->Id());
  Print("rollout",
        { aCase, "agent_resident_mb", "MB", peak, std::nullopt, kTargetMb });
}

// Returns once the agent has attested the release.
void
RollOut(Fleet& aFleet, const std::string& aRelease, std::size_t aBytes)
{
  const auto content = aFleet.RollOut(aRelease, aBytes, kAgents, kChunkBytes);
  const auto end = std::chrono::steady_clock::now() + kGuard;
  const auto loaded = [&] {
    const auto all = aFleet.Engine(0).Loaded();
    return std::any_of(all.begin(), all.end(), [&](const auto& aLoaded) {
      return aLoaded.second == content;
    });
  };
  while (!loaded()) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error("release " + aRelease + " isn't loaded");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

} // namespace

void
MeasureAgentMemory()
{
  Fleet fleet(kEntries, kAgents, 0);
  PrintPeak(fleet, "memory_at_rest");
  RollOut(fleet, "v1", kBytes);
  PrintPeak(fleet, "memory_1x");
  RollOut(fleet, "v2", kBytes * kTimes);
  PrintPeak(fleet, "memory_10x");
}

} // namespace siskindeal::bench

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

constexpr std::size_t kWeightsBytes = 32 << 20;
constexpr std::size_t kSizeFactor = 10;
constexpr std::uint64_t kChunkBytes = 1 << 20;
constexpr int kEntries = 1;
constexpr int kAgents = 2; // each serves chunks to the other
constexpr double kTargetMb = 32;
constexpr std::chrono::seconds kLoadTimeout{ 120 };

// Returns the peak resident memory of a process.
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

// Rolls out a release and waits until the engine has loaded it.
void
RollOutAndLoad(Fleet& aFleet, const std::string& aRelease, std::size_t aBytes)
{
  const auto content = aFleet.RollOut(aRelease, aBytes, kAgents, kChunkBytes);
  const auto end = std::chrono::steady_clock::now() + kLoadTimeout;
  const auto loaded = [&] {
    const auto models = aFleet.Engine(0).Loaded();
    return std::any_of(models.begin(), models.end(), [&](const auto& aLoaded) {
      return aLoaded.second == content;
    });
  };
  while (!loaded()) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error("release " + aRelease +
                               " was not loaded in time");
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
  RollOutAndLoad(fleet, "v1", kWeightsBytes);
  PrintPeak(fleet, "memory_1x");
  RollOutAndLoad(fleet, "v2", kWeightsBytes * kSizeFactor);
  PrintPeak(fleet, "memory_10x");
}

} // namespace siskindeal::bench

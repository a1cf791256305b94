// Benchmarks rollouts by policy, with and without faults, using real agents
// over links limited to the rates of the users' network.

#include "siskindeal/log.h"
#include "support/agent_memory.h"
#include "support/rollout_run.h"
#include "support/rows.h"

#include <algorithm>
#include <random>

namespace siskindeal::bench {
namespace {

constexpr double kNotMet = -1;
constexpr double kEvenTimeWeight = 0.5;
constexpr double kMaxTimeRatio = 1.15;
constexpr double kMaxTimeRatioWithFaults = 1.5;
constexpr double kMaxOriginCopies = 1.05;
constexpr double kMaxLatencyRatio = 1.25;

std::string
RandomBytes(std::uint64_t aBytes)
{
  std::mt19937_64 engine(7);
  std::string bytes(aBytes, '\0');
  for (auto& byte : bytes) {
    byte = static_cast<char>(engine());
  }
  return bytes;
}

void
PrintRatio(const RolloutCase& aCase,
           const std::string& aMetric,
           double aValue,
           std::optional<double> aTarget)
{
  Print("rollout",
        { aCase.m_name, aMetric, "ratio", aValue, std::nullopt, aTarget });
}

void
PrintSeconds(const RolloutCase& aCase,
             const std::string& aMetric,
             Seconds aValue)
{
  Print("rollout", { aCase.m_name, aMetric, "s", aValue.count(), {}, {} });
}

void
Report(const RolloutCase& aCase, const RolloutOutcome& aOutcome)
{
  const bool isDefaultPolicy = aCase.m_policy == "swarm";
  const bool favorsOrigin = aCase.m_timeWeight < kEvenTimeWeight;
  const auto target = [&](double aValue) {
    return isDefaultPolicy ? std::optional(aValue) : std::nullopt;
  };
  const auto ratio =
    aOutcome.m_met ? aOutcome.m_time / aOutcome.Bound(aCase.m_wanted) : kNotMet;
  PrintRatio(aCase,
             "seconds_to_n_over_bound",
             ratio,
             favorsOrigin ? std::nullopt
                          : target(aCase.m_faulty ? kMaxTimeRatioWithFaults
                                                  : kMaxTimeRatio));
  PrintRatio(aCase,
             "origin_copies",
             aOutcome.m_copies,
             favorsOrigin ? target(kMaxOriginCopies) : std::nullopt);
  PrintRatio(aCase,
             "p99_live_latency_ratio",
             aOutcome.m_p99Ratio,
             target(kMaxLatencyRatio));
  const auto& phases = aOutcome.m_phases;
  PrintSeconds(aCase, "mean_last_chunk_seconds", phases.m_lastChunk);
  PrintSeconds(aCase, "mean_check_seconds", phases.m_check);
  PrintSeconds(aCase, "mean_load_seconds", phases.m_load);
  PrintRatio(
    aCase, "link_busy_until_last_chunk", phases.m_linkBusy, std::nullopt);
}

const std::vector<RolloutCase>&
Cases()
{
  static const std::vector<RolloutCase> sCases = {
    { "fairway", 12, 12, "swarm", 1, false },
    { "fairway_faults", 12, 11, "swarm", 1, true },
    { "hartwell", 16, 16, "swarm", 0, false },
    { "hartwell_faults", 16, 15, "swarm", 0, true },
    { "fairway_tree", 12, 12, "tree", 1, false },
    { "fairway_origin_only", 12, 12, "origin_only", 1, false },
    { "hartwell_tree", 16, 16, "tree", 0, false },
    { "hartwell_origin_only", 16, 16, "origin_only", 0, false },
  };
  return sCases;
}

} // namespace
} // namespace siskindeal::bench

// Arguments select cases by name; without arguments all cases run.
int
main(int aArgc, char** aArgv)
{
  using namespace siskindeal;
  ConfigureLog("bench", "bench", LogLevel::Error);
  const std::vector<std::string> names(aArgv + 1, aArgv + aArgc);
  const auto bytes = bench::RandomBytes(bench::kCopyBytes);
  for (const auto& rolloutCase : bench::Cases()) {
    const bool selected =
      std::find(names.begin(), names.end(), rolloutCase.m_name) != names.end();
    if (names.empty() || selected) {
      bench::Report(rolloutCase, bench::RunRollout(rolloutCase, bytes));
    }
  }
  if (names.empty() ||
      std::find(names.begin(), names.end(), "memory") != names.end()) {
    bench::MeasureAgentMemory();
  }
  return 0;
}

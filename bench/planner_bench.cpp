// Measures the cost of one planning decision by fleet size, and its slope.

#include "siskindeal/planner.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <iostream>

namespace siskindeal {
namespace {

constexpr int kRounds = 40;
constexpr std::chrono::milliseconds kDecisionPeriod{ 250 };
constexpr double kMaxMicroseconds = 2000; // at the largest fleet
const std::string kNewDigest(64, 'a');
const std::string kOldDigest(64, 'b');

PlannerInput
Fleet(std::uint32_t aVms)
{
  PlannerInput input;
  for (std::uint32_t i = 0; i < aVms; ++i) {
    PlannedVm vm;
    vm.m_vm = "vm" + std::to_string(10000 + i);
    vm.m_place = "place" + std::to_string(i % 8);
    vm.m_service = "caddie-llm";
    vm.m_address = "127.0.0.1:1";
    vm.m_serving = { kOldDigest };
    vm.m_servingClasses = { { "booking chat", kOldDigest } };
    input.m_vms.push_back(vm);
  }
  for (int i = 0; i < 4; ++i) {
    TargetSpec target;
    target.m_name = "target" + std::to_string(i);
    target.m_class = "booking chat";
    target.m_amount = VmShare{ 0.25 * (i + 1) };
    target.m_statedAt = static_cast<std::uint64_t>(i);
    input.m_targets.push_back(target);
  }
  input.m_classes["booking chat"] = { "caddie-llm", 0 };
  input.m_catalogue["booking chat"] = { "v2", false };
  input.m_releases["v2"] = { kNewDigest, "" };
  input.m_tokens["caddie-llm"] = 1;
  return input;
}

// CPU time of this thread, which excludes time given to other processes.
std::chrono::nanoseconds
ThreadTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

// Mean over a simulated rollout of kRounds decisions.
double
MicrosecondsPerDecision(std::uint32_t aVms)
{
  auto input = Fleet(aVms);
  RolloutSettings settings;
  settings.m_mostOutOfService = aVms;
  Planner planner(settings);
  MonotonicTime now{ std::chrono::hours(1) };
  std::chrono::nanoseconds elapsed{ 0 };
  for (int round = 0; round < kRounds; ++round) {
    const auto start = ThreadTime();
    const auto plan = planner.Decide(input, now, WallTime{});
    elapsed += ThreadTime() - start;
    now += kDecisionPeriod;
    for (const auto& order : plan.m_orders) {
      for (auto& vm : input.m_vms) {
        if (vm.m_vm == order.m_vm) {
          vm.m_fetching = kNewDigest;
          vm.m_chunks = 100;
          vm.m_verified = 50;
        }
      }
    }
    for (std::size_t i = 0; i < input.m_vms.size(); ++i) {
      auto& vm = input.m_vms[i];
      if (round > kRounds / 2 && i % 2 == 0) {
        vm.m_staged = { kNewDigest };
      }
    }
  }
  return std::chrono::duration<double, std::micro>(elapsed).count() / kRounds;
}

void
Print(const std::string& aCase,
      const std::string& aMetric,
      const std::string& aUnit,
      double aValue,
      std::optional<double> aTarget)
{
  nlohmann::json row{ { "bench", "planner" }, { "case", aCase },
                      { "metric", aMetric },  { "unit", aUnit },
                      { "value", aValue },    { "baseline", nullptr },
                      { "target", nullptr } };
  if (aTarget) {
    row["target"] = *aTarget;
  }
  std::cout << row.dump() << std::endl;
}

} // namespace
} // namespace siskindeal

int
main()
{
  using namespace siskindeal;
  const std::uint32_t sizes[] = { 12, 40, 600, 1600 };
  double first = 0;
  double last = 0;
  for (const auto vms : sizes) {
    const auto cost = MicrosecondsPerDecision(vms);
    first = vms == sizes[0] ? cost : first;
    last = cost;
    Print(std::to_string(vms),
          "microseconds_per_decision",
          "us",
          cost,
          vms == sizes[3] ? std::optional(kMaxMicroseconds) : std::nullopt);
  }
  Print("slope",
        "microseconds_per_decision_per_vm",
        "us",
        (last - first) / (sizes[3] - sizes[0]),
        std::nullopt);
  return 0;
}

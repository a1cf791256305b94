// Leaving under traffic, over real processes: how long new work reaches a VM
// that leaves, and how many requests end without their whole answer.

#include "support/callers.h"
#include "support/rows.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <numeric>
#include <stdexcept>

namespace siskindeal::bench {
namespace {

using namespace std::chrono_literals;

constexpr int kEntries = 3;
constexpr int kEngines = 3;
constexpr int kServices = 2;
constexpr std::size_t kWeightsBytes = 1 << 20;
constexpr int kCallersOfEach = 6;
constexpr std::chrono::milliseconds kPause = 20ms;
constexpr std::chrono::milliseconds kWarmUp = 3s;
constexpr std::chrono::milliseconds kBefore = 1s; // looked at for new work
constexpr std::chrono::milliseconds kAfter = 8s;
constexpr std::chrono::milliseconds kAfterKill = 4s;
constexpr double kTargetSeconds = 3;

enum class Leave
{
  Signal, // SIGTERM
  Listed, // by the platform's list alone
  Killed, // the plain way: the process is just ended
};

struct Case
{
  const char* m_name;
  const char* m_vm;
};

constexpr Case kCases[] = {
  { "model_agent", "caddie-1" },
  { "service_agent", "teesheet-1" },
  { "entry", "entry-1" },
};

struct Result
{
  double m_newWorkBefore = 0; // in the second before the VM began to leave
  double m_secondsToLastNewWork = 0;
  double m_cutOff = 0;
  double m_notSent = 0;
  double m_notRun = 0;
  double m_runTwice = 0;
  double m_requests = 0;
};

FleetOptions
Options()
{
  FleetOptions options;
  options.m_shortIntervals = false;
  options.m_engine.m_token = 20ms;
  options.m_service.m_work = 20ms;
  return options;
}

std::size_t
Total(const std::map<std::string, int>& aExecutions)
{
  return std::accumulate(aExecutions.begin(),
                         aExecutions.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const auto& aOne) {
                           return aSum + static_cast<std::size_t>(aOne.second);
                         });
}

// Requests that the upstream of the agent aVm has begun; 0 for an entry.
std::size_t
Begun(Fleet& aFleet, const std::string& aVm)
{
  if (aVm == "caddie-1") {
    return Total(aFleet.Engine(0).Executions());
  }
  return aVm == "teesheet-1" ? Total(aFleet.Service(0).Executions()) : 0;
}

// Watches for aTime when the upstream of aVm last began a request.
Time
LastExecution(Fleet& aFleet,
              const std::string& aVm,
              std::chrono::milliseconds aTime)
{
  constexpr std::chrono::milliseconds kPoll = 5ms;
  const auto began = std::chrono::steady_clock::now();
  auto last = began;
  auto seen = Begun(aFleet, aVm);
  while (std::chrono::steady_clock::now() < began + aTime) {
    std::this_thread::sleep_for(kPoll);
    const auto total = Begun(aFleet, aVm);
    if (total != seen) {
      seen = total;
      last = std::chrono::steady_clock::now();
    }
  }
  return last;
}

// The last request that the entry at aAddress took.
Time
LastAccepted(const std::vector<Asked>& aAsked, const std::string& aAddress)
{
  Time last;
  for (const auto& asked : aAsked) {
    if (asked.m_address == aAddress &&
        (asked.m_ending == Ending::Whole || asked.m_ending == Ending::CutOff)) {
      last = std::max(last, asked.m_sent);
    }
  }
  return last;
}

// Requests that the entry at aAddress took in the time before aUntil.
std::size_t
Accepted(const std::vector<Asked>& aAsked,
         const std::string& aAddress,
         Time aUntil)
{
  return static_cast<std::size_t>(
    std::count_if(aAsked.begin(), aAsked.end(), [&](const Asked& aOne) {
      return aOne.m_address == aAddress && aOne.m_ending == Ending::Whole &&
             aOne.m_sent < aUntil && aOne.m_sent >= aUntil - kBefore;
    }));
}

double
RunTwice(Fleet& aFleet)
{
  std::map<std::string, int> runs;
  for (int i = 0; i < kServices; ++i) {
    for (const auto& [key, count] : aFleet.Service(i).Executions()) {
      runs[key] += key.empty() ? 0 : count;
    }
  }
  return static_cast<double>(
    std::count_if(runs.begin(), runs.end(), [](const auto& aRun) {
      return aRun.second > 1;
    }));
}

double
Count(const std::vector<Asked>& aAsked, Ending aEnding)
{
  return static_cast<double>(
    std::count_if(aAsked.begin(), aAsked.end(), [aEnding](const Asked& aOne) {
      return aOne.m_ending == aEnding;
    }));
}

void
BeginLeaving(Fleet& aFleet, Fleet::Vm& aVm, Leave aLeave)
{
  switch (aLeave) {
    case Leave::Signal:
      aVm.m_process->Signal(SIGTERM);
      return;
    case Leave::Killed:
      aVm.m_process->Signal(SIGKILL);
      return;
    case Leave::Listed:
      aFleet.Platform().SetVm(
        { aVm.m_name, aVm.m_place, aVm.m_service, aVm.m_rpc, true }, true);
      return;
  }
}

Result
Measure(const std::string& aVm, Leave aLeave)
{
  Fleet fleet(kEntries, kEngines, kServices, Options());
  CallOptions options;
  options.m_content = fleet.RollOut("booking-1", kWeightsBytes, kEngines);
  options.m_chatTokens = 10;
  options.m_streamTokens = 100;
  std::vector<Work> works;
  for (const auto work : { Work::Chat, Work::Stream, Work::Booking }) {
    works.insert(works.end(), kCallersOfEach, work);
  }
  Callers callers(fleet, options, works, kPause);
  std::this_thread::sleep_for(kWarmUp - kBefore);
  const auto begunBefore = Begun(fleet, aVm);
  std::this_thread::sleep_for(kBefore);
  auto newWork = Begun(fleet, aVm) - begunBefore;
  auto& vm = fleet.GetVm(aVm);
  const auto began = std::chrono::steady_clock::now();
  BeginLeaving(fleet, vm, aLeave);
  auto last =
    LastExecution(fleet, aVm, aLeave == Leave::Killed ? kAfterKill : kAfter);
  if (aLeave == Leave::Signal &&
      (!vm.m_process->EndsWithin(30s) || vm.m_process->Wait() != 0)) {
    std::cerr << aVm << " did not end by itself\n" << fleet.Logs();
  }
  const auto asked = callers.Stop();
  if (vm.m_service.empty()) {
    newWork = Accepted(asked, vm.m_http, began);
    last = std::max(began, LastAccepted(asked, vm.m_http));
  }
  if (newWork == 0) {
    throw std::runtime_error(aVm + " got no new work before it left");
  }
  for (const auto& one : asked) {
    if (one.m_ending != Ending::Whole && aLeave != Leave::Killed) {
      std::cerr << aVm << ": work " << static_cast<int>(one.m_work) << " at "
                << one.m_address << " after "
                << std::chrono::duration<double>(one.m_sent - began).count()
                << " s: " << one.m_what << '\n';
    }
  }
  return { static_cast<double>(newWork),
           std::chrono::duration<double>(last - began).count(),
           Count(asked, Ending::CutOff),
           Count(asked, Ending::NotSent),
           Count(asked, Ending::NotRun),
           RunTwice(fleet),
           static_cast<double>(asked.size()) };
}

void
PrintCase(const std::string& aCase,
          const Result& aResult,
          const std::optional<Result>& aPlain)
{
  const auto plain = [&](double Result::*aMember) {
    return aPlain ? std::optional<double>((*aPlain).*aMember) : std::nullopt;
  };
  Print("drain",
        { aCase,
          "new_work_in_the_second_before",
          "requests",
          aResult.m_newWorkBefore,
          plain(&Result::m_newWorkBefore),
          std::nullopt });
  Print("drain",
        { aCase,
          "seconds_to_last_new_work",
          "s",
          aResult.m_secondsToLastNewWork,
          std::nullopt,
          kTargetSeconds });
  Print("drain",
        { aCase,
          "requests_cut_off",
          "requests",
          aResult.m_cutOff,
          plain(&Result::m_cutOff),
          0 });
  Print("drain",
        { aCase,
          "bookings_run_twice",
          "requests",
          aResult.m_runTwice,
          plain(&Result::m_runTwice),
          0 });
  Print("drain",
        { aCase,
          "requests_refused_not_run",
          "requests",
          aResult.m_notRun,
          plain(&Result::m_notRun),
          std::nullopt });
  Print("drain",
        { aCase,
          "connections_refused",
          "requests",
          aResult.m_notSent,
          plain(&Result::m_notSent),
          std::nullopt });
  Print("drain",
        { aCase,
          "requests_sent",
          "requests",
          aResult.m_requests,
          plain(&Result::m_requests),
          std::nullopt });
}

} // namespace
} // namespace siskindeal::bench

// An argument runs only the cases whose name begins with it.
int
main(int aArgc, char** aArgv)
{
  using namespace siskindeal::bench;
  const std::string only = aArgc > 1 ? aArgv[1] : "";
  for (const auto& one : kCases) {
    const std::string name = one.m_name;
    if (name.rfind(only, 0) != 0) {
      continue;
    }
    const auto plain = Measure(one.m_vm, Leave::Killed);
    PrintCase(name + "_signal", Measure(one.m_vm, Leave::Signal), plain);
    PrintCase(name + "_listed", Measure(one.m_vm, Leave::Listed), std::nullopt);
  }
  return 0;
}

// Measures draining under load with real processes: for how long a leaving VM
// gets new requests, and how many requests fail.

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
constexpr int kCallersPerKind = 6;
constexpr std::chrono::milliseconds kRequestPause = 20ms;
constexpr std::chrono::milliseconds kWarmUp = 3s;
constexpr std::chrono::milliseconds kObserveBefore = 1s;
constexpr std::chrono::milliseconds kObserveAfter = 8s;
constexpr std::chrono::milliseconds kObserveAfterKill = 4s;
constexpr double kTargetSeconds = 3;

enum class LeaveMode
{
  Signal, // SIGTERM
  Listed, // marked as leaving in the platform's list only
  Killed, // SIGKILL, the baseline
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
  double m_newRequestsBefore = 0; // in the second before leaving
  double m_secondsToLastNewRequest = 0;
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

// Returns the number of requests that the upstream of the agent aVm has
// started, or 0 for an entry.
std::size_t
CountStarted(Fleet& aFleet, const std::string& aVm)
{
  if (aVm == "caddie-1") {
    return Total(aFleet.Engine(0).Executions());
  }
  return aVm == "teesheet-1" ? Total(aFleet.Service(0).Executions()) : 0;
}

// Observes the upstream of aVm for aDuration and returns when it last started a
// request.
TimePoint
ObserveLastExecution(Fleet& aFleet,
                     const std::string& aVm,
                     std::chrono::milliseconds aDuration)
{
  constexpr std::chrono::milliseconds kPollInterval = 5ms;
  const auto began = std::chrono::steady_clock::now();
  auto last = began;
  auto previous = CountStarted(aFleet, aVm);
  while (std::chrono::steady_clock::now() < began + aDuration) {
    std::this_thread::sleep_for(kPollInterval);
    const auto total = CountStarted(aFleet, aVm);
    if (total != previous) {
      previous = total;
      last = std::chrono::steady_clock::now();
    }
  }
  return last;
}

// Returns when the last request that the entry at aAddress accepted was sent.
TimePoint
LastAccepted(const std::vector<CallResult>& aCalls, const std::string& aAddress)
{
  TimePoint last;
  for (const auto& call : aCalls) {
    if (call.m_address == aAddress &&
        (call.m_outcome == CallOutcome::Complete ||
         call.m_outcome == CallOutcome::Failed)) {
      last = std::max(last, call.m_sent);
    }
  }
  return last;
}

// Counts the completed requests that were sent to the entry at aAddress in the
// last kObserveBefore before aUntil.
std::size_t
CountAccepted(const std::vector<CallResult>& aCalls,
              const std::string& aAddress,
              TimePoint aUntil)
{
  return static_cast<std::size_t>(
    std::count_if(aCalls.begin(), aCalls.end(), [&](const CallResult& aCall) {
      return aCall.m_address == aAddress &&
             aCall.m_outcome == CallOutcome::Complete &&
             aCall.m_sent < aUntil && aCall.m_sent >= aUntil - kObserveBefore;
    }));
}

double
CountDuplicateRuns(Fleet& aFleet)
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
CountOutcome(const std::vector<CallResult>& aCalls, CallOutcome aOutcome)
{
  return static_cast<double>(std::count_if(
    aCalls.begin(), aCalls.end(), [aOutcome](const CallResult& aCall) {
      return aCall.m_outcome == aOutcome;
    }));
}

void
StartLeaving(Fleet& aFleet, Fleet::Vm& aVm, LeaveMode aMode)
{
  switch (aMode) {
    case LeaveMode::Signal:
      aVm.m_process->Signal(SIGTERM);
      return;
    case LeaveMode::Killed:
      aVm.m_process->Signal(SIGKILL);
      return;
    case LeaveMode::Listed:
      aFleet.Platform().SetVm(
        { aVm.m_name, aVm.m_place, aVm.m_service, aVm.m_rpc, true }, true);
      return;
  }
}

Result
Measure(const std::string& aVm, LeaveMode aMode)
{
  Fleet fleet(kEntries, kEngines, kServices, Options());
  CallOptions options;
  options.m_content = fleet.RollOut("booking-1", kWeightsBytes, kEngines);
  options.m_chatTokens = 10;
  options.m_streamTokens = 100;
  std::vector<RequestKind> kinds;
  for (const auto kind :
       { RequestKind::Chat, RequestKind::Stream, RequestKind::Booking }) {
    kinds.insert(kinds.end(), kCallersPerKind, kind);
  }
  Callers callers(fleet, options, kinds, kRequestPause);
  std::this_thread::sleep_for(kWarmUp - kObserveBefore);
  const auto startedBefore = CountStarted(fleet, aVm);
  std::this_thread::sleep_for(kObserveBefore);
  auto newRequests = CountStarted(fleet, aVm) - startedBefore;
  auto& vm = fleet.GetVm(aVm);
  const auto began = std::chrono::steady_clock::now();
  StartLeaving(fleet, vm, aMode);
  auto last = ObserveLastExecution(
    fleet, aVm, aMode == LeaveMode::Killed ? kObserveAfterKill : kObserveAfter);
  if (aMode == LeaveMode::Signal &&
      (!vm.m_process->EndsWithin(30s) || vm.m_process->Wait() != 0)) {
    std::cerr << aVm << " did not exit with status 0 after SIGTERM\n"
              << fleet.Logs();
  }
  const auto calls = callers.Stop();
  if (vm.m_service.empty()) {
    newRequests = CountAccepted(calls, vm.m_http, began);
    last = std::max(began, LastAccepted(calls, vm.m_http));
  }
  if (newRequests == 0) {
    throw std::runtime_error(aVm + " got no new requests before it left");
  }
  for (const auto& call : calls) {
    if (call.m_outcome != CallOutcome::Complete && aMode != LeaveMode::Killed) {
      std::cerr << aVm << ": request kind " << static_cast<int>(call.m_kind)
                << " at " << call.m_address << " after "
                << std::chrono::duration<double>(call.m_sent - began).count()
                << " s: " << call.m_detail << '\n';
    }
  }
  return { static_cast<double>(newRequests),
           std::chrono::duration<double>(last - began).count(),
           CountOutcome(calls, CallOutcome::Failed),
           CountOutcome(calls, CallOutcome::NotSent),
           CountOutcome(calls, CallOutcome::NotRun),
           CountDuplicateRuns(fleet),
           static_cast<double>(calls.size()) };
}

void
PrintCase(const std::string& aCase,
          const Result& aResult,
          const std::optional<Result>& aBaseline)
{
  const auto baseline = [&](double Result::*aMember) {
    return aBaseline ? std::optional<double>((*aBaseline).*aMember)
                     : std::nullopt;
  };
  Print("drain",
        { aCase,
          "new_work_in_the_second_before",
          "requests",
          aResult.m_newRequestsBefore,
          baseline(&Result::m_newRequestsBefore),
          std::nullopt });
  Print("drain",
        { aCase,
          "seconds_to_last_new_work",
          "s",
          aResult.m_secondsToLastNewRequest,
          std::nullopt,
          kTargetSeconds });
  Print("drain",
        { aCase,
          "requests_cut_off",
          "requests",
          aResult.m_cutOff,
          baseline(&Result::m_cutOff),
          0 });
  Print("drain",
        { aCase,
          "bookings_run_twice",
          "requests",
          aResult.m_runTwice,
          baseline(&Result::m_runTwice),
          0 });
  Print("drain",
        { aCase,
          "requests_refused_not_run",
          "requests",
          aResult.m_notRun,
          baseline(&Result::m_notRun),
          std::nullopt });
  Print("drain",
        { aCase,
          "connections_refused",
          "requests",
          aResult.m_notSent,
          baseline(&Result::m_notSent),
          std::nullopt });
  Print("drain",
        { aCase,
          "requests_sent",
          "requests",
          aResult.m_requests,
          baseline(&Result::m_requests),
          std::nullopt });
}

} // namespace
} // namespace siskindeal::bench

// Runs all cases, or only those whose names start with the argument.
int
main(int aArgc, char** aArgv)
{
  using namespace siskindeal::bench;
  const std::string prefix = aArgc > 1 ? aArgv[1] : "";
  for (const auto& test : kCases) {
    const std::string name = test.m_name;
    if (name.rfind(prefix, 0) != 0) {
      continue;
    }
    const auto baseline = Measure(test.m_vm, LeaveMode::Killed);
    PrintCase(
      name + "_signal", Measure(test.m_vm, LeaveMode::Signal), baseline);
    PrintCase(
      name + "_listed", Measure(test.m_vm, LeaveMode::Listed), std::nullopt);
  }
  return 0;
}

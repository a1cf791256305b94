#include "support/path.h"

#include "support/callers.h"
#include "support/rows.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <fstream>

namespace siskindeal::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kWeightsBytes = 1 << 20;
constexpr int kCallerCount = 8;
constexpr int kPairsPerCaller = 120; // one direct, one through the entry
constexpr int kWarmUpPairs = 10;
constexpr std::chrono::milliseconds kUpstreamTime = 20ms;
constexpr int kTokens = 80;    // per stream
constexpr int kReadTokens = 8; // before the caller hangs up
constexpr double kTargetP50 = 1.05;
constexpr double kTargetP99 = 1.15;

FleetOptions
Options()
{
  FleetOptions options;
  options.m_shortIntervals = false;
  options.m_engine.m_prefill = 0ms;
  options.m_engine.m_token = kUpstreamTime;
  options.m_service.m_work = kUpstreamTime;
  return options;
}

// Returns the CPU time that the process has used.
double
CpuSeconds(const Process& aProcess)
{
  constexpr int kUserTimeField = 14; // field number in proc(5)
  std::ifstream file("/proc/" + std::to_string(aProcess.Id()) + "/stat");
  std::string field;
  double ticks = 0;
  for (int i = 1; i <= kUserTimeField + 1 && file >> field; ++i) {
    ticks += i >= kUserTimeField ? std::stod(field) : 0;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double
CpuSeconds(Fleet& aFleet, const std::string& aEntry, const char* aAgent)
{
  return CpuSeconds(*aFleet.GetVm(aEntry).m_process) +
         CpuSeconds(*aFleet.GetVm(aAgent).m_process);
}

double
Millis(const CallResult& aResult)
{
  return std::chrono::duration<double, std::milli>(aResult.m_ended -
                                                   aResult.m_sent)
    .count();
}

struct Latencies
{
  std::vector<double> m_direct;
  std::vector<double> m_through;
  int m_failed = 0;
};

struct Path
{
  RequestKind m_kind;
  std::string m_entry;    // "IP:PORT"
  std::string m_upstream; // "IP:PORT"
};

// Sends requests from one caller, alternating between upstream and entry.
Latencies
MeasureCaller(const CallOptions& aOptions, const Path& aPath, int aCaller)
{
  HttpClient client;
  Latencies latencies;
  for (int i = 0; i < kPairsPerCaller + kWarmUpPairs; ++i) {
    const auto id = std::to_string(aCaller) + "-" + std::to_string(i) + "-";
    const auto direct = SendToUpstream(
      client, aOptions, aPath.m_kind, aPath.m_upstream, id + "d");
    const auto through =
      SendRequest(client, aOptions, aPath.m_kind, aPath.m_entry, id + "t");
    latencies.m_failed += direct.m_outcome != CallOutcome::Complete ? 1 : 0;
    latencies.m_failed += through.m_outcome != CallOutcome::Complete ? 1 : 0;
    if (i >= kWarmUpPairs) {
      latencies.m_direct.push_back(Millis(direct));
      latencies.m_through.push_back(Millis(through));
    }
  }
  return latencies;
}

Latencies
MeasureCallers(const CallOptions& aOptions, const Path& aPath)
{
  std::vector<Latencies> each(kCallerCount);
  std::vector<std::thread> threads;
  threads.reserve(kCallerCount);
  for (int i = 0; i < kCallerCount; ++i) {
    threads.emplace_back([&, i] {
      each[static_cast<std::size_t>(i)] = MeasureCaller(aOptions, aPath, i);
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  Latencies all;
  for (const auto& one : each) {
    all.m_direct.insert(
      all.m_direct.end(), one.m_direct.begin(), one.m_direct.end());
    all.m_through.insert(
      all.m_through.end(), one.m_through.begin(), one.m_through.end());
    all.m_failed += one.m_failed;
  }
  return all;
}

void
PrintRatio(const std::string& aCase,
           Latencies& aLatencies,
           double aShare,
           const std::string& aName,
           std::optional<double> aTarget)
{
  const auto direct = Quantile(aLatencies.m_direct, aShare);
  const auto through = Quantile(aLatencies.m_through, aShare);
  Print("routing",
        { aCase,
          "added_latency_" + aName + "_ratio",
          "ratio",
          through / direct,
          1.0,
          aTarget });
  Print("routing",
        { aCase, "latency_" + aName, "ms", through, direct, std::nullopt });
}

void
MeasurePath(Fleet& aFleet,
            const CallOptions& aOptions,
            const std::string& aCase,
            const Path& aPath,
            const char* aAgent)
{
  // Requests with a key also wait for platform writes, so they have no target.
  const bool keyed = aPath.m_kind == RequestKind::Booking;
  const auto before = CpuSeconds(aFleet, "entry-1", aAgent);
  auto latencies = MeasureCallers(aOptions, aPath);
  const auto used = CpuSeconds(aFleet, "entry-1", aAgent) - before;
  PrintRatio(aCase,
             latencies,
             0.5,
             "p50",
             keyed ? std::nullopt : std::optional<double>(kTargetP50));
  PrintRatio(aCase,
             latencies,
             0.99,
             "p99",
             keyed ? std::nullopt : std::optional<double>(kTargetP99));
  constexpr double kThrough = kCallerCount * (kPairsPerCaller + kWarmUpPairs);
  Print("routing",
        { aCase,
          "requests_per_core_second",
          "requests/s",
          kThrough / used,
          std::nullopt,
          std::nullopt });
  Print("routing",
        { aCase,
          "requests_failed",
          "requests",
          static_cast<double>(latencies.m_failed),
          std::nullopt,
          0 });
}

// Integrates the number of requests running at the engine over time.
class EngineBusyTime
{
public:
  explicit EngineBusyTime(const std::string& aUrl)
    : m_url(aUrl + "/engine/load")
    , m_thread([this] { Run(); })
  {
  }

  double Stop()
  {
    m_stopping.store(true);
    m_thread.join();
    return m_seconds;
  }

private:
  void Run()
  {
    constexpr auto kPollInterval = 5ms;
    HttpClient client;
    auto last = std::chrono::steady_clock::now();
    int running = 0;
    while (!m_stopping.load() || running > 0) {
      const auto reply = client.Fetch({ "GET", m_url });
      const auto now = std::chrono::steady_clock::now();
      m_seconds += running * std::chrono::duration<double>(now - last).count();
      last = now;
      const auto load = nlohmann::json::parse(reply.m_body, nullptr, false);
      running = load.is_object() ? load.value("running", 0) : 0;
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  const std::string m_url;
  std::atomic<bool> m_stopping{ false };
  double m_seconds = 0;
  std::thread m_thread;
};

// Runs a set of streams and returns the engine's busy seconds. With aHangUp
// every second caller closes its connection after kReadTokens.
double
StreamSeconds(Fleet& aFleet, bool aHangUp)
{
  constexpr int kStreamCount = 8;
  HttpClient client;
  EngineBusyTime time(aFleet.Engine(0).Url());
  std::vector<std::thread> threads;
  threads.reserve(kStreamCount);
  for (int i = 0; i < kStreamCount; ++i) {
    threads.emplace_back([&client, &aFleet, aHangUp, hangsUp = i % 2 == 0, i] {
      const nlohmann::json body = {
        { "model", "booking chat" },
        { "stream", true },
        { "max_tokens", kTokens },
        { "messages",
          { { { "role", "user" }, { "content", std::to_string(i) } } } }
      };
      HttpClientRequest request{ "POST",
                                 aFleet.Url("entry-1", "/v1/chat/completions"),
                                 { { "content-type", "application/json" },
                                   { "x-team", "pro-shops" } },
                                 body.dump() };
      int chunks = 0;
      request.m_onBody = [&chunks, aHangUp, hangsUp](std::string_view) {
        return !(aHangUp && hangsUp && ++chunks >= kReadTokens);
      };
      client.Fetch(std::move(request));
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return time.Stop();
}

// Measures the share of the engine's time that is wasted when callers hang up.
// The time for streams read to the end and for the tokens read of the other
// streams is useful; the rest is wasted.
void
MeasureHangUps()
{
  // Half of the streams are read to the end.
  constexpr double kReadShare =
    0.5 * (1 + static_cast<double>(kReadTokens) / kTokens);
  auto options = Options();
  options.m_engine.m_reportLag = 0ms;
  Fleet fleet(1, 1, 0, options);
  fleet.RollOut("booking-1", kWeightsBytes, 1);
  const auto completeSeconds = StreamSeconds(fleet, false);
  const auto hangUpSeconds = StreamSeconds(fleet, true);
  const auto useful = kReadShare * completeSeconds;
  Print("routing",
        { "chat_cancel",
          "upstream_seconds_wasted_share",
          "share",
          std::max(0.0, (hangUpSeconds - useful) / hangUpSeconds),
          1 - kReadShare,
          std::nullopt });
  Print("routing",
        { "chat_cancel",
          "upstream_seconds",
          "s",
          hangUpSeconds,
          completeSeconds,
          std::nullopt });
}

} // namespace

void
PrintPathRows()
{
  {
    Fleet fleet(1, 1, 1, Options());
    CallOptions options;
    options.m_content = fleet.RollOut("booking-1", kWeightsBytes, 1);
    const auto entry = fleet.GetVm("entry-1").m_http;
    const auto address = [](const std::string& aUrl) {
      return aUrl.substr(std::string("http://").size());
    };
    const auto engine = address(fleet.Engine(0).Url());
    const auto service = address(fleet.Service(0).Url());
    MeasurePath(
      fleet, options, "chat", { RequestKind::Chat, entry, engine }, "caddie-1");
    MeasurePath(fleet,
                options,
                "service",
                { RequestKind::Lookup, entry, service },
                "teesheet-1");
    MeasurePath(fleet,
                options,
                "service_keyed",
                { RequestKind::Booking, entry, service },
                "teesheet-1");
  }
  MeasureHangUps();
}

} // namespace siskindeal::bench

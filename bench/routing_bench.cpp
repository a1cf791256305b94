// Benchmarks routing: the prefix cache hit rate and the upstreams crashed by
// one request, simulated in virtual time; the CPU time of one routing decision;
// and the request path through real processes.

#include "siskindeal/quarantine.h"
#include "siskindeal/routing.h"

#include "support/path.h"
#include "support/rows.h"

#include <algorithm>
#include <list>
#include <map>
#include <set>

namespace siskindeal::bench {
namespace {

using std::chrono::milliseconds;

constexpr int kRunners = 12;
constexpr std::uint32_t kSlots = 16;
constexpr int kEntries = 7;
constexpr std::size_t kCacheCapacity = 60; // prefixes per runner
constexpr int kSessions = 500;
constexpr milliseconds kReportPeriod{ 500 };
constexpr int kRequests = 60000;
constexpr double kEventDeliveryRate = 0.9; // the other cache events are lost
constexpr std::chrono::microseconds kRequestInterval{ 1200 };
constexpr milliseconds kServiceTime{ 100 };

std::string
VmName(int aIndex)
{
  return "vm" + std::to_string(aIndex);
}

// LRU cache of prompt prefixes on one runner.
class PrefixCache
{
public:
  // Returns whether the prefix was cached, and caches it.
  bool Access(std::uint64_t aPrefix)
  {
    const auto found = std::find(m_order.begin(), m_order.end(), aPrefix);
    const bool hit = found != m_order.end();
    if (hit) {
      m_order.erase(found);
    }
    m_order.push_front(aPrefix);
    if (m_order.size() > kCacheCapacity) {
      m_order.pop_back();
    }
    return hit;
  }

private:
  std::list<std::uint64_t> m_order;
};

struct SessionResult
{
  double m_hitShare = 0;
  double m_maxLoad = 0; // maximum concurrent requests on one runner
};

// Sends requests with skewed prefix popularity through several entries, which
// receive load reports and cache events with a delay.
SessionResult
SimulateSessions(const std::string& aPolicy)
{
  Random random(23);
  MonotonicTime now{ std::chrono::hours(1) };
  std::vector<Router> routers;
  for (int entry = 0; entry < kEntries; ++entry) {
    routers.emplace_back(Registry<RoutingPolicy>::Instance().Make(aPolicy),
                         0.1,
                         static_cast<std::uint64_t>(entry));
    routers.back().SetEntries(kEntries);
  }
  std::vector<PrefixCache> caches(kRunners);
  std::vector<std::uint32_t> running(kRunners, 0);
  struct CacheEvent
  {
    int m_runner = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_prefix = 0;
  };
  std::vector<std::uint64_t> sequences(kRunners, 0);
  std::vector<CacheEvent> events;
  std::multimap<MonotonicTime, std::pair<int, int>> ends; // entry, runner
  MonotonicTime nextReport = now;
  int hits = 0;
  std::uint32_t maxLoad = 0;
  for (int request = 0; request < kRequests; ++request) {
    now += kRequestInterval;
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [entry, runner] = ends.begin()->second;
      routers[static_cast<std::size_t>(entry)].OnRequestEnded(
        VmName(runner), RunnerOutcome::Answered, ends.begin()->first);
      --running[static_cast<std::size_t>(runner)];
      ends.erase(ends.begin());
    }
    if (now >= nextReport) {
      nextReport = now + kReportPeriod;
      for (auto& router : routers) {
        for (int runner = 0; runner < kRunners; ++runner) {
          RunnerReport report;
          report.m_vm = VmName(runner);
          report.m_slots = kSlots;
          report.m_hasLoad = true;
          report.m_running = running[static_cast<std::size_t>(runner)];
          router.UpdateRunner(report, now);
        }
        for (const auto& event : events) {
          if (random.Chance(kEventDeliveryRate)) {
            router.Prefixes().OnCacheEvent(VmName(event.m_runner),
                                           event.m_sequence,
                                           event.m_prefix,
                                           false,
                                           now);
          }
        }
      }
      events.clear();
    }
    const auto entry = random.Below(kEntries);
    const auto prefix =
      1 + std::min(random.Below(kSessions), random.Below(kSessions));
    auto& router = routers[entry];
    const auto vm = *router.Choose({ "", "", prefix, {} }, now);
    const int runner = std::stoi(vm.substr(2));
    router.OnRequestSent(vm, prefix, now);
    auto& cache = caches[static_cast<std::size_t>(runner)];
    const bool hit = cache.Access(prefix);
    hits += hit ? 1 : 0;
    if (!hit) {
      events.push_back(
        { runner, ++sequences[static_cast<std::size_t>(runner)], prefix });
    }
    maxLoad = std::max(maxLoad, ++running[static_cast<std::size_t>(runner)]);
    const auto time = milliseconds(50 + random.Below(100)) * (hit ? 1 : 2);
    ends.emplace(now + time / 2 + kServiceTime / 2,
                 std::pair(static_cast<int>(entry), runner));
  }
  return { static_cast<double>(hits) / kRequests,
           static_cast<double>(maxLoad) };
}

void
BenchPrefixHits()
{
  const auto prefix = SimulateSessions("prefix_two_choices");
  const auto choices = SimulateSessions("two_choices");
  const auto random = SimulateSessions("random");
  Print("routing",
        { "chat",
          "prefix_hit_share",
          "share",
          prefix.m_hitShare,
          random.m_hitShare,
          std::nullopt });
  Print("routing",
        { "chat_two_choices",
          "prefix_hit_share",
          "share",
          choices.m_hitShare,
          random.m_hitShare,
          std::nullopt });
  Print("routing",
        { "chat",
          "most_requests_at_a_runner",
          "requests",
          prefix.m_maxLoad,
          random.m_maxLoad,
          std::nullopt });
}

void
BenchChoiceTime(int aRunners)
{
  constexpr int kDecisions = 20000;
  MonotonicTime now{ std::chrono::hours(1) };
  Router router(
    Registry<RoutingPolicy>::Instance().Make("prefix_two_choices"), 0.1, 3);
  for (int runner = 0; runner < aRunners; ++runner) {
    RunnerReport report;
    report.m_vm = VmName(runner);
    report.m_classes = { std::string(64, 'a') };
    router.UpdateRunner(report, now);
  }
  const auto start = std::chrono::steady_clock::now();
  for (int choice = 0; choice < kDecisions; ++choice) {
    const auto prefix = static_cast<std::uint64_t>(1 + choice % 500);
    const auto vm =
      router.Choose({ "", std::string(64, 'a'), prefix, {} }, now);
    router.OnRequestSent(*vm, prefix, now);
    router.OnRequestEnded(*vm, RunnerOutcome::Answered, now);
  }
  const std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - start;
  Print("routing",
        { std::to_string(aRunners) + "_runners",
          "microseconds_per_choice",
          "us",
          elapsed.count() / kDecisions,
          std::nullopt,
          std::nullopt });
}

// One caller retries a request that crashes its upstream, through different
// entries, until the request is quarantined. Without the suspicion table each
// attempt would crash an upstream.
void
BenchUpstreamsLost()
{
  constexpr int kAttempts = 8;
  constexpr std::uint64_t kFingerprint = 7;
  const MonotonicTime now{ std::chrono::hours(1) };
  std::vector<SuspicionTable> entries(kEntries);
  std::vector<SuspicionTable> agents(kRunners);
  int lost = 0;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    auto& entry = entries[static_cast<std::size_t>(attempt % kEntries)];
    if (entry.StateOf(kFingerprint) == SuspicionState::Quarantined) {
      continue;
    }
    const bool alone = entry.StateOf(kFingerprint) == SuspicionState::Suspect;
    std::vector<SuspicionTable::InFlight> inFlight{ { kFingerprint, "chat" } };
    for (std::uint64_t other = 100; !alone && other < 110; ++other) {
      inFlight.push_back({ other, "chat" });
    }
    auto& agent = agents[static_cast<std::size_t>(attempt % kRunners)];
    const auto suspicions =
      agent.RecordCrash("crash" + std::to_string(++lost), inFlight, now);
    for (auto& receiver : entries) {
      for (const auto& suspicion : suspicions) {
        receiver.Merge(suspicion);
      }
    }
  }
  Print("routing",
        { "crashing_request",
          "upstreams_lost",
          "upstreams",
          static_cast<double>(lost),
          kAttempts,
          2 });
}

} // namespace
} // namespace siskindeal::bench

int
main()
{
  using namespace siskindeal::bench;
  BenchPrefixHits();
  for (const int runners : { 12, 600 }) {
    BenchChoiceTime(runners);
  }
  BenchUpstreamsLost();
  PrintPathRows();
  return 0;
}

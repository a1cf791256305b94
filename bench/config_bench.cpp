// Measures configuration propagation time, platform reads and writes, lease
// takeover time, and, for two ways of bounding the staleness of load, the bytes
// sent and the routing errors.

#include "support/bench_node.h"

#include "config/object_watcher_p.h"

#include "siskindeal/log.h"
#include "standin/platform.h"

#include <algorithm>
#include <cmath>
#include <thread>

namespace siskindeal::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 9;
constexpr int kAgents = 40;
constexpr std::size_t kSeedEntries = 3;
constexpr int kChanges = 10;
constexpr double kLostReplyShare = 0.05;
constexpr seconds kHangGuard{ 30 };
const char* const kPlaces[] = { "kingston", "montego", "ocho-rios" };

double
SecondsSince(MonotonicTime aStart)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       aStart)
    .count();
}

// Waits until aDone returns true or kHangGuard has passed. Returns the seconds
// waited.
template<typename Condition>
double
WaitSeconds(const Condition& aDone)
{
  const auto start = std::chrono::steady_clock::now();
  while (!aDone() && SecondsSince(start) < kHangGuard.count()) {
    std::this_thread::sleep_for(milliseconds{ 2 });
  }
  return SecondsSince(start);
}

struct Fleet
{
  explicit Fleet(const std::string& aPlatformUrl)
  {
    std::vector<Address> entries;
    for (int i = 0; i < kEntries + kAgents; ++i) {
      BenchNodeOptions options;
      const bool entry = i < kEntries;
      options.m_vm = (entry ? "entry-" : "agent-") + std::to_string(i);
      options.m_place = kPlaces[i % 3];
      options.m_role = entry ? wire::ROLE_ENTRY : wire::ROLE_AGENT;
      options.m_entries = entries;
      options.m_platformUrl = aPlatformUrl;
      options.m_lostAnswers = kLostReplyShare;
      m_nodes.push_back(
        std::make_unique<BenchNode>(options, m_http, m_pool, m_clock));
      if (entries.size() < kSeedEntries) {
        entries.push_back(m_nodes.back()->Rpc());
      }
    }
  }

  ~Fleet()
  {
    m_nodes.clear();
    m_pool.Stop();
  }

  bool AllEntriesSeeAll() const
  {
    return std::all_of(
      m_nodes.begin(), m_nodes.begin() + kEntries, [](const auto& aNode) {
        return aNode->Sync().View()->m_nodes.size() == kEntries + kAgents;
      });
  }

  bool AllHoldVersion(std::uint64_t aVersion) const
  {
    return std::all_of(
      m_nodes.begin(), m_nodes.end(), [aVersion](const auto& aNode) {
        return aNode->ConfigVersion() >= aVersion;
      });
  }

  HttpClient m_http;
  WorkerPool m_pool{ 6 };
  SystemClock m_clock;
  std::vector<std::unique_ptr<BenchNode>> m_nodes;
};

void
MeasurePropagation(Fleet& aFleet, standin::PlatformStandIn& aPlatform)
{
  std::vector<double> times;
  for (int change = 1; change <= kChanges; ++change) {
    aPlatform.SetObject(
      kConfigKey,
      "{\"other_teams\":{\"burst\":" + std::to_string(change) + "}}");
    times.push_back(WaitSeconds([&] { return aFleet.AllHoldVersion(change); }));
  }
  std::sort(times.begin(), times.end());
  PrintRow("config",
           "nine_entries_forty_agents",
           "seconds_to_force_p100",
           "s",
           times.back(),
           "",
           "3");
  PrintRow("config",
           "nine_entries_forty_agents",
           "seconds_to_force_p50",
           "s",
           times[times.size() / 2],
           "",
           "");
}

// The baseline without relaying: every process lists and watches the platform.
class DirectWatchers
{
public:
  DirectWatchers()
  {
    PlatformSettings settings;
    settings.m_url = m_platform.Url();
    for (int i = 0; i < kEntries + kAgents; ++i) {
      m_clients.push_back(MakeHttpPlatform(settings, m_http, m_pool, m_clock));
      for (const auto* prefix : { kConfigPrefix,
                                  kTargetPrefix,
                                  kCataloguePrefix,
                                  kQuarantinePrefix }) {
        ObjectWatcher::Hooks hooks;
        hooks.m_held = [] { return std::map<std::string, std::uint64_t>(); };
        hooks.m_unconfirmed = [] { return false; };
        hooks.m_onObjects = [](const auto&) {};
        m_watchers.push_back(std::make_shared<ObjectWatcher>(
          *m_clients.back(), prefix, i, std::move(hooks)));
      }
    }
    constexpr milliseconds kTick{ 100 };
    m_pool.Every(kTick, [this] {
      for (const auto& watcher : m_watchers) {
        watcher->Tick(m_clock.Now(), true);
      }
    });
  }

  ~DirectWatchers()
  {
    for (const auto& watcher : m_watchers) {
      watcher->Stop();
    }
    m_pool.Stop();
  }
  DirectWatchers(const DirectWatchers&) = delete;
  DirectWatchers& operator=(const DirectWatchers&) = delete;

  standin::PlatformStandIn& GetPlatform() { return m_platform; }

private:
  standin::PlatformStandIn m_platform{ {} };
  SystemClock m_clock;
  WorkerPool m_pool{ 2 };
  HttpClient m_http;
  std::vector<std::unique_ptr<Platform>> m_clients;
  std::vector<std::shared_ptr<ObjectWatcher>> m_watchers;
};

// Measures idle platform reads with and without relaying over the same time.
void
MeasureReads(standin::PlatformStandIn& aPlatform)
{
  constexpr seconds kWarmUp{ 3 };
  constexpr seconds kMeasuredTime{ 20 }; // one watch timeout
  DirectWatchers plain;
  std::this_thread::sleep_for(kWarmUp);
  const auto before = aPlatform.Counts().m_reads;
  const auto plainBefore = plain.GetPlatform().Counts().m_reads;
  std::this_thread::sleep_for(kMeasuredTime);
  const auto perSecond = [&](std::uint64_t aReads) {
    return static_cast<double>(aReads) / kMeasuredTime.count();
  };
  PrintRow("config",
           "nine_entries_forty_agents",
           "platform_reads_per_second",
           "1/s",
           perSecond(aPlatform.Counts().m_reads - before),
           std::to_string(
             perSecond(plain.GetPlatform().Counts().m_reads - plainBefore)),
           "");
}

std::size_t
FindHolder(const Fleet& aFleet, std::size_t aExcluded)
{
  for (std::size_t i = 0; i < kEntries; ++i) {
    auto* leases = i == aExcluded ? nullptr : aFleet.m_nodes[i]->Leases();
    if (leases != nullptr && leases->Token(0)) {
      return i;
    }
  }
  return kEntries;
}

void
MeasureLeaseTakeover(Fleet& aFleet)
{
  for (int i = 0; i < kEntries; ++i) {
    aFleet.m_nodes[i]->StartLeases();
  }
  std::size_t holder = kEntries;
  WaitSeconds([&] {
    holder = FindHolder(aFleet, kEntries);
    return holder != kEntries;
  });
  aFleet.m_nodes[holder]->Leases()->Release([] {});
  aFleet.m_nodes[holder]->Sync().Leave();
  PrintRow("config",
           "graceful_stop",
           "lease_takeover_seconds",
           "s",
           WaitSeconds([&] { return FindHolder(aFleet, holder) != kEntries; }),
           "",
           "");
  holder = FindHolder(aFleet, holder);
  aFleet.m_nodes[holder].reset(); // simulates a kill: releases no lease
  aFleet.m_nodes[holder] = nullptr;
  PrintRow("config",
           "holder_killed",
           "lease_takeover_seconds",
           "s",
           WaitSeconds([&] {
             for (std::size_t i = 0; i < kEntries; ++i) {
               const auto& node = aFleet.m_nodes[i];
               if (node && node->Leases() && node->Leases()->Token(0)) {
                 return true;
               }
             }
             return false;
           }),
           "",
           "");
}

// The bytes sent, and how often, of two runners, the one with the lower
// reported load has the higher actual load.
struct LoadSyncResult
{
  double m_bytesPerSecond = 0;
  double m_wrongChoiceShare = 0;
};

// Bounds on the staleness of a runner's load at an entry. The load is sent when
// one of them is reached.
struct StalenessBounds
{
  milliseconds m_maxAge{ 0 };
  int m_maxPendingChanges = 0;
  int m_maxDivergence = 0;
};

LoadSyncResult
SimulateLoadSync(const StalenessBounds& aBounds)
{
  constexpr int kRunners = 16;
  constexpr int kSlots = 16;
  constexpr milliseconds kStep{ 10 };
  constexpr milliseconds kMinInterval{ 100 };
  constexpr milliseconds kDuration{ 600000 };
  constexpr double kArrivalChance = 0.012; // per runner and step, at mean load
  constexpr double kCompletionChance = 0.0015; // per request and step
  // Interval of exchanges without changes.
  constexpr milliseconds kHeartbeat{ 1250 };
  // Size of an agent's exchange without records, from idle_bench.
  constexpr std::size_t kExchangeBytes = 390;
  struct Runner
  {
    int m_load = 0;
    int m_reportedLoad = 0;
    int m_pendingChanges = 0;
    milliseconds m_exchangedAt{ 0 };
  };
  wire::NodeRecord record;
  record.set_vm("caddie-llm-07");
  record.set_incarnation(1764793000000);
  record.set_sequence(12);
  record.set_load_sequence(3456);
  record.set_load_only(true);
  record.mutable_load()->set_running(kSlots / 2);
  record.mutable_load()->set_slots(kSlots);
  record.mutable_load()->set_kv_free_tokens(123456);
  record.mutable_load()->set_tokens_per_second(456.7);
  Random random(7);
  std::vector<Runner> runners(kRunners);
  std::uint64_t sent = 0;
  std::uint64_t exchanges = 0;
  std::uint64_t choices = 0;
  std::uint64_t wrong = 0;
  for (milliseconds now{ 0 }; now < kDuration; now += kStep) {
    // Demand swings over a minute, with low-load phases.
    constexpr int kSwingPeriodMs = 60000;
    const double swing = 1 + std::sin(static_cast<double>(now.count()) * 2 *
                                      M_PI / kSwingPeriodMs);
    for (auto& runner : runners) {
      const int before = runner.m_load;
      runner.m_load += random.Chance(kArrivalChance * swing) ? 1 : 0;
      const int running = runner.m_load;
      for (int i = 0; i < running; ++i) {
        runner.m_load -= random.Chance(kCompletionChance) ? 1 : 0;
      }
      runner.m_pendingChanges += runner.m_load != before ? 1 : 0;
      const auto age = now - runner.m_exchangedAt;
      const bool due =
        runner.m_pendingChanges > 0 && age >= kMinInterval &&
        (age >= aBounds.m_maxAge ||
         (aBounds.m_maxPendingChanges > 0 &&
          runner.m_pendingChanges >= aBounds.m_maxPendingChanges) ||
         (aBounds.m_maxDivergence > 0 &&
          std::abs(runner.m_load - runner.m_reportedLoad) >=
            aBounds.m_maxDivergence));
      if (!due && age < kHeartbeat) {
        continue;
      }
      sent += runner.m_pendingChanges > 0 ? 1 : 0;
      ++exchanges;
      runner.m_reportedLoad = runner.m_load;
      runner.m_pendingChanges = 0;
      runner.m_exchangedAt = now;
    }
    const auto& one = runners[random.Below(kRunners)];
    const auto& two = runners[random.Below(kRunners)];
    ++choices;
    const auto& picked = one.m_reportedLoad <= two.m_reportedLoad ? one : two;
    wrong += picked.m_load > std::min(one.m_load, two.m_load) ? 1 : 0;
  }
  return { static_cast<double>(sent * record.ByteSizeLong() +
                               exchanges * kExchangeBytes) /
             std::chrono::duration<double>(kDuration).count(),
           static_cast<double>(wrong) / static_cast<double>(choices) };
}

void
MeasureLoadSync()
{
  struct Case
  {
    const char* m_name;
    StalenessBounds m_bounds;
  };
  const Case cases[] = {
    { "load_fixed_250ms", { milliseconds{ 250 }, 0, 0 } },
    { "load_fixed_500ms", { milliseconds{ 500 }, 0, 0 } },
    { "load_fixed_750ms", { milliseconds{ 750 }, 0, 0 } },
    { "load_fixed_1000ms", { milliseconds{ 1000 }, 0, 0 } },
    { "load_fixed_1250ms", { milliseconds{ 1250 }, 0, 0 } },
    { "load_bounded_1250ms_2_1", { milliseconds{ 1250 }, 2, 1 } },
    { "load_bounded_1250ms_4_2", { milliseconds{ 1250 }, 4, 2 } },
    { "load_bounded_1250ms_8_3", { milliseconds{ 1250 }, 8, 3 } },
  };
  for (const auto& one : cases) {
    const auto run = SimulateLoadSync(one.m_bounds);
    PrintRow("config",
             one.m_name,
             "load_bytes_per_second",
             "B/s",
             run.m_bytesPerSecond,
             "",
             "");
    PrintRow("config",
             one.m_name,
             "wrong_choice_share",
             "1",
             run.m_wrongChoiceShare,
             "",
             "");
  }
}

void
Run()
{
  MeasureLoadSync();
  standin::PlatformStandIn platform({});
  Fleet fleet(platform.Url());
  PrintRow("config",
           "nine_entries_forty_agents",
           "seconds_to_full_view",
           "s",
           WaitSeconds([&] { return fleet.AllEntriesSeeAll(); }),
           "",
           "");
  MeasurePropagation(fleet, platform);
  MeasureReads(platform);
  MeasureLeaseTakeover(fleet);
  constexpr int kWriteWindowSeconds = 6;
  const auto before = platform.Counts();
  std::this_thread::sleep_for(seconds{ kWriteWindowSeconds });
  PrintRow("config",
           "four_leases_held",
           "platform_writes_per_second",
           "1/s",
           static_cast<double>(platform.Counts().m_writes - before.m_writes) /
             kWriteWindowSeconds,
           "",
           "");
}

} // namespace
} // namespace siskindeal::bench

int
main()
{
  siskindeal::ConfigureLog("bench", "config", siskindeal::LogLevel::Error);
  siskindeal::bench::Run();
  return 0;
}

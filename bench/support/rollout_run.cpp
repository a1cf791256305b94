#include "support/rollout_run.h"

#include "standin/store.h"
#include "support/live_load.h"

#include <algorithm>
#include <map>
#include <set>
#include <thread>

namespace siskindeal::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr Seconds kBaselineDuration{ 2 };
constexpr Seconds kRolloutTimeout{ 40 };
constexpr Seconds kDrainTime{ 0.5 };
constexpr std::chrono::milliseconds kPlanPeriod{ 10 };
constexpr std::chrono::milliseconds kOrderTimeout{ 5000 };
constexpr std::size_t kCorruptVm = 1;
constexpr std::size_t kStallingVm = 5;
constexpr std::size_t kKilledVm = 9;
constexpr Seconds kCorruptAt{ 0.5 };
constexpr Seconds kStallAt{ 1 };
constexpr Seconds kKillAt{ 1.5 };

// When a VM completed each phase, relative to the start of the rollout.
struct Timeline
{
  std::optional<Seconds> m_lastChunk;
  std::optional<Seconds> m_staged;
  std::optional<Seconds> m_serving;
  std::uint64_t m_bytesAtStart = 0;
  std::uint64_t m_bytes = 0; // transferred until the last chunk
};

class Rollout
{
public:
  Rollout(const RolloutCase& aCase, const std::string& aBytes)
    : m_case(aCase)
    , m_auth(MakeAuth())
    , m_store(MakeStoreOptions())
    , m_digest(m_store.PublishBytes("v1", "model", aBytes, kChunkBytes))
    , m_planner(MakeSettings(aCase))
    , m_client(m_auth, "bench")
  {
    const std::string places[] = { "kingston", "montego", "ocho-rios" };
    m_vms.reserve(aCase.m_vms);
    for (std::size_t i = 0; i < aCase.m_vms; ++i) {
      m_vms.push_back(
        std::make_unique<RolloutVm>("vm" + std::to_string(100 + i),
                                    places[i * 3 / aCase.m_vms],
                                    m_store.Url(),
                                    m_auth,
                                    m_scheduler,
                                    m_vms));
    }
    HttpClientRequest request;
    request.m_url = m_store.Url() + "/v1/releases/v1";
    m_manifest = m_http.Fetch(request).m_body;
    MakeInput();
  }

  RolloutOutcome Run()
  {
    RolloutOutcome outcome;
    {
      LiveLoad live(m_vms, m_scheduler);
      std::this_thread::sleep_for(kBaselineDuration);
      const auto before = live.TakeP99();
      StartTimelines();
      while (!outcome.m_met && Elapsed() < kRolloutTimeout) {
        outcome.m_met = PlanOnce();
        std::this_thread::sleep_for(kPlanPeriod);
      }
      outcome.m_time = Elapsed();
      outcome.m_p99Ratio = live.TakeP99() / before;
    }
    outcome.m_phases = MeanPhases();
    std::this_thread::sleep_for(kDrainTime);
    outcome.m_copies = static_cast<double>(m_store.OriginBytes()) /
                       static_cast<double>(kCopyBytes);
    Shutdown();
    return outcome;
  }

private:
  static AuthSettings MakeAuth()
  {
    AuthSettings auth;
    auth.m_activeKey = "k";
    auth.m_keys["k"] = "bench";
    return auth;
  }

  static standin::StoreOptions MakeStoreOptions()
  {
    standin::StoreOptions options;
    options.m_bytesPerSecond = kOriginRate;
    options.m_requestsPerSecond = 100000;
    return options;
  }

  static RolloutSettings MakeSettings(const RolloutCase& aCase)
  {
    RolloutSettings settings;
    settings.m_policy = aCase.m_policy;
    settings.m_timeWeight = aCase.m_timeWeight;
    return settings;
  }

  void MakeInput()
  {
    TargetSpec target;
    target.m_name = "bench";
    target.m_class = "chat";
    target.m_amount = VmCount{ m_case.m_wanted };
    m_input.m_targets = { target };
    m_input.m_classes["chat"] = { "caddie-llm", 0 };
    m_input.m_catalogue["chat"] = { "v1", false };
    m_input.m_releases["v1"] = { m_digest, "" };
    m_input.m_tokens["caddie-llm"] = 1;
  }

  void StartTimelines()
  {
    m_start = Clock::now();
    for (const auto& vm : m_vms) {
      m_timelines[vm->m_vm].m_bytesAtStart = vm->TransferredBytes();
    }
  }

  Seconds Elapsed() const { return Clock::now() - m_start; }

  // Plans once and sends the orders. Returns whether the target is met.
  bool PlanOnce()
  {
    if (m_case.m_faulty) {
      InjectFaults();
    }
    m_input.m_vms.clear();
    for (const auto& vm : m_vms) {
      const auto record = vm->Record();
      UpdateTimeline(*vm, record);
      auto planned = PlannedVmOf(record);
      if (planned.m_reachable) {
        m_input.m_vms.push_back(std::move(planned));
      }
    }
    auto plan = m_planner.Decide(m_input, Clock::now(), WallTime{});
    for (auto& order : plan.m_orders) {
      SendOrder(order);
    }
    return plan.m_statuses[0].m_met;
  }

  void SendOrder(PlannedOrder& aOrder)
  {
    aOrder.m_request.set_shard("s");
    aOrder.m_request.set_fencing_token(1);
    if (aOrder.m_request.has_fetch()) {
      aOrder.m_request.mutable_fetch()->set_manifest(m_manifest);
    }
    m_client.Order(aOrder.m_address,
                   aOrder.m_request,
                   kOrderTimeout,
                   [](const RpcStatus&, const wire::OrderReply&) {});
  }

  void InjectFaults()
  {
    const auto once = [&](int aFault, Seconds aAt) {
      return Elapsed() >= aAt && m_injected.insert(aFault).second;
    };
    if (once(0, kCorruptAt)) {
      m_vms[kCorruptVm]->m_faults.m_corruptChunks = true;
    }
    if (once(1, kStallAt)) {
      m_vms[kStallingVm]->m_faults.m_stallChunks = true;
    }
    if (once(2, kKillAt)) {
      m_vms[kKilledVm]->Kill();
    }
  }

  void UpdateTimeline(const RolloutVm& aVm, const wire::NodeRecord& aRecord)
  {
    auto& timeline = m_timelines[aVm.m_vm];
    const auto& progress = aRecord.progress();
    if (!timeline.m_lastChunk && progress.chunks() > 0 &&
        progress.verified() == progress.chunks()) {
      timeline.m_lastChunk = Elapsed();
      timeline.m_bytes = aVm.TransferredBytes() - timeline.m_bytesAtStart;
    }
    if (!timeline.m_staged && aRecord.staged_digests_size() > 0) {
      timeline.m_staged = Elapsed();
    }
    if (!timeline.m_serving && aRecord.serving_digests_size() > 0) {
      timeline.m_serving = Elapsed();
    }
  }

  RolloutPhases MeanPhases() const
  {
    RolloutPhases sum;
    double completed = 0;
    for (const auto& [vm, timeline] : m_timelines) {
      if (!timeline.m_lastChunk || !timeline.m_staged || !timeline.m_serving) {
        continue;
      }
      completed += 1;
      sum.m_lastChunk += *timeline.m_lastChunk;
      sum.m_check += *timeline.m_staged - *timeline.m_lastChunk;
      sum.m_load += *timeline.m_serving - *timeline.m_staged;
      sum.m_linkBusy += static_cast<double>(timeline.m_bytes) /
                        (kVmRate * timeline.m_lastChunk->count());
    }
    if (completed == 0) {
      return {};
    }
    return { sum.m_lastChunk / completed,
             sum.m_check / completed,
             sum.m_load / completed,
             sum.m_linkBusy / completed };
  }

  // Waits until chunks delayed by the stalling VM have been sent.
  void Shutdown()
  {
    for (const auto& vm : m_vms) {
      vm->StopAgent();
    }
    std::this_thread::sleep_for(m_case.m_faulty ? kStallDuration + kDrainTime
                                                : kDrainTime);
    m_vms.clear();
  }

  const RolloutCase m_case;
  const AuthSettings m_auth;
  standin::StoreStandIn m_store;
  const std::string m_digest;
  standin::Scheduler m_scheduler;
  RolloutVms m_vms;
  HttpClient m_http;
  std::string m_manifest;
  Planner m_planner;
  PlannerInput m_input;
  NodeClient m_client;
  Clock::time_point m_start;
  std::set<int> m_injected;
  std::map<std::string, Timeline> m_timelines;
};

} // namespace

Seconds
RolloutOutcome::Bound(std::uint32_t aVms) const
{
  constexpr double kOriginCopies = 4; // per window
  constexpr double kVmCopies = 2;
  const double vms = aVms;
  return kWindow * std::max(m_copies / kOriginCopies,
                            (2 * vms - m_copies) / (kVmCopies * vms));
}

RolloutOutcome
RunRollout(const RolloutCase& aCase, const std::string& aBytes)
{
  Rollout rollout(aCase, aBytes);
  return rollout.Run();
}

} // namespace siskindeal::bench

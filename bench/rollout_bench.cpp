// Rollouts by real agents over links shaped to the users' figures: the origin
// carries four copies a window, a VM two, in and out together.

#include "siskindeal/log.h"
#include "siskindeal/planner.h"
#include "siskindeal/rpc.h"
#include "siskindeal/weights_agent.h"
#include "standin/engine.h"
#include "standin/scheduler.h"
#include "standin/store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <random>
#include <set>
#include <thread>

namespace siskindeal {
namespace {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

constexpr std::uint64_t kCopyBytes = 32 << 20;
constexpr std::uint64_t kChunkBytes = 256 << 10;
constexpr Seconds kWindow{ 5 };
constexpr std::uint64_t kVmRate = 2 * kCopyBytes / 5;     // bytes a second
constexpr std::uint64_t kOriginRate = 4 * kCopyBytes / 5; // bytes a second
constexpr Seconds kBaseline{ 2 };
constexpr Seconds kLongest{ 40 };
constexpr Seconds kStall{ 4 }; // longer than an agent waits for a chunk
constexpr Seconds kDrain{ 0.5 };
constexpr std::chrono::milliseconds kLivePeriod{ 50 };
constexpr std::size_t kLiveRequestBytes = 2 << 10;
constexpr std::size_t kLiveAnswerBytes = 4 << 10;
constexpr std::chrono::milliseconds kLiveWork{ 140 }; // 64 tokens at the engine

struct Faults
{
  std::atomic<bool> m_stalls{ false };
  std::atomic<bool> m_corrupts{ false };
  std::atomic<bool> m_dead{ false };
};

class BenchVm;
using Vms = std::vector<std::unique_ptr<BenchVm>>;

// The agent's I/O; what comes from the origin passes the VM's link.
class LinkedIo final : public WeightsIo
{
public:
  LinkedIo(std::shared_ptr<WeightsIo> aIo, std::shared_ptr<standin::Link> aLink)
    : m_io(std::move(aIo))
    , m_link(std::move(aLink))
  {
  }

  void Http(HttpClientRequest aRequest,
            std::function<void(HttpReply)> aDone) override
  {
    const bool origin = aRequest.m_url.find("/v1/origin/") != std::string::npos;
    if (!origin) {
      return m_io->Http(std::move(aRequest), std::move(aDone));
    }
    m_io->Http(std::move(aRequest),
               [link = m_link, aDone = std::move(aDone)](HttpReply aReply) {
                 const auto bytes = aReply.m_body.size();
                 link->Transfer(
                   bytes, [reply = std::move(aReply), aDone] { aDone(reply); });
               });
  }

  void Chunk(const std::string& aAddress,
             const wire::ChunkRequest& aRequest,
             std::chrono::milliseconds aTimeout,
             Done<wire::ChunkReply> aDone) override
  {
    m_io->Chunk(aAddress, aRequest, aTimeout, std::move(aDone));
  }

  void Have(const std::string& aAddress,
            const wire::HaveRequest& aRequest,
            std::chrono::milliseconds aTimeout,
            Done<wire::HaveReply> aDone) override
  {
    m_io->Have(aAddress, aRequest, aTimeout, std::move(aDone));
  }

  void Post(std::function<void()> aTask) override
  {
    m_io->Post(std::move(aTask));
  }

  void PostAfter(std::chrono::milliseconds aDelay,
                 std::function<void()> aTask) override
  {
    m_io->PostAfter(aDelay, std::move(aTask));
  }

private:
  const std::shared_ptr<WeightsIo> m_io;
  const std::shared_ptr<standin::Link> m_link;
};

// An agent, its engine, its gRPC server and its link.
class BenchVm final : public NodeHandler
{
public:
  BenchVm(const std::string& aVm,
          const std::string& aPlace,
          const std::string& aStoreUrl,
          const AuthSettings& aAuth,
          standin::Scheduler& aScheduler,
          const Vms& aVms)
    : m_vm(aVm)
    , m_place(aPlace)
    , m_vms(aVms)
    , m_link(std::make_shared<standin::Link>(aScheduler, kVmRate))
    , m_engine(standin::EngineOptions{})
    , m_peers(aAuth, aVm)
    , m_workers(2)
  {
    AgentSettings settings;
    settings.m_node.m_vm = aVm;
    settings.m_node.m_place = aPlace;
    settings.m_upstream.m_url = m_engine.Url();
    settings.m_weights.m_storeUrl = aStoreUrl;
    settings.m_weights.m_linkBytesPerSecond = kVmRate;
    settings.m_weights.m_chunkTimeout = std::chrono::milliseconds(2000);
    m_agent = std::make_unique<WeightsAgent>(
      settings,
      std::make_shared<LinkedIo>(MakeWeightsIo(m_http, m_peers, m_workers),
                                 m_link),
      m_clock);
    m_server =
      std::make_unique<NodeServer>(Address{ "127.0.0.1", 0 }, aAuth, *this);
    m_address = "127.0.0.1:" + std::to_string(m_server->Port());
    m_agent->Recover();
  }

  ~BenchVm() override
  {
    m_agent->Stop();
    m_server->Shutdown(std::chrono::milliseconds(200));
    m_server.reset();
    m_workers.Stop();
  }

  void StopAgent() { m_agent->Stop(); }

  void Kill()
  {
    m_faults.m_dead = true;
    m_agent->Stop();
    m_server->Shutdown(std::chrono::milliseconds(0));
  }

  wire::GreetReply OnGreet(const wire::GreetRequest&) override { return {}; }
  void OnExchange(const wire::ExchangeRequest&,
                  Done<wire::ExchangeReply> aDone) override
  {
    aDone({});
  }
  void OnRun(const wire::RunRequest&, std::shared_ptr<RunSink> aSink) override
  {
    aSink->Finish();
  }
  void OnCancel(const wire::CancelRequest&,
                Done<wire::CancelReply> aDone) override
  {
    aDone({});
  }
  void OnOrder(const wire::OrderRequest& aRequest,
               Done<wire::OrderReply> aDone) override
  {
    m_agent->OnOrder(aRequest, std::move(aDone));
  }
  void OnHave(const wire::HaveRequest& aRequest,
              Done<wire::HaveReply> aDone) override
  {
    m_agent->OnHave(aRequest, std::move(aDone));
  }
  std::string StateJson() override { return m_agent->StateJson(); }

  // A chunk passes the sender's link, then the receiver's.
  void OnChunk(const wire::ChunkRequest& aRequest,
               Done<wire::ChunkReply> aDone) override
  {
    const auto receiver = LinkOf(aRequest.requester());
    m_agent->OnChunk(
      aRequest, [this, receiver, aDone](wire::ChunkReply aReply) {
        const auto bytes = aReply.bytes().size();
        if (bytes == 0 || receiver == nullptr) {
          return aDone(std::move(aReply));
        }
        if (m_faults.m_corrupts) {
          (*aReply.mutable_bytes())[0] ^= 1;
        }
        const auto stall = m_faults.m_stalls ? kStall : Seconds{ 0 };
        auto send = [this, receiver, aDone, bytes, reply = std::move(aReply)] {
          m_link->Transfer(bytes, [receiver, aDone, bytes, reply] {
            receiver->Transfer(bytes, [aDone, reply] { aDone(reply); });
          });
        };
        m_workers.PostAfter(
          std::chrono::duration_cast<std::chrono::milliseconds>(stall),
          std::move(send));
      });
  }

  // A live request passes the link, works at the engine, and comes back.
  void Live(standin::Scheduler& aScheduler, std::function<void()> aDone)
  {
    m_agent->NoteLiveBytes(kLiveRequestBytes + kLiveAnswerBytes);
    m_link->Transfer(kLiveRequestBytes, [this, &aScheduler, aDone] {
      aScheduler.After(kLiveWork, [this, aDone] {
        m_link->Transfer(kLiveAnswerBytes, aDone);
      });
    });
  }

  PlannedVm Planned() const
  {
    wire::NodeRecord record;
    record.set_vm(m_vm);
    record.set_place(m_place);
    record.set_service("caddie-llm");
    record.set_address(m_address);
    record.set_liveness(m_faults.m_dead ? wire::LIVENESS_UNREACHABLE
                                        : wire::LIVENESS_ALIVE);
    m_agent->FillRecord(record);
    return PlannedVmOf(record);
  }

  const std::string m_vm;
  const std::string m_place;
  Faults m_faults;

private:
  std::shared_ptr<standin::Link> LinkOf(const std::string& aVm) const
  {
    for (const auto& vm : m_vms) {
      if (vm->m_vm == aVm) {
        return vm->m_link;
      }
    }
    return nullptr;
  }

  const Vms& m_vms;
  const std::shared_ptr<standin::Link> m_link;
  standin::EngineStandIn m_engine;
  HttpClient m_http;
  NodeClient m_peers;
  WorkerPool m_workers;
  SystemClock m_clock;
  std::unique_ptr<WeightsAgent> m_agent;
  std::unique_ptr<NodeServer> m_server;
  std::string m_address;
};

// Live requests to every VM at a steady rate, and how long they took.
class LiveLoad
{
public:
  LiveLoad(const Vms& aVms, standin::Scheduler& aScheduler)
    : m_vms(aVms)
    , m_scheduler(aScheduler)
    , m_thread([this] { Run(); })
  {
  }
  ~LiveLoad() { Stop(); }

  void Stop()
  {
    m_stop = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  // 99 in 100 took at most this, since the last call.
  double TakeP99()
  {
    const absl::MutexLock lock(&m_samples->m_mutex);
    auto& taken = m_samples->m_taken;
    if (taken.empty()) {
      return 0;
    }
    std::sort(taken.begin(), taken.end());
    const auto p99 = taken[taken.size() * 99 / 100];
    taken.clear();
    return p99;
  }

private:
  // Outlives the requests in progress.
  struct Samples
  {
    absl::Mutex m_mutex;
    std::vector<double> m_taken ABSL_GUARDED_BY(m_mutex);
  };

  void Run()
  {
    while (!m_stop) {
      for (const auto& vm : m_vms) {
        std::this_thread::sleep_for(kLivePeriod / m_vms.size());
        if (vm->m_faults.m_dead) {
          continue;
        }
        const auto start = Clock::now();
        vm->Live(m_scheduler, [samples = m_samples, start] {
          const absl::MutexLock lock(&samples->m_mutex);
          samples->m_taken.push_back(Seconds(Clock::now() - start).count());
        });
      }
    }
  }

  const Vms& m_vms;
  standin::Scheduler& m_scheduler;
  std::atomic<bool> m_stop{ false };
  const std::shared_ptr<Samples> m_samples = std::make_shared<Samples>();
  std::thread m_thread;
};

struct Case
{
  std::string m_name;
  std::size_t m_vms;
  std::uint32_t m_wanted;
  std::string m_policy;
  double m_timeWeight;
  bool m_faulty;
  bool m_only = false; // runs only when named
};

struct Outcome
{
  double m_seconds = 0;
  double m_copies = 0;
  double m_p99Ratio = 0;
  bool m_met = false;

  double Bound(std::uint32_t aVms) const
  {
    const double vms = aVms;
    return kWindow.count() *
           std::max(m_copies / 4, (2 * vms - m_copies) / (2 * vms));
  }
};

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
Inject(const Vms& aVms, Seconds aSince, std::set<int>& aDone)
{
  const auto once = [&](int aStep, Seconds aAt) {
    return aSince >= aAt && aDone.insert(aStep).second;
  };
  if (once(0, Seconds{ 0.5 })) {
    aVms[1]->m_faults.m_corrupts = true;
  }
  if (once(1, Seconds{ 1 })) {
    aVms[5]->m_faults.m_stalls = true;
  }
  if (once(2, Seconds{ 1.5 })) {
    aVms[9]->Kill();
  }
}

Outcome
Run(const Case& aCase, const std::string& aBytes)
{
  AuthSettings auth;
  auth.m_activeKey = "k";
  auth.m_keys["k"] = "bench";
  standin::StoreOptions storeOptions;
  storeOptions.m_bytesPerSecond = kOriginRate;
  storeOptions.m_requestsPerSecond = 100000;
  standin::StoreStandIn store(storeOptions);
  const auto digest = store.PublishBytes("v1", "model", aBytes, kChunkBytes);
  standin::Scheduler scheduler;
  Vms vms;
  const std::string places[] = { "kingston", "montego", "ocho-rios" };
  for (std::size_t i = 0; i < aCase.m_vms; ++i) {
    vms.push_back(std::make_unique<BenchVm>("vm" + std::to_string(100 + i),
                                            places[i * 3 / aCase.m_vms],
                                            store.Url(),
                                            auth,
                                            scheduler,
                                            vms));
  }
  HttpClient http;
  NodeClient client(auth, "bench");
  HttpClientRequest ask;
  ask.m_url = store.Url() + "/v1/releases/v1";
  const auto manifest = http.Fetch(ask).m_body;

  RolloutSettings settings;
  settings.m_policy = aCase.m_policy;
  settings.m_timeWeight = aCase.m_timeWeight;
  Planner planner(settings);
  PlannerInput input;
  TargetSpec target;
  target.m_name = "bench";
  target.m_class = "chat";
  target.m_amount = VmCount{ aCase.m_wanted };
  input.m_targets = { target };
  input.m_classes["chat"] = { "caddie-llm", 0 };
  input.m_catalogue["chat"] = { "v1", false };
  input.m_releases["v1"] = { digest, "" };
  input.m_tokens["caddie-llm"] = 1;

  Outcome outcome;
  {
    LiveLoad live(vms, scheduler);
    std::this_thread::sleep_for(kBaseline);
    const auto before = live.TakeP99();
    const auto start = Clock::now();
    std::set<int> injected;
    while (!outcome.m_met && Clock::now() - start < kLongest) {
      if (aCase.m_faulty) {
        Inject(vms, Clock::now() - start, injected);
      }
      input.m_vms.clear();
      for (const auto& vm : vms) {
        auto planned = vm->Planned();
        if (planned.m_reachable) {
          input.m_vms.push_back(std::move(planned));
        }
      }
      auto plan = planner.Decide(input, Clock::now(), WallTime{});
      for (auto& order : plan.m_orders) {
        order.m_request.set_shard("s");
        order.m_request.set_fencing_token(1);
        if (order.m_request.has_fetch()) {
          order.m_request.mutable_fetch()->set_manifest(manifest);
        }
        client.Order(order.m_address,
                     order.m_request,
                     std::chrono::seconds(5),
                     [](const RpcStatus&, const wire::OrderReply&) {});
      }
      outcome.m_met = plan.m_statuses[0].m_met;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    outcome.m_seconds = Seconds(Clock::now() - start).count();
    outcome.m_p99Ratio = live.TakeP99() / before;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  outcome.m_copies =
    static_cast<double>(store.OriginBytes()) / static_cast<double>(kCopyBytes);
  for (const auto& vm : vms) {
    vm->StopAgent();
  }
  std::this_thread::sleep_for(aCase.m_faulty ? kStall + kDrain : kDrain);
  vms.clear();
  return outcome;
}

void
Print(const Case& aCase,
      const std::string& aMetric,
      double aValue,
      std::optional<double> aTarget)
{
  nlohmann::json row{ { "bench", "rollout" }, { "case", aCase.m_name },
                      { "metric", aMetric },  { "unit", "ratio" },
                      { "value", aValue },    { "baseline", nullptr },
                      { "target", nullptr } };
  if (aTarget) {
    row["target"] = *aTarget;
  }
  std::cout << row.dump() << std::endl;
}

void
Report(const Case& aCase, const Outcome& aOutcome)
{
  const bool shipped = aCase.m_policy == "swarm";
  const bool hartwell = aCase.m_timeWeight < 0.5;
  const auto target = [&](double aValue) {
    return shipped ? std::optional(aValue) : std::nullopt;
  };
  Print(aCase,
        "seconds_to_n_over_bound",
        aOutcome.m_met ? aOutcome.m_seconds / aOutcome.Bound(aCase.m_wanted)
                       : -1,
        hartwell ? std::nullopt : target(aCase.m_faulty ? 1.5 : 1.15));
  Print(aCase,
        "origin_copies",
        aOutcome.m_copies,
        hartwell ? target(1.05) : std::nullopt);
  Print(aCase, "p99_live_latency_ratio", aOutcome.m_p99Ratio, target(1.25));
}

} // namespace
} // namespace siskindeal

// With an argument, only the cases whose name holds it.
int
main(int aArgc, char** aArgv)
{
  using namespace siskindeal;
  ConfigureLog("bench", "bench", LogLevel::Error);
  const auto bytes = RandomBytes(kCopyBytes);
  const Case cases[] = {
    { "fairway", 12, 12, "swarm", 1, false },
    { "fairway_faults", 12, 11, "swarm", 1, true },
    { "hartwell", 16, 16, "swarm", 0, false },
    { "hartwell_faults", 16, 15, "swarm", 0, true },
    { "fairway_tree", 12, 12, "tree", 1, false },
    { "fairway_origin_only", 12, 12, "origin_only", 1, false },
    { "hartwell_tree", 16, 16, "tree", 0, false, true },
    { "hartwell_origin_only", 16, 16, "origin_only", 0, false, true },
  };
  for (const auto& each : cases) {
    if (aArgc < 2 ? !each.m_only
                  : each.m_name.find(aArgv[1]) != std::string::npos) {
      Report(each, Run(each, bytes));
    }
  }
  return 0;
}

#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"
#include "siskindeal/planner.h"
#include "support/weights_world.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace siskindeal {
namespace {

using testing::WeightsSimulation;

constexpr std::chrono::minutes kMaxSimulatedTime{ 60 };

TargetSpec
Target(const std::string& aName,
       const std::string& aClass,
       const TargetAmount& aAmount,
       std::uint64_t aStatedAt)
{
  TargetSpec target;
  target.m_name = aName;
  target.m_class = aClass;
  target.m_amount = aAmount;
  target.m_statedAt = aStatedAt;
  return target;
}

// Real agents under a simulated clock, controlled by one or more planners.
class PlannerFleet
{
public:
  PlannerFleet(std::uint64_t aSeed, std::uint32_t aVms)
    : m_world(aSeed)
  {
    SetAbortOnBrokenInvariant(true);
    const std::string places[] = { "kingston", "montego", "ocho-rios" };
    for (std::uint32_t i = 0; i < aVms; ++i) {
      const auto& place = places[i * 3 / aVms];
      m_vms.push_back(place + std::to_string(i));
      m_places[m_vms.back()] = place;
      m_world.StartAgent(m_vms.back(), place);
    }
    m_input.m_classes["booking chat"] = { "caddie-llm", 0 };
    m_input.m_classes["tee times"] = { "caddie-llm", 0 };
    m_world.RunFor(std::chrono::milliseconds(100));
    ReplacePlanner();
  }

  ~PlannerFleet()
  {
    for (const auto& vm : m_vms) {
      m_world.KillAgent(vm);
    }
  }

  // Publishes a release and makes it current for a class.
  std::string Publish(const std::string& aClass,
                      const std::string& aRelease,
                      const std::string& aBase = "")
  {
    const auto manifest = m_world.Publish(
      aRelease + std::to_string(m_manifests.size()), 24, 64, aBase);
    auto digest = manifest.Digest();
    m_manifests[digest] = manifest;
    m_input.m_releases[aRelease] = { digest, aBase };
    m_input.m_catalogue[aClass] = { aRelease, !aBase.empty() };
    return digest;
  }

  // Installs a successor without state, which holds the lease under a higher
  // token.
  void ReplacePlanner()
  {
    m_planner = std::make_unique<Planner>(m_settings);
    m_input.m_tokens["caddie-llm"] = ++m_token;
  }

  void Decide() { Decide(*m_planner, m_token); }

  void Decide(Planner& aPlanner, std::uint64_t aToken)
  {
    m_input.m_vms.clear();
    for (const auto& vm : m_vms) {
      auto record = m_world.RecordOf(vm);
      record.set_service("caddie-llm");
      auto planned = PlannedVmOf(record);
      planned.m_reachable =
        m_world.IsUp(vm) && m_world.m_isolated.count(m_places[vm]) == 0;
      m_input.m_vms.push_back(planned);
    }
    auto plan = aPlanner.Decide(
      m_input, m_world.m_clock.Now(), m_world.m_clock.WallNow());
    m_statuses = plan.m_statuses;
    for (auto& order : plan.m_orders) {
      Send(aPlanner, aToken, order);
    }
  }

  void Send(Planner& aPlanner, std::uint64_t aToken, PlannedOrder& aOrder)
  {
    auto& request = aOrder.m_request;
    request.set_shard("s");
    request.set_fencing_token(aToken);
    if (request.has_fetch()) {
      request.mutable_fetch()->set_manifest(
        ToJson(m_manifests.at(request.fetch().digest())));
    }
    if (!m_world.IsUp(aOrder.m_vm)) {
      return;
    }
    m_world.Agent(aOrder.m_vm)
      .OnOrder(request, [&aPlanner, vm = aOrder.m_vm](const auto& aReply) {
        if (!aReply.accepted()) {
          aPlanner.OnOrderFailed(vm, true);
        }
      });
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    constexpr std::chrono::milliseconds kPeriod{ 250 };
    for (auto spent = aTime * 0; spent < aTime; spent += kPeriod) {
      Decide();
      m_world.RunFor(kPeriod);
      CheckInvariants();
    }
  }

  bool RunUntilMet(std::chrono::milliseconds aLongest)
  {
    const auto end = m_world.m_clock.Now() + aLongest;
    while (m_world.m_clock.Now() < end) {
      RunFor(std::chrono::milliseconds(500));
      Decide();
      if (std::all_of(m_statuses.begin(),
                      m_statuses.end(),
                      [](const auto& aStatus) { return aStatus.m_met; })) {
        return true;
      }
    }
    return false;
  }

  // Each VM serves complete weights of a single release, the tokens that reach
  // an engine never decrease, and the limit on VMs that switch models holds.
  void CheckInvariants()
  {
    std::uint32_t switching = 0;
    for (const auto& vm : m_vms) {
      auto& engine = m_world.EngineOf(vm);
      std::uint64_t last = 0;
      for (const auto& order : engine.m_orders) {
        const auto token = std::stoull(order.substr(order.rfind(' ')));
        EXPECT_GE(token, last);
        last = token;
      }
      const auto record = m_world.RecordOf(vm);
      switching +=
        !record.loading_digest().empty() && record.serving_digests_size() > 0
          ? 1
          : 0;
      for (const auto& digest : record.serving_digests()) {
        const auto& manifest = m_manifests.at(digest);
        const auto& bytes = engine.m_loaded[digest];
        ASSERT_EQ(bytes.size(), manifest.m_size);
        for (std::uint32_t i = 0; i < manifest.ChunkCount(); ++i) {
          ASSERT_EQ(Sha256Hex(std::string_view(bytes).substr(
                      i * manifest.m_chunkSize, manifest.m_chunkSize)),
                    manifest.m_chunkDigests[i]);
        }
      }
    }
    EXPECT_LE(switching, m_settings.m_mostOutOfService);
  }

  std::uint32_t Serving(const std::string& aDigest)
  {
    std::uint32_t serving = 0;
    for (const auto& vm : m_vms) {
      serving +=
        m_world.IsUp(vm) && m_world.Agent(vm).IsServing(aDigest) ? 1 : 0;
    }
    return serving;
  }

  const TargetStatus& StatusOf(const std::string& aName)
  {
    for (const auto& status : m_statuses) {
      if (status.m_name == aName) {
        return status;
      }
    }
    throw std::out_of_range(aName);
  }

  RolloutSettings m_settings;
  WeightsSimulation m_world;
  std::vector<std::string> m_vms;
  std::map<std::string, std::string> m_places;
  std::map<std::string, Manifest> m_manifests; // by digest
  PlannerInput m_input;
  std::vector<TargetStatus> m_statuses;
  std::unique_ptr<Planner> m_planner;
  std::uint64_t m_token = 0;
};

TEST(Planner, SpreadsAShareOverPlacesAndReportsStatus)
{
  PlannerFleet fleet(1, 12);
  const auto digest = fleet.Publish("booking chat", "v1");
  fleet.m_input.m_targets = { Target(
    "half", "booking chat", VmShare{ 0.5 }, 1) };
  ASSERT_TRUE(fleet.RunUntilMet(kMaxSimulatedTime));
  EXPECT_EQ(fleet.Serving(digest), 6);
  const auto& status = fleet.StatusOf("half");
  EXPECT_EQ(status.m_wanted, 6);
  EXPECT_TRUE(status.m_blockedReason.empty());
  EXPECT_EQ(status.m_servingByRelease.at(digest), 6);
  std::map<std::string, int> byPlace;
  for (const auto& vm : fleet.m_vms) {
    byPlace[fleet.m_places[vm]] +=
      fleet.m_world.Agent(vm).IsServing(digest) ? 1 : 0;
  }
  EXPECT_EQ(byPlace["kingston"], 2);
  EXPECT_EQ(byPlace["montego"], 2);
}

TEST(Planner, ConflictingTargetsAreResolvedStablyWithReason)
{
  PlannerFleet fleet(2, 12);
  const auto first = fleet.Publish("booking chat", "v1");
  const auto second = fleet.Publish("tee times", "w1");
  fleet.m_input.m_targets = {
    Target("later", "tee times", VmCount{ 8 }, 20),
    Target("earlier", "booking chat", VmCount{ 8 }, 10),
  };
  fleet.RunFor(std::chrono::seconds(60));
  EXPECT_EQ(fleet.Serving(first), 8);
  EXPECT_EQ(fleet.Serving(second), 4);
  EXPECT_NE(fleet.StatusOf("later").m_blockedReason.find("target earlier"),
            std::string::npos);
  const auto before = fleet.m_world.EngineOf(fleet.m_vms[0]).m_orders;
  fleet.ReplacePlanner();
  fleet.RunFor(std::chrono::seconds(30));
  EXPECT_EQ(fleet.m_world.EngineOf(fleet.m_vms[0]).m_orders, before);
  fleet.m_input.m_classes["tee times"].m_priority = 1;
  fleet.RunFor(std::chrono::seconds(120));
  EXPECT_EQ(fleet.Serving(second), 8);
  EXPECT_EQ(fleet.Serving(first), 4);
}

TEST(Planner, NewReleaseReplacesRolloutAndRollbackUsesStagedWeights)
{
  PlannerFleet fleet(3, 6);
  fleet.m_world.m_delay = std::chrono::milliseconds(40);
  const auto first = fleet.Publish("booking chat", "current");
  fleet.m_input.m_targets = { Target("all", "booking chat", VmShare{ 1 }, 1) };
  ASSERT_TRUE(fleet.RunUntilMet(kMaxSimulatedTime));
  fleet.Publish("booking chat", "current");
  fleet.RunFor(std::chrono::milliseconds(500));
  const auto third = fleet.Publish("booking chat", "current");
  ASSERT_TRUE(fleet.RunUntilMet(kMaxSimulatedTime));
  EXPECT_EQ(fleet.Serving(third), 6);
  fleet.RunFor(std::chrono::seconds(30));
  EXPECT_EQ(fleet.Serving(first), 0);
  const auto originBytes = fleet.m_world.m_originBytes;
  fleet.m_world.m_originDown = true;
  fleet.m_input.m_releases["current"] = { first, "" };
  ASSERT_TRUE(fleet.RunUntilMet(kMaxSimulatedTime));
  EXPECT_EQ(fleet.Serving(first), 6);
  EXPECT_EQ(fleet.m_world.m_originBytes, originBytes);
}

TEST(Planner, AdapterIsAssignedToVmsServingItsBase)
{
  PlannerFleet fleet(4, 6);
  const auto base = fleet.Publish("booking chat", "base");
  const auto adapter = fleet.Publish("tee times", "adapter", base);
  fleet.m_input.m_targets = { Target("a", "tee times", VmCount{ 2 }, 1) };
  fleet.RunFor(std::chrono::seconds(10));
  EXPECT_EQ(fleet.Serving(adapter), 0);
  EXPECT_NE(fleet.StatusOf("a").m_blockedReason.find("pinned"),
            std::string::npos);
  fleet.m_input.m_targets.push_back(
    Target("b", "booking chat", VmCount{ 4 }, 2));
  ASSERT_TRUE(fleet.RunUntilMet(kMaxSimulatedTime));
  EXPECT_EQ(fleet.Serving(adapter), 2);
  EXPECT_EQ(fleet.Serving(base), 4);
}

TEST(Planner, ReportsMissingClassReleaseAndCatalogueEntry)
{
  PlannerFleet fleet(5, 3);
  fleet.m_input.m_targets = { Target("t", "booking chat", VmCount{ 1 }, 1),
                              Target("u", "unknown", VmCount{ 1 }, 2) };
  fleet.Decide();
  EXPECT_NE(fleet.StatusOf("t").m_blockedReason.find("catalogue"),
            std::string::npos);
  EXPECT_NE(fleet.StatusOf("u").m_blockedReason.find("fleet configuration"),
            std::string::npos);
  fleet.m_input.m_catalogue["booking chat"] = { "v1", false };
  fleet.Decide();
  EXPECT_NE(fleet.StatusOf("t").m_blockedReason.find("v1"), std::string::npos);
}

// Random sequences of faults with fixed seeds: planners that crash, or pause
// and resume with a stale lease, new releases, agent crashes and restarts, and
// isolated places.
TEST(Planner, MeetsTargetsAfterRandomFaults)
{
  for (std::uint64_t seed = 200; seed < 212; ++seed) {
    SCOPED_TRACE(seed);
    PlannerFleet fleet(seed, 6 + seed % 4);
    auto& world = fleet.m_world;
    auto& random = world.m_random;
    for (const auto& vm : fleet.m_vms) {
      world.EngineOf(vm).m_checksFencing = random.Chance(0.5);
    }
    fleet.m_settings.m_mostOutOfService = 1 + seed % 2;
    fleet.ReplacePlanner();
    fleet.Publish("booking chat", "v");
    fleet.Publish("tee times", "w");
    fleet.m_input.m_targets = { Target("a", "booking chat", VmShare{ 0.6 }, 1),
                                Target("b", "tee times", VmCount{ 2 }, 2) };
    std::unique_ptr<Planner> paused;
    std::uint64_t pausedToken = 0;
    for (int step = 0; step < 40; ++step) {
      const auto vm = fleet.m_vms[random.Below(fleet.m_vms.size())];
      switch (random.Below(10)) {
        case 0:
          fleet.Publish("booking chat", "v");
          break;
        case 1:
          paused = std::move(fleet.m_planner);
          pausedToken = fleet.m_token;
          fleet.ReplacePlanner();
          break;
        case 2:
          fleet.ReplacePlanner();
          break;
        case 3:
          world.KillAgent(vm);
          break;
        case 4:
          world.StartAgent(vm, fleet.m_places[vm]);
          break;
        case 5:
          world.KillAgent(vm);
          world.EngineOf(vm) = {};
          world.StartAgent(vm, fleet.m_places[vm]);
          break;
        case 6:
          world.m_isolated = { fleet.m_places[vm] };
          break;
        case 7:
          world.m_isolated.clear();
          break;
        case 8:
          world.m_originDown = !world.m_originDown;
          break;
        default:
          world.EngineOf(vm).m_lostOrderReplies = 1;
          break;
      }
      if (paused) { // resumes and acts on a lease it has lost
        const auto token = fleet.m_input.m_tokens["caddie-llm"];
        fleet.m_input.m_tokens["caddie-llm"] = pausedToken;
        fleet.Decide(*paused, pausedToken);
        fleet.m_input.m_tokens["caddie-llm"] = token;
      }
      fleet.RunFor(std::chrono::milliseconds(250 * (1 + random.Below(12))));
    }
    world.m_isolated.clear();
    world.m_originDown = false;
    for (const auto& vm : fleet.m_vms) {
      if (!world.IsUp(vm)) {
        world.StartAgent(vm, fleet.m_places[vm]);
      }
    }
    EXPECT_TRUE(fleet.RunUntilMet(kMaxSimulatedTime));
  }
}

} // namespace
} // namespace siskindeal

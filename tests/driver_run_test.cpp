// NodeSync and LeaseKeeper drivers on a simulated clock: greetings, and long
// randomized runs with concurrent faults.

#include "support/sim_drivers.h"

#include "siskindeal/fleet_config.h"
#include "siskindeal/invariant.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace siskindeal {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kConfig = R"({"other_teams":{"burst":50}})";

json
SyncState(SimDrivers& aFleet, const std::string& aVm)
{
  return json::parse(aFleet.At(aVm).m_sync->StateJson());
}

bool
HasConverged(SimDrivers& aFleet, std::uint64_t aVersion)
{
  for (const auto& [vm, node] : aFleet.Nodes()) {
    const auto config = node.m_sync->Config();
    if (!config || config->m_version != aVersion) {
      return false;
    }
    for (const auto& [other, seen] : SyncState(aFleet, vm)["nodes"].items()) {
      if (seen["liveness"] != "LIVENESS_ALIVE") {
        return false;
      }
    }
  }
  return true;
}

std::size_t
HeldLeaseCount(const SimDrivers::Node& aNode)
{
  return aNode.m_leases ? aNode.m_leases->Held().size() : 0;
}

TEST(Greeting, IsSentOncePerPeerAndStart)
{
  SetAbortOnBrokenInvariant(true);
  SimDrivers fleet(1);
  fleet.Add("entry-a", "a", wire::ROLE_ENTRY);
  fleet.Add("entry-b", "b", wire::ROLE_ENTRY);
  fleet.Run(seconds{ 10 });
  const auto first = fleet.Greetings();
  EXPECT_GE(first, 1U);
  EXPECT_LE(first, 2U); // one in each direction
  fleet.Run(seconds{ 60 });
  EXPECT_EQ(fleet.Greetings(), first);
  fleet.Start("entry-b");
  fleet.Run(seconds{ 10 });
  EXPECT_GT(fleet.Greetings(), first);
  EXPECT_LE(fleet.Greetings(), first + 4);
}

TEST(Greeting, PeerThatIsNotReadyYetBecomesAlive)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimDrivers fleet(seed);
    fleet.SetLongestStart(seconds{ 1 });
    fleet.Add("entry-a", "a", wire::ROLE_ENTRY);
    fleet.Add("entry-b", "b", wire::ROLE_ENTRY);
    fleet.Add("agent-b", "b", wire::ROLE_AGENT);
    fleet.Run(seconds{ 10 });
    const auto state = SyncState(fleet, "entry-a");
    for (const std::string other : { "entry-b", "agent-b" }) {
      ASSERT_TRUE(state["nodes"].contains(other)) << seed << state.dump(2);
      EXPECT_EQ(state["nodes"][other]["liveness"], "LIVENESS_ALIVE") << seed;
    }
  }
}

TEST(Greeting, ChoosesTheNewestCommonVersion)
{
  SimDrivers fleet(2);
  fleet.Add("entry-a", "a", wire::ROLE_ENTRY, { 1, 2 });
  fleet.Add("entry-b", "b", wire::ROLE_ENTRY, { 2, 3 });
  fleet.Run(seconds{ 10 });
  EXPECT_EQ(SyncState(fleet, "entry-a")["nodes"]["entry-b"]["liveness"],
            "LIVENESS_ALIVE");
  const auto a = SyncState(fleet, "entry-a")["nodes"]["entry-b"];
  const auto b = SyncState(fleet, "entry-b")["nodes"]["entry-a"];
  EXPECT_TRUE(a.contains("protocol") || b.contains("protocol"));
  EXPECT_EQ(a.value("protocol", 2), 2);
  EXPECT_EQ(b.value("protocol", 2), 2);
}

// During a rolling upgrade, a process with a version in common with both sides
// relays the records of each side to the other.
TEST(Greeting, PeerWithoutACommonVersionIsUnreachableWithAReason)
{
  SimDrivers fleet(3);
  fleet.Add("entry-a", "a", wire::ROLE_ENTRY, { 1, 1 });
  fleet.Add("entry-b", "b", wire::ROLE_ENTRY, { 1, 2 });
  fleet.Add("entry-c", "c", wire::ROLE_ENTRY, { 2, 2 });
  fleet.Add("agent-c", "c", wire::ROLE_AGENT, { 2, 2 });
  fleet.Run(seconds{ 20 });
  const auto state = SyncState(fleet, "entry-a");
  for (const std::string other : { "entry-c", "agent-c" }) {
    ASSERT_TRUE(state["nodes"].contains(other)) << state.dump(2);
    const auto& seen = state["nodes"][other];
    EXPECT_EQ(seen["liveness"], "LIVENESS_UNREACHABLE") << other;
    const auto reason = seen.value("unreachable_because", "");
    EXPECT_EQ(reason.rfind(kNoCommonProtocol, 0), 0U) << reason;
  }
  EXPECT_TRUE(state["unreachable_places"].empty()) << state.dump(2);
  EXPECT_EQ(state["nodes"]["entry-b"]["liveness"], "LIVENESS_ALIVE");
  EXPECT_NE(MetricsText().find("siskindeal_protocol_refused_total"),
            std::string::npos);
  for (const std::string other : { "entry-a", "entry-c", "agent-c" }) {
    EXPECT_EQ(SyncState(fleet, "entry-b")["nodes"][other]["liveness"],
              "LIVENESS_ALIVE")
      << other;
  }

  fleet.At("entry-a").m_protocols = { 1, 2 }; // upgraded
  fleet.Start("entry-a");
  fleet.Run(seconds{ 20 });
  for (const std::string vm : { "entry-a", "entry-b", "entry-c" }) {
    for (const auto& [other, seen] : SyncState(fleet, vm)["nodes"].items()) {
      EXPECT_EQ(seen["liveness"], "LIVENESS_ALIVE") << vm << " " << other;
      EXPECT_FALSE(seen.contains("unreachable_because"));
    }
  }
}

class DriverRun : public testing::TestWithParam<std::uint64_t>
{
protected:
  std::string RandomVm()
  {
    auto node = m_fleet.Nodes().begin();
    std::advance(node, m_fleet.GetRandom().Below(m_fleet.Nodes().size()));
    return node->first;
  }

  void InjectRandomFault()
  {
    auto& random = m_fleet.GetRandom();
    auto& platform = m_fleet.GetPlatform();
    const auto vm = RandomVm();
    switch (random.Below(9)) {
      case 0:
        m_fleet.Start(vm);
        break;
      case 1:
        m_fleet.Kill(vm);
        break;
      case 2:
        m_fleet.Pause(vm, random.Chance(0.5));
        break;
      case 3:
        m_fleet.Cut(vm, RandomVm(), random.Chance(0.5));
        break;
      case 4:
        m_fleet.SetLoss(random.Chance(0.5) ? 0.2 : 0);
        break;
      case 5:
        platform.Faults().m_outage = !platform.Faults().m_outage;
        break;
      case 6:
        platform.Faults().m_lostAnswers = random.Chance(0.5) ? 0.3 : 0;
        break;
      case 7:
        platform.Compact();
        break;
      default:
        platform.SetCut(vm, static_cast<Cut>(random.Below(3)));
    }
  }

  void ClearFaults()
  {
    m_fleet.GetPlatform().Faults() = {};
    m_fleet.SetLoss(0);
    for (const auto& [vm, node] : m_fleet.Nodes()) {
      m_fleet.GetPlatform().SetCut(vm, Cut::None);
      m_fleet.Pause(vm, false);
      for (const auto& [other, otherNode] : m_fleet.Nodes()) {
        m_fleet.Cut(vm, other, false);
      }
      if (!node.m_up) {
        m_fleet.Start(vm);
      }
    }
  }

  SimDrivers m_fleet{ GetParam() };
};

TEST_P(DriverRun, KeepsInvariantsAndConvergesAfterFaults)
{
  SetAbortOnBrokenInvariant(true);
  ConfigureLog("test", "drivers", LogLevel::Error);
  constexpr std::uint64_t kSteps = 200000;
  m_fleet.SetLongestStart(seconds{ 1 });
  for (const std::string place : { "a", "b" }) {
    for (const std::string number : { "-0", "-1" }) {
      const auto vm = place + number;
      m_fleet.Add("entry-" + vm, place, wire::ROLE_ENTRY);
      m_fleet.Add("agent-" + vm, place, wire::ROLE_AGENT);
    }
  }
  auto& platform = m_fleet.GetPlatform();
  auto& random = m_fleet.GetRandom();
  while (m_fleet.Steps() < kSteps) {
    m_fleet.Run(milliseconds{ 100 });
    if (random.Chance(0.03)) {
      platform.Write(
        kConfigKey, kConfig, platform.Stored(kConfigKey).m_version);
    }
    if (random.Chance(0.03)) {
      InjectRandomFault();
    }
  }
  EXPECT_GT(platform.Stored(kConfigKey).m_version, 10U);
  EXPECT_GT(m_fleet.LeasesTaken(), 10U);

  ClearFaults();
  // An entry that lost the platform is preferred again after 30 s and gets its
  // leases 10 s later.
  m_fleet.Run(seconds{ 90 });
  EXPECT_TRUE(HasConverged(m_fleet, platform.Stored(kConfigKey).m_version));
  std::size_t held = 0;
  for (const auto& [vm, node] : m_fleet.Nodes()) {
    held += HeldLeaseCount(node);
  }
  EXPECT_EQ(held, LeaseSettings{}.m_targetShards);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DriverRun, testing::Values(1, 2, 3, 5, 7, 11));

} // namespace
} // namespace siskindeal

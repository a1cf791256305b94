#include "support/sim_fleet.h"

#include "siskindeal/fleet_config.h"
#include "siskindeal/invariant.h"

#include <gtest/gtest.h>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Three places of three entries and four agents each.
void
AddFleet(SimFleet& aFleet)
{
  for (const auto* place : { "a", "b", "c" }) {
    for (int i = 0; i < 3; ++i) {
      aFleet.Add(std::string("entry-") + place + std::to_string(i),
                 place,
                 wire::ROLE_ENTRY);
    }
    for (int i = 0; i < 4; ++i) {
      aFleet.Add(std::string("agent-") + place + std::to_string(i),
                 place,
                 wire::ROLE_AGENT);
    }
  }
}

wire::Liveness
Seen(SimFleet& aFleet, const std::string& aBy, const std::string& aVm)
{
  const auto* row = aFleet.At(aBy).m_exchange->Table().Find(aVm);
  return row == nullptr ? wire::LIVENESS_UNSPECIFIED : row->m_liveness;
}

class Membership : public testing::Test
{
protected:
  void SetUp() override { SetAbortOnBrokenInvariant(true); }
};

TEST_F(Membership, EveryoneKnowsTheEntriesAndEveryEntryTheAgents)
{
  SimFleet fleet(1);
  AddFleet(fleet);
  fleet.Run(seconds{ 5 });
  for (auto& [vm, node] : fleet.Nodes()) {
    for (auto& [other, otherNode] : fleet.Nodes()) {
      if (vm == other) {
        continue;
      }
      const bool known =
        node.m_role == wire::ROLE_ENTRY || otherNode.m_role == wire::ROLE_ENTRY;
      EXPECT_EQ(Seen(fleet, vm, other),
                known ? wire::LIVENESS_ALIVE : wire::LIVENESS_UNSPECIFIED)
        << vm << " sees " << other;
    }
  }
}

TEST_F(Membership, NothingIsSentTwiceAtRest)
{
  SimFleet fleet(5);
  AddFleet(fleet);
  ASSERT_TRUE(fleet.GetPlatform().Write(kConfigKey, "1", 0));
  fleet.Run(seconds{ 15 });
  const auto records = fleet.Records();
  const auto exchanges = fleet.Exchanges();
  fleet.Run(seconds{ 60 });
  EXPECT_EQ(fleet.Records(), records);
  EXPECT_GT(fleet.Exchanges(), exchanges) << "heartbeats go on";
}

TEST_F(Membership, AnAgentsLoadIsSentBeforeTheHeartbeatOnlyIfItHasChangedMuch)
{
  SimFleet fleet(6);
  AddFleet(fleet);
  fleet.Run(seconds{ 10 });
  auto& agent = fleet.At("agent-a0");
  const auto pictured = [&] {
    const auto entry = agent.m_exchange->Table().Find("agent-a0")->m_record;
    return fleet.At(entry.hears(0))
      .m_exchange->Table()
      .Find("agent-a0")
      ->m_record.load()
      .running();
  };
  agent.m_load.set_running(2);
  fleet.Run(milliseconds{ 300 });
  EXPECT_EQ(pictured(), 2U) << "two requests more";
  agent.m_load.set_running(3);
  fleet.Run(milliseconds{ 300 });
  EXPECT_EQ(pictured(), 2U) << "one can wait";
  fleet.Run(seconds{ 2 });
  EXPECT_EQ(pictured(), 3U) << "for the heartbeat";
}

TEST_F(Membership, TellsLeavingDeathGoneAndAnIsolatedPlaceApart)
{
  SimFleet fleet(2);
  AddFleet(fleet);
  fleet.Run(seconds{ 5 });
  std::vector<VmListing> listed;
  for (auto& [vm, node] : fleet.Nodes()) {
    listed.push_back({ vm, node.m_settings.m_place, "", "", false });
  }
  for (auto& [vm, node] : fleet.Nodes()) {
    node.m_exchange->SetListed(listed, fleet.GetClock().Now());
  }
  fleet.At("agent-a0").m_exchange->Leave();
  fleet.Kill("agent-a1");
  fleet.Kill("entry-a2");
  fleet.Isolate("c", true);
  fleet.Run(seconds{ 6 });
  EXPECT_EQ(Seen(fleet, "entry-b0", "agent-a0"), wire::LIVENESS_LEAVING);
  EXPECT_EQ(Seen(fleet, "entry-b0", "agent-a1"), wire::LIVENESS_UNREACHABLE);
  EXPECT_EQ(Seen(fleet, "entry-b0", "entry-a2"), wire::LIVENESS_UNREACHABLE);
  EXPECT_EQ(Seen(fleet, "entry-b0", "entry-c0"), wire::LIVENESS_UNREACHABLE);
  EXPECT_EQ(Seen(fleet, "entry-c1", "agent-c2"), wire::LIVENESS_ALIVE);
  EXPECT_EQ(fleet.At("entry-b0").m_exchange->Table().UnreachablePlaces(),
            std::set<std::string>{ "c" });
  EXPECT_EQ(fleet.At("entry-c0").m_exchange->Table().UnreachablePlaces(),
            (std::set<std::string>{ "a", "b" }));

  fleet.Kill("agent-a0"); // it had said so
  for (auto& [vm, node] : fleet.Nodes()) {
    auto left = listed;
    std::erase_if(left, [](auto& aVm) { return aVm.m_vm == "agent-a1"; });
    node.m_exchange->SetListed(left, fleet.GetClock().Now());
  }
  fleet.Run(seconds{ 15 });
  EXPECT_EQ(Seen(fleet, "entry-b0", "agent-a0"), wire::LIVENESS_GONE);
  EXPECT_EQ(Seen(fleet, "entry-b0", "agent-a1"), wire::LIVENESS_GONE);
  EXPECT_EQ(Seen(fleet, "entry-b0", "entry-a2"), wire::LIVENESS_UNREACHABLE);

  fleet.Isolate("c", false);
  fleet.Run(seconds{ 6 });
  EXPECT_EQ(Seen(fleet, "entry-b0", "agent-c2"), wire::LIVENESS_ALIVE);
  EXPECT_EQ(Seen(fleet, "entry-c0", "entry-a0"), wire::LIVENESS_ALIVE);
}

TEST_F(Membership, ConfigurationReachesAllWithinThreeSecondsUnderLoss)
{
  SimFleet fleet(3);
  AddFleet(fleet);
  fleet.Run(seconds{ 5 });
  fleet.SetLoss(0.05);
  for (std::uint64_t version = 1; version <= 50; ++version) {
    ASSERT_TRUE(fleet.GetPlatform().Write(
      kConfigKey, std::to_string(version), version - 1));
    fleet.Run(seconds{ 3 });
    EXPECT_TRUE(fleet.AllHold(kConfigKey)) << version;
  }
  // Of 21 processes only a watcher in each place reads the platform.
  EXPECT_LE(fleet.GetPlatform().Watching(), 3U * 2U);
}

TEST_F(Membership, ARestartedFleetTakesConfigurationFromWhoeverHasIt)
{
  SimFleet fleet(4);
  AddFleet(fleet);
  ASSERT_TRUE(fleet.GetPlatform().Write(kConfigKey, "1", 0));
  fleet.Run(seconds{ 5 });
  fleet.GetPlatform().Faults().m_outage = true;
  fleet.Run(std::chrono::minutes{ 20 });
  // Every entry at once; the agents alone have it.
  for (auto& [vm, node] : fleet.Nodes()) {
    if (node.m_role == wire::ROLE_ENTRY) {
      fleet.Start(vm);
    }
  }
  fleet.Run(seconds{ 10 });
  EXPECT_TRUE(fleet.AllHold(kConfigKey));
}

} // namespace
} // namespace siskindeal

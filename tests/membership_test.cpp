#include "support/sim_fleet.h"

#include "siskindeal/fleet_config.h"
#include "siskindeal/invariant.h"

#include <gtest/gtest.h>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Adds three places with three entries and four agents each.
void
AddProcesses(SimFleet& aFleet)
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
LivenessSeenBy(SimFleet& aFleet, const std::string& aBy, const std::string& aVm)
{
  const auto* row = aFleet.At(aBy).m_exchange->Table().Find(aVm);
  return row == nullptr ? wire::LIVENESS_UNSPECIFIED : row->m_liveness;
}

class Membership : public testing::Test
{
protected:
  void SetUp() override { SetAbortOnBrokenInvariant(true); }
};

TEST_F(Membership, AllProcessesSeeEntriesAndEntriesSeeAgents)
{
  SimFleet fleet(1);
  AddProcesses(fleet);
  fleet.Run(seconds{ 5 });
  for (auto& [vm, node] : fleet.Nodes()) {
    for (auto& [other, otherNode] : fleet.Nodes()) {
      if (vm == other) {
        continue;
      }
      const bool known =
        node.m_role == wire::ROLE_ENTRY || otherNode.m_role == wire::ROLE_ENTRY;
      EXPECT_EQ(LivenessSeenBy(fleet, vm, other),
                known ? wire::LIVENESS_ALIVE : wire::LIVENESS_UNSPECIFIED)
        << vm << " sees " << other;
    }
  }
}

TEST_F(Membership, IdleExchangesCarryNoRecords)
{
  SimFleet fleet(5);
  AddProcesses(fleet);
  ASSERT_TRUE(fleet.GetPlatform().Write(kConfigKey, "1", 0));
  fleet.Run(seconds{ 15 });
  const auto records = fleet.Records();
  const auto exchanges = fleet.Exchanges();
  fleet.Run(seconds{ 60 });
  EXPECT_EQ(fleet.Records(), records);
  EXPECT_GT(fleet.Exchanges(), exchanges) << "heartbeats must continue";
}

TEST_F(Membership, AgentLoadIsSentBeforeHeartbeatOnlyAfterLargeChange)
{
  SimFleet fleet(6);
  AddProcesses(fleet);
  fleet.Run(seconds{ 10 });
  auto& agent = fleet.At("agent-a0");
  const auto loadAtEntry = [&] {
    const auto entry = agent.m_exchange->Table().Find("agent-a0")->m_record;
    return fleet.At(entry.hears(0))
      .m_exchange->Table()
      .Find("agent-a0")
      ->m_record.load()
      .running();
  };
  agent.m_load.set_running(2);
  fleet.Run(milliseconds{ 300 });
  EXPECT_EQ(loadAtEntry(), 2U) << "two more requests are sent at once";
  agent.m_load.set_running(3);
  fleet.Run(milliseconds{ 300 });
  EXPECT_EQ(loadAtEntry(), 2U) << "one more request waits for the heartbeat";
  fleet.Run(seconds{ 2 });
  EXPECT_EQ(loadAtEntry(), 3U) << "sent with the heartbeat";
}

TEST_F(Membership, DistinguishesLeavingUnreachableGoneAndIsolatedPlace)
{
  SimFleet fleet(2);
  AddProcesses(fleet);
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
  EXPECT_EQ(LivenessSeenBy(fleet, "entry-b0", "agent-a0"),
            wire::LIVENESS_LEAVING);
  EXPECT_EQ(LivenessSeenBy(fleet, "entry-b0", "agent-a1"),
            wire::LIVENESS_UNREACHABLE);
  EXPECT_EQ(LivenessSeenBy(fleet, "entry-b0", "entry-a2"),
            wire::LIVENESS_UNREACHABLE);
  EXPECT_EQ(LivenessSeenBy(fleet, "entry-b0", "entry-c0"),
            wire::LIVENESS_UNREACHABLE);
  EXPECT_EQ(LivenessSeenBy(fleet, "entry-c1", "agent-c2"),
            wire::LIVENESS_ALIVE);
  EXPECT_EQ(fleet.At("entry-b0").m_exchange->Table().UnreachablePlaces(),
            std::set<std::string>{ "c" });
  EXPECT_EQ(fleet.At("entry-c0").m_exchange->Table().UnreachablePlaces(),
            (std::set<std::string>{ "a", "b" }));

  fleet.Kill("agent-a0"); // it had announced that it is leaving
  for (auto& [vm, node] : fleet.Nodes()) {
    auto left = listed;
    std::erase_if(left, [](auto& aVm) { return aVm.m_vm == "agent-a1"; });
    node.m_exchange->SetListed(left, fleet.GetClock().Now());
  }
  fleet.Run(seconds{ 15 });
  EXPECT_EQ(LivenessSeenBy(fleet, "entry-b0", "agent-a0"), wire::LIVENESS_GONE);
  EXPECT_EQ(LivenessSeenBy(fleet, "entry-b0", "agent-a1"), wire::LIVENESS_GONE);
  EXPECT_EQ(LivenessSeenBy(fleet, "entry-b0", "entry-a2"),
            wire::LIVENESS_UNREACHABLE);

  fleet.Isolate("c", false);
  fleet.Run(seconds{ 6 });
  EXPECT_EQ(LivenessSeenBy(fleet, "entry-b0", "agent-c2"),
            wire::LIVENESS_ALIVE);
  EXPECT_EQ(LivenessSeenBy(fleet, "entry-c0", "entry-a0"),
            wire::LIVENESS_ALIVE);
}

TEST_F(Membership, ConfigurationReachesAllProcessesWithinThreeSecondsUnderLoss)
{
  SimFleet fleet(3);
  AddProcesses(fleet);
  fleet.Run(seconds{ 5 });
  fleet.SetLoss(0.05);
  for (std::uint64_t version = 1; version <= 50; ++version) {
    ASSERT_TRUE(fleet.GetPlatform().Write(
      kConfigKey, std::to_string(version), version - 1));
    fleet.Run(seconds{ 3 });
    EXPECT_TRUE(fleet.AllHold(kConfigKey)) << version;
  }
  // Only one of the seven processes in each place reads the platform.
  EXPECT_LE(fleet.GetPlatform().PendingWatchCount(), 3U * 2U);
}

TEST_F(Membership, RestartedEntriesRecoverConfigurationFromAgents)
{
  SimFleet fleet(4);
  AddProcesses(fleet);
  ASSERT_TRUE(fleet.GetPlatform().Write(kConfigKey, "1", 0));
  fleet.Run(seconds{ 5 });
  fleet.GetPlatform().Faults().m_outage = true;
  fleet.Run(std::chrono::minutes{ 20 });
  // All entries restart at once, so that only the agents hold the
  // configuration.
  for (auto& [vm, node] : fleet.Nodes()) {
    if (node.m_role == wire::ROLE_ENTRY) {
      fleet.Start(vm);
    }
  }
  fleet.Run(seconds{ 10 });
  EXPECT_TRUE(fleet.AllHold(kConfigKey));
}

// Returns the entries that currently watch the platform.
std::vector<std::string>
Watchers(SimFleet& aFleet)
{
  std::vector<std::string> watchers;
  for (auto& [vm, node] : aFleet.Nodes()) {
    if (node.m_exchange->ShouldWatch()) {
      watchers.push_back(vm);
    }
  }
  return watchers;
}

TEST_F(Membership, EntryCutOffFromWatchersReceivesConfigurationByRelay)
{
  SimFleet fleet(7);
  AddProcesses(fleet);
  fleet.Run(seconds{ 30 }); // until the watches opened at startup have ended
  const auto watchers = Watchers(fleet);
  ASSERT_EQ(watchers.size(), 3U);
  const auto cutOff = watchers[0] == "entry-a0" ? "entry-a1" : "entry-a0";
  for (const auto& vm : watchers) {
    fleet.Cut(vm, cutOff, true);
    fleet.Cut(cutOff, vm, true);
  }
  ASSERT_TRUE(fleet.GetPlatform().Write(kConfigKey, "1", 0));
  fleet.Run(seconds{ 6 });
  EXPECT_TRUE(fleet.AllHold(kConfigKey));
}

TEST_F(Membership, DetectsDeleteLostToCompaction)
{
  SimFleet fleet(8);
  AddProcesses(fleet);
  const auto key = std::string(kTargetPrefix) + "booking";
  ASSERT_TRUE(fleet.GetPlatform().Write(key, "1", 0));
  fleet.Run(seconds{ 5 });
  fleet.GetPlatform().Faults().m_outage = true;
  fleet.Run(seconds{ 40 });
  fleet.GetPlatform().Remove(key);
  fleet.GetPlatform().Compact();
  fleet.GetPlatform().Faults().m_outage = false;
  fleet.Run(seconds{ 10 });
  EXPECT_TRUE(fleet.AllHold(key));
}

TEST_F(Membership, IsolatedPlaceDoesNotResurrectDeletedObject)
{
  SimFleet fleet(9);
  AddProcesses(fleet);
  const auto key = std::string(kTargetPrefix) + "booking";
  ASSERT_TRUE(fleet.GetPlatform().Write(key, "1", 0));
  fleet.Run(seconds{ 5 });
  fleet.Isolate("c", true);
  fleet.GetPlatform().Remove(key);
  fleet.Run(seconds{ 5 });
  for (auto& [vm, node] : fleet.Nodes()) {
    if (node.m_settings.m_place != "c") {
      fleet.Start(vm); // restarted, so the tombstone is lost
    }
  }
  fleet.Run(seconds{ 30 });
  fleet.Isolate("c", false);
  for (const auto* vm : { "entry-c0", "entry-c1", "entry-c2" }) {
    // Agents of the place relay the object after the entry has listed.
    fleet.Start(vm);
  }
  fleet.Run(seconds{ 20 });
  EXPECT_TRUE(fleet.AllHold(key));
}

TEST_F(Membership, WatcherListsAgainAfterCompaction)
{
  ManualClock clock;
  FakePlatform platform(clock, 1);
  std::map<std::string, std::string> seen;
  ObjectWatcher::Hooks hooks;
  hooks.m_held = [] { return std::map<std::string, std::uint64_t>(); };
  hooks.m_unconfirmed = [] { return false; };
  hooks.m_onObjects = [&](const auto& aObjects) {
    for (const auto& object : aObjects) {
      seen[object.m_key] = object.m_value;
    }
  };
  const auto watcher =
    std::make_shared<ObjectWatcher>(platform, "config/", 1, hooks);
  const auto run = [&] {
    for (int i = 0; i < 100; ++i) {
      watcher->Tick(clock.Now(), true);
      platform.Advance(milliseconds{ 100 });
    }
  };
  ASSERT_TRUE(platform.Write(kConfigKey, "1", 0));
  run();
  EXPECT_EQ(seen[kConfigKey], "1");
  platform.Faults().m_outage = true;
  ASSERT_TRUE(platform.Write(kConfigKey, "2", 1));
  platform.Advance(seconds{ 1 }); // lets the watch fail
  platform.Compact();
  platform.Faults().m_outage = false;
  run();
  EXPECT_EQ(seen[kConfigKey], "2");
  watcher->Stop();
}

TEST_F(Membership, RestartWithEarlierClockSupersedesOldIncarnation)
{
  SimFleet fleet(10);
  AddProcesses(fleet);
  fleet.Run(seconds{ 5 });
  fleet.Start("entry-a0");
  fleet.Run(seconds{ 5 });
  fleet.Start("entry-a0"); // its third start: a lower incarnation
  fleet.Run(seconds{ 5 });
  const auto& own =
    fleet.At("entry-a0").m_exchange->Table().Find("entry-a0")->m_record;
  for (auto& [vm, node] : fleet.Nodes()) {
    EXPECT_EQ(node.m_exchange->Table().Find("entry-a0")->m_record.incarnation(),
              own.incarnation())
      << vm;
  }
}

} // namespace
} // namespace siskindeal

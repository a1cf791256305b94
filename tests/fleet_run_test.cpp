// Long randomised simulations of configuration and membership in a fleet, with
// concurrent and repeated faults.

#include "support/sim_fleet.h"

#include "siskindeal/fleet_config.h"
#include "siskindeal/invariant.h"

#include <gtest/gtest.h>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kPlaces{ "a", "b", "c" };
const std::string kTarget = std::string(kTargetPrefix) + "booking";

// Simulates operators that race with conditional writes.
class Operators
{
public:
  explicit Operators(SimFleet& aFleet)
    : m_fleet(aFleet)
  {
  }

  void ChangeObject(const std::string& aKey)
  {
    auto& platform = m_fleet.GetPlatform();
    const auto name =
      "operator-" + std::to_string(m_fleet.GetRandom().Below(2));
    platform.Client(name).Get(PlatformUse::Operator,
                              aKey,
                              [this, aKey, name](const PlatformReply& aReply) {
                                if (aReply.m_outcome == PlatformOutcome::Ok ||
                                    aReply.m_outcome ==
                                      PlatformOutcome::NotFound) {
                                  Write(name, aKey, aReply.m_object.m_version);
                                }
                              });
  }

  // Checks that no accepted version of a key has been lost.
  void CheckAcceptedVersions()
  {
    for (const auto& [key, version] : m_accepted) {
      SISKINDEAL_INVARIANT(m_fleet.GetPlatform().Stored(key).m_version >=
                             version,
                           "an accepted change is never lost");
    }
  }

  std::uint64_t Accepted() const { return m_acceptedCount; }
  std::uint64_t Conflicts() const { return m_conflicts; }

private:
  void Write(const std::string& aName,
             const std::string& aKey,
             std::uint64_t aExpected)
  {
    const auto id = aName + "/" + std::to_string(++m_changeCount);
    const bool remove =
      aKey != kConfigKey && aExpected != 0 && m_fleet.GetRandom().Chance(0.2);
    const PlatformWrite write{ aKey, id, aExpected, id };
    auto done = [this, aKey](const PlatformReply& aReply) {
      if (aReply.m_outcome == PlatformOutcome::Conflict) {
        ++m_conflicts;
      }
      if (aReply.m_outcome == PlatformOutcome::Ok) {
        const auto version = aReply.m_object.m_version;
        SISKINDEAL_INVARIANT(m_versions.insert({ aKey, version }).second,
                             "at most one change is accepted per version");
        m_accepted[aKey] = std::max(m_accepted[aKey], version);
        ++m_acceptedCount;
      }
    };
    auto& platform = m_fleet.GetPlatform().Client(aName);
    if (remove) {
      platform.Delete(PlatformUse::Operator, write, done);
    } else {
      platform.Put(PlatformUse::Operator, write, done);
    }
  }

  SimFleet& m_fleet;
  std::map<std::string, std::uint64_t> m_accepted; // highest by key
  std::set<std::pair<std::string, std::uint64_t>> m_versions;
  std::uint64_t m_changeCount = 0;
  std::uint64_t m_acceptedCount = 0;
  std::uint64_t m_conflicts = 0;
};

std::string
RandomVm(SimFleet& aFleet)
{
  auto node = aFleet.Nodes().begin();
  std::advance(node, aFleet.GetRandom().Below(aFleet.Nodes().size()));
  return node->first;
}

void
InjectPlatformFault(SimFleet& aFleet)
{
  auto& random = aFleet.GetRandom();
  auto& platform = aFleet.GetPlatform();
  auto& faults = platform.Faults();
  switch (random.Below(7)) {
    case 0:
      faults.m_outage = !faults.m_outage;
      break;
    case 1:
      faults.m_maxLatency = milliseconds{ random.Chance(0.5) ? 4 : 3000 };
      break;
    case 2:
      faults.m_lostAnswers = random.Chance(0.5) ? 0.3 : 0;
      break;
    case 3:
      faults.m_watchGaps = random.Chance(0.5) ? 0.3 : 0;
      break;
    case 4:
      faults.m_rateLimited = random.Chance(0.5) ? 0.5 : 0;
      break;
    case 5:
      platform.Compact();
      break;
    default:
      platform.SetCut(RandomVm(aFleet), static_cast<Cut>(random.Below(3)));
  }
}

void
InjectProcessFault(SimFleet& aFleet, std::map<std::string, bool>& aIsolated)
{
  auto& random = aFleet.GetRandom();
  const auto vm = RandomVm(aFleet);
  switch (random.Below(6)) {
    case 0:
      aFleet.Start(vm); // killed and restarted
      break;
    case 1:
      aFleet.Kill(vm);
      break;
    case 2:
      aFleet.At(vm).m_paused = !aFleet.At(vm).m_paused;
      break;
    case 3:
      aFleet.Cut(vm, RandomVm(aFleet), random.Chance(0.5)); // one way
      break;
    case 4: {
      const auto& place = kPlaces[random.Below(kPlaces.size())];
      aIsolated[place] = !aIsolated[place];
      aFleet.Isolate(place, aIsolated[place]);
      break;
    }
    default:
      aFleet.SetLoss(random.Chance(0.5) ? 0.2 : 0);
  }
}

void
ClearFaults(SimFleet& aFleet)
{
  aFleet.GetPlatform().Faults() = {};
  aFleet.SetLoss(0);
  for (const auto& place : kPlaces) {
    aFleet.Isolate(place, false);
  }
  for (auto& [vm, node] : aFleet.Nodes()) {
    node.m_paused = false;
    for (auto& [other, otherNode] : aFleet.Nodes()) {
      aFleet.Cut(vm, other, false);
    }
    if (!node.m_up) {
      aFleet.Start(vm);
    }
  }
}

class FleetRun : public testing::TestWithParam<std::uint64_t>
{};

TEST_P(FleetRun, VersionsNeverDecreaseAndFleetConverges)
{
  SetAbortOnBrokenInvariant(true);
  constexpr std::uint64_t kSteps = 60000;
  SimFleet fleet(GetParam());
  for (const auto& place : kPlaces) {
    for (const auto* number : { "0", "1" }) {
      fleet.Add("entry-" + place + number, place, wire::ROLE_ENTRY);
      fleet.Add("agent-" + place + number, place, wire::ROLE_AGENT);
    }
  }
  Operators operators(fleet);
  std::map<std::string, bool> isolated;
  auto& random = fleet.GetRandom();
  while (fleet.Steps() < kSteps) {
    fleet.Run(milliseconds{ 100 });
    if (random.Chance(0.05)) {
      operators.ChangeObject(random.Chance(0.5) ? kConfigKey : kTarget);
      operators.ChangeObject(kConfigKey);
    }
    if (random.Chance(0.03)) {
      InjectPlatformFault(fleet);
    }
    if (random.Chance(0.03)) {
      InjectProcessFault(fleet, isolated);
    }
    operators.CheckAcceptedVersions();
  }
  EXPECT_GT(operators.Accepted(), 20U);
  EXPECT_GT(operators.Conflicts(), 5U);

  ClearFaults(fleet);
  fleet.Run(seconds{ 20 });
  operators.CheckAcceptedVersions();
  for (const auto& key : { std::string(kConfigKey), kTarget }) {
    EXPECT_TRUE(fleet.AllHold(key)) << key;
  }
  for (auto& [vm, node] : fleet.Nodes()) {
    for (const auto& [other, row] : node.m_exchange->Table().Rows()) {
      EXPECT_EQ(row.m_liveness, wire::LIVENESS_ALIVE)
        << vm << " sees " << other;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         FleetRun,
                         testing::Values(1, 2, 3, 4, 6, 8, 31, 96));

} // namespace
} // namespace siskindeal

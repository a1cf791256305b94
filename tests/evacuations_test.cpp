// Tests what gateways take for evacuated, and that all of them agree soon
// whatever becomes of the messages between them.

#include "dispatch/evacuations_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };

using Places = std::set<std::string>;

TEST(Evacuations, NothingIsKnownAtFirst)
{
  const Evacuations evacuations;
  EXPECT_FALSE(evacuations.Known());
  EXPECT_TRUE(evacuations.Places().empty());
}

TEST(Evacuations, NewestPositionWins)
{
  Evacuations evacuations;
  EXPECT_TRUE(evacuations.Record({ { 1, 20 }, { "east" } }, kStart));
  // A peer that is behind, as one that can't reach the store.
  EXPECT_FALSE(evacuations.Record({ { 1, 19 }, {} }, kStart));
  EXPECT_EQ(evacuations.Places(), Places{ "east" });
  EXPECT_FALSE(evacuations.Record({ { 1, 21 }, { "east" } }, kStart));
  EXPECT_TRUE(evacuations.Record({ { 1, 22 }, {} }, kStart));
  EXPECT_TRUE(evacuations.Places().empty());
}

// A store that comes back from an older copy may list too little at first.
TEST(Evacuations, PlaceStaysEvacuatedWhileANewEraBegins)
{
  Evacuations evacuations;
  evacuations.Record({ { 1, 20 }, { "east" } }, kStart);
  EXPECT_FALSE(evacuations.Record({ { 2, 5 }, {} }, kStart));
  EXPECT_FALSE(evacuations.Sweep(kStart + milliseconds(2900)));
  EXPECT_EQ(evacuations.Places(), Places{ "east" });
  EXPECT_TRUE(evacuations.Sweep(kStart + milliseconds(3100)));
  EXPECT_TRUE(evacuations.Places().empty());
  // The revisions of the former era say nothing.
  EXPECT_FALSE(evacuations.Record({ { 1, 90 }, { "west" } }, kStart));
}

// Gateways tell each other what they know by messages that are lost, late or
// doubled; a third of them can't reach the store, and some start anew.
class GatewaysUnderFaults
{
public:
  explicit GatewaysUnderFaults(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_gateways(kGateways)
    , m_reachesStore(kGateways)
  {
    for (std::size_t i = 0; i < kGateways; ++i) {
      m_reachesStore[i] = i == 0 || m_random.Below(3) != 0;
    }
  }

  // Plays aSteps of 20 ms, in which the operator changes evacuations now and
  // then.
  void Play(int aSteps, bool aOperatorActs)
  {
    for (int step = 0; step < aSteps; ++step) {
      m_now += milliseconds(20);
      if (aOperatorActs && m_random.Below(20) == 0) {
        ChangeStore();
      }
      ReadStore();
      SendBeacons();
      DeliverBeacons();
      if (m_random.Below(30) == 0) {
        m_gateways[m_random.Below(kGateways)] = {}; // starts anew
      }
    }
  }

  std::size_t Disagreeing() const
  {
    std::size_t count = 0;
    for (const Evacuations& gateway : m_gateways) {
      // One that knows nothing sends nothing.
      count += gateway.Known() && gateway.Places() != m_store.m_places ? 1 : 0;
    }
    return count;
  }
  std::size_t Ignorant() const
  {
    std::size_t count = 0;
    for (const Evacuations& gateway : m_gateways) {
      count += gateway.Known() ? 0 : 1;
    }
    return count;
  }

private:
  struct Message
  {
    MonotonicTime m_arrival{};
    std::size_t m_to = 0;
    EvacuationKnowledge m_knowledge;
  };

  void ChangeStore()
  {
    ++m_store.m_position.m_revision;
    const std::string place = m_random.Below(2) == 0 ? "east" : "west";
    if (m_store.m_places.erase(place) == 0) {
      m_store.m_places.insert(place);
    }
  }

  void ReadStore()
  {
    for (std::size_t i = 0; i < kGateways; ++i) {
      if (m_reachesStore[i] && m_random.Below(10) == 0) {
        m_gateways[i].Record(m_store, m_now);
      }
    }
  }

  void SendBeacons()
  {
    for (const Evacuations& from : m_gateways) {
      if (!from.Known() || m_random.Below(7) != 0) {
        continue;
      }
      for (std::size_t to = 0; to < kGateways; ++to) {
        for (std::uint64_t copies = m_random.Below(3); copies > 0; --copies) {
          m_messages.push_back(
            { m_now + milliseconds(m_random.Below(400)), to, *from.Known() });
        }
      }
    }
  }

  void DeliverBeacons()
  {
    std::erase_if(m_messages, [&](const Message& aMessage) {
      if (aMessage.m_arrival > m_now) {
        return false;
      }
      m_gateways[aMessage.m_to].Record(aMessage.m_knowledge, m_now);
      return true;
    });
  }

  static constexpr std::size_t kGateways = 12;
  Random m_random;
  MonotonicTime m_now = kStart;
  EvacuationKnowledge m_store{ { 1, 100 }, {} };
  std::vector<Evacuations> m_gateways;
  std::vector<bool> m_reachesStore;
  std::vector<Message> m_messages;
};

TEST(EvacuationsRun, GatewaysAgreeWithinASecondOfTheLastChange)
{
  constexpr std::uint64_t kSeeds = 50;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    GatewaysUnderFaults gateways(seed);
    gateways.Play(500, /* aOperatorActs */ true);
    gateways.Play(100, /* aOperatorActs */ false);
    EXPECT_EQ(gateways.Disagreeing(), 0U);
    EXPECT_LE(gateways.Ignorant(), 2U); // they have just started
  }
}

} // namespace

} // namespace siskindeal

#include "support/fake_platform.h"

#include "lease/lease_holder_p.h"

#include "siskindeal/invariant.h"

#include <gtest/gtest.h>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kDuration{ 6000 };
const std::string kKey = "leases/targets/0";

// Accepts orders as an agent does: no token may be older than the highest.
struct OrderGate
{
  std::uint64_t m_highest = 0;
  std::uint64_t m_accepted = 0;

  void Order(std::uint64_t aToken)
  {
    SISKINDEAL_INVARIANT(aToken >= m_highest,
                         "an order under a held lease never has a stale token");
    m_highest = std::max(m_highest, aToken);
    ++m_accepted;
  }
};

// A process whose clock runs at its own rate and which can be paused.
struct Contender
{
  std::string m_name;
  double m_rate = 1;
  std::size_t m_rank = 0;
  std::unique_ptr<LeaseHolder> m_holder;
  std::uint64_t m_startCount = 0;
  bool m_up = true;
  MonotonicTime m_pausedUntil;
  std::deque<std::function<void()>> m_deferredReplies;
};

class LeaseSimulation
{
public:
  LeaseSimulation(std::uint64_t aSeed, std::size_t aContenders)
    : m_platform(m_clock, aSeed)
    , m_random(aSeed + 1)
  {
    constexpr double kMaxDrift = 0.08;
    for (std::size_t i = 0; i < aContenders; ++i) {
      Contender contender;
      contender.m_name = "entry-" + std::to_string(i);
      contender.m_rank = i;
      contender.m_rate = 1 + kMaxDrift * (2 * m_random.Unit() - 1);
      m_contenders.push_back(std::move(contender));
    }
    for (auto& contender : m_contenders) {
      Start(contender);
    }
  }

  void Start(Contender& aContender)
  {
    ++aContender.m_startCount;
    aContender.m_up = true;
    aContender.m_deferredReplies.clear();
    aContender.m_pausedUntil = {};
    aContender.m_holder = std::make_unique<LeaseHolder>(
      kKey,
      aContender.m_name + "/" + std::to_string(aContender.m_startCount),
      kDuration,
      m_random.Below(1000000));
  }

  MonotonicTime LocalTime(const Contender& aContender) const
  {
    const auto passed = m_clock.Now() - MonotonicTime{};
    return MonotonicTime{ std::chrono::duration_cast<MonotonicTime::duration>(
      passed * aContender.m_rate) };
  }

  void Send(Contender& aContender, const LeaseHolder::Call& aCall)
  {
    const bool read = aCall.m_kind == LeaseHolder::Call::Kind::Read;
    auto onReply =
      [this, &aContender, read, startCount = aContender.m_startCount](
        const PlatformReply& aReply) {
        auto deliver = [this, &aContender, read, startCount, aReply] {
          if (aContender.m_startCount != startCount || !aContender.m_up) {
            return;
          }
          if (read) {
            aContender.m_holder->OnReadReply(aReply, LocalTime(aContender));
          } else {
            aContender.m_holder->OnWriteReply(aReply, LocalTime(aContender));
          }
        };
        if (m_clock.Now() < aContender.m_pausedUntil) {
          aContender.m_deferredReplies.push_back(deliver);
        } else {
          deliver();
        }
      };
    auto& platform = m_platform.Client(aContender.m_name);
    if (read) {
      platform.Get(PlatformUse::Lease, kKey, onReply);
    } else {
      platform.Put(PlatformUse::Lease, aCall.m_write, onReply);
    }
  }

  // Runs one step of every contender and checks that at most one holds the
  // lease.
  void Step(milliseconds aStep)
  {
    m_platform.Advance(aStep);
    std::size_t holding = 0;
    for (auto& contender : m_contenders) {
      ++m_steps;
      if (!contender.m_up || m_clock.Now() < contender.m_pausedUntil) {
        continue;
      }
      while (!contender.m_deferredReplies.empty()) {
        const auto deliver = std::move(contender.m_deferredReplies.front());
        contender.m_deferredReplies.pop_front();
        deliver();
      }
      // Sends an order if the lease is held, before Tick can renew the lease.
      if (const auto token = contender.m_holder->Token(LocalTime(contender))) {
        ++holding;
        m_orderGate.Order(*token);
      }
      const auto call =
        contender.m_holder->Tick(LocalTime(contender), contender.m_rank);
      if (call.m_kind != LeaseHolder::Call::Kind::None) {
        Send(contender, call);
      }
    }
    SISKINDEAL_INVARIANT(holding <= 1, "at most one process holds a lease");
    m_isHeld = holding == 1;
  }

  void Run(milliseconds aFor)
  {
    constexpr milliseconds kStep{ 100 };
    for (milliseconds passed{ 0 }; passed < aFor; passed += kStep) {
      Step(kStep);
    }
  }

  ManualClock m_clock;
  FakePlatform m_platform;
  Random m_random;
  std::vector<Contender> m_contenders;
  OrderGate m_orderGate;
  std::uint64_t m_steps = 0;
  bool m_isHeld = false;
};

class Lease : public testing::Test
{
protected:
  void SetUp() override { SetAbortOnBrokenInvariant(true); }
};

TEST_F(Lease, IsAcquiredRenewedReleasedAndTakenOver)
{
  LeaseSimulation simulation(1, 3);
  simulation.Run(2 * kDuration); // a missing object is treated as held at first
  const auto first = simulation.m_orderGate.m_highest;
  EXPECT_TRUE(simulation.m_isHeld);
  EXPECT_TRUE(simulation.m_contenders[0].m_holder->Token(
    simulation.LocalTime(simulation.m_contenders[0])))
    << "the preferred contender holds it";
  simulation.Run(seconds{ 60 });
  EXPECT_EQ(simulation.m_orderGate.m_highest, first)
    << "renewals keep the token";

  simulation.m_contenders[0].m_holder->Release(); // graceful
  simulation.m_contenders[1].m_rank = 0;
  simulation.m_contenders[2].m_rank = 1;
  simulation.Run(seconds{ 3 });
  EXPECT_TRUE(simulation.m_contenders[0].m_holder->IsReleased());
  EXPECT_TRUE(simulation.m_isHeld)
    << "well before the lease would have expired";
  EXPECT_GT(simulation.m_orderGate.m_highest, first);

  simulation.m_contenders[1].m_up = false; // killed
  simulation.m_contenders[2].m_rank = 0;
  simulation.Run(kDuration / 2);
  EXPECT_FALSE(simulation.m_isHeld)
    << "the killed holder's lease has not expired";
  simulation.Run(kDuration);
  EXPECT_TRUE(simulation.m_isHeld);
}

TEST_F(Lease, ExpiresWhileHolderIsPaused)
{
  LeaseSimulation simulation(2, 2);
  simulation.Run(2 * kDuration);
  auto& holder = simulation.m_contenders[0];
  ASSERT_TRUE(holder.m_holder->Token(simulation.LocalTime(holder)));
  const auto before = simulation.m_orderGate.m_highest;
  holder.m_pausedUntil = simulation.m_clock.Now() + 3 * kDuration;
  simulation.Run(2 * kDuration);
  EXPECT_GT(simulation.m_orderGate.m_highest, before)
    << "the other contender took over";
  holder.m_pausedUntil = {};
  EXPECT_FALSE(holder.m_holder->Token(simulation.LocalTime(holder)))
    << "expiry is noticed locally, before any call";
}

TEST_F(Lease, FastClockDoesNotTakeOverEarlyFromSlowClock)
{
  LeaseSimulation simulation(3, 2);
  simulation.m_contenders[0].m_rate = 0.93;
  simulation.m_contenders[1].m_rate = 1.07;
  simulation.Run(2 * kDuration);
  auto& holder = simulation.m_contenders[0];
  ASSERT_TRUE(holder.m_holder->Token(simulation.LocalTime(holder)));
  simulation.m_platform.SetCut(holder.m_name, Cut::Requests);
  holder.m_rank = 1;
  simulation.m_contenders[1].m_rank = 0;
  const auto before = simulation.m_orderGate.m_highest;
  simulation.Run(2 * kDuration); // each step checks the invariants
  EXPECT_GT(simulation.m_orderGate.m_highest, before);
}

// Injects one random fault; faults overlap and repeat: outages, latency, lost
// requests and replies, cuts in either direction, pauses longer than the lease,
// restarts, deletes by an operator, rank changes. Clocks drift throughout.
void
InjectFault(LeaseSimulation& aSimulation)
{
  auto& random = aSimulation.m_random;
  auto& faults = aSimulation.m_platform.Faults();
  auto& contender =
    aSimulation.m_contenders[random.Below(aSimulation.m_contenders.size())];
  switch (random.Below(12)) {
    case 0:
      faults.m_outage = !faults.m_outage;
      break;
    case 1:
      faults.m_maxLatency =
        milliseconds{ random.Chance(0.5) ? 4 : 2 * kDuration.count() };
      break;
    case 2:
      faults.m_lostAnswers = random.Chance(0.5) ? 0.4 : 0;
      break;
    case 3:
      faults.m_lostRequests = random.Chance(0.5) ? 0.4 : 0;
      break;
    case 4:
    case 5:
      aSimulation.m_platform.SetCut(contender.m_name,
                                    static_cast<Cut>(random.Below(3)));
      break;
    case 6:
    case 7:
      contender.m_pausedUntil =
        aSimulation.m_clock.Now() + milliseconds{ random.Below(15000) };
      break;
    case 8:
      aSimulation.Start(contender); // killed and restarted
      break;
    case 9: {
      const auto stored = aSimulation.m_platform.Stored(kKey);
      if (stored.m_version != 0 && !stored.m_deleted && random.Chance(0.2)) {
        aSimulation.m_platform.Client("operator")
          .Delete(PlatformUse::Operator,
                  { kKey, "", stored.m_version, "operator" },
                  [](const PlatformReply&) {});
      }
      break;
    }
    case 10:
      std::swap(contender.m_rank, aSimulation.m_contenders[0].m_rank);
      break;
    default:
      faults = {};
  }
}

TEST_F(Lease, HasAtMostOneHolderUnderFaults)
{
  constexpr std::uint64_t kSeeds = 20;
  constexpr std::uint64_t kStepsPerSeed = 60000;
  std::uint64_t steps = 0;
  std::uint64_t tokens = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LeaseSimulation simulation(seed, 3);
    while (simulation.m_steps < kStepsPerSeed) {
      simulation.Step(milliseconds{ 1 + simulation.m_random.Below(200) });
      if (simulation.m_random.Chance(0.02)) {
        InjectFault(simulation);
      }
    }
    tokens += simulation.m_orderGate.m_highest;
    steps += simulation.m_steps;
    // Once all faults are cleared, the lease must be held again.
    simulation.m_platform.Faults() = {};
    for (auto& contender : simulation.m_contenders) {
      simulation.m_platform.SetCut(contender.m_name, Cut::None);
      contender.m_pausedUntil = {};
    }
    simulation.Run(seconds{ 45 });
    EXPECT_TRUE(simulation.m_isHeld) << "seed " << seed;
  }
  EXPECT_GE(steps, kSeeds * kStepsPerSeed);
  EXPECT_GT(tokens, kSeeds * 20) << "the lease changed holders repeatedly";
}

// Explores all interleavings of two holders, one of which may be paused, with
// late or lost replies. The platform is a single conditional register.
class Interleavings
{
public:
  struct Register
  {
    PlatformObject m_object;
  };
  struct Side
  {
    LeaseHolder m_holder;
    bool m_paused = false;
    LeaseHolder::Call m_call;
    bool m_callApplied = false; // the call took effect; its reply is in flight
    PlatformReply m_reply;
  };
  struct World
  {
    MonotonicTime m_now;
    Register m_register;
    std::array<Side, 2> m_sides;
    LeaseHolder::Call m_lateWrite; // a write reported as lost, still in flight
  };

  std::uint64_t Explore(const World& aWorld, int aDepth)
  {
    CheckInvariant(aWorld);
    if (aDepth == 0) {
      return 1;
    }
    std::uint64_t runs = 0;
    for (std::size_t side = 0; side < aWorld.m_sides.size(); ++side) {
      for (int action = 0; action < 4; ++action) {
        auto next = aWorld;
        if (Perform(next, next.m_sides.at(side), action)) {
          runs += Explore(next, aDepth - 1);
        }
      }
    }
    auto later = aWorld;
    later.m_now += kDuration * 6 / 10;
    runs += Explore(later, aDepth - 1);
    if (aWorld.m_lateWrite.m_kind != LeaseHolder::Call::Kind::None) {
      auto lateApplied = aWorld;
      Apply(lateApplied.m_register, lateApplied.m_lateWrite);
      lateApplied.m_lateWrite = {};
      runs += Explore(lateApplied, aDepth - 1);
    }
    auto paused = aWorld;
    paused.m_sides[0].m_paused = !paused.m_sides[0].m_paused;
    return runs + Explore(paused, aDepth - 1);
  }

  // Performs one action on one side; returns false if it is not possible now.
  static bool Perform(World& aWorld, Side& aSide, int aAction)
  {
    const bool inFlight = aSide.m_call.m_kind != LeaseHolder::Call::Kind::None;
    switch (aAction) {
      case 0: // make a call
        if (inFlight || aSide.m_paused) {
          return false;
        }
        aSide.m_call = aSide.m_holder.Tick(aWorld.m_now, 0);
        return aSide.m_call.m_kind != LeaseHolder::Call::Kind::None;
      case 1: // the call arrives
        if (!inFlight || aSide.m_callApplied) {
          return false;
        }
        aSide.m_reply = Apply(aWorld.m_register, aSide.m_call);
        aSide.m_callApplied = true;
        return true;
      case 2: // the reply is received
        if (!aSide.m_callApplied || aSide.m_paused) {
          return false;
        }
        DeliverReply(aWorld, aSide, aSide.m_reply);
        return true;
      default: // the reply or the call is lost
        if (!inFlight || aSide.m_paused) {
          return false;
        }
        PlatformReply lost;
        lost.m_outcome = aSide.m_call.m_kind == LeaseHolder::Call::Kind::Write
                           ? PlatformOutcome::Unknown
                           : PlatformOutcome::Unavailable;
        if (!aSide.m_callApplied) {
          aWorld.m_lateWrite = aSide.m_call;
        }
        DeliverReply(aWorld, aSide, lost);
        return true;
    }
  }

private:
  static PlatformReply Apply(Register& aRegister,
                             const LeaseHolder::Call& aCall)
  {
    PlatformReply reply;
    if (aCall.m_kind == LeaseHolder::Call::Kind::Read) {
      reply.m_outcome = aRegister.m_object.m_version == 0
                          ? PlatformOutcome::NotFound
                          : PlatformOutcome::Ok;
    } else if (aRegister.m_object.m_version !=
               aCall.m_write.m_expectedVersion) {
      reply.m_outcome = PlatformOutcome::Conflict;
    } else {
      reply.m_outcome = PlatformOutcome::Ok;
      aRegister.m_object = { kKey,
                             aRegister.m_object.m_version + 1,
                             aCall.m_write.m_value,
                             aCall.m_write.m_changeId,
                             false };
    }
    reply.m_object = aRegister.m_object;
    return reply;
  }

  static void DeliverReply(World& aWorld,
                           Side& aSide,
                           const PlatformReply& aReply)
  {
    const bool read = aSide.m_call.m_kind == LeaseHolder::Call::Kind::Read;
    aSide.m_call = {};
    aSide.m_callApplied = false;
    if (read) {
      aSide.m_holder.OnReadReply(aReply, aWorld.m_now);
    } else {
      aSide.m_holder.OnWriteReply(aReply, aWorld.m_now);
    }
  }

  static void CheckInvariant(const World& aWorld)
  {
    std::size_t holding = 0;
    for (const auto& side : aWorld.m_sides) {
      holding += side.m_holder.Token(aWorld.m_now) ? 1 : 0;
    }
    SISKINDEAL_INVARIANT(holding <= 1, "at most one process holds a lease");
  }
};

Interleavings::Side
Side(const std::string& aHolder)
{
  return { { kKey, aHolder, kDuration, 1 }, false, {}, false, {} };
}

TEST_F(Lease, HasAtMostOneHolderInEveryInterleaving)
{
  // The lease is free, so both sides compete at once.
  Interleavings::World world{ {}, {}, { Side("a/1"), Side("b/1") }, {} };
  world.m_register.m_object = {
    kKey, 1, ToJson({ "", 0, kDuration }), "", false
  };
  Interleavings interleavings;
  EXPECT_GT(interleavings.Explore(world, 9), 100000U);

  // One side holds the lease and the other has read that.
  for (const std::size_t side : { 0, 0, 1 }) {
    for (const int action : { 0, 1, 2 }) {
      ASSERT_TRUE(
        Interleavings::Perform(world, world.m_sides.at(side), action));
    }
  }
  ASSERT_TRUE(world.m_sides[0].m_holder.Token(world.m_now));
  EXPECT_GT(interleavings.Explore(world, 9), 100000U);
}

} // namespace
} // namespace siskindeal

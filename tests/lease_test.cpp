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

// Accepts orders as an agent does: never one with an older token.
struct Gate
{
  std::uint64_t m_highest = 0;
  std::uint64_t m_accepted = 0;

  void Order(std::uint64_t aToken)
  {
    SISKINDEAL_INVARIANT(aToken >= m_highest,
                         "an order under a lease held now is never too old");
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
  std::uint64_t m_starts = 0;
  bool m_up = true;
  MonotonicTime m_pausedUntil;
  std::deque<std::function<void()>> m_whilePaused;
};

class LeaseRun
{
public:
  LeaseRun(std::uint64_t aSeed, std::size_t aContenders)
    : m_platform(m_clock, aSeed)
    , m_random(aSeed + 1)
  {
    constexpr double kMostDrift = 0.08;
    for (std::size_t i = 0; i < aContenders; ++i) {
      Contender contender;
      contender.m_name = "entry-" + std::to_string(i);
      contender.m_rank = i;
      contender.m_rate = 1 + kMostDrift * (2 * m_random.Unit() - 1);
      m_contenders.push_back(std::move(contender));
    }
    for (auto& contender : m_contenders) {
      Start(contender);
    }
  }

  void Start(Contender& aContender)
  {
    ++aContender.m_starts;
    aContender.m_up = true;
    aContender.m_whilePaused.clear();
    aContender.m_pausedUntil = {};
    aContender.m_holder = std::make_unique<LeaseHolder>(
      kKey,
      aContender.m_name + "/" + std::to_string(aContender.m_starts),
      kDuration,
      m_random.Below(1000000));
  }

  MonotonicTime Local(const Contender& aContender) const
  {
    const auto passed = m_clock.Now() - MonotonicTime{};
    return MonotonicTime{ std::chrono::duration_cast<MonotonicTime::duration>(
      passed * aContender.m_rate) };
  }

  void Send(Contender& aContender, const LeaseHolder::Call& aCall)
  {
    const bool read = aCall.m_kind == LeaseHolder::Call::Kind::Read;
    auto answered = [this, &aContender, read, starts = aContender.m_starts](
                      const PlatformReply& aReply) {
      auto deliver = [this, &aContender, read, starts, aReply] {
        if (aContender.m_starts != starts || !aContender.m_up) {
          return;
        }
        if (read) {
          aContender.m_holder->OnRead(aReply, Local(aContender));
        } else {
          aContender.m_holder->OnWritten(aReply, Local(aContender));
        }
      };
      if (m_clock.Now() < aContender.m_pausedUntil) {
        aContender.m_whilePaused.push_back(deliver);
      } else {
        deliver();
      }
    };
    auto& platform = m_platform.Client(aContender.m_name);
    if (read) {
      platform.Get(PlatformUse::Lease, kKey, answered);
    } else {
      platform.Put(PlatformUse::Lease, aCall.m_write, answered);
    }
  }

  // One step of every contender, and the invariant between them.
  void Step(milliseconds aStep)
  {
    m_platform.Advance(aStep);
    std::size_t holding = 0;
    for (auto& contender : m_contenders) {
      ++m_steps;
      if (!contender.m_up || m_clock.Now() < contender.m_pausedUntil) {
        continue;
      }
      while (!contender.m_whilePaused.empty()) {
        const auto deliver = std::move(contender.m_whilePaused.front());
        contender.m_whilePaused.pop_front();
        deliver();
      }
      // An order is checked against the lease before anything else happens.
      if (const auto token = contender.m_holder->Token(Local(contender))) {
        ++holding;
        m_gate.Order(*token);
      }
      const auto call =
        contender.m_holder->Tick(Local(contender), contender.m_rank);
      if (call.m_kind != LeaseHolder::Call::Kind::None) {
        Send(contender, call);
      }
    }
    SISKINDEAL_INVARIANT(holding <= 1, "at most one process holds a lease");
    m_held = holding == 1;
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
  Gate m_gate;
  std::uint64_t m_steps = 0;
  bool m_held = false;
};

class Lease : public testing::Test
{
protected:
  void SetUp() override { SetAbortOnBrokenInvariant(true); }
};

TEST_F(Lease, IsTakenRenewedHandedOnAndTakenOver)
{
  LeaseRun run(1, 3);
  run.Run(2 * kDuration); // a missing object may have been held
  const auto first = run.m_gate.m_highest;
  EXPECT_TRUE(run.m_held);
  EXPECT_TRUE(
    run.m_contenders[0].m_holder->Token(run.Local(run.m_contenders[0])))
    << "the preferred one has it";
  run.Run(seconds{ 60 });
  EXPECT_EQ(run.m_gate.m_highest, first) << "renewals keep the token";

  run.m_contenders[0].m_holder->Release(); // graceful
  run.m_contenders[1].m_rank = 0;
  run.m_contenders[2].m_rank = 1;
  run.Run(seconds{ 3 });
  EXPECT_TRUE(run.m_contenders[0].m_holder->Released());
  EXPECT_TRUE(run.m_held) << "well before the lease would have run out";
  EXPECT_GT(run.m_gate.m_highest, first);

  run.m_contenders[1].m_up = false; // killed
  run.m_contenders[2].m_rank = 0;
  run.Run(kDuration / 2);
  EXPECT_FALSE(run.m_held) << "the dead holder's lease has not run out";
  run.Run(kDuration);
  EXPECT_TRUE(run.m_held);
}

TEST_F(Lease, LapsesWhileItsHolderIsPaused)
{
  LeaseRun run(2, 2);
  run.Run(2 * kDuration);
  auto& holder = run.m_contenders[0];
  ASSERT_TRUE(holder.m_holder->Token(run.Local(holder)));
  const auto before = run.m_gate.m_highest;
  holder.m_pausedUntil = run.m_clock.Now() + 3 * kDuration;
  run.Run(2 * kDuration);
  EXPECT_GT(run.m_gate.m_highest, before) << "the other took over";
  holder.m_pausedUntil = {};
  EXPECT_FALSE(holder.m_holder->Token(run.Local(holder)))
    << "it finds out by itself, before any call";
}

TEST_F(Lease, IsNotTakenOverEarlyByAFastClockFromASlowOne)
{
  LeaseRun run(3, 2);
  run.m_contenders[0].m_rate = 0.93;
  run.m_contenders[1].m_rate = 1.07;
  run.Run(2 * kDuration);
  auto& holder = run.m_contenders[0];
  ASSERT_TRUE(holder.m_holder->Token(run.Local(holder)));
  run.m_platform.SetCut(holder.m_name, Cut::Requests);
  holder.m_rank = 1;
  run.m_contenders[1].m_rank = 0;
  const auto before = run.m_gate.m_highest;
  run.Run(2 * kDuration); // the invariants of each step hold
  EXPECT_GT(run.m_gate.m_highest, before);
}

// Faults come together and twice: outages, slowness, lost requests and answers,
// cuts either way, pauses past the lease, kills, deletes by an operator and
// drifting clocks.
void
DisturbOnce(LeaseRun& aRun)
{
  auto& random = aRun.m_random;
  auto& faults = aRun.m_platform.Faults();
  auto& contender = aRun.m_contenders[random.Below(aRun.m_contenders.size())];
  switch (random.Below(12)) {
    case 0:
      faults.m_outage = !faults.m_outage;
      break;
    case 1:
      faults.m_mostLatency =
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
      aRun.m_platform.SetCut(contender.m_name,
                             static_cast<Cut>(random.Below(3)));
      break;
    case 6:
    case 7:
      contender.m_pausedUntil =
        aRun.m_clock.Now() + milliseconds{ random.Below(15000) };
      break;
    case 8:
      aRun.Start(contender); // killed and started anew
      break;
    case 9: {
      const auto stored = aRun.m_platform.Stored(kKey);
      if (stored.m_version != 0 && !stored.m_deleted && random.Chance(0.2)) {
        aRun.m_platform.Client("operator")
          .Delete(PlatformUse::Operator,
                  { kKey, "", stored.m_version, "operator" },
                  [](const PlatformReply&) {});
      }
      break;
    }
    case 10:
      std::swap(contender.m_rank, aRun.m_contenders[0].m_rank);
      break;
    default:
      faults = {};
  }
}

TEST_F(Lease, AtMostOneHoldsUnderFaults)
{
  constexpr std::uint64_t kSeeds = 20;
  constexpr std::uint64_t kStepsPerSeed = 60000;
  std::uint64_t steps = 0;
  std::uint64_t tokens = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LeaseRun run(seed, 3);
    while (run.m_steps < kStepsPerSeed) {
      run.Step(milliseconds{ 1 + run.m_random.Below(200) });
      if (run.m_random.Chance(0.02)) {
        DisturbOnce(run);
      }
    }
    tokens += run.m_gate.m_highest;
    steps += run.m_steps;
    // All faults over, someone holds it again.
    run.m_platform.Faults() = {};
    for (auto& contender : run.m_contenders) {
      run.m_platform.SetCut(contender.m_name, Cut::None);
      contender.m_pausedUntil = {};
    }
    run.Run(seconds{ 45 });
    EXPECT_TRUE(run.m_held) << "seed " << seed;
  }
  EXPECT_GE(steps, kSeeds * kStepsPerSeed);
  EXPECT_GT(tokens, kSeeds * 20) << "the lease has changed hands";
}

// All interleavings of the steps of two holders, one of which may be paused,
// with answers late or lost. The platform is a bare conditional register.
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
    bool m_arrived = false; // the call took effect; its answer is on the way
    PlatformReply m_reply;
  };
  struct World
  {
    MonotonicTime m_now;
    Register m_register;
    std::array<Side, 2> m_sides;
    LeaseHolder::Call m_late; // a write given up for lost, still on its way
  };

  std::uint64_t Explore(const World& aWorld, int aDepth)
  {
    Check(aWorld);
    if (aDepth == 0) {
      return 1;
    }
    std::uint64_t runs = 0;
    for (std::size_t side = 0; side < aWorld.m_sides.size(); ++side) {
      for (int action = 0; action < 4; ++action) {
        auto next = aWorld;
        if (Act(next, next.m_sides.at(side), action)) {
          runs += Explore(next, aDepth - 1);
        }
      }
    }
    auto later = aWorld;
    later.m_now += kDuration * 6 / 10;
    runs += Explore(later, aDepth - 1);
    if (aWorld.m_late.m_kind != LeaseHolder::Call::Kind::None) {
      auto arrived = aWorld;
      Apply(arrived.m_register, arrived.m_late);
      arrived.m_late = {};
      runs += Explore(arrived, aDepth - 1);
    }
    auto paused = aWorld;
    paused.m_sides[0].m_paused = !paused.m_sides[0].m_paused;
    return runs + Explore(paused, aDepth - 1);
  }

  // Each is one thing that may happen next to one side; false if it can't.
  static bool Act(World& aWorld, Side& aSide, int aAction)
  {
    const bool out = aSide.m_call.m_kind != LeaseHolder::Call::Kind::None;
    switch (aAction) {
      case 0: // it makes a call
        if (out || aSide.m_paused) {
          return false;
        }
        aSide.m_call = aSide.m_holder.Tick(aWorld.m_now, 0);
        return aSide.m_call.m_kind != LeaseHolder::Call::Kind::None;
      case 1: // its call arrives
        if (!out || aSide.m_arrived) {
          return false;
        }
        aSide.m_reply = Apply(aWorld.m_register, aSide.m_call);
        aSide.m_arrived = true;
        return true;
      case 2: // it gets the answer
        if (!aSide.m_arrived || aSide.m_paused) {
          return false;
        }
        Answer(aWorld, aSide, aSide.m_reply);
        return true;
      default: // the answer, or the call, is lost
        if (!out || aSide.m_paused) {
          return false;
        }
        PlatformReply lost;
        lost.m_outcome = aSide.m_call.m_kind == LeaseHolder::Call::Kind::Write
                           ? PlatformOutcome::Unknown
                           : PlatformOutcome::Unavailable;
        if (!aSide.m_arrived) {
          aWorld.m_late = aSide.m_call;
        }
        Answer(aWorld, aSide, lost);
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

  static void Answer(World& aWorld, Side& aSide, const PlatformReply& aReply)
  {
    const bool read = aSide.m_call.m_kind == LeaseHolder::Call::Kind::Read;
    aSide.m_call = {};
    aSide.m_arrived = false;
    if (read) {
      aSide.m_holder.OnRead(aReply, aWorld.m_now);
    } else {
      aSide.m_holder.OnWritten(aReply, aWorld.m_now);
    }
  }

  static void Check(const World& aWorld)
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

TEST_F(Lease, EveryInterleavingOfTwoHolders)
{
  // The lease has been given up, so that both compete at once.
  Interleavings::World world{ {}, {}, { Side("a/1"), Side("b/1") }, {} };
  world.m_register.m_object = {
    kKey, 1, ToJson({ "", 0, kDuration }), "", false
  };
  Interleavings all;
  EXPECT_GT(all.Explore(world, 9), 100000U);

  // One has taken it and the other has seen that.
  for (const std::size_t side : { 0, 0, 1 }) {
    for (const int action : { 0, 1, 2 }) {
      ASSERT_TRUE(Interleavings::Act(world, world.m_sides.at(side), action));
    }
  }
  ASSERT_TRUE(world.m_sides[0].m_holder.Token(world.m_now));
  EXPECT_GT(all.Explore(world, 9), 100000U);
}

} // namespace
} // namespace siskindeal

// Stagers that fetch pieces and take turns, over a given clock: each decides
// alone, from what it hears of the others late and with losses.

#include "stager/fetch_plan_p.h"
#include "stager/load_turn_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kPieces = 64;
constexpr milliseconds kStep{ 5 };
constexpr MonotonicTime kStart{ std::chrono::hours(1) };
const char* const kRegions[] = { "kingston", "montego", "ocho-rios" };

struct Transfer
{
  std::size_t m_to = 0;
  PieceFetch m_fetch;
  MonotonicTime m_endsAt{};
};

struct World
{
  explicit World(std::uint64_t aSeed, std::size_t aStagers)
    : m_random(aSeed)
  {
    for (std::size_t i = 0; i < aStagers; ++i) {
      m_plans.push_back(std::make_unique<FetchPlan>(
        Vm(i), Region(i), kRegions[0], "m 2", kPieces, kStart));
      m_told.push_back(PieceSet(kPieces, false));
      m_alive.push_back(true);
    }
  }

  static std::string Vm(std::size_t aIndex)
  {
    return "side-" + std::to_string(aIndex);
  }
  static std::string Region(std::size_t aIndex) { return kRegions[aIndex % 3]; }

  std::vector<StagerPeer> PeersOf(std::size_t aIndex) const
  {
    std::vector<StagerPeer> peers;
    for (std::size_t i = 0; i < m_plans.size(); ++i) {
      if (i != aIndex) {
        const MonotonicTime heard = m_alive[i] ? m_now : kStart;
        peers.push_back({ Vm(i), {}, Region(i), m_told[i], heard });
      }
    }
    return peers;
  }

  bool Fails(std::size_t aTo, const PieceFetch& aFetch)
  {
    if (m_random.Chance(m_failShare)) {
      return true;
    }
    if (aFetch.m_from.empty()) {
      return aTo == m_cutFromOrigin || m_now < m_originBackAt;
    }
    const auto from = std::stoul(aFetch.m_from.substr(5));
    return !m_alive[from] || !m_plans[from]->Held()[aFetch.m_piece];
  }

  void EndTransfers()
  {
    for (std::size_t i = 0; i < m_transfers.size();) {
      const Transfer transfer = m_transfers[i];
      if (transfer.m_endsAt > m_now) {
        ++i;
        continue;
      }
      m_transfers.erase(m_transfers.begin() + static_cast<std::ptrdiff_t>(i));
      const bool good = !Fails(transfer.m_to, transfer.m_fetch);
      m_plans[transfer.m_to]->Ended(transfer.m_fetch, good, m_now);
      if (!good) {
        continue;
      }
      if (transfer.m_fetch.m_from.empty()) {
        ++m_fromOrigin;
      } else if (Region(std::stoul(transfer.m_fetch.m_from.substr(5))) !=
                 Region(transfer.m_to)) {
        ++m_acrossRegions;
      }
    }
  }

  void Step()
  {
    m_now += kStep;
    EndTransfers();
    for (std::size_t i = 0; i < m_plans.size(); ++i) {
      if (m_alive[i] && m_random.Chance(0.05)) { // tells each 100 ms or so
        m_told[i] = m_plans[i]->Held();
      }
      if (!m_alive[i]) {
        continue;
      }
      while (const auto fetch = m_plans[i]->Next(PeersOf(i), m_now, m_random)) {
        const milliseconds takes(fetch->m_from.empty() ? 27 : 40);
        m_transfers.push_back({ i, *fetch, m_now + takes });
      }
    }
  }

  bool Complete() const
  {
    for (std::size_t i = 0; i < m_plans.size(); ++i) {
      if (m_alive[i] && !m_plans[i]->Complete()) {
        return false;
      }
    }
    return true;
  }

  milliseconds RunUntilComplete(milliseconds aMost)
  {
    while (!Complete() && m_now - kStart < aMost) {
      Step();
    }
    return std::chrono::duration_cast<milliseconds>(m_now - kStart);
  }

  Random m_random;
  MonotonicTime m_now = kStart;
  std::vector<std::unique_ptr<FetchPlan>> m_plans;
  std::vector<PieceSet> m_told;
  std::vector<bool> m_alive;
  std::vector<Transfer> m_transfers;
  double m_failShare = 0;
  MonotonicTime m_originBackAt = kStart;
  std::size_t m_cutFromOrigin = ~std::size_t{ 0 }; // index of a stager
  std::size_t m_fromOrigin = 0;
  std::size_t m_acrossRegions = 0;
};

TEST(FetchPlan, DrawsOneCopyFromTheOriginAndOneIntoEachFurtherRegion)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed, 12);
    world.RunUntilComplete(milliseconds(2600));
    EXPECT_EQ(world.m_fromOrigin, kPieces);
    EXPECT_LE(world.m_acrossRegions, 2 * kPieces);
    world.RunUntilComplete(milliseconds(8000));
    EXPECT_TRUE(world.Complete());
  }
}

TEST(FetchPlan, EndsWhenStagersDieAndTransfersFail)
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed, 12);
    world.m_failShare = 0.1;
    world.m_originBackAt = kStart + milliseconds(world.m_random.Below(3000));
    while (world.m_now - kStart < milliseconds(1000)) {
      world.Step();
    }
    for (std::size_t i = 0; i < 4; ++i) {
      world.m_alive[world.m_random.Below(12)] = false;
    }
    world.RunUntilComplete(milliseconds(20000));
    EXPECT_TRUE(world.Complete());
    // Pieces that only dead stagers had are drawn again.
    EXPECT_LE(world.m_fromOrigin, 3 * kPieces);
  }
}

// It is heard all the while, so that its peers can't take it for dead.
TEST(FetchPlan, ThePiecesOfAStagerThatCantReachTheOriginAreTakenOver)
{
  World world(5, 12);
  world.m_cutFromOrigin = 0; // one of four in the origin's region
  world.RunUntilComplete(milliseconds(8000));
  EXPECT_TRUE(world.Complete());
}

// The only copy of a piece turned bad before anyone took it.
TEST(FetchPlan, APieceThatWasLostIsFetchedAgain)
{
  World world(4, 6);
  world.RunUntilComplete(milliseconds(20000));
  for (auto& plan : world.m_plans) {
    plan->Lost(7);
  }
  EXPECT_FALSE(world.Complete());
  world.RunUntilComplete(milliseconds(20000));
  EXPECT_TRUE(world.Complete());
}

TEST(FetchPlan, AStagerAloneFetchesAllFromTheOriginInTheEnd)
{
  World world(3, 2);
  world.m_alive[0] = false; // the one in the origin's region
  world.RunUntilComplete(milliseconds(20000));
  EXPECT_TRUE(world.Complete());
}

TurnInputs
Inputs(std::size_t aPeers, milliseconds aTimeLeft)
{
  TurnInputs inputs;
  inputs.m_vm = "me";
  inputs.m_versionKey = "m 2";
  inputs.m_timeLeft = aTimeLeft;
  for (std::size_t i = 0; i < aPeers; ++i) {
    inputs.m_peers.push_back({ "peer-" + std::to_string(i) });
  }
  return inputs;
}

TEST(LoadTurn, ARunnerWithoutWeightsLoadsAtOnce)
{
  TurnInputs inputs = Inputs(11, milliseconds(4000));
  for (TurnPeer& peer : inputs.m_peers) {
    peer.m_loading = true;
  }
  EXPECT_FALSE(DecideTurn(inputs).m_now);
  inputs.m_empty = true;
  EXPECT_TRUE(DecideTurn(inputs).m_now);
}

TEST(LoadTurn, AtMostHalfAreOutWhileTimeIsLeftAndAllAreDoneInTime)
{
  for (const std::size_t runners : { 1U, 3U, 12U, 20U, 27U, 300U }) {
    for (const int timeLeft : { 2500, 4000, 6000 }) {
      SCOPED_TRACE(std::to_string(runners) + " in " + std::to_string(timeLeft));
      std::vector<int> doneAt(runners, -1); // -1: waits
      std::size_t mostOut = 0;
      int now = 0;
      for (; now < timeLeft; now += 10) {
        for (std::size_t i = 0; i < runners; ++i) {
          if (doneAt[i] >= 0) {
            continue;
          }
          TurnInputs inputs = Inputs(0, milliseconds(timeLeft - now));
          inputs.m_vm = "vm-" + std::to_string(i);
          for (std::size_t j = 0; j < runners; ++j) {
            if (j != i) {
              inputs.m_peers.push_back({ "vm-" + std::to_string(j),
                                         doneAt[j] >= 0 && doneAt[j] <= now,
                                         doneAt[j]<0, doneAt[j]> now });
            }
          }
          const Turn turn = DecideTurn(inputs);
          if (turn.m_now) {
            doneAt[i] = now + static_cast<int>(turn.m_drain.count()) + 400;
          }
        }
        mostOut = std::max<std::size_t>(
          mostOut,
          static_cast<std::size_t>(std::count_if(
            doneAt.begin(), doneAt.end(), [&](int aAt) { return aAt > now; })));
      }
      EXPECT_LE(mostOut, std::max<std::size_t>(1, runners / 2));
      for (const int at : doneAt) {
        EXPECT_GE(at, 0);
        EXPECT_LE(at, timeLeft);
      }
    }
  }
}

} // namespace

} // namespace siskindeal

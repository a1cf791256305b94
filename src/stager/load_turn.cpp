#include "stager/load_turn_p.h"

#include "siskindeal/digest.h"

#include <algorithm>
#include <array>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// From the order until the runner serves again and others have heard so.
constexpr milliseconds kOutToLoad{ 450 };
constexpr milliseconds kShortestDrain{ 100 };
constexpr milliseconds kLongestDrain{ 600 };
// One in so many runners is out at once: the first that fits the time left.
constexpr std::array<std::size_t, 4> kSharesOut = { 6, 4, 3, 2 };

// How many are out at once, and how long each drains.
struct Rounds
{
  std::size_t m_most = 1;
  milliseconds m_drain{ 0 };
};

Rounds
PlanRounds(std::size_t aRunners, std::size_t aWaiting, milliseconds aTimeLeft)
{
  Rounds rounds{ std::max<std::size_t>(1, aRunners), kShortestDrain };
  for (const std::size_t share : kSharesOut) {
    const std::size_t most = std::max<std::size_t>(1, aRunners / share);
    const auto count = static_cast<std::int64_t>((aWaiting + most - 1) / most);
    const milliseconds each = aTimeLeft / std::max<std::int64_t>(1, count);
    if (each >= kOutToLoad + kShortestDrain) {
      return { most, std::min(kLongestDrain, each - kOutToLoad) };
    }
  }
  return rounds;
}

std::uint64_t
Order(const std::string& aVm, const std::string& aKey)
{
  return StableHash(aKey + " turn " + aVm);
}

} // namespace

Turn
DecideTurn(const TurnInputs& aInputs)
{
  if (aInputs.m_empty) {
    return { true, milliseconds(0) };
  }
  const auto begun = std::count_if(
    aInputs.m_peers.begin(), aInputs.m_peers.end(), [](const auto& aPeer) {
      return aPeer.m_loaded || aPeer.m_loading;
    });
  const std::size_t runners = aInputs.m_peers.size() + 1;
  const Rounds rounds = PlanRounds(
    runners, runners - static_cast<std::size_t>(begun), aInputs.m_timeLeft);
  const std::uint64_t own = Order(aInputs.m_vm, aInputs.m_versionKey);
  const auto before = std::count_if(
    aInputs.m_peers.begin(), aInputs.m_peers.end(), [&](const auto& aPeer) {
      return aPeer.m_loading ||
             (aPeer.m_staged && Order(aPeer.m_vm, aInputs.m_versionKey) < own);
    });
  return { static_cast<std::size_t>(before) < rounds.m_most, rounds.m_drain };
}

} // namespace siskindeal

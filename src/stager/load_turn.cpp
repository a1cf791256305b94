#include "stager/load_turn_p.h"

#include "siskindeal/digest.h"

#include <algorithm>
#include <array>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// From the load order until the runner serves again and peers know it.
constexpr milliseconds kLoadDowntime{ 450 };
constexpr milliseconds kMinDrain{ 100 };
constexpr milliseconds kMaxDrain{ 600 };
// One in this many runners may be unavailable at once. The first divisor whose
// rounds fit the time left is used.
constexpr std::array<std::size_t, 4> kUnavailableDivisors = { 6, 4, 3, 2 };

// Number of runners unavailable at once, and the drain time of each.
struct Rounds
{
  std::size_t m_maxUnavailable = 1;
  milliseconds m_drain{ 0 };
};

Rounds
PlanRounds(std::size_t aRunners, std::size_t aPending, milliseconds aTimeLeft)
{
  Rounds rounds{ std::max<std::size_t>(1, aRunners), kMinDrain };
  for (const std::size_t divisor : kUnavailableDivisors) {
    const std::size_t maxUnavailable =
      std::max<std::size_t>(1, aRunners / divisor);
    const auto roundCount = static_cast<std::int64_t>(
      (aPending + maxUnavailable - 1) / maxUnavailable);
    const milliseconds timePerRound =
      aTimeLeft / std::max<std::int64_t>(1, roundCount);
    if (timePerRound >= kLoadDowntime + kMinDrain) {
      return { maxUnavailable,
               std::min(kMaxDrain, timePerRound - kLoadDowntime) };
    }
  }
  return rounds;
}

std::uint64_t
OrderHash(const std::string& aVm, const std::string& aKey)
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
  const auto started = std::count_if(
    aInputs.m_peers.begin(), aInputs.m_peers.end(), [](const auto& aPeer) {
      return aPeer.m_loaded || aPeer.m_loading;
    });
  const std::size_t runners = aInputs.m_peers.size() + 1;
  const Rounds rounds = PlanRounds(
    runners, runners - static_cast<std::size_t>(started), aInputs.m_timeLeft);
  const std::uint64_t own = OrderHash(aInputs.m_vm, aInputs.m_versionKey);
  const auto ahead = std::count_if(
    aInputs.m_peers.begin(), aInputs.m_peers.end(), [&](const auto& aPeer) {
      return aPeer.m_loading ||
             (aPeer.m_staged &&
              OrderHash(aPeer.m_vm, aInputs.m_versionKey) < own);
    });
  return { static_cast<std::size_t>(ahead) < rounds.m_maxUnavailable,
           rounds.m_drain };
}

} // namespace siskindeal

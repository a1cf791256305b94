#include "stager/load_turn_p.h"

#include "siskindeal/digest.h"

#include <algorithm>

namespace siskindeal {

namespace {

// Requests run up to some seconds, and end before the weights are taken.
constexpr std::chrono::milliseconds kLastStart{ 3000 };
// One in so many runners is out at once.
constexpr std::size_t kShareOut = 4;
constexpr std::size_t kShareOutInHaste = 2;

std::uint64_t
Order(const std::string& aVm, const std::string& aKey)
{
  return StableHash(aKey + " turn " + aVm);
}

} // namespace

bool
MayLoadNow(const TurnInputs& aInputs)
{
  if (aInputs.m_empty ||
      aInputs.m_sinceNamed >= aInputs.m_within - kLastStart) {
    return true;
  }
  const std::size_t runners = aInputs.m_peers.size() + 1;
  const std::size_t share = aInputs.m_newerWaits ? kShareOutInHaste : kShareOut;
  const std::size_t most = std::max<std::size_t>(1, runners / share);
  const std::uint64_t own = Order(aInputs.m_vm, aInputs.m_versionKey);
  const auto before = std::count_if(
    aInputs.m_peers.begin(), aInputs.m_peers.end(), [&](const auto& aPeer) {
      return aPeer.m_loading ||
             (aPeer.m_staged && Order(aPeer.m_vm, aInputs.m_versionKey) < own);
    });
  return static_cast<std::size_t>(before) < most;
}

} // namespace siskindeal

#include "stager/fetch_plan_p.h"

#include "siskindeal/digest.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMostRunning = 3;
constexpr std::size_t kMostFromOne = 1;
// From the origin or another region: the links there carry live answers too.
constexpr std::size_t kMostIntoRegion = 1;
// A copy takes 2.2 s over a stager's link. The next in order takes over a piece
// that nobody in the region has by then, and each later one after a while more.
constexpr milliseconds kTakeOverAfter{ 2600 };
constexpr std::size_t kMostBringers = 2; // told of a piece at once
constexpr milliseconds kTakeOverStep{ 500 };
constexpr milliseconds kSilence{ 1500 }; // of a peer that may be gone
constexpr milliseconds kBlockTime{ 700 };

std::uint64_t
Weight(std::size_t aPiece, const std::string& aKey, const std::string& aVm)
{
  return StableHash(aKey + " " + std::to_string(aPiece) + " " + aVm);
}

bool
Holds(const StagerPeer& aPeer, std::size_t aPiece)
{
  return aPiece < aPeer.m_held.size() && aPeer.m_held[aPiece];
}

} // namespace

FetchPlan::FetchPlan(std::string aVm,
                     std::string aRegion,
                     std::string aOriginRegion,
                     std::string aVersionKey,
                     std::size_t aPieces,
                     MonotonicTime aBegan)
  : m_vm(std::move(aVm))
  , m_region(std::move(aRegion))
  , m_originRegion(std::move(aOriginRegion))
  , m_versionKey(std::move(aVersionKey))
  , m_held(aPieces, false)
  , m_began(aBegan)
{
}

void
FetchPlan::Have(std::size_t aPiece)
{
  m_held[aPiece] = true;
}

void
FetchPlan::Lost(std::size_t aPiece)
{
  m_held[aPiece] = false;
}

bool
FetchPlan::Complete() const
{
  return std::all_of(
    m_held.begin(), m_held.end(), [](bool aHeld) { return aHeld; });
}

bool
FetchPlan::Wanted(std::size_t aPiece) const
{
  return !m_held[aPiece] && m_running.count(aPiece) == 0;
}

bool
FetchPlan::Blocked(const std::string& aVm, MonotonicTime aNow) const
{
  const auto found = m_blockedUntil.find(aVm);
  return found != m_blockedUntil.end() && aNow < found->second;
}

std::size_t
FetchPlan::RunningFrom(const std::string& aVm) const
{
  return static_cast<std::size_t>(
    std::count_if(m_running.begin(), m_running.end(), [&](const auto& aEntry) {
      return aEntry.second == aVm;
    }));
}

std::size_t
FetchPlan::RunningIntoRegion(
  const std::vector<const StagerPeer*>& aRegion) const
{
  return static_cast<std::size_t>(
    std::count_if(m_running.begin(), m_running.end(), [&](const auto& aEntry) {
      return std::none_of(
        aRegion.begin(), aRegion.end(), [&](const auto* aPeer) {
          return aPeer->m_vm == aEntry.second;
        });
    }));
}

std::size_t
FetchPlan::RankFor(std::size_t aPiece,
                   const std::vector<const StagerPeer*>& aRegion) const
{
  const std::uint64_t own = Weight(aPiece, m_versionKey, m_vm);
  return static_cast<std::size_t>(
    std::count_if(aRegion.begin(), aRegion.end(), [&](const auto* aPeer) {
      return Weight(aPiece, m_versionKey, aPeer->m_vm) > own;
    }));
}

std::optional<PieceFetch>
FetchPlan::FromRegion(const std::vector<const StagerPeer*>& aRegion,
                      MonotonicTime aNow,
                      Random& aRandom) const
{
  std::optional<PieceFetch> best;
  std::size_t fewest = 0;
  std::size_t ties = 0;
  for (std::size_t piece = 0; piece < m_held.size(); ++piece) {
    if (!Wanted(piece)) {
      continue;
    }
    std::vector<const StagerPeer*> holders;
    for (const StagerPeer* peer : aRegion) {
      if (Holds(*peer, piece) && !Blocked(peer->m_vm, aNow) &&
          RunningFrom(peer->m_vm) < kMostFromOne) {
        holders.push_back(peer);
      }
    }
    if (holders.empty() || (best && holders.size() > fewest)) {
      continue;
    }
    ties = best && holders.size() == fewest ? ties + 1 : 1;
    if (ties > 1 && aRandom.Below(ties) != 0) {
      continue;
    }
    fewest = holders.size();
    best = PieceFetch{ piece, holders[aRandom.Below(holders.size())]->m_vm };
  }
  return best;
}

std::optional<PieceFetch>
FetchPlan::IntoRegion(const std::vector<StagerPeer>& aPeers,
                      const std::vector<const StagerPeer*>& aRegion,
                      MonotonicTime aNow,
                      Random& aRandom) const
{
  const auto age = aNow - m_began;
  const auto lateSteps =
    age < kTakeOverAfter
      ? std::size_t{ 0 }
      : 1 + static_cast<std::size_t>((age - kTakeOverAfter) / kTakeOverStep);
  const bool nearOrigin = m_region == m_originRegion || m_originRegion.empty();
  std::vector<PieceFetch> fetches;
  for (std::size_t piece = 0; piece < m_held.size(); ++piece) {
    if (!Wanted(piece) || RankFor(piece, aRegion) > lateSteps) {
      continue;
    }
    const StagerPeer* holder = nullptr;
    bool inRegion = false;
    for (const StagerPeer& peer : aPeers) {
      if (!Holds(peer, piece) || aNow - peer.m_heardAt > kSilence) {
        continue;
      }
      inRegion = inRegion || peer.m_region == m_region;
      if (!Blocked(peer.m_vm, aNow) && RunningFrom(peer.m_vm) < kMostFromOne &&
          (holder == nullptr || aRandom.Chance(0.5))) {
        holder = &peer;
      }
    }
    if (inRegion && lateSteps == 0) {
      continue; // it comes from there
    }
    if (holder != nullptr) {
      fetches.push_back({ piece, holder->m_vm });
    } else if ((nearOrigin || lateSteps > 0) && !Blocked({}, aNow) &&
               RunningFrom({}) < kMostFromOne) {
      fetches.push_back({ piece, {} });
    }
  }
  if (fetches.empty()) {
    return std::nullopt;
  }
  return fetches[aRandom.Below(fetches.size())];
}

std::optional<PieceFetch>
FetchPlan::Next(const std::vector<StagerPeer>& aPeers,
                MonotonicTime aNow,
                Random& aRandom)
{
  if (m_running.size() >= kMostRunning) {
    return std::nullopt;
  }
  std::vector<const StagerPeer*> region;
  for (const StagerPeer& peer : aPeers) {
    if (peer.m_region == m_region && aNow - peer.m_heardAt <= kSilence) {
      region.push_back(&peer);
    }
  }
  // What no one in the region has goes first: others wait for it.
  std::optional<PieceFetch> fetch;
  if (RunningIntoRegion(region) < kMostIntoRegion) {
    fetch = IntoRegion(aPeers, region, aNow, aRandom);
  }
  if (!fetch) {
    fetch = FromRegion(region, aNow, aRandom);
  }
  if (fetch) {
    m_running[fetch->m_piece] = fetch->m_from;
  }
  return fetch;
}

std::vector<std::string>
FetchPlan::Bringers(std::size_t aPiece, std::vector<std::string> aVms) const
{
  std::sort(aVms.begin(), aVms.end(), [&](const auto& aOne, const auto& aTwo) {
    return Weight(aPiece, m_versionKey, aOne) >
           Weight(aPiece, m_versionKey, aTwo);
  });
  aVms.resize(std::min(aVms.size(), kMostBringers));
  return aVms;
}

void
FetchPlan::Ended(const PieceFetch& aFetch, bool aGood, MonotonicTime aNow)
{
  m_running.erase(aFetch.m_piece);
  if (aGood) {
    Have(aFetch.m_piece);
  } else {
    m_blockedUntil[aFetch.m_from] = aNow + kBlockTime;
  }
}

} // namespace siskindeal

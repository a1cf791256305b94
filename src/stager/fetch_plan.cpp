#include "stager/fetch_plan_p.h"

#include "siskindeal/digest.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxInFlight = 3;
constexpr std::size_t kMaxInFlightPerSource = 1;
// From the origin or another region, whose links also carry live responses.
constexpr std::size_t kMaxInFlightIntoRegion = 1;
// If no new piece reaches the region for kStallGaps times the longest such gap
// so far, within these limits, the stager of rank 1 may fetch a missing piece
// too, then one more rank with each kTakeoverStep. A copy takes 2.2 s over a
// stager's link.
constexpr int kStallGaps = 2;
constexpr milliseconds kMinTakeoverDelay{ 600 };
constexpr milliseconds kMaxTakeoverDelay{ 2600 };
constexpr std::size_t kMaxImporters = 2; // notified of an imported piece
constexpr milliseconds kTakeoverStep{ 500 };
constexpr milliseconds kPeerTimeout{ 1500 };
constexpr milliseconds kSourceBackoff{ 700 };
constexpr double kReplaceHolderChance = 0.5;

std::uint64_t
RendezvousWeight(std::size_t aPiece,
                 const std::string& aKey,
                 const std::string& aVm)
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
                     std::size_t aPieceCount,
                     MonotonicTime aStartedAt)
  : m_vm(std::move(aVm))
  , m_region(std::move(aRegion))
  , m_originRegion(std::move(aOriginRegion))
  , m_versionKey(std::move(aVersionKey))
  , m_held(aPieceCount, false)
  , m_seen(aPieceCount, false)
  , m_progressAt(aStartedAt)
{
}

void
FetchPlan::MarkHeld(std::size_t aPiece)
{
  m_held[aPiece] = true;
}

void
FetchPlan::MarkMissing(std::size_t aPiece)
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
FetchPlan::NeedsFetch(std::size_t aPiece) const
{
  return !m_held[aPiece] && m_inFlight.count(aPiece) == 0;
}

bool
FetchPlan::IsBackedOff(const std::string& aVm, MonotonicTime aNow) const
{
  const auto found = m_backoffUntil.find(aVm);
  return found != m_backoffUntil.end() && aNow < found->second;
}

std::size_t
FetchPlan::InFlightFrom(const std::string& aVm) const
{
  return static_cast<std::size_t>(std::count_if(
    m_inFlight.begin(), m_inFlight.end(), [&](const auto& aEntry) {
      return aEntry.second == aVm;
    }));
}

std::size_t
FetchPlan::InFlightIntoRegion(
  const std::vector<const StagerPeer*>& aRegion) const
{
  return static_cast<std::size_t>(std::count_if(
    m_inFlight.begin(), m_inFlight.end(), [&](const auto& aEntry) {
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
  const std::uint64_t own = RendezvousWeight(aPiece, m_versionKey, m_vm);
  return static_cast<std::size_t>(
    std::count_if(aRegion.begin(), aRegion.end(), [&](const auto* aPeer) {
      return RendezvousWeight(aPiece, m_versionKey, aPeer->m_vm) > own;
    }));
}

std::optional<PieceFetch>
FetchPlan::PickFromRegion(const std::vector<const StagerPeer*>& aRegion,
                          MonotonicTime aNow,
                          Random& aRandom) const
{
  std::optional<PieceFetch> best;
  std::size_t fewest = 0;
  std::size_t ties = 0;
  for (std::size_t piece = 0; piece < m_held.size(); ++piece) {
    if (!NeedsFetch(piece)) {
      continue;
    }
    std::vector<const StagerPeer*> holders;
    for (const StagerPeer* peer : aRegion) {
      if (Holds(*peer, piece) && !IsBackedOff(peer->m_vm, aNow) &&
          InFlightFrom(peer->m_vm) < kMaxInFlightPerSource) {
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
FetchPlan::PickIntoRegion(const std::vector<StagerPeer>& aPeers,
                          const std::vector<const StagerPeer*>& aRegion,
                          MonotonicTime aNow,
                          Random& aRandom) const
{
  const bool inOriginRegion =
    m_region == m_originRegion || m_originRegion.empty();
  std::vector<PieceFetch> fetches;
  for (std::size_t piece = 0; piece < m_held.size(); ++piece) {
    if (!NeedsFetch(piece) || RankFor(piece, aRegion) > m_takeoverSteps) {
      continue;
    }
    const StagerPeer* holder = nullptr;
    bool heldInRegion = false;
    for (const StagerPeer& peer : aPeers) {
      if (!Holds(peer, piece) || aNow - peer.m_lastSeen > kPeerTimeout) {
        continue;
      }
      heldInRegion = heldInRegion || peer.m_region == m_region;
      if (!IsBackedOff(peer.m_vm, aNow) &&
          InFlightFrom(peer.m_vm) < kMaxInFlightPerSource &&
          (holder == nullptr || aRandom.Chance(kReplaceHolderChance))) {
        holder = &peer;
      }
    }
    if (heldInRegion && m_takeoverSteps == 0) {
      continue; // fetched from the region instead
    }
    if (holder != nullptr) {
      fetches.push_back({ piece, holder->m_vm });
    } else if ((inOriginRegion || m_takeoverSteps > 0) &&
               !IsBackedOff({}, aNow) &&
               InFlightFrom({}) < kMaxInFlightPerSource) {
      fetches.push_back({ piece, {} });
    }
  }
  if (fetches.empty()) {
    return std::nullopt;
  }
  return fetches[aRandom.Below(fetches.size())];
}

void
FetchPlan::RecordProgress(const std::vector<const StagerPeer*>& aRegion,
                          MonotonicTime aNow)
{
  bool isNew = false;
  bool isLacking = false; // some piece is held by nobody in the region
  for (std::size_t piece = 0; piece < m_seen.size(); ++piece) {
    const bool held =
      m_held[piece] ||
      std::any_of(aRegion.begin(), aRegion.end(), [&](const auto* aPeer) {
        return Holds(*aPeer, piece);
      });
    isNew = isNew || (held && !m_seen[piece]);
    isLacking = isLacking || !held;
    m_seen[piece] = m_seen[piece] || held;
  }
  const auto stalled = aNow - m_progressAt;
  if (isNew) {
    m_longestGap = std::max(m_longestGap.value_or(stalled), stalled);
  }
  if (isNew || !isLacking) {
    m_progressAt = aNow;
    return;
  }
  const MonotonicTime::duration delay =
    m_longestGap
      ? std::clamp<MonotonicTime::duration>(
          *m_longestGap * kStallGaps, kMinTakeoverDelay, kMaxTakeoverDelay)
      : kMaxTakeoverDelay;
  if (stalled >= delay) {
    const auto steps =
      1 + static_cast<std::size_t>((stalled - delay) / kTakeoverStep);
    m_takeoverSteps = std::max(m_takeoverSteps, steps);
  }
}

std::optional<PieceFetch>
FetchPlan::StartNext(const std::vector<StagerPeer>& aPeers,
                     MonotonicTime aNow,
                     Random& aRandom)
{
  std::vector<const StagerPeer*> region;
  for (const StagerPeer& peer : aPeers) {
    if (peer.m_region == m_region && aNow - peer.m_lastSeen <= kPeerTimeout) {
      region.push_back(&peer);
    }
  }
  RecordProgress(region, aNow);
  if (m_inFlight.size() >= kMaxInFlight) {
    return std::nullopt;
  }
  // Pieces missing from the region go first, since its other stagers need them.
  std::optional<PieceFetch> fetch;
  if (InFlightIntoRegion(region) < kMaxInFlightIntoRegion) {
    fetch = PickIntoRegion(aPeers, region, aNow, aRandom);
  }
  if (!fetch) {
    fetch = PickFromRegion(region, aNow, aRandom);
  }
  if (fetch) {
    m_inFlight[fetch->m_piece] = fetch->m_from;
  }
  return fetch;
}

std::vector<std::string>
FetchPlan::RegionImporters(std::size_t aPiece,
                           std::vector<std::string> aVms) const
{
  std::sort(aVms.begin(), aVms.end(), [&](const auto& aOne, const auto& aTwo) {
    return RendezvousWeight(aPiece, m_versionKey, aOne) >
           RendezvousWeight(aPiece, m_versionKey, aTwo);
  });
  aVms.resize(std::min(aVms.size(), kMaxImporters));
  return aVms;
}

void
FetchPlan::Finish(const PieceFetch& aFetch, bool aSucceeded, MonotonicTime aNow)
{
  m_inFlight.erase(aFetch.m_piece);
  if (aSucceeded) {
    MarkHeld(aFetch.m_piece);
  } else {
    m_backoffUntil[aFetch.m_from] = aNow + kSourceBackoff;
  }
}

} // namespace siskindeal

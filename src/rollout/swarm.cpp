#include "rollout/policy_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

// Chunks weighed against each other for rarity in one choice.
constexpr std::uint32_t kSample = 64;

std::uint32_t
Share(std::uint32_t aWindow)
{
  return std::max(1U, aWindow / 2);
}

// Where a chunk can be had, of peers that may be asked now.
struct Holders
{
  std::uint32_t m_samePlace = 0;
  std::uint32_t m_elsewhere = 0;
  bool m_underway = false; // some peer draws it from the origin
};

Holders
HoldersOf(const DownloadView& aView, std::uint32_t aChunk)
{
  Holders holders;
  for (const auto& peer : aView.m_peers) {
    if (peer.m_usable && peer.m_have.Has(aChunk)) {
      ++(peer.m_samePlace ? holders.m_samePlace : holders.m_elsewhere);
    }
    holders.m_underway = holders.m_underway ||
                         (peer.m_usable && peer.m_fetching.Has(aChunk) &&
                          (peer.m_samePlace || !aView.m_turns.m_originByPlace));
  }
  return holders;
}

// The usable holder that is expected to answer first.
std::optional<std::size_t>
BestHolder(const DownloadView& aView,
           std::uint32_t aChunk,
           bool aSamePlace,
           Random& aRandom)
{
  std::optional<std::size_t> best;
  double bestCost = 0;
  for (std::size_t i = 0; i < aView.m_peers.size(); ++i) {
    const auto& peer = aView.m_peers[i];
    if (!peer.m_usable || peer.m_samePlace != aSamePlace ||
        !peer.m_have.Has(aChunk) || peer.m_inFlight >= Share(aView.m_window)) {
      continue;
    }
    const auto latency =
      std::chrono::duration<double>(peer.m_latency).count() + 1e-3;
    const auto cost = latency * (1 + peer.m_inFlight) * (0.5 + aRandom.Unit());
    if (!best || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

// Chunks flow between peers as soon as each is verified. Each chunk is drawn
// from the origin by one VM and brought into a place by one VM, whose turn
// follows from the chunk's index; within a place the rarest goes first. Turns
// pass to the next VM only when nothing has come to hand for a while.
class Swarm final : public RolloutPolicy
{
public:
  std::optional<ChunkChoice> Next(const DownloadView& aView,
                                  Random& aRandom) override
  {
    if (aView.m_wanted.Count() == 0) {
      return std::nullopt;
    }
    if (auto choice = FromOrigin(aView)) {
      return choice;
    }
    if (auto choice = FromElsewhere(aView, aRandom)) {
      return choice;
    }
    if (auto choice = FromPlace(aView, aRandom)) {
      return choice;
    }
    return TakeOver(aView, aRandom);
  }

private:
  static std::optional<ChunkChoice> FromOrigin(const DownloadView& aView)
  {
    if (!aView.m_originUsable ||
        aView.m_originInFlight >= Share(aView.m_window)) {
      return std::nullopt;
    }
    const auto& turns = aView.m_turns;
    const auto step =
      turns.m_originByPlace ? turns.m_placeCount : turns.m_fleetCount;
    const auto first =
      turns.m_originByPlace ? turns.m_placeIndex : turns.m_fleetIndex;
    for (auto chunk = first; chunk < aView.m_wanted.Size(); chunk += step) {
      if (!aView.m_wanted.Has(chunk)) {
        continue;
      }
      const auto holders = HoldersOf(aView, chunk);
      const bool held = holders.m_samePlace > 0 ||
                        (!turns.m_originByPlace && holders.m_elsewhere > 0);
      if (!held && !holders.m_underway) {
        return ChunkChoice{ chunk, std::nullopt };
      }
    }
    return std::nullopt;
  }

  static std::optional<ChunkChoice> FromElsewhere(const DownloadView& aView,
                                                  Random& aRandom)
  {
    if (aView.m_turns.m_originByPlace && aView.m_originUsable) {
      return std::nullopt;
    }
    for (auto chunk = aView.m_turns.m_placeIndex; chunk < aView.m_wanted.Size();
         chunk += aView.m_turns.m_placeCount) {
      if (!aView.m_wanted.Has(chunk) ||
          HoldersOf(aView, chunk).m_samePlace > 0) {
        continue;
      }
      if (const auto peer = BestHolder(aView, chunk, false, aRandom)) {
        return ChunkChoice{ chunk, peer };
      }
    }
    return std::nullopt;
  }

  static std::optional<ChunkChoice> FromPlace(const DownloadView& aView,
                                              Random& aRandom)
  {
    const auto chunks = aView.m_wanted.Size();
    const auto start = static_cast<std::uint32_t>(aRandom.Below(chunks));
    std::optional<ChunkChoice> best;
    std::uint32_t fewest = 0;
    std::uint32_t seen = 0;
    for (std::uint32_t i = 0; i < chunks && seen < kSample; ++i) {
      const auto chunk = (start + i) % chunks;
      if (!aView.m_wanted.Has(chunk)) {
        continue;
      }
      const auto holders = HoldersOf(aView, chunk).m_samePlace;
      if (holders == 0 || (best && holders >= fewest)) {
        seen += holders > 0 ? 1 : 0;
        continue;
      }
      if (const auto peer = BestHolder(aView, chunk, true, aRandom)) {
        best = ChunkChoice{ chunk, peer };
        fewest = holders;
        ++seen;
      }
    }
    return best;
  }

  // The further a VM's index is behind the one whose turn it is, the longer it
  // waits, so that few take over at once.
  static bool MayTakeOver(const DownloadView& aView,
                          std::uint32_t aChunk,
                          std::uint32_t aIndex,
                          std::uint32_t aCount)
  {
    const auto rank = (aIndex + aCount - aChunk % aCount) % aCount;
    return aView.m_starved >= aView.m_takeoverAfter * std::max(1U, rank);
  }

  static std::optional<ChunkChoice> TakeOver(const DownloadView& aView,
                                             Random& aRandom)
  {
    if (aView.m_starved < aView.m_takeoverAfter) {
      return std::nullopt;
    }
    const auto& turns = aView.m_turns;
    for (std::uint32_t chunk = 0; chunk < aView.m_wanted.Size(); ++chunk) {
      if (!aView.m_wanted.Has(chunk)) {
        continue;
      }
      const auto holders = HoldersOf(aView, chunk);
      if (holders.m_samePlace > 0) {
        continue;
      }
      if (holders.m_elsewhere > 0) {
        const auto peer = BestHolder(aView, chunk, false, aRandom);
        if (peer &&
            MayTakeOver(aView, chunk, turns.m_placeIndex, turns.m_placeCount)) {
          return ChunkChoice{ chunk, peer };
        }
        continue;
      }
      const bool origin = aView.m_originUsable && !holders.m_underway &&
                          aView.m_originInFlight < Share(aView.m_window);
      if (origin &&
          MayTakeOver(aView, chunk, turns.m_fleetIndex, turns.m_fleetCount)) {
        return ChunkChoice{ chunk, std::nullopt };
      }
    }
    return std::nullopt;
  }
};

const Registration<RolloutPolicy> kRegistered("swarm", [] {
  return std::make_unique<Swarm>();
});

} // namespace

} // namespace siskindeal

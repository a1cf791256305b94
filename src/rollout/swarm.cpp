#include "rollout/policy_p.h"

#include <algorithm>
#include <set>

namespace siskindeal {

namespace {

// Chunks weighed against each other for rarity in one choice.
constexpr std::uint32_t kSample = 64;
// Of takeover periods without a gain, after which a VM draws ahead of its
// peers.
constexpr int kPatience = 4;

std::uint32_t
Share(std::uint32_t aWindow)
{
  return std::max(1U, aWindow / 2);
}

// Whether a peer holds or draws the chunk, so that this VM needn't draw it.
bool
IsKnown(const DownloadView& aView, std::uint32_t aChunk)
{
  const auto& holders = aView.m_holders[aChunk];
  const bool inPlace = holders.m_samePlace + holders.m_drawnInPlace > 0;
  const bool elsewhere = holders.m_elsewhere + holders.m_drawnElsewhere > 0;
  return inPlace || (elsewhere && !aView.m_turns.m_originByPlace);
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
  static bool MayDraw(const DownloadView& aView)
  {
    return aView.m_originUsable &&
           aView.m_originInFlight < Share(aView.m_window);
  }

  // What no peer has taken yet would be drawn again if this VM failed.
  static bool DrawsAhead(const DownloadView& aView)
  {
    const bool ahead =
      aView.m_refused ||
      aView.m_unshared + aView.m_originInFlight >= aView.m_window;
    return ahead && aView.m_starved < aView.m_takeoverAfter * kPatience;
  }

  static bool AnyKnown(const DownloadView& aView,
                       std::uint32_t aTurn,
                       std::uint32_t aCount)
  {
    for (auto chunk = aTurn; chunk < aView.m_wanted.Size(); chunk += aCount) {
      if (aView.m_wanted.Has(chunk) && IsKnown(aView, chunk)) {
        return true;
      }
    }
    return false;
  }

  // Whose turns this VM has: its own, and those of VMs it has taken over from.
  static std::uint32_t OriginTurns(const ChunkTurns& aTurns)
  {
    return aTurns.m_originByPlace ? aTurns.m_placeCount : aTurns.m_fleetCount;
  }

  static std::uint32_t OriginTurn(const ChunkTurns& aTurns)
  {
    return aTurns.m_originByPlace ? aTurns.m_placeIndex : aTurns.m_fleetIndex;
  }

  std::optional<ChunkChoice> FromOrigin(const DownloadView& aView)
  {
    if (!MayDraw(aView) || DrawsAhead(aView)) {
      return std::nullopt;
    }
    const auto count = OriginTurns(aView.m_turns);
    if (auto choice = DrawTurn(aView, OriginTurn(aView.m_turns), count)) {
      return choice;
    }
    std::erase_if(m_takenOver, [&](auto aTurn) {
      return AnyKnown(aView, aTurn, count); // someone else draws there
    });
    for (const auto turn : m_takenOver) {
      if (auto choice = DrawTurn(aView, turn, count)) {
        return choice;
      }
    }
    return std::nullopt;
  }

  static std::optional<ChunkChoice> DrawTurn(const DownloadView& aView,
                                             std::uint32_t aTurn,
                                             std::uint32_t aCount)
  {
    for (auto chunk = aTurn; chunk < aView.m_wanted.Size(); chunk += aCount) {
      if (aView.m_wanted.Has(chunk) && !IsKnown(aView, chunk)) {
        return ChunkChoice{ chunk, std::nullopt };
      }
    }
    return std::nullopt;
  }

  std::optional<ChunkChoice> FromElsewhere(const DownloadView& aView,
                                           Random& aRandom) const
  {
    if (aView.m_turns.m_originByPlace && aView.m_originUsable) {
      return std::nullopt;
    }
    if (auto choice = CrossTurn(aView, aView.m_turns.m_placeIndex, aRandom)) {
      return choice;
    }
    for (const auto turn : m_takenOverInPlace) {
      if (auto choice = CrossTurn(aView, turn, aRandom)) {
        return choice;
      }
    }
    return std::nullopt;
  }

  static std::optional<ChunkChoice> CrossTurn(const DownloadView& aView,
                                              std::uint32_t aTurn,
                                              Random& aRandom)
  {
    for (auto chunk = aTurn; chunk < aView.m_wanted.Size();
         chunk += aView.m_turns.m_placeCount) {
      if (!aView.m_wanted.Has(chunk) ||
          aView.m_holders[chunk].m_samePlace > 0) {
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
      const auto holders = aView.m_holders[chunk].m_samePlace;
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

  std::optional<ChunkChoice> TakeOver(const DownloadView& aView,
                                      Random& aRandom)
  {
    if (aView.m_starved < aView.m_takeoverAfter) {
      return std::nullopt;
    }
    const auto& turns = aView.m_turns;
    const auto count = OriginTurns(turns);
    for (std::uint32_t chunk = 0; chunk < aView.m_wanted.Size(); ++chunk) {
      if (!aView.m_wanted.Has(chunk)) {
        continue;
      }
      if (aView.m_holders[chunk].m_samePlace > 0) {
        continue;
      }
      const auto peer = BestHolder(aView, chunk, false, aRandom);
      if (peer &&
          MayTakeOver(aView, chunk, turns.m_placeIndex, turns.m_placeCount)) {
        m_takenOverInPlace.insert(chunk % turns.m_placeCount);
        return ChunkChoice{ chunk, peer };
      }
      if (!IsKnown(aView, chunk) && MayDraw(aView) && !DrawsAhead(aView) &&
          MayTakeOver(aView, chunk, OriginTurn(turns), count)) {
        m_takenOver.insert(chunk % count);
        return ChunkChoice{ chunk, std::nullopt };
      }
    }
    return std::nullopt;
  }

  std::set<std::uint32_t> m_takenOver;        // turns at the origin
  std::set<std::uint32_t> m_takenOverInPlace; // turns to cross
};

const Registration<RolloutPolicy> kRegistered("swarm", [] {
  return std::make_unique<Swarm>();
});

} // namespace

} // namespace siskindeal

#include "rollout/policy_p.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace siskindeal {

namespace {

// Chunks weighed against each other for rarity in one choice.
constexpr std::uint32_t kSample = 64;
// Of takeover periods without a gain, after which a VM draws ahead of its
// peers.
constexpr int kPatience = 4;
constexpr int kRefusedPatience = 16; // of a VM whose chunks peers refuse
constexpr double kLostCost = 1000;   // against a peer that isn't lost
// Chunks drawn and taken by no peer yet, where each copy from the origin
// counts: a VM that fails then takes at most these with it.
constexpr std::uint32_t kMostUnshared = 1;

// Of the window, from one peer.
std::uint32_t
MostFromPeer(std::uint32_t aWindow)
{
  return std::max(1U, aWindow / 2);
}

// Of the window, from the origin. The origin is shared by all: more at once
// only make each wait longer and take slots from peers' chunks.
std::uint32_t
MostFromOrigin(std::uint32_t aWindow)
{
  return std::max(1U, aWindow / 4);
}

// What a VM takes of one turn, at the origin or of its place.
struct Share
{
  std::uint32_t m_turn = 0;
  std::uint32_t m_rank = 0; // 0: the turn is its own

  bool operator<(const Share& aOther) const
  {
    return std::tie(m_turn, m_rank) < std::tie(aOther.m_turn, aOther.m_rank);
  }
};

using Chunks = std::set<std::uint32_t>;

// Whether a peer holds or draws the chunk, so that this VM needn't draw it.
bool
IsKnown(const DownloadView& aView, std::uint32_t aChunk)
{
  const auto& holders = aView.m_holders[aChunk];
  const bool inPlace = holders.m_samePlace + holders.m_drawnInPlace > 0;
  const bool elsewhere = holders.m_elsewhere + holders.m_drawnElsewhere > 0;
  return inPlace || (elsewhere && !aView.m_turns.m_originByPlace);
}

// The usable holder that is expected to answer first. A lost peer is asked for
// one chunk at a time, and only where no other holds it.
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
    const auto most = peer.m_lost ? 1 : MostFromPeer(aView.m_window);
    if (!peer.m_usable || peer.m_samePlace != aSamePlace ||
        !peer.m_have.Has(aChunk) || peer.m_inFlight >= most) {
      continue;
    }
    const auto latency =
      std::chrono::duration<double>(peer.m_latency).count() + 1e-3;
    const auto cost = latency * (1 + peer.m_inFlight) * (0.5 + aRandom.Unit()) *
                      (peer.m_lost ? kLostCost : 1);
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
    return FromLost(aView, aRandom);
  }

private:
  static bool MayDraw(const DownloadView& aView)
  {
    return aView.m_originUsable && !aView.m_settling &&
           aView.m_originInFlight < MostFromOrigin(aView.m_window);
  }

  // What no peer has taken yet would be drawn again if this VM failed.
  static bool DrawsAhead(const DownloadView& aView)
  {
    const auto most = aView.m_turns.m_originByPlace
                        ? aView.m_window
                        : std::min(aView.m_window, kMostUnshared);
    const bool ahead =
      aView.m_refused || aView.m_unshared + aView.m_originInFlight >= most;
    const auto patience = aView.m_refused ? kRefusedPatience : kPatience;
    return ahead && aView.m_starved < aView.m_takeoverAfter * patience;
  }

  // The VMs after the one whose turn a chunk is take over by rank, 1 first; the
  // ranks differ from chunk to chunk, so that all share in it. 0 is the turn's
  // own VM.
  static std::uint32_t Rank(std::uint32_t aChunk,
                            std::uint32_t aIndex,
                            std::uint32_t aCount)
  {
    const auto distance = (aIndex + aCount - aChunk % aCount) % aCount;
    if (distance == 0) {
      return 0;
    }
    return 1 + (distance - 1 + aChunk / aCount) % (aCount - 1);
  }

  static std::optional<ChunkChoice> DrawOwn(const DownloadView& aView)
  {
    const auto count = OriginTurns(aView.m_turns);
    for (auto chunk = OriginTurn(aView.m_turns); chunk < aView.m_wanted.Size();
         chunk += count) {
      if (aView.m_wanted.Has(chunk) && !IsKnown(aView, chunk)) {
        return ChunkChoice{ chunk, std::nullopt };
      }
    }
    return std::nullopt;
  }

  // Whether another VM came to hold or draw a chunk that was taken over.
  static bool OtherDraws(const DownloadView& aView, const Chunks& aTaken)
  {
    return std::any_of(aTaken.begin(), aTaken.end(), [&](auto aChunk) {
      return aView.m_wanted.Has(aChunk) && IsKnown(aView, aChunk);
    });
  }

  std::optional<ChunkChoice> FromOrigin(const DownloadView& aView)
  {
    if (!(m_turns == aView.m_turns)) {
      m_turns = aView.m_turns;
      m_takenOver.clear();
      m_takenOverInPlace.clear();
    }
    if (!MayDraw(aView) || DrawsAhead(aView)) {
      return std::nullopt;
    }
    if (auto choice = DrawOwn(aView)) {
      return choice;
    }
    std::erase_if(m_takenOver, [&](const auto& aShare) {
      return OtherDraws(aView, aShare.second);
    });
    for (auto& [share, chunks] : m_takenOver) {
      const auto due = Due(aView, share);
      chunks.insert(due.begin(), due.end());
      if (!due.empty()) {
        return ChunkChoice{ due.front(), std::nullopt };
      }
    }
    return TakeOverTurn(aView);
  }

  // Draws what is due at the origin by VMs from which nothing has come.
  std::optional<ChunkChoice> TakeOverTurn(const DownloadView& aView)
  {
    const auto count = OriginTurns(aView.m_turns);
    for (std::uint32_t turn = 0; turn < count; ++turn) {
      const auto starved = aView.m_turnStarved.empty()
                             ? aView.m_starved
                             : aView.m_turnStarved[turn];
      const auto ranks = starved / aView.m_takeoverAfter;
      for (std::uint32_t rank = 1; rank < count && rank <= ranks; ++rank) {
        const auto due = Due(aView, { turn, rank });
        if (!due.empty()) {
          const auto first = due.front();
          m_takenOver[{ turn, rank }] = { due.begin(), due.end() };
          return ChunkChoice{ first, std::nullopt };
        }
      }
    }
    return std::nullopt;
  }

  // What nobody holds or draws of a share.
  static std::vector<std::uint32_t> Due(const DownloadView& aView,
                                        const Share& aShare)
  {
    const auto count = OriginTurns(aView.m_turns);
    const auto index = OriginTurn(aView.m_turns);
    std::vector<std::uint32_t> due;
    for (auto chunk = aShare.m_turn; chunk < aView.m_wanted.Size();
         chunk += count) {
      if (aView.m_wanted.Has(chunk) && !IsKnown(aView, chunk) &&
          Rank(chunk, index, count) == aShare.m_rank) {
        due.push_back(chunk);
      }
    }
    return due;
  }

  std::optional<ChunkChoice> FromElsewhere(const DownloadView& aView,
                                           Random& aRandom)
  {
    if (aView.m_turns.m_originByPlace && aView.m_originUsable) {
      return std::nullopt;
    }
    if (auto choice =
          Cross(aView, { aView.m_turns.m_placeIndex, 0 }, aRandom)) {
      return choice;
    }
    for (const auto& share : m_takenOverInPlace) {
      if (auto choice = Cross(aView, share, aRandom)) {
        return choice;
      }
    }
    return TakeOverCrossing(aView, aRandom);
  }

  // Of a share in the crossings into this VM's place.
  static std::optional<ChunkChoice> Cross(const DownloadView& aView,
                                          const Share& aShare,
                                          Random& aRandom)
  {
    const auto count = aView.m_turns.m_placeCount;
    const auto index = aView.m_turns.m_placeIndex;
    for (auto chunk = aShare.m_turn; chunk < aView.m_wanted.Size();
         chunk += count) {
      if (!aView.m_wanted.Has(chunk) ||
          aView.m_holders[chunk].m_samePlace > 0 ||
          Rank(chunk, index, count) != aShare.m_rank) {
        continue;
      }
      if (const auto peer = BestHolder(aView, chunk, false, aRandom)) {
        return ChunkChoice{ chunk, peer };
      }
    }
    return std::nullopt;
  }

  // Crosses for VMs of the place from which nothing has come.
  std::optional<ChunkChoice> TakeOverCrossing(const DownloadView& aView,
                                              Random& aRandom)
  {
    const auto count = aView.m_turns.m_placeCount;
    for (std::uint32_t turn = 0; turn < count; ++turn) {
      const auto starved = aView.m_crossStarved.empty()
                             ? aView.m_starved
                             : aView.m_crossStarved[turn];
      const auto ranks = starved / aView.m_takeoverAfter;
      for (std::uint32_t rank = 1; rank < count && rank <= ranks; ++rank) {
        if (auto choice = Cross(aView, { turn, rank }, aRandom)) {
          m_takenOverInPlace.insert({ turn, rank });
          return choice;
        }
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

  // Nothing else is left to ask for: a peer that failed may have recovered.
  static std::optional<ChunkChoice> FromLost(const DownloadView& aView,
                                             Random& aRandom)
  {
    const bool any = std::any_of(
      aView.m_peers.begin(), aView.m_peers.end(), [](const auto& aPeer) {
        return aPeer.m_lost && aPeer.m_usable && aPeer.m_samePlace &&
               aPeer.m_inFlight == 0;
      });
    for (std::uint32_t chunk = 0; any && chunk < aView.m_wanted.Size();
         ++chunk) {
      if (!aView.m_wanted.Has(chunk)) {
        continue;
      }
      if (const auto peer = BestHolder(aView, chunk, true, aRandom)) {
        return ChunkChoice{ chunk, peer };
      }
    }
    return std::nullopt;
  }

  ChunkTurns m_turns;                  // of the last choice
  std::map<Share, Chunks> m_takenOver; // at the origin
  std::set<Share> m_takenOverInPlace;  // of the crossings
};

const Registration<RolloutPolicy> kRegistered("swarm", [] {
  return std::make_unique<Swarm>();
});

} // namespace

} // namespace siskindeal

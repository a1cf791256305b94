#include "rollout/policy_p.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace siskindeal {

namespace {

// Chunks compared for rarity in one choice.
constexpr std::uint32_t kRaritySampleSize = 64;
// Takeover periods without progress after which a VM fetches from the origin
// even if its earlier chunks are not replicated yet.
constexpr int kReplicationWaitPeriods = 4;
constexpr int kRefusedWaitPeriods = 16; // if peers refuse its chunks
constexpr double kUnhealthyCostFactor = 1000;
// Max chunks from the origin that no peer holds yet, unless each place fetches
// its own copy. They would have to be fetched again if this VM failed.
constexpr std::uint32_t kMaxUnreplicated = 1;
constexpr std::uint32_t kPeerWindowDivisor = 2;
constexpr std::uint32_t kOriginWindowDivisor = 4;
constexpr double kBaseLatencySeconds = 1e-3; // keeps unknown latency above 0
constexpr double kMinJitterFactor = 0.5;

// Max chunks in flight from one peer.
std::uint32_t
MaxFromPeer(std::uint32_t aWindow)
{
  return std::max(1U, aWindow / kPeerWindowDivisor);
}

// Max chunks in flight from the origin. All VMs share the origin: more requests
// would only slow down each one and take slots from requests to peers.
std::uint32_t
MaxFromOrigin(std::uint32_t aWindow)
{
  return std::max(1U, aWindow / kOriginWindowDivisor);
}

// The chunks of one turn, at the origin or into the place, for which this VM
// has the takeover rank m_rank.
struct TurnShare
{
  std::uint32_t m_turn = 0;
  std::uint32_t m_rank = 0; // 0: the turn's own VM

  bool operator<(const TurnShare& aOther) const
  {
    return std::tie(m_turn, m_rank) < std::tie(aOther.m_turn, aOther.m_rank);
  }
};

using Chunks = std::set<std::uint32_t>;

// Whether a peer holds or is fetching the chunk. If each place fetches its own
// copy from the origin, only peers in this VM's place count.
bool
IsHeldOrFetched(const DownloadView& aView, std::uint32_t aChunk)
{
  const auto& holders = aView.m_holders[aChunk];
  const bool inPlace = holders.m_samePlace + holders.m_fetchingInPlace > 0;
  const bool elsewhere = holders.m_elsewhere + holders.m_fetchingElsewhere > 0;
  return inPlace || (elsewhere && !aView.m_turns.m_originByPlace);
}

// The usable holder with the lowest expected latency. An unhealthy peer gets at
// most one request at a time, and only if no healthy peer can serve the chunk.
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
    const auto maxInFlight = peer.m_unhealthy ? 1 : MaxFromPeer(aView.m_window);
    if (!peer.m_usable || peer.m_samePlace != aSamePlace ||
        !peer.m_have.Has(aChunk) || peer.m_inFlight >= maxInFlight) {
      continue;
    }
    const auto latency = std::chrono::duration<double>(peer.m_latency).count() +
                         kBaseLatencySeconds;
    const auto cost = latency * (1 + peer.m_inFlight) *
                      (kMinJitterFactor + aRandom.Unit()) *
                      (peer.m_unhealthy ? kUnhealthyCostFactor : 1);
    if (!best || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

// Peers exchange each chunk as soon as it is verified. One VM of the fleet, or
// of each place, fetches a chunk from the origin, and one VM fetches it into
// each place; the chunk's index determines these VMs. Within a place the rarest
// chunks are fetched first. Another VM takes over a turn only if it stalls.
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
    if (auto choice = FromOtherPlace(aView, aRandom)) {
      return choice;
    }
    if (auto choice = FromSamePlace(aView, aRandom)) {
      return choice;
    }
    return FromUnhealthyPeer(aView, aRandom);
  }

private:
  static bool CanFetchFromOrigin(const DownloadView& aView)
  {
    return aView.m_originUsable && !aView.m_originPaused &&
           aView.m_originInFlight < MaxFromOrigin(aView.m_window);
  }

  // Whether to delay origin fetches until peers have more of the chunks that
  // would have to be fetched again if this VM failed.
  static bool MustAwaitReplication(const DownloadView& aView)
  {
    const auto maxUnreplicated = aView.m_turns.m_originByPlace
                                   ? aView.m_window
                                   : std::min(aView.m_window, kMaxUnreplicated);
    const bool limited =
      aView.m_refusedByPeers ||
      aView.m_unreplicatedCount + aView.m_originInFlight >= maxUnreplicated;
    const auto waitPeriods =
      aView.m_refusedByPeers ? kRefusedWaitPeriods : kReplicationWaitPeriods;
    return limited && aView.m_stalledFor < aView.m_takeoverAfter * waitPeriods;
  }

  // The rank of VM aIndex in taking over a chunk, from 1; the turn's own VM has
  // rank 0. Ranks rotate from chunk to chunk to spread the load.
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

  static std::optional<ChunkChoice> FetchOwnTurn(const DownloadView& aView)
  {
    const auto count = OriginTurns(aView.m_turns);
    for (auto chunk = OriginTurn(aView.m_turns); chunk < aView.m_wanted.Size();
         chunk += count) {
      if (aView.m_wanted.Has(chunk) && !IsHeldOrFetched(aView, chunk)) {
        return ChunkChoice{ chunk, std::nullopt };
      }
    }
    return std::nullopt;
  }

  // Whether a peer holds or is fetching a chunk that this VM took over.
  static bool AnyHeldOrFetched(const DownloadView& aView, const Chunks& aTaken)
  {
    return std::any_of(aTaken.begin(), aTaken.end(), [&](auto aChunk) {
      return aView.m_wanted.Has(aChunk) && IsHeldOrFetched(aView, aChunk);
    });
  }

  std::optional<ChunkChoice> FromOrigin(const DownloadView& aView)
  {
    if (!(m_turns == aView.m_turns)) {
      m_turns = aView.m_turns;
      m_takenOver.clear();
      m_takenOverCrossPlace.clear();
    }
    if (!CanFetchFromOrigin(aView) || MustAwaitReplication(aView)) {
      return std::nullopt;
    }
    if (auto choice = FetchOwnTurn(aView)) {
      return choice;
    }
    std::erase_if(m_takenOver, [&](const auto& aShare) {
      return AnyHeldOrFetched(aView, aShare.second);
    });
    for (auto& [share, chunks] : m_takenOver) {
      const auto missing = MissingChunks(aView, share);
      chunks.insert(missing.begin(), missing.end());
      if (!missing.empty()) {
        return ChunkChoice{ missing.front(), std::nullopt };
      }
    }
    return TakeOverTurn(aView);
  }

  // Takes over origin fetches of VMs that make no progress.
  std::optional<ChunkChoice> TakeOverTurn(const DownloadView& aView)
  {
    const auto count = OriginTurns(aView.m_turns);
    for (std::uint32_t turn = 0; turn < count; ++turn) {
      const auto stalledFor = aView.m_turnStalledFor.empty()
                                ? aView.m_stalledFor
                                : aView.m_turnStalledFor[turn];
      const auto ranks = stalledFor / aView.m_takeoverAfter;
      for (std::uint32_t rank = 1; rank < count && rank <= ranks; ++rank) {
        const auto missing = MissingChunks(aView, { turn, rank });
        if (!missing.empty()) {
          const auto first = missing.front();
          m_takenOver[{ turn, rank }] = { missing.begin(), missing.end() };
          return ChunkChoice{ first, std::nullopt };
        }
      }
    }
    return std::nullopt;
  }

  // Wanted chunks of a share that no peer holds or is fetching.
  static std::vector<std::uint32_t> MissingChunks(const DownloadView& aView,
                                                  const TurnShare& aShare)
  {
    const auto count = OriginTurns(aView.m_turns);
    const auto index = OriginTurn(aView.m_turns);
    std::vector<std::uint32_t> missing;
    for (auto chunk = aShare.m_turn; chunk < aView.m_wanted.Size();
         chunk += count) {
      if (aView.m_wanted.Has(chunk) && !IsHeldOrFetched(aView, chunk) &&
          Rank(chunk, index, count) == aShare.m_rank) {
        missing.push_back(chunk);
      }
    }
    return missing;
  }

  std::optional<ChunkChoice> FromOtherPlace(const DownloadView& aView,
                                            Random& aRandom)
  {
    if (aView.m_turns.m_originByPlace && aView.m_originUsable) {
      return std::nullopt;
    }
    if (auto choice =
          CrossPlace(aView, { aView.m_turns.m_placeIndex, 0 }, aRandom)) {
      return choice;
    }
    for (const auto& share : m_takenOverCrossPlace) {
      if (auto choice = CrossPlace(aView, share, aRandom)) {
        return choice;
      }
    }
    return TakeOverCrossPlace(aView, aRandom);
  }

  // The next chunk of a share to fetch into this VM's place.
  static std::optional<ChunkChoice> CrossPlace(const DownloadView& aView,
                                               const TurnShare& aShare,
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

  // Takes over fetches into the place from VMs that make no progress.
  std::optional<ChunkChoice> TakeOverCrossPlace(const DownloadView& aView,
                                                Random& aRandom)
  {
    const auto count = aView.m_turns.m_placeCount;
    for (std::uint32_t turn = 0; turn < count; ++turn) {
      const auto stalledFor = aView.m_placeTurnStalledFor.empty()
                                ? aView.m_stalledFor
                                : aView.m_placeTurnStalledFor[turn];
      const auto ranks = stalledFor / aView.m_takeoverAfter;
      for (std::uint32_t rank = 1; rank < count && rank <= ranks; ++rank) {
        if (auto choice = CrossPlace(aView, { turn, rank }, aRandom)) {
          m_takenOverCrossPlace.insert({ turn, rank });
          return choice;
        }
      }
    }
    return std::nullopt;
  }

  static std::optional<ChunkChoice> FromSamePlace(const DownloadView& aView,
                                                  Random& aRandom)
  {
    const auto chunks = aView.m_wanted.Size();
    const auto start = static_cast<std::uint32_t>(aRandom.Below(chunks));
    std::optional<ChunkChoice> best;
    std::uint32_t fewest = 0;
    std::uint32_t sampled = 0;
    for (std::uint32_t i = 0; i < chunks && sampled < kRaritySampleSize; ++i) {
      const auto chunk = (start + i) % chunks;
      if (!aView.m_wanted.Has(chunk)) {
        continue;
      }
      const auto holders = aView.m_holders[chunk].m_samePlace;
      if (holders == 0 || (best && holders >= fewest)) {
        sampled += holders > 0 ? 1 : 0;
        continue;
      }
      if (const auto peer = BestHolder(aView, chunk, true, aRandom)) {
        best = ChunkChoice{ chunk, peer };
        fewest = holders;
        ++sampled;
      }
    }
    return best;
  }

  // Last resort: retries peers that failed, which may have recovered.
  static std::optional<ChunkChoice> FromUnhealthyPeer(const DownloadView& aView,
                                                      Random& aRandom)
  {
    const bool available = std::any_of(
      aView.m_peers.begin(), aView.m_peers.end(), [](const auto& aPeer) {
        return aPeer.m_unhealthy && aPeer.m_usable && aPeer.m_samePlace &&
               aPeer.m_inFlight == 0;
      });
    for (std::uint32_t chunk = 0; available && chunk < aView.m_wanted.Size();
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

  ChunkTurns m_turns;                        // at the last choice
  std::map<TurnShare, Chunks> m_takenOver;   // at the origin
  std::set<TurnShare> m_takenOverCrossPlace; // into the place
};

const Registration<RolloutPolicy> kRegistered("swarm", [] {
  return std::make_unique<Swarm>();
});

} // namespace

} // namespace siskindeal

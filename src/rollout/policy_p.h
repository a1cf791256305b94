#pragma once
// Where the next chunk of a download comes from. Policies are plug-ins under
// their names: "origin_only", "tree" and "swarm".

#include "rollout/chunk_set_p.h"
#include "siskindeal/clock.h"
#include "siskindeal/random.h"
#include "siskindeal/registry.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

// Another VM that takes part in the same rollout.
struct PeerInfo
{
  std::string m_vm;
  std::string m_place;
  std::string m_address;
};

// Whose turn a chunk is; see FetchOrder in proto/siskindeal.proto.
struct ChunkTurns
{
  std::uint32_t m_fleetIndex = 0;
  std::uint32_t m_fleetCount = 1;
  std::uint32_t m_placeIndex = 0;
  std::uint32_t m_placeCount = 1;
  bool m_originByPlace = false;

  bool operator==(const ChunkTurns&) const = default;
};

// How many VMs take turns at the origin, and which turn is this VM's.
inline std::uint32_t
OriginTurns(const ChunkTurns& aTurns)
{
  return aTurns.m_originByPlace ? aTurns.m_placeCount : aTurns.m_fleetCount;
}

inline std::uint32_t
OriginTurn(const ChunkTurns& aTurns)
{
  return aTurns.m_originByPlace ? aTurns.m_placeIndex : aTurns.m_fleetIndex;
}

// What a download knows of a peer.
struct PeerView
{
  PeerInfo m_info;
  ChunkSet m_have;
  ChunkSet m_fetching; // from the origin
  std::uint32_t m_inFlight = 0;
  std::chrono::nanoseconds m_latency{ 0 }; // of a chunk, smoothed; 0: unknown
  bool m_samePlace = false;
  bool m_usable = true; // not avoided just now
  bool m_lost = false;  // sent wrong bytes, or failed several times in a row
};

// How many peers hold a chunk, or draw it from the origin just now; lost peers
// don't count.
struct ChunkHolders
{
  std::uint16_t m_samePlace = 0;
  std::uint16_t m_elsewhere = 0;
  std::uint16_t m_drawnInPlace = 0;
  std::uint16_t m_drawnElsewhere = 0;
};

// What a policy decides from.
struct DownloadView
{
  std::string m_vm;
  std::string m_place;
  ChunkSet m_have;
  ChunkSet m_wanted; // neither held nor in flight
  std::vector<PeerView> m_peers;
  std::vector<ChunkHolders> m_holders; // by chunk
  ChunkTurns m_turns;
  bool m_originUsable = false;
  bool m_settling = false; // turns have just changed
  bool m_refused = false;  // peers take nothing from this VM
  std::uint32_t m_originInFlight = 0;
  std::uint32_t m_unshared = 0; // drawn from the origin, seen at no peer yet
  std::uint32_t m_window = 0;
  std::chrono::nanoseconds m_starved{ 0 }; // since anything last came to hand
  // By turn, since a chunk of the turn last came to hand, and since one last
  // came to the place; empty where not all VMs that have turns are peers.
  std::vector<std::chrono::nanoseconds> m_turnStarved;
  std::vector<std::chrono::nanoseconds> m_crossStarved;
  std::chrono::nanoseconds m_takeoverAfter{ 0 };
};

// A chunk to ask for, and whom.
struct ChunkChoice
{
  std::uint32_t m_chunk = 0;
  std::optional<std::size_t> m_peer; // index in m_peers; nothing: the origin
};

// Decision code: no I/O, and the same choice for the same view and random
// state.
class RolloutPolicy
{
public:
  virtual ~RolloutPolicy() = default;
  // The next chunk to ask for; nothing where waiting is better.
  virtual std::optional<ChunkChoice> Next(const DownloadView& aView,
                                          Random& aRandom) = 0;
  // Whether the download asks peers what they hold.
  virtual bool NeedsPeers() const { return true; }
};

using RolloutPolicyRegistry = Registry<RolloutPolicy>;

} // namespace siskindeal

#pragma once
// Policies that choose the next chunk of a download and its source. They are
// registered by name: "origin_only", "tree" and "swarm".

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

// Another VM of the same rollout.
struct PeerInfo
{
  std::string m_vm;
  std::string m_place;
  std::string m_address;
};

// Assigns chunks round-robin to the VMs that fetch them from the origin and
// into a place; see FetchOrder in proto/siskindeal.proto.
struct ChunkTurns
{
  std::uint32_t m_fleetIndex = 0;
  std::uint32_t m_fleetCount = 1;
  std::uint32_t m_placeIndex = 0;
  std::uint32_t m_placeCount = 1;
  bool m_originByPlace = false;

  bool operator==(const ChunkTurns&) const = default;
};

// The number of VMs that take turns at the origin, and the turn of this VM.
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

// State of a peer as seen by a download.
struct PeerView
{
  PeerInfo m_info;
  ChunkSet m_have;
  ChunkSet m_fetching; // from the origin
  std::uint32_t m_inFlight = 0;
  std::chrono::nanoseconds m_latency{ 0 }; // per chunk, smoothed; 0: unknown
  bool m_samePlace = false;
  bool m_usable = true;     // neither corrupt nor backed off
  bool m_unhealthy = false; // sent corrupt data or failed repeatedly
};

// The number of healthy peers that hold a chunk or are fetching it from the
// origin.
struct ChunkHolders
{
  std::uint16_t m_samePlace = 0;
  std::uint16_t m_elsewhere = 0;
  std::uint16_t m_fetchingInPlace = 0;
  std::uint16_t m_fetchingElsewhere = 0;
};

// Input of a policy's decision.
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
  bool m_originPaused = false;   // turns changed recently
  bool m_refusedByPeers = false; // peers refuse chunks from this VM
  std::uint32_t m_originInFlight = 0;
  // Chunks fetched from the origin that no peer has reported yet.
  std::uint32_t m_unreplicatedCount = 0;
  std::uint32_t m_window = 0;
  std::chrono::nanoseconds m_stalledFor{ 0 }; // since the last progress
  // Time without progress by turn, at the origin and into the place. Empty
  // unless all VMs that have a turn are peers.
  std::vector<std::chrono::nanoseconds> m_turnStalledFor;
  std::vector<std::chrono::nanoseconds> m_placeTurnStalledFor;
  std::chrono::nanoseconds m_takeoverAfter{ 0 };
};

// A chunk to request and its source.
struct ChunkChoice
{
  std::uint32_t m_chunk = 0;
  std::optional<std::size_t> m_peer; // index in m_peers; nullopt: the origin
};

// Does no I/O and is deterministic in the view and the state of the random
// generator.
class RolloutPolicy
{
public:
  virtual ~RolloutPolicy() = default;
  // The next chunk to request, or nullopt to wait.
  virtual std::optional<ChunkChoice> Next(const DownloadView& aView,
                                          Random& aRandom) = 0;
  // Whether the download polls peers for the chunks that they hold.
  virtual bool NeedsPeers() const { return true; }
};

using RolloutPolicyRegistry = Registry<RolloutPolicy>;

} // namespace siskindeal

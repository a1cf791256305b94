#pragma once
// One VM's download of one manifest: chunks held and in flight, and the health
// of each peer. Does no I/O; the agent does it and passes the time.

#include "rollout/policy_p.h"
#include "siskindeal/manifest.h"

#include <map>
#include <memory>

namespace siskindeal {

struct DownloadLimits
{
  std::uint32_t m_window = 4; // max chunks in flight
  std::chrono::milliseconds m_chunkTimeout{ 5000 };
  std::chrono::milliseconds m_takeoverAfter{ 2500 };
  std::chrono::milliseconds m_minPollPeriod{ 50 };
  std::chrono::milliseconds m_maxPollPeriod{ 1000 };
};

// A request for one chunk.
struct Pull
{
  std::uint64_t m_id = 0;
  std::uint32_t m_chunk = 0;
  std::optional<PeerInfo> m_peer; // nullopt: the origin
  std::chrono::milliseconds m_timeout{ 0 };
};

enum class PullFailure
{
  Busy,    // no upload slot
  Missing, // the sender does not hold the chunk
  Lost,    // timeout, no connection or an error
  Corrupt, // the data does not match the chunk's digest
};

class Download
{
public:
  // Throws std::invalid_argument for an unknown policy.
  Download(const Manifest& aManifest,
           const std::string& aVm,
           const std::string& aPlace,
           const std::string& aPolicy,
           const DownloadLimits& aLimits,
           std::uint64_t aSeed);

  // Replaces the peers and turns. Keeps the state of peers that remain.
  void SetPeers(const std::vector<PeerInfo>& aPeers,
                const ChunkTurns& aTurns,
                bool aAllowOrigin,
                MonotonicTime aNow);

  // Marks a chunk as held: the engine has it and its digest was verified.
  void MarkHeld(std::uint32_t aChunk, MonotonicTime aNow);
  // Marks a held chunk as missing.
  void MarkMissing(std::uint32_t aChunk);

  // The chunks to request now, with at most the window in flight. The caller
  // ends each pull with OnPullVerified or OnPullFailed.
  std::vector<Pull> Next(MonotonicTime aNow);
  void OnPullVerified(std::uint64_t aPull, MonotonicTime aNow);
  void OnPullFailed(std::uint64_t aPull,
                    PullFailure aFailure,
                    MonotonicTime aNow);

  // A peer to query for the chunks that it holds. m_refused tells it that this
  // VM takes no chunks from it.
  struct Poll
  {
    PeerInfo m_peer;
    bool m_refused = false;
  };
  std::vector<Poll> NextPolls(MonotonicTime aNow);
  void OnPeerHave(const std::string& aVm,
                  const std::string& aHave,
                  const std::string& aFetching,
                  MonotonicTime aNow);
  // Backs off from a peer whose poll failed.
  void OnPollFailed(const std::string& aVm, MonotonicTime aNow);

  // Records whether a peer refuses chunks from this VM.
  void SetPeerRefuses(const std::string& aVm, bool aRefuses);

  const ChunkSet& Have() const { return m_view.m_have; }
  ChunkSet FetchingFromOrigin() const;
  bool Complete() const { return m_view.m_have.Full(); }
  std::uint32_t InFlight() const
  {
    return static_cast<std::uint32_t>(m_pulls.size());
  }
  // Peers that sent a corrupt chunk.
  std::vector<std::string> CorruptPeers() const;

private:
  struct PullState
  {
    std::uint32_t m_chunk = 0;
    std::string m_vm; // source; empty: the origin
    MonotonicTime m_start;
    bool m_hedged = false; // requested from a second peer
  };

  struct PeerState
  {
    MonotonicTime m_backoffUntil;
    std::uint32_t m_failures = 0;     // consecutive, of chunks
    std::uint32_t m_pollFailures = 0; // consecutive
    bool m_refuses = false;
    bool m_corrupt = false;
    MonotonicTime m_pollAt;
  };

  PeerView* FindPeer(const std::string& aVm);
  void RefreshUsable(MonotonicTime aNow);
  void AddHolderCounts(const PeerView& aPeer, int aSign);
  void RebuildHolderCounts();
  void UpdateHealth(PeerView& aPeer);
  void BackOff(PeerState& aState, MonotonicTime aNow);
  PullState FinishPull(std::uint64_t aPull);
  void HedgeLatePulls(std::vector<Pull>& aPulls, MonotonicTime aNow);
  std::optional<std::size_t> FindHedgePeer(std::uint32_t aChunk) const;
  bool IsInFlight(std::uint32_t aChunk) const;
  Pull StartPull(const ChunkChoice& aChoice, MonotonicTime aNow);
  std::uint32_t UnreplicatedCount() const;
  bool CanFetchFrom(const PeerView& aPeer) const;
  void PauseOrigin(MonotonicTime aNow);
  void RecordProgress(std::uint32_t aChunk, bool aInPlace, MonotonicTime aNow);
  void RefreshStalledTimes(MonotonicTime aNow);
  std::chrono::milliseconds PullTimeout() const;
  std::chrono::nanoseconds PollPeriod() const;

  const Manifest m_manifest;
  const DownloadLimits m_limits;
  std::unique_ptr<RolloutPolicy> m_policy;
  Random m_random;
  DownloadView m_view;
  bool m_allowOrigin = false;
  PeerState m_origin;
  std::map<std::string, PeerState> m_peers;
  std::map<std::uint64_t, PullState> m_pulls;
  std::uint64_t m_lastPullId = 0;
  // Chunks fetched from the origin that no peer has reported yet.
  std::vector<std::uint32_t> m_unreplicated;
  MonotonicTime m_lastProgressAt;
  std::vector<MonotonicTime> m_turnProgressAt;      // by turn at the origin
  std::vector<MonotonicTime> m_placeTurnProgressAt; // by turn of the place
  MonotonicTime m_originPausedUntil;
  std::chrono::nanoseconds m_latency{ 0 }; // per chunk, smoothed
};

} // namespace siskindeal

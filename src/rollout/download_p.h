#pragma once
// One VM's download of one manifest: what it holds, whom it asked and how each
// peer answered. Decision code; the agent does the I/O.

#include "rollout/policy_p.h"
#include "siskindeal/manifest.h"

#include <map>
#include <memory>

namespace siskindeal {

struct DownloadLimits
{
  std::uint32_t m_window = 4; // chunks asked for at once
  std::chrono::milliseconds m_chunkTimeout{ 5000 };
  std::chrono::milliseconds m_takeoverAfter{ 2500 };
  std::chrono::milliseconds m_shortestPoll{ 50 };
  std::chrono::milliseconds m_longestPoll{ 1000 };
};

// A chunk asked for.
struct Pull
{
  std::uint64_t m_id = 0;
  std::uint32_t m_chunk = 0;
  std::optional<PeerInfo> m_peer; // nothing: the origin
  std::chrono::milliseconds m_timeout{ 0 };
};

enum class PullFailure
{
  Busy,    // no upload slot
  Missing, // the sender doesn't hold it
  Lost,    // timeout, no connection or an error
  Corrupt, // the bytes don't have the chunk's digest
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

  // Replaces the peers and turns; what is known of peers that stay is kept.
  void SetPeers(const std::vector<PeerInfo>& aPeers,
                const ChunkTurns& aTurns,
                bool aAllowOrigin,
                MonotonicTime aNow);

  // A chunk that the engine holds and whose digest was checked.
  void Hold(std::uint32_t aChunk, MonotonicTime aNow);
  // A chunk that turned out not to be held after all.
  void Drop(std::uint32_t aChunk);

  // The chunks to ask for now, at most the window at once. Each ends by one of
  // Verified and Failed.
  std::vector<Pull> Next(MonotonicTime aNow);
  void Verified(std::uint64_t aPull, MonotonicTime aNow);
  void Failed(std::uint64_t aPull, PullFailure aFailure, MonotonicTime aNow);

  // A peer to ask what it holds; refused says that no chunk is taken from it.
  struct Poll
  {
    PeerInfo m_peer;
    bool m_refused = false;
  };
  std::vector<Poll> Polls(MonotonicTime aNow);
  void PeerHas(const std::string& aVm,
               const std::string& aHave,
               const std::string& aFetching,
               MonotonicTime aNow);
  // A peer that didn't answer what it holds.
  void PeerSilent(const std::string& aVm, MonotonicTime aNow);

  // A peer said whether it still takes chunks from this VM.
  void PeerRefuses(const std::string& aVm, bool aRefuses);

  const ChunkSet& Have() const { return m_view.m_have; }
  ChunkSet FetchingFromOrigin() const;
  bool Complete() const { return m_view.m_have.Full(); }
  std::uint32_t InFlight() const
  {
    return static_cast<std::uint32_t>(m_pulls.size());
  }
  // Peers that sent a chunk whose bytes were wrong.
  std::vector<std::string> CorruptPeers() const;

private:
  struct PullState
  {
    std::uint32_t m_chunk = 0;
    std::string m_vm; // empty: the origin
    MonotonicTime m_start;
    bool m_again = false; // another peer was asked as well
  };

  struct PeerState
  {
    MonotonicTime m_avoidUntil;
    std::uint32_t m_failures = 0; // of chunks, in a row
    std::uint32_t m_silences = 0; // of polls, in a row
    bool m_refuses = false;
    bool m_corrupt = false;
    MonotonicTime m_pollAt;
  };

  PeerView* FindPeer(const std::string& aVm);
  void RefreshUsable(MonotonicTime aNow);
  void Count(const PeerView& aPeer, int aSign);
  void CountAll();
  void Judge(PeerView& aPeer);
  void Avoid(PeerState& aState, MonotonicTime aNow);
  PullState Take(std::uint64_t aPull);
  void AskAgain(std::vector<Pull>& aPulls, MonotonicTime aNow);
  std::optional<std::size_t> SecondHolder(std::uint32_t aChunk) const;
  bool IsAsked(std::uint32_t aChunk) const;
  Pull StartPull(const ChunkChoice& aChoice, MonotonicTime aNow);
  std::uint32_t Unshared() const;
  bool MayTake(const PeerView& aPeer) const;
  void Settle(MonotonicTime aNow);
  void NoteGain(std::uint32_t aChunk, bool aInPlace, MonotonicTime aNow);
  void RefreshStarved(MonotonicTime aNow);
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
  std::uint64_t m_lastPull = 0;
  std::vector<std::uint32_t> m_drawn; // from the origin, seen at no peer yet
  MonotonicTime m_lastGain;
  std::vector<MonotonicTime> m_turnGains;  // by turn at the origin
  std::vector<MonotonicTime> m_crossGains; // by turn of the place
  MonotonicTime m_drawAfter;
  std::chrono::nanoseconds m_latency{ 0 }; // of any chunk, smoothed
};

} // namespace siskindeal

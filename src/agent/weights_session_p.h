#pragma once
// Downloads the chunks of one manifest, stages them in the engine, verifies the
// result, and serves chunks to peers. Download makes the decisions; this class
// does the I/O.

#include "rollout/download_p.h"
#include "siskindeal/lock_order.h"
#include "siskindeal/weights_io.h"
#include "weights/engine_p.h"
#include "weights/link_shaper_p.h"
#include "weights/sha256_stream_p.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

// State shared by all sessions of an agent.
class WeightsContext
{
public:
  WeightsContext(const AgentSettings& aSettings,
                 std::shared_ptr<WeightsIo> aIo,
                 const Clock& aClock);

  // Reserves link time for a chunk and returns how long it must wait first.
  std::chrono::milliseconds Reserve(std::uint64_t aBytes);
  void RecordRequestBytes(std::uint64_t aBytes);
  bool TryAcquireUploadSlot();
  void ReleaseUploadSlot() { --m_uploads; }

  const AgentSettings m_settings;
  const std::shared_ptr<WeightsIo> m_io;
  const Clock& m_clock;
  const std::shared_ptr<Engine> m_engine;

private:
  OrderedMutex m_mutex{ LockLevel::Transport };
  LinkShaper m_shaper ABSL_GUARDED_BY(m_mutex);
  std::atomic<std::uint32_t> m_uploads{ 0 };
};

class WeightsSession : public std::enable_shared_from_this<WeightsSession>
{
public:
  enum class Stage
  {
    Preparing, // lists the chunks already staged
    Fetching,  // downloads chunks and reads staged ones back in order
    Checking,  // all chunks staged; reads the remaining ones back
    Staged,
    Ended,
  };

  // aOnStaged runs without locks held each time all chunks have been verified.
  WeightsSession(std::shared_ptr<WeightsContext> aContext,
                 const Manifest& aManifest,
                 const std::string& aPolicy,
                 std::function<void()> aOnStaged);

  void Start();
  void SetPeers(const std::vector<PeerInfo>& aPeers,
                const ChunkTurns& aTurns,
                bool aAllowOrigin);
  void End();
  // Reads all chunks back once more. aOnStaged runs again if they are intact.
  void Recheck();

  void ServeChunk(const wire::ChunkRequest& aRequest,
                  std::function<void(wire::ChunkReply)> aDone);
  wire::HaveReply Have(const wire::HaveRequest& aRequest);
  wire::Progress Progress();
  Stage CurrentStage();
  // SHA-256 of the complete content; empty until staged.
  std::string ContentHash();
  const Manifest& GetManifest() const { return m_manifest; }
  const std::string& Digest() const { return m_digest; }

private:
  void OnListed(const std::optional<std::vector<std::uint32_t>>& aChunks);
  void Tick();
  void Pump();
  void StartPulls(const std::vector<Pull>& aPulls);
  void StartPolls(const std::vector<Download::Poll>& aPolls);
  void FetchChunk(const Pull& aPull);
  void FetchFromOrigin(const Pull& aPull);
  void FetchFromPeer(const Pull& aPull);
  void OnChunkBytes(const Pull& aPull, std::string aBytes);
  void OnChunkStaged(const Pull& aPull, bool aStaged);
  void FailPull(const Pull& aPull,
                PullFailure aFailure,
                const std::string& aWhat);
  void OnPeerChunks(const std::string& aVm,
                    const std::string& aHave,
                    const std::string& aFetching);
  void ReadForPeer(std::uint32_t aIndex,
                   std::function<void(wire::ChunkReply)> aDone);
  // Reads the next chunk back if it is staged and no read is in flight.
  void CheckNextChunk();
  void OnChunkRead(std::uint32_t aIndex, const Engine::Staged& aStaged);
  void FinishCheck();
  void RestartCheck() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void DropChunk(std::uint32_t aIndex);
  bool ChunkMatches(std::uint32_t aIndex, const std::string& aBytes) const;

  const std::shared_ptr<WeightsContext> m_context;
  const Manifest m_manifest;
  const std::string m_digest;
  const std::function<void()> m_onStaged;

  OrderedMutex m_mutex{ LockLevel::Session };
  Stage m_stage ABSL_GUARDED_BY(m_mutex) = Stage::Preparing;
  Download m_download ABSL_GUARDED_BY(m_mutex);
  std::shared_ptr<Sha256Stream> m_stream ABSL_GUARDED_BY(m_mutex);
  // Number of chunks hashed in m_stream.
  std::uint32_t m_checkedChunks ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_readInFlight ABSL_GUARDED_BY(m_mutex) = false;
  std::string m_contentHash ABSL_GUARDED_BY(m_mutex);
  std::string m_problem ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_originBytes ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint64_t m_peerBytes ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace siskindeal

#pragma once
// One manifest on one VM, from the first chunk to weights that are staged
// whole: the I/O around the decisions of a Download. Chunks are served to peers
// meanwhile and afterwards.

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

// What the sessions of an agent share.
class WeightsContext
{
public:
  WeightsContext(const AgentSettings& aSettings,
                 std::shared_ptr<WeightsIo> aIo,
                 const Clock& aClock);

  // How long a chunk of aBytes must wait for its turn on the link.
  std::chrono::milliseconds Reserve(std::uint64_t aBytes);
  void NoteLive(std::uint64_t aBytes);
  bool TakeUploadSlot();
  void ReturnUploadSlot() { --m_uploads; }

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
    Preparing, // asks the engine what it holds already
    Fetching,  // and reads back in order what it holds
    Checking,  // holds all; reads the rest back
    Staged,
    Ended,
  };

  // aOnStaged runs each time the whole has been verified, with no lock held.
  WeightsSession(std::shared_ptr<WeightsContext> aContext,
                 const Manifest& aManifest,
                 const std::string& aPolicy,
                 std::function<void()> aOnStaged);

  void Start();
  void SetPeers(const std::vector<PeerInfo>& aPeers,
                const ChunkTurns& aTurns,
                bool aAllowOrigin);
  void End();
  // Reads the whole back once more; aOnStaged runs again when it is right.
  void CheckAgain();

  void Serve(const wire::ChunkRequest& aRequest,
             std::function<void(wire::ChunkReply)> aDone);
  wire::HaveReply Have(const wire::HaveRequest& aRequest);
  wire::Progress Progress();
  Stage CurrentStage();
  // The SHA-256 of all bytes, known once staged.
  std::string Content();
  const Manifest& GetManifest() const { return m_manifest; }
  const std::string& Digest() const { return m_digest; }

private:
  void OnListed(const std::optional<std::vector<std::uint32_t>>& aChunks);
  void Tick();
  void Pump();
  void StartPulls(const std::vector<Pull>& aPulls);
  void StartPolls(const std::vector<Download::Poll>& aPolls);
  void Ask(const Pull& aPull);
  void AskOrigin(const Pull& aPull);
  void AskPeer(const Pull& aPull);
  void OnBytes(const Pull& aPull, std::string aBytes);
  void OnStagedChunk(const Pull& aPull, bool aStaged);
  void Fail(const Pull& aPull, PullFailure aFailure, const std::string& aWhat);
  void OnPeerHas(const std::string& aVm,
                 const std::string& aHave,
                 const std::string& aFetching);
  void ReadForPeer(std::uint32_t aIndex,
                   std::function<void(wire::ChunkReply)> aDone);
  // Reads the next chunk back, if it is held and none is being read.
  void CheckNext();
  void OnChecked(std::uint32_t aIndex, const Engine::Staged& aStaged);
  void EndCheck();
  void RestartCheck() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void DropChunk(std::uint32_t aIndex);
  bool IsChunk(std::uint32_t aIndex, const std::string& aBytes) const;

  const std::shared_ptr<WeightsContext> m_context;
  const Manifest m_manifest;
  const std::string m_digest;
  const std::function<void()> m_onStaged;

  OrderedMutex m_mutex{ LockLevel::Session };
  Stage m_stage ABSL_GUARDED_BY(m_mutex) = Stage::Preparing;
  Download m_download ABSL_GUARDED_BY(m_mutex);
  std::shared_ptr<Sha256Stream> m_stream ABSL_GUARDED_BY(m_mutex);
  std::uint32_t m_checked ABSL_GUARDED_BY(m_mutex) = 0; // chunks in m_stream
  bool m_reading ABSL_GUARDED_BY(m_mutex) = false;
  std::string m_content ABSL_GUARDED_BY(m_mutex);
  std::string m_problem ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_originBytes ABSL_GUARDED_BY(m_mutex) = 0;
  std::uint64_t m_peerBytes ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace siskindeal

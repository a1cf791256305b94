#pragma once
// Implementation of WeightsAgent: admits orders, keeps one session per digest,
// and sends load and unload orders to the engine one at a time.

#include "agent/weights_record_p.h"
#include "agent/weights_session_p.h"
#include "siskindeal/weights_agent.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace siskindeal {

class WeightsAgent::Impl : public std::enable_shared_from_this<Impl>
{
public:
  using OrderDone = std::function<void(wire::OrderReply)>;

  Impl(const AgentSettings& aSettings,
       std::shared_ptr<WeightsIo> aIo,
       const Clock& aClock);

  void Recover();
  void ObserveFencingToken(const std::string& aShard, std::uint64_t aToken);
  void OnOrder(const wire::OrderRequest& aRequest, OrderDone aDone);
  void OnChunk(const wire::ChunkRequest& aRequest,
               std::function<void(wire::ChunkReply)> aDone);
  void OnHave(const wire::HaveRequest& aRequest,
              std::function<void(wire::HaveReply)> aDone);
  bool IsServing(const std::string& aDigest);
  std::shared_ptr<void> Acquire(const std::string& aDigest);
  void RecordRequestBytes(std::uint64_t aBytes)
  {
    m_context->RecordRequestBytes(aBytes);
  }
  void FillRecord(wire::NodeRecord& aRecord);
  std::string StateJson();
  void Stop();

private:
  enum class LoadState
  {
    Idle,
    Queued,
    Loading,
    Serving,   // loaded and attested
    Releasing, // accepts no new requests; unloaded after the last one
  };

  // State of one digest on this VM.
  struct HeldWeights
  {
    std::shared_ptr<WeightsSession> m_session;
    std::set<std::string> m_classes;
    std::string m_shard;       // of the last order
    std::uint64_t m_token = 0; // of the last order
    LoadState m_load = LoadState::Idle;
    std::string m_attestedHash; // content hash reported by the engine
    bool m_loadWhenStaged = false;
    bool m_reloadWhenStaged = false; // after staged chunks were re-verified
    std::uint32_t m_activeRequests = 0;
    std::uint32_t m_loadAttempts = 0; // consecutive failures
    std::uint64_t m_lastUse = 0;      // value of m_useCounter
    std::string m_problem;
  };

  struct EngineOrder
  {
    std::string m_digest;
    bool m_isLoad = true; // false: unload
    std::string m_shard;
    std::uint64_t m_token = 0;
  };

  // Returns false and fills aReply if the order is refused. Sets aTokenRaised
  // if the order carried a higher token than any before.
  bool Admit(const wire::OrderRequest& aRequest,
             wire::OrderReply& aReply,
             bool& aTokenRaised);
  void ApplyOrder(const wire::OrderRequest& aRequest, OrderDone aDone);
  wire::OrderReply ApplyFetch(const wire::OrderRequest& aRequest);
  wire::OrderReply ApplyLoad(const wire::OrderRequest& aRequest);
  wire::OrderReply ApplyUnload(const wire::OrderRequest& aRequest);
  wire::OrderReply ApplyAbandon(const wire::OrderRequest& aRequest);
  void FetchManifest(wire::OrderRequest aRequest, int aPeer, OrderDone aDone);
  std::shared_ptr<WeightsSession> MakeSession(const Manifest& aManifest,
                                              const std::string& aPolicy);
  void StageManifest(const Manifest& aManifest);
  // Ends the least recently used idle sessions beyond kMaxIdleDigests. The
  // caller drops the returned digests from the engine.
  std::vector<std::string> EvictIdle() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void DropStaged(const std::string& aDigest);

  void OnStaged(const std::string& aDigest);
  // Returns whether weights other than aDigest and its base are loaded or about
  // to be loaded. In that case the planner decides when this VM switches.
  bool HasOtherWeights(const std::string& aDigest,
                       const HeldWeights& aWeights) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void QueueLoad(HeldWeights& aWeights, const std::string& aDigest)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RunNextOrder();
  // Returns whether the order may be sent and marks a load as Loading. Updates
  // the state of an order that is skipped.
  bool PrepareOrder(const EngineOrder& aOrder)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void OnLoaded(const EngineOrder& aOrder, const EngineState& aState);
  void OnUnloaded(const EngineOrder& aOrder, const EngineState& aState);
  void FinishOrder();
  void Release(const std::string& aDigest,
               const std::shared_ptr<WeightsSession>& aSession);
  void WatchEngine();
  void OnEngineState(std::uint64_t aEpoch, const EngineState& aState);
  // Detects an engine restart, which discards all staged data.
  void CheckMarker();
  void StageMarker();
  void DropUnloaded();

  // Recovery after a restart.
  void OnRecord(const WeightsRecord& aRecord, bool aFound);
  void FetchLeaseTokens();
  void RestoreWeights(const WeightsRecord::Entry& aEntry);
  void BecomeReady();
  bool RaiseToken(const std::string& aShard, std::uint64_t aToken)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Persist(std::function<void(bool)> aDone);
  void WriteRecord();

  const std::shared_ptr<WeightsContext> m_context;
  OrderedMutex m_mutex{ LockLevel::Rollout };
  bool m_ready ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
  bool m_markerStaged ABSL_GUARDED_BY(m_mutex) = false;
  std::map<std::string, std::uint64_t> m_tokens ABSL_GUARDED_BY(m_mutex);
  // Keyed by digest.
  std::map<std::string, HeldWeights> m_weights ABSL_GUARDED_BY(m_mutex);
  // Digest of the last fetch order.
  std::string m_currentDigest ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_useCounter ABSL_GUARDED_BY(m_mutex) = 0;
  std::deque<EngineOrder> m_orders ABSL_GUARDED_BY(m_mutex);
  bool m_orderInFlight ABSL_GUARDED_BY(m_mutex) = false;
  // Incremented when an engine order starts or ends.
  std::uint64_t m_epoch ABSL_GUARDED_BY(m_mutex) = 0;
  std::vector<std::function<void(bool)>> m_persistCallbacks
    ABSL_GUARDED_BY(m_mutex);
  bool m_writeInFlight ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

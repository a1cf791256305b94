#pragma once
// The state behind WeightsAgent: the gate for orders, the sessions by digest
// and the engine's orders, one at a time.

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
  std::shared_ptr<void> Use(const std::string& aDigest);
  void NoteLiveBytes(std::uint64_t aBytes) { m_context->NoteLive(aBytes); }
  void FillRecord(wire::NodeRecord& aRecord);
  std::string StateJson();
  void Stop();

private:
  enum class LoadState
  {
    Idle,
    Queued,
    Loading,
    Serving,   // attested
    Releasing, // takes no new request; unloaded after the last
  };

  // Weights of one digest on this VM.
  struct Held
  {
    std::shared_ptr<WeightsSession> m_session;
    std::set<std::string> m_classes;
    std::string m_shard;       // of the last order
    std::uint64_t m_token = 0; // of the last order
    LoadState m_load = LoadState::Idle;
    std::string m_attested; // the content that the engine loaded
    bool m_loadWhenStaged = false;
    bool m_loadAgain = false; // once what is staged was read back again
    std::uint32_t m_uses = 0;
    std::uint32_t m_attempts = 0; // of the load, in a row
    std::uint64_t m_touched = 0;  // order of last use
    std::string m_problem;
  };

  struct EngineOrder
  {
    std::string m_digest;
    bool m_load = true; // else unload
    std::string m_shard;
    std::uint64_t m_token = 0;
  };

  // Orders.
  bool Admit(const wire::OrderRequest& aRequest,
             wire::OrderReply& aReply,
             bool& aGrew);
  void Apply(const wire::OrderRequest& aRequest, OrderDone aDone);
  wire::OrderReply ApplyFetch(const wire::OrderRequest& aRequest);
  wire::OrderReply ApplyLoad(const wire::OrderRequest& aRequest);
  wire::OrderReply ApplyUnload(const wire::OrderRequest& aRequest);
  wire::OrderReply ApplyAbandon(const wire::OrderRequest& aRequest);
  void FetchManifest(wire::OrderRequest aRequest, int aPeer, OrderDone aDone);
  std::shared_ptr<WeightsSession> MakeSession(const Manifest& aManifest,
                                              const std::string& aPolicy);
  void StageManifest(const Manifest& aManifest);
  // Ends what is beyond the number kept for going back; the answer is to be
  // dropped from the engine.
  std::vector<std::string> EndOldest() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void DropStaged(const std::string& aDigest);

  // Engine orders.
  void OnStaged(const std::string& aDigest);
  // Whether other weights than its base are loaded, or are about to be: then
  // the planner says when this VM changes over.
  bool ServesOther(const std::string& aDigest, const Held& aHeld) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void QueueLoad(Held& aHeld, const std::string& aDigest)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RunNextOrder();
  bool Allowed(const EngineOrder& aOrder)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void OnLoaded(const EngineOrder& aOrder, const EngineState& aState);
  void OnUnloaded(const EngineOrder& aOrder, const EngineState& aState);
  void EndOrder();
  void Release(const std::string& aDigest,
               const std::shared_ptr<WeightsSession>& aSession);
  void WatchEngine();
  void OnEngineState(std::uint64_t aEpoch, const EngineState& aState);
  // Notices an engine that restarted: what was staged there is gone.
  void CheckMarker();
  void StageMarker();
  void DropUnloaded();

  // Restart.
  void OnRecord(const WeightsRecord& aRecord, bool aFound);
  void LearnTokens();
  void Restore(const WeightsRecord::Entry& aEntry);
  void BecomeReady();
  bool Grow(const std::string& aShard, std::uint64_t aToken)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Persist(std::function<void(bool)> aDone);
  void WriteRecord();

  const std::shared_ptr<WeightsContext> m_context;
  OrderedMutex m_mutex{ LockLevel::Rollout };
  bool m_ready ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
  bool m_marked ABSL_GUARDED_BY(m_mutex) = false; // the engine has the marker
  std::map<std::string, std::uint64_t> m_tokens ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Held> m_held ABSL_GUARDED_BY(m_mutex); // by digest
  std::string m_current ABSL_GUARDED_BY(m_mutex); // of the last fetch order
  std::uint64_t m_touches ABSL_GUARDED_BY(m_mutex) = 0;
  std::deque<EngineOrder> m_orders ABSL_GUARDED_BY(m_mutex);
  bool m_orderRunning ABSL_GUARDED_BY(m_mutex) = false;
  std::uint64_t m_epoch ABSL_GUARDED_BY(m_mutex) = 0; // of engine orders
  std::vector<std::function<void(bool)>> m_unwritten ABSL_GUARDED_BY(m_mutex);
  bool m_writing ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace siskindeal

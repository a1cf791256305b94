#pragma once
// Agent side of weight rollouts. Accepts orders guarded by fencing tokens,
// downloads and verifies chunks, serves them to peers, and attests the weights
// that the engine has loaded.

#include "siskindeal/clock.h"
#include "siskindeal/weights_io.h"

#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

class WeightsAgent
{
public:
  // aClock must outlive all calls in progress.
  WeightsAgent(const AgentSettings& aSettings,
               std::shared_ptr<WeightsIo> aIo,
               const Clock& aClock);
  ~WeightsAgent();
  WeightsAgent(const WeightsAgent&) = delete;
  WeightsAgent& operator=(const WeightsAgent&) = delete;

  // Restores staged and loaded weights and the fencing tokens from the engine,
  // and attests loaded weights again. Orders are refused until the current
  // token is known.
  void Recover();

  // Records a lease's token relayed by an entry. Tokens only increase.
  void ObserveFencingToken(const std::string& aShard, std::uint64_t aToken);

  // An accepted order is either executed, or its failure is reported in the
  // node record.
  void OnOrder(const wire::OrderRequest& aRequest,
               std::function<void(wire::OrderReply)> aDone);
  void OnChunk(const wire::ChunkRequest& aRequest,
               std::function<void(wire::ChunkReply)> aDone);
  void OnHave(const wire::HaveRequest& aRequest,
              std::function<void(wire::HaveReply)> aDone);

  // Returns whether the engine has loaded this digest and its content has been
  // attested, so that requests may use it.
  bool IsServing(const std::string& aDigest) const;

  // Keeps the digest loaded for the lifetime of the returned object, normally
  // one request. Returns null if the digest is not serving.
  std::shared_ptr<void> Acquire(const std::string& aDigest);

  // Records request traffic on the VM's link, which has priority over chunks.
  void RecordRequestBytes(std::uint64_t aBytes);

  // Sets the serving, staged, loading, progress and fencing token fields.
  void FillRecord(wire::NodeRecord& aRecord) const;
  std::string StateJson() const;

  // Stops downloads. Pending calls still complete; no new ones are started.
  void Stop();

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace siskindeal

#pragma once
// The agent's part in rollouts: it takes orders under fencing tokens, fetches
// and verifies chunks, serves them to peers, and attests what its engine
// answers with.

#include "siskindeal/clock.h"
#include "siskindeal/weights_io.h"

#include <functional>
#include <memory>
#include <string>

namespace siskindeal {

class WeightsAgent
{
public:
  // The clock must outlive the calls in progress.
  WeightsAgent(const AgentSettings& aSettings,
               std::shared_ptr<WeightsIo> aIo,
               const Clock& aClock);
  ~WeightsAgent();
  WeightsAgent(const WeightsAgent&) = delete;
  WeightsAgent& operator=(const WeightsAgent&) = delete;

  // Learns from the engine what is staged and loaded and which tokens were
  // seen, and attests again what is loaded. Orders are refused until the
  // current token is known.
  void Recover();

  // A lease's token as relayed by the entries; tokens only grow.
  void ObserveFencingToken(const std::string& aShard, std::uint64_t aToken);

  // Accepted means that the order will be carried out or its failure reported
  // in the record.
  void OnOrder(const wire::OrderRequest& aRequest,
               std::function<void(wire::OrderReply)> aDone);
  void OnChunk(const wire::ChunkRequest& aRequest,
               std::function<void(wire::ChunkReply)> aDone);
  void OnHave(const wire::HaveRequest& aRequest,
              std::function<void(wire::HaveReply)> aDone);

  // Whether the engine's load of this digest has been attested and requests
  // may name it.
  bool IsServing(const std::string& aDigest) const;

  // Keeps the digest loaded while the returned object lives; null when the
  // digest isn't serving. Held for as long as a request runs.
  std::shared_ptr<void> Use(const std::string& aDigest);

  // Bytes of live requests on the VM's link; chunks give way to them.
  void NoteLiveBytes(std::uint64_t aBytes);

  // Fills in serving, staged, progress, loading and the fencing token.
  void FillRecord(wire::NodeRecord& aRecord) const;
  std::string StateJson() const;

  // Ends downloads; calls in progress are answered, no new ones are made.
  void Stop();

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace siskindeal

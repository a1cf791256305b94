#include "agent/weights_agent_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskindeal {

namespace {

wire::ChunkReply
MissingChunk()
{
  wire::ChunkReply reply;
  reply.set_missing(true);
  return reply;
}

} // namespace

WeightsAgent::Impl::Impl(const AgentSettings& aSettings,
                         std::shared_ptr<WeightsIo> aIo,
                         const Clock& aClock)
  : m_context(
      std::make_shared<WeightsContext>(aSettings, std::move(aIo), aClock))
{
}

void
WeightsAgent::Impl::OnChunk(const wire::ChunkRequest& aRequest,
                            std::function<void(wire::ChunkReply)> aDone)
{
  std::shared_ptr<WeightsSession> session;
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_weights.find(aRequest.digest());
    if (found != m_weights.end() && !m_stopped) {
      session = found->second.m_session;
    }
  }
  if (!session) {
    return aDone(MissingChunk());
  }
  if (aRequest.manifest()) {
    wire::ChunkReply reply;
    reply.set_bytes(ToJson(session->GetManifest()));
    return aDone(std::move(reply));
  }
  session->ServeChunk(aRequest, std::move(aDone));
}

void
WeightsAgent::Impl::OnHave(const wire::HaveRequest& aRequest,
                           std::function<void(wire::HaveReply)> aDone)
{
  std::shared_ptr<WeightsSession> session;
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_weights.find(aRequest.digest());
    if (found != m_weights.end()) {
      session = found->second.m_session;
    }
  }
  aDone(session ? session->Have(aRequest) : wire::HaveReply{});
}

void
WeightsAgent::Impl::FillRecord(wire::NodeRecord& aRecord)
{
  const OrderedLock lock(m_mutex);
  aRecord.clear_serving_digests();
  aRecord.clear_staged_digests();
  aRecord.clear_serving();
  aRecord.clear_loading_digest();
  std::vector<std::pair<std::uint64_t, std::string>> serving;
  for (const auto& [digest, weights] : m_weights) {
    if (weights.m_load == LoadState::Serving) {
      aRecord.add_serving_digests(digest);
      serving.emplace_back(weights.m_lastUse, digest);
    }
    if (weights.m_load == LoadState::Loading) {
      aRecord.set_loading_digest(digest);
    }
    if (weights.m_session->CurrentStage() == WeightsSession::Stage::Staged) {
      aRecord.add_staged_digests(digest);
    }
  }
  std::sort(serving.begin(), serving.end());
  for (const auto& [lastUse, digest] : serving) {
    for (const auto& name : m_weights[digest].m_classes) {
      auto* entry = aRecord.add_serving();
      entry->set_class_of_work(name);
      entry->set_digest(digest);
    }
  }
  std::uint64_t highest = 0;
  for (const auto& [shard, token] : m_tokens) {
    highest = std::max(highest, token);
  }
  aRecord.set_fencing_token(highest);
  const auto current = m_weights.find(m_currentDigest);
  if (current == m_weights.end()) {
    aRecord.clear_progress();
    return;
  }
  *aRecord.mutable_progress() = current->second.m_session->Progress();
  if (!current->second.m_problem.empty()) {
    aRecord.mutable_progress()->set_problem(current->second.m_problem);
  }
}

std::string
WeightsAgent::Impl::StateJson()
{
  const OrderedLock lock(m_mutex);
  static constexpr const char* kStages[] = {
    "preparing", "fetching", "checking", "staged", "ended"
  };
  static constexpr const char* kLoads[] = {
    "idle", "queued", "loading", "serving", "releasing"
  };
  auto weights = nlohmann::json::array();
  for (const auto& [digest, state] : m_weights) {
    const auto progress = state.m_session->Progress();
    weights.push_back(nlohmann::json{
      { "digest", digest },
      { "classes", state.m_classes },
      { "stage", kStages[static_cast<int>(state.m_session->CurrentStage())] },
      { "load", kLoads[static_cast<int>(state.m_load)] },
      { "requests", state.m_activeRequests },
      { "chunks", progress.chunks() },
      { "verified", progress.verified() },
      { "origin_bytes", progress.origin_bytes() },
      { "peer_bytes", progress.peer_bytes() },
      { "problem",
        state.m_problem.empty() ? progress.problem() : state.m_problem } });
  }
  return nlohmann::json{
    { "takes_orders", m_ready },
    { "fencing_tokens", m_tokens },
    { "weights", weights }
  }.dump();
}

void
WeightsAgent::Impl::Stop()
{
  const OrderedLock lock(m_mutex);
  m_stopped = true;
  for (const auto& [digest, weights] : m_weights) {
    weights.m_session->End();
  }
}

WeightsAgent::WeightsAgent(const AgentSettings& aSettings,
                           std::shared_ptr<WeightsIo> aIo,
                           const Clock& aClock)
  : m_impl(std::make_shared<Impl>(aSettings, std::move(aIo), aClock))
{
}

WeightsAgent::~WeightsAgent()
{
  m_impl->Stop();
}

void
WeightsAgent::Recover()
{
  m_impl->Recover();
}

void
WeightsAgent::ObserveFencingToken(const std::string& aShard,
                                  std::uint64_t aToken)
{
  m_impl->ObserveFencingToken(aShard, aToken);
}

void
WeightsAgent::OnOrder(const wire::OrderRequest& aRequest,
                      std::function<void(wire::OrderReply)> aDone)
{
  m_impl->OnOrder(aRequest, std::move(aDone));
}

void
WeightsAgent::OnChunk(const wire::ChunkRequest& aRequest,
                      std::function<void(wire::ChunkReply)> aDone)
{
  m_impl->OnChunk(aRequest, std::move(aDone));
}

void
WeightsAgent::OnHave(const wire::HaveRequest& aRequest,
                     std::function<void(wire::HaveReply)> aDone)
{
  m_impl->OnHave(aRequest, std::move(aDone));
}

bool
WeightsAgent::IsServing(const std::string& aDigest) const
{
  return m_impl->IsServing(aDigest);
}

std::shared_ptr<void>
WeightsAgent::Acquire(const std::string& aDigest)
{
  return m_impl->Acquire(aDigest);
}

void
WeightsAgent::RecordRequestBytes(std::uint64_t aBytes)
{
  m_impl->RecordRequestBytes(aBytes);
}

void
WeightsAgent::FillRecord(wire::NodeRecord& aRecord) const
{
  m_impl->FillRecord(aRecord);
}

std::string
WeightsAgent::StateJson() const
{
  return m_impl->StateJson();
}

void
WeightsAgent::Stop()
{
  m_impl->Stop();
}

} // namespace siskindeal

#include "agent/weights_agent_p.h"

#include "siskindeal/error.h"
#include "siskindeal/invariant.h"
#include "siskindeal/log.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::size_t kMaxIdleDigests = 3; // kept staged for rollback
constexpr std::chrono::milliseconds kManifestTimeout{ 5000 };

wire::OrderReply
AcceptedReply()
{
  wire::OrderReply reply;
  reply.set_accepted(true);
  return reply;
}

wire::OrderReply
RefusedReply(Reason aReason, const std::string& aWhat)
{
  wire::OrderReply reply;
  reply.set_reason(std::string(ToString(aReason)));
  reply.set_what(aWhat);
  return reply;
}

std::vector<PeerInfo>
PeersOf(const wire::FetchOrder& aOrder)
{
  std::vector<PeerInfo> peers;
  for (const auto& peer : aOrder.peers()) {
    peers.push_back(PeerInfo{ peer.vm(), peer.place(), peer.address() });
  }
  return peers;
}

ChunkTurns
TurnsOf(const wire::FetchOrder& aOrder)
{
  return ChunkTurns{ aOrder.fleet_index(),
                     aOrder.fleet_count(),
                     aOrder.place_index(),
                     aOrder.place_count(),
                     aOrder.origin_by_place() };
}

} // namespace

bool
WeightsAgent::Impl::RaiseToken(const std::string& aShard, std::uint64_t aToken)
{
  auto& highest = m_tokens[aShard];
  if (aToken <= highest) {
    return false;
  }
  highest = aToken;
  return true;
}

bool
WeightsAgent::Impl::Admit(const wire::OrderRequest& aRequest,
                          wire::OrderReply& aReply,
                          bool& aTokenRaised)
{
  const OrderedLock lock(m_mutex);
  if (!m_ready || m_stopped) {
    aReply = RefusedReply(Reason::Unavailable,
                          "the current fencing token is not known yet");
    return false;
  }
  const auto highest = m_tokens[aRequest.shard()];
  if (aRequest.fencing_token() < highest) {
    aReply = RefusedReply(Reason::StaleFencingToken,
                          "token " + std::to_string(aRequest.fencing_token()) +
                            " of shard " + aRequest.shard() + " is below " +
                            std::to_string(highest));
    aReply.set_highest_token(highest);
    return false;
  }
  aTokenRaised = RaiseToken(aRequest.shard(), aRequest.fencing_token());
  return true;
}

void
WeightsAgent::Impl::OnOrder(const wire::OrderRequest& aRequest, OrderDone aDone)
{
  wire::OrderReply refusal;
  bool tokenRaised = false;
  if (!Admit(aRequest, refusal, tokenRaised)) {
    return aDone(refusal);
  }
  if (!tokenRaised) {
    return ApplyOrder(aRequest, std::move(aDone));
  }
  Persist([self = shared_from_this(), aRequest, aDone](bool aWritten) {
    if (!aWritten) {
      return aDone(RefusedReply(Reason::Unavailable,
                                "the fencing token could not be persisted"));
    }
    wire::OrderReply lateRefusal;
    bool tokenRaisedAgain = false;
    if (!self->Admit(aRequest, lateRefusal, tokenRaisedAgain)) {
      return aDone(lateRefusal);
    }
    self->ApplyOrder(aRequest, aDone);
  });
}

void
WeightsAgent::Impl::ApplyOrder(const wire::OrderRequest& aRequest,
                               OrderDone aDone)
{
  wire::OrderReply reply;
  try {
    switch (aRequest.order_case()) {
      case wire::OrderRequest::kFetch:
        if (aRequest.fetch().manifest().empty()) {
          return FetchManifest(aRequest, 0, std::move(aDone));
        }
        reply = ApplyFetch(aRequest);
        break;
      case wire::OrderRequest::kLoad:
        reply = ApplyLoad(aRequest);
        break;
      case wire::OrderRequest::kUnload:
        reply = ApplyUnload(aRequest);
        break;
      case wire::OrderRequest::kAbandon:
        reply = ApplyAbandon(aRequest);
        break;
      default:
        reply = RefusedReply(Reason::BadRequest, "unknown order type");
    }
  } catch (const Error& failure) {
    reply = RefusedReply(failure.GetReason(), failure.what());
  } catch (const std::invalid_argument& failure) {
    reply = RefusedReply(Reason::BadRequest, failure.what());
  }
  reply.set_highest_token(aRequest.fencing_token());
  aDone(std::move(reply));
}

void
WeightsAgent::Impl::FetchManifest(wire::OrderRequest aRequest,
                                  int aPeer,
                                  OrderDone aDone)
{
  const auto& order = aRequest.fetch();
  if (aPeer >= order.peers_size()) {
    return aDone(RefusedReply(Reason::NotFound, "no peer has the manifest"));
  }
  wire::ChunkRequest request;
  request.set_digest(order.digest());
  request.set_manifest(true);
  const auto address = order.peers(aPeer).address();
  m_context->m_io->Chunk(
    address,
    request,
    kManifestTimeout,
    [self = shared_from_this(), aRequest, aPeer, aDone](
      const RpcStatus& aStatus, const wire::ChunkReply& aReply) mutable {
      if (aStatus.m_outcome != RpcOutcome::Ok || aReply.missing()) {
        return self->FetchManifest(std::move(aRequest), aPeer + 1, aDone);
      }
      aRequest.mutable_fetch()->set_manifest(aReply.bytes());
      self->ApplyOrder(aRequest, aDone);
    });
}

std::shared_ptr<WeightsSession>
WeightsAgent::Impl::MakeSession(const Manifest& aManifest,
                                const std::string& aPolicy)
{
  return std::make_shared<WeightsSession>(
    m_context,
    aManifest,
    aPolicy,
    [weak = weak_from_this(), digest = aManifest.Digest()] {
      if (const auto self = weak.lock()) {
        self->OnStaged(digest);
      }
    });
}

void
WeightsAgent::Impl::StageManifest(const Manifest& aManifest)
{
  m_context->m_engine->Stage(
    ManifestStagingName(aManifest.Digest()), 0, ToJson(aManifest), [](bool) {});
}

wire::OrderReply
WeightsAgent::Impl::ApplyFetch(const wire::OrderRequest& aRequest)
{
  const auto& order = aRequest.fetch();
  const auto manifest = ParseManifest(order.manifest());
  const auto digest = manifest.Digest();
  if (digest != order.digest()) {
    return RefusedReply(Reason::DigestMismatch,
                        "the manifest does not match the digest of the order");
  }
  auto newSession = MakeSession(manifest, order.policy());
  std::shared_ptr<WeightsSession> session;
  bool isNew = false;
  std::vector<std::string> evicted;
  {
    const OrderedLock lock(m_mutex);
    auto& weights = m_weights[digest];
    isNew = weights.m_session == nullptr;
    if (isNew) {
      weights.m_session = newSession;
    }
    session = weights.m_session;
    weights.m_classes.insert(order.class_of_work());
    weights.m_shard = aRequest.shard();
    weights.m_token = aRequest.fencing_token();
    weights.m_loadWhenStaged = order.load_when_staged();
    weights.m_lastUse = ++m_useCounter;
    m_currentDigest = digest;
    if (weights.m_loadWhenStaged && !HasOtherWeights(digest, weights) &&
        session->CurrentStage() == WeightsSession::Stage::Staged) {
      QueueLoad(weights, digest);
    }
    evicted = EvictIdle();
  }
  for (const auto& old : evicted) {
    DropStaged(old);
  }
  session->SetPeers(PeersOf(order), TurnsOf(order), order.allow_origin());
  if (isNew) {
    StageManifest(manifest);
    session->Start();
    Persist([](bool) {});
  }
  RunNextOrder();
  return AcceptedReply();
}

std::vector<std::string>
WeightsAgent::Impl::EvictIdle()
{
  std::vector<std::pair<std::uint64_t, std::string>> idle;
  for (const auto& [digest, weights] : m_weights) {
    if (weights.m_load == LoadState::Idle && digest != m_currentDigest) {
      idle.emplace_back(weights.m_lastUse, digest);
    }
  }
  std::sort(idle.begin(), idle.end());
  std::vector<std::string> evicted;
  for (std::size_t i = 0; i + kMaxIdleDigests < idle.size(); ++i) {
    const auto& digest = idle[i].second;
    m_weights[digest].m_session->End();
    m_weights.erase(digest);
    evicted.push_back(digest);
  }
  return evicted;
}

void
WeightsAgent::Impl::DropStaged(const std::string& aDigest)
{
  m_context->m_engine->DropStaged(aDigest);
  m_context->m_engine->DropStaged(ManifestStagingName(aDigest));
}

wire::OrderReply
WeightsAgent::Impl::ApplyLoad(const wire::OrderRequest& aRequest)
{
  const auto& order = aRequest.load();
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_weights.find(order.digest());
    if (found == m_weights.end() || found->second.m_session->CurrentStage() !=
                                      WeightsSession::Stage::Staged) {
      return RefusedReply(Reason::NotFound,
                          "the digest is not completely staged");
    }
    auto& weights = found->second;
    const auto& base = weights.m_session->GetManifest().m_baseDigest;
    if (base != order.base_digest()) {
      return RefusedReply(Reason::DigestMismatch,
                          "the adapter is pinned to base \"" + base + "\"");
    }
    weights.m_classes.insert(order.class_of_work());
    weights.m_shard = aRequest.shard();
    weights.m_token = aRequest.fencing_token();
    weights.m_lastUse = ++m_useCounter;
    weights.m_loadAttempts = 0;
    QueueLoad(weights, order.digest());
  }
  RunNextOrder();
  return AcceptedReply();
}

wire::OrderReply
WeightsAgent::Impl::ApplyUnload(const wire::OrderRequest& aRequest)
{
  const auto& digest = aRequest.unload().digest();
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_weights.find(digest);
    if (found == m_weights.end() || found->second.m_load == LoadState::Idle) {
      return AcceptedReply();
    }
    for (const auto& [other, weights] : m_weights) {
      if (weights.m_load != LoadState::Idle &&
          weights.m_load != LoadState::Releasing &&
          weights.m_session->GetManifest().m_baseDigest == digest) {
        return RefusedReply(Reason::Conflict,
                            "an adapter of this base is loaded");
      }
    }
    auto& weights = found->second;
    if (weights.m_load == LoadState::Loading) {
      return RefusedReply(Reason::Conflict, "the digest is being loaded");
    }
    weights.m_shard = aRequest.shard();
    weights.m_token = aRequest.fencing_token();
    if (weights.m_load == LoadState::Queued) {
      weights.m_load = LoadState::Idle;
      return AcceptedReply();
    }
    const bool alreadyReleasing = weights.m_load == LoadState::Releasing;
    weights.m_load = LoadState::Releasing;
    if (weights.m_activeRequests == 0 && !alreadyReleasing) {
      m_orders.push_back(
        EngineOrder{ digest, false, weights.m_shard, weights.m_token });
    }
  }
  RunNextOrder();
  return AcceptedReply();
}

wire::OrderReply
WeightsAgent::Impl::ApplyAbandon(const wire::OrderRequest& aRequest)
{
  const auto& digest = aRequest.abandon().digest();
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_weights.find(digest);
    if (found == m_weights.end()) {
      return AcceptedReply();
    }
    if (found->second.m_load != LoadState::Idle) {
      return RefusedReply(Reason::Conflict, "the digest is in use");
    }
    found->second.m_session->End();
    m_weights.erase(found);
    if (m_currentDigest == digest) {
      m_currentDigest.clear();
    }
  }
  DropStaged(digest);
  Persist([](bool) {});
  return AcceptedReply();
}

} // namespace siskindeal

#include "agent/weights_agent_p.h"

#include "siskindeal/error.h"
#include "siskindeal/invariant.h"
#include "siskindeal/log.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::size_t kMostIdleDigests = 3; // kept staged for going back
constexpr std::chrono::milliseconds kManifestTimeout{ 5000 };

wire::OrderReply
Accepted()
{
  wire::OrderReply reply;
  reply.set_accepted(true);
  return reply;
}

wire::OrderReply
Refused(Reason aReason, const std::string& aWhat)
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
WeightsAgent::Impl::Grow(const std::string& aShard, std::uint64_t aToken)
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
                          bool& aGrew)
{
  const OrderedLock lock(m_mutex);
  if (!m_ready || m_stopped) {
    aReply = Refused(Reason::Unavailable,
                     "the current fencing token is not known yet");
    return false;
  }
  const auto highest = m_tokens[aRequest.shard()];
  if (aRequest.fencing_token() < highest) {
    aReply = Refused(Reason::StaleFencingToken,
                     "token " + std::to_string(aRequest.fencing_token()) +
                       " of shard " + aRequest.shard() + " is below " +
                       std::to_string(highest));
    aReply.set_highest_token(highest);
    return false;
  }
  aGrew = Grow(aRequest.shard(), aRequest.fencing_token());
  return true;
}

void
WeightsAgent::Impl::OnOrder(const wire::OrderRequest& aRequest, OrderDone aDone)
{
  wire::OrderReply refusal;
  bool grew = false;
  if (!Admit(aRequest, refusal, grew)) {
    return aDone(refusal);
  }
  if (!grew) {
    return Apply(aRequest, std::move(aDone));
  }
  Persist([self = shared_from_this(), aRequest, aDone](bool aWritten) {
    if (!aWritten) {
      return aDone(
        Refused(Reason::Unavailable, "the fencing token could not be kept"));
    }
    wire::OrderReply newer;
    bool grewAgain = false;
    if (!self->Admit(aRequest, newer, grewAgain)) {
      return aDone(newer);
    }
    self->Apply(aRequest, aDone);
  });
}

void
WeightsAgent::Impl::Apply(const wire::OrderRequest& aRequest, OrderDone aDone)
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
        reply = Refused(Reason::BadRequest, "unknown order");
    }
  } catch (const Error& failure) {
    reply = Refused(failure.GetReason(), failure.what());
  } catch (const std::invalid_argument& failure) {
    reply = Refused(Reason::BadRequest, failure.what());
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
    return aDone(Refused(Reason::NotFound, "no peer has the manifest"));
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
      self->Apply(aRequest, aDone);
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
    return Refused(Reason::DigestMismatch, "the manifest has another digest");
  }
  auto made = MakeSession(manifest, order.policy());
  std::shared_ptr<WeightsSession> session;
  bool isNew = false;
  std::vector<std::string> ended;
  {
    const OrderedLock lock(m_mutex);
    auto& held = m_held[digest];
    isNew = held.m_session == nullptr;
    if (isNew) {
      held.m_session = made;
    }
    session = held.m_session;
    held.m_classes.insert(order.class_of_work());
    held.m_shard = aRequest.shard();
    held.m_token = aRequest.fencing_token();
    held.m_loadWhenStaged = order.load_when_staged();
    held.m_touched = ++m_touches;
    m_current = digest;
    if (held.m_loadWhenStaged && !ServesOther(digest, held) &&
        session->CurrentStage() == WeightsSession::Stage::Staged) {
      QueueLoad(held, digest);
    }
    ended = EndOldest();
  }
  for (const auto& old : ended) {
    DropStaged(old);
  }
  session->SetPeers(PeersOf(order), TurnsOf(order), order.allow_origin());
  if (isNew) {
    StageManifest(manifest);
    session->Start();
    Persist([](bool) {});
  }
  RunNextOrder();
  return Accepted();
}

std::vector<std::string>
WeightsAgent::Impl::EndOldest()
{
  std::vector<std::pair<std::uint64_t, std::string>> idle;
  for (const auto& [digest, held] : m_held) {
    if (held.m_load == LoadState::Idle && digest != m_current) {
      idle.emplace_back(held.m_touched, digest);
    }
  }
  std::sort(idle.begin(), idle.end());
  std::vector<std::string> ended;
  for (std::size_t i = 0; i + kMostIdleDigests < idle.size(); ++i) {
    const auto& digest = idle[i].second;
    m_held[digest].m_session->End();
    m_held.erase(digest);
    ended.push_back(digest);
  }
  return ended;
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
    const auto found = m_held.find(order.digest());
    if (found == m_held.end() || found->second.m_session->CurrentStage() !=
                                   WeightsSession::Stage::Staged) {
      return Refused(Reason::NotFound, "the digest is not staged whole");
    }
    auto& held = found->second;
    const auto& base = held.m_session->GetManifest().m_baseDigest;
    if (base != order.base_digest()) {
      return Refused(Reason::DigestMismatch,
                     "the adapter is pinned to base \"" + base + "\"");
    }
    held.m_classes.insert(order.class_of_work());
    held.m_shard = aRequest.shard();
    held.m_token = aRequest.fencing_token();
    held.m_touched = ++m_touches;
    held.m_attempts = 0;
    QueueLoad(held, order.digest());
  }
  RunNextOrder();
  return Accepted();
}

wire::OrderReply
WeightsAgent::Impl::ApplyUnload(const wire::OrderRequest& aRequest)
{
  const auto& digest = aRequest.unload().digest();
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_held.find(digest);
    if (found == m_held.end() || found->second.m_load == LoadState::Idle) {
      return Accepted();
    }
    for (const auto& [other, held] : m_held) {
      if (held.m_load != LoadState::Idle &&
          held.m_load != LoadState::Releasing &&
          held.m_session->GetManifest().m_baseDigest == digest) {
        return Refused(Reason::Conflict, "an adapter on it is loaded");
      }
    }
    auto& held = found->second;
    if (held.m_load == LoadState::Loading) {
      return Refused(Reason::Conflict, "it is being loaded");
    }
    held.m_shard = aRequest.shard();
    held.m_token = aRequest.fencing_token();
    if (held.m_load == LoadState::Queued) {
      held.m_load = LoadState::Idle;
      return Accepted();
    }
    const bool again = held.m_load == LoadState::Releasing;
    held.m_load = LoadState::Releasing;
    if (held.m_uses == 0 && !again) {
      m_orders.push_back(
        EngineOrder{ digest, false, held.m_shard, held.m_token });
    }
  }
  RunNextOrder();
  return Accepted();
}

wire::OrderReply
WeightsAgent::Impl::ApplyAbandon(const wire::OrderRequest& aRequest)
{
  const auto& digest = aRequest.abandon().digest();
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_held.find(digest);
    if (found == m_held.end()) {
      return Accepted();
    }
    if (found->second.m_load != LoadState::Idle) {
      return Refused(Reason::Conflict, "the digest is in use");
    }
    found->second.m_session->End();
    m_held.erase(found);
    if (m_current == digest) {
      m_current.clear();
    }
  }
  DropStaged(digest);
  Persist([](bool) {});
  return Accepted();
}

} // namespace siskindeal

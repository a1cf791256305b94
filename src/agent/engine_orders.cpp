#include "agent/weights_agent_p.h"

#include "siskindeal/invariant.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::uint32_t kMaxLoadAttempts = 5;
constexpr std::chrono::milliseconds kOrderRetryDelay{ 1000 };

} // namespace

void
WeightsAgent::Impl::OnStaged(const std::string& aDigest)
{
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_weights.find(aDigest);
    if (found != m_weights.end()) {
      auto& weights = found->second;
      const bool attemptsExhausted = weights.m_loadAttempts >= kMaxLoadAttempts;
      const bool autoLoad =
        weights.m_loadWhenStaged && !HasOtherWeights(aDigest, weights);
      if ((autoLoad || weights.m_reloadWhenStaged) && !attemptsExhausted) {
        QueueLoad(weights, aDigest);
      }
      weights.m_reloadWhenStaged = false;
    }
  }
  RunNextOrder();
}

bool
WeightsAgent::Impl::HasOtherWeights(const std::string& aDigest,
                                    const HeldWeights& aWeights) const
{
  const auto& base = aWeights.m_session->GetManifest().m_baseDigest;
  return std::any_of(
    m_weights.begin(), m_weights.end(), [&](const auto& aOther) {
      const auto& [digest, weights] = aOther;
      return digest != aDigest && digest != base &&
             weights.m_load != LoadState::Idle;
    });
}

void
WeightsAgent::Impl::QueueLoad(HeldWeights& aWeights, const std::string& aDigest)
{
  if (aWeights.m_load == LoadState::Releasing &&
      aWeights.m_activeRequests > 0) {
    aWeights.m_load = LoadState::Serving; // no unload is queued yet
    return;
  }
  if (aWeights.m_load != LoadState::Idle) {
    return;
  }
  aWeights.m_load = LoadState::Queued;
  m_orders.push_back(
    EngineOrder{ aDigest, true, aWeights.m_shard, aWeights.m_token });
}

bool
WeightsAgent::Impl::PrepareOrder(const EngineOrder& aOrder)
{
  const auto found = m_weights.find(aOrder.m_digest);
  if (found == m_weights.end()) {
    return false;
  }
  auto& weights = found->second;
  if (aOrder.m_token < m_tokens[aOrder.m_shard]) {
    // The order is stale; the newer lease holder sends its own orders.
    weights.m_load = aOrder.m_isLoad ? LoadState::Idle : LoadState::Serving;
    return false;
  }
  if (!aOrder.m_isLoad) {
    return weights.m_load == LoadState::Releasing &&
           weights.m_activeRequests == 0;
  }
  if (weights.m_load != LoadState::Queued) {
    return false;
  }
  const auto& base = weights.m_session->GetManifest().m_baseDigest;
  const auto baseWeights = m_weights.find(base);
  const bool baseLoaded =
    base.empty() || (baseWeights != m_weights.end() &&
                     baseWeights->second.m_load == LoadState::Serving);
  if (!baseLoaded || weights.m_session->ContentHash().empty()) {
    weights.m_load = LoadState::Idle;
    weights.m_problem =
      baseLoaded ? "" : "the base of the adapter is not loaded";
    return false;
  }
  weights.m_load = LoadState::Loading;
  return true;
}

void
WeightsAgent::Impl::RunNextOrder()
{
  EngineOrder order;
  std::shared_ptr<WeightsSession> session;
  {
    const OrderedLock lock(m_mutex);
    if (m_orderInFlight || m_stopped) {
      return;
    }
    while (!m_orders.empty() && !session) {
      order = m_orders.front();
      m_orders.pop_front();
      if (PrepareOrder(order)) {
        session = m_weights[order.m_digest].m_session;
        SISKINDEAL_INVARIANT(
          order.m_token >= m_tokens[order.m_shard],
          "orders sent to the engine carry a current fencing token");
      }
    }
    if (!session) {
      return;
    }
    m_orderInFlight = true;
    ++m_epoch;
  }
  const auto& manifest = session->GetManifest();
  auto self = shared_from_this();
  if (order.m_isLoad) {
    m_context->m_engine->Load(order.m_digest,
                              manifest.m_baseDigest,
                              manifest.ChunkCount(),
                              order.m_token,
                              [self, order](const EngineState& aState) {
                                self->OnLoaded(order, aState);
                              });
    return;
  }
  m_context->m_engine->Unload(
    order.m_digest, order.m_token, [self, order](const EngineState& aState) {
      self->OnUnloaded(order, aState);
    });
}

void
WeightsAgent::Impl::OnLoaded(const EngineOrder& aOrder,
                             const EngineState& aState)
{
  bool contentMismatch = false;
  bool retry = false;
  std::shared_ptr<WeightsSession> session;
  {
    const OrderedLock lock(m_mutex);
    auto& weights = m_weights[aOrder.m_digest];
    session = weights.m_session;
    const auto content = session->ContentHash();
    const bool loaded =
      aState.m_answered && std::find(aState.m_loaded.begin(),
                                     aState.m_loaded.end(),
                                     aOrder.m_digest) != aState.m_loaded.end();
    if (loaded && !content.empty() && aState.m_content == content) {
      weights.m_load = LoadState::Serving;
      weights.m_attestedHash = content;
      weights.m_loadAttempts = 0;
      weights.m_problem.clear();
    } else {
      weights.m_load = LoadState::Idle;
      contentMismatch = loaded;
      retry =
        !aState.m_staleToken && ++weights.m_loadAttempts < kMaxLoadAttempts;
      weights.m_reloadWhenStaged = contentMismatch && retry;
      weights.m_problem =
        contentMismatch
          ? "the engine loaded content that differs from the staged chunks"
          : "load failed: " + aState.m_error;
    }
  }
  Log(contentMismatch ? LogLevel::Error : LogLevel::Info,
      "load_order_ended",
      { { "digest", aOrder.m_digest },
        { "token", aOrder.m_token },
        { "answered", aState.m_answered },
        { "stale", aState.m_staleToken },
        { "attested", aState.m_answered && !contentMismatch } });
  if (contentMismatch) {
    CountMetric("siskindeal_weights_attestations_failed_total");
    m_context->m_engine->Unload(
      aOrder.m_digest, aOrder.m_token, [session](const EngineState&) {
        session->Recheck();
      });
  } else if (retry) {
    m_context->m_io->PostAfter(
      kOrderRetryDelay, [self = shared_from_this(), digest = aOrder.m_digest] {
        {
          const OrderedLock lock(self->m_mutex);
          const auto found = self->m_weights.find(digest);
          if (found != self->m_weights.end()) {
            self->QueueLoad(found->second, digest);
          }
        }
        self->RunNextOrder();
      });
  }
  FinishOrder();
}

void
WeightsAgent::Impl::OnUnloaded(const EngineOrder& aOrder,
                               const EngineState& aState)
{
  const bool unloaded =
    aState.m_answered && std::find(aState.m_loaded.begin(),
                                   aState.m_loaded.end(),
                                   aOrder.m_digest) == aState.m_loaded.end();
  {
    const OrderedLock lock(m_mutex);
    auto& weights = m_weights[aOrder.m_digest];
    weights.m_load = unloaded ? LoadState::Idle : LoadState::Releasing;
    if (unloaded) {
      weights.m_loadWhenStaged = false;
    }
  }
  if (!unloaded) {
    m_context->m_io->PostAfter(kOrderRetryDelay,
                               [self = shared_from_this(), aOrder] {
                                 {
                                   const OrderedLock lock(self->m_mutex);
                                   self->m_orders.push_back(aOrder);
                                 }
                                 self->RunNextOrder();
                               });
  }
  FinishOrder();
}

void
WeightsAgent::Impl::FinishOrder()
{
  {
    const OrderedLock lock(m_mutex);
    m_orderInFlight = false;
    ++m_epoch;
  }
  Persist([](bool) {});
  RunNextOrder();
}

bool
WeightsAgent::Impl::IsServing(const std::string& aDigest)
{
  const OrderedLock lock(m_mutex);
  const auto found = m_weights.find(aDigest);
  return found != m_weights.end() && found->second.m_load == LoadState::Serving;
}

std::shared_ptr<void>
WeightsAgent::Impl::Acquire(const std::string& aDigest)
{
  std::shared_ptr<WeightsSession> session;
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_weights.find(aDigest);
    if (found == m_weights.end() ||
        found->second.m_load != LoadState::Serving) {
      return nullptr;
    }
    session = found->second.m_session;
    SISKINDEAL_INVARIANT(!found->second.m_attestedHash.empty(),
                         "only attested weights are served");
    ++found->second.m_activeRequests;
  }
  // Any non-null pointer will do; only the deleter is used.
  return { this, [self = shared_from_this(), aDigest, session](Impl*) {
            self->Release(aDigest, session);
          } };
}

void
WeightsAgent::Impl::Release(const std::string& aDigest,
                            const std::shared_ptr<WeightsSession>& aSession)
{
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_weights.find(aDigest);
    if (found == m_weights.end() || found->second.m_session != aSession) {
      return; // the engine has lost these weights
    }
    SISKINDEAL_INVARIANT(found->second.m_activeRequests > 0,
                         "each use is released exactly once");
    if (--found->second.m_activeRequests > 0 ||
        found->second.m_load != LoadState::Releasing) {
      return;
    }
    m_orders.push_back(EngineOrder{
      aDigest, false, found->second.m_shard, found->second.m_token });
  }
  m_context->m_io->Post([self = shared_from_this()] { self->RunNextOrder(); });
}

} // namespace siskindeal

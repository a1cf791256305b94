#include "agent/weights_agent_p.h"

#include "siskindeal/invariant.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::uint32_t kLoadAttempts = 5;
constexpr std::chrono::milliseconds kRetryOrder{ 1000 };

} // namespace

void
WeightsAgent::Impl::OnStaged(const std::string& aDigest)
{
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_held.find(aDigest);
    if (found != m_held.end()) {
      auto& held = found->second;
      const bool failing = held.m_attempts >= kLoadAttempts;
      const bool byItself =
        held.m_loadWhenStaged && !ServesOther(aDigest, held);
      if ((byItself || held.m_loadAgain) && !failing) {
        QueueLoad(held, aDigest);
      }
      held.m_loadAgain = false;
    }
  }
  RunNextOrder();
}

bool
WeightsAgent::Impl::ServesOther(const std::string& aDigest,
                                const Held& aHeld) const
{
  const auto& base = aHeld.m_session->GetManifest().m_baseDigest;
  return std::any_of(m_held.begin(), m_held.end(), [&](const auto& aOther) {
    const auto& [digest, held] = aOther;
    return digest != aDigest && digest != base &&
           held.m_load != LoadState::Idle;
  });
}

void
WeightsAgent::Impl::QueueLoad(Held& aHeld, const std::string& aDigest)
{
  if (aHeld.m_load == LoadState::Releasing && aHeld.m_uses > 0) {
    aHeld.m_load = LoadState::Serving; // its unload hasn't been queued
    return;
  }
  if (aHeld.m_load != LoadState::Idle) {
    return;
  }
  aHeld.m_load = LoadState::Queued;
  m_orders.push_back(
    EngineOrder{ aDigest, true, aHeld.m_shard, aHeld.m_token });
}

bool
WeightsAgent::Impl::Allowed(const EngineOrder& aOrder)
{
  const auto found = m_held.find(aOrder.m_digest);
  if (found == m_held.end()) {
    return false;
  }
  auto& held = found->second;
  if (aOrder.m_token < m_tokens[aOrder.m_shard]) {
    // A newer holder of the lease decides anew.
    held.m_load = aOrder.m_load ? LoadState::Idle : LoadState::Serving;
    return false;
  }
  if (!aOrder.m_load) {
    return held.m_load == LoadState::Releasing && held.m_uses == 0;
  }
  if (held.m_load != LoadState::Queued) {
    return false;
  }
  const auto& base = held.m_session->GetManifest().m_baseDigest;
  const auto baseHeld = m_held.find(base);
  const bool based =
    base.empty() ||
    (baseHeld != m_held.end() && baseHeld->second.m_load == LoadState::Serving);
  if (!based || held.m_session->Content().empty()) {
    held.m_load = LoadState::Idle;
    held.m_problem = based ? "" : "the adapter's base isn't loaded";
    return false;
  }
  held.m_load = LoadState::Loading;
  return true;
}

void
WeightsAgent::Impl::RunNextOrder()
{
  EngineOrder order;
  std::shared_ptr<WeightsSession> session;
  {
    const OrderedLock lock(m_mutex);
    if (m_orderRunning || m_stopped) {
      return;
    }
    while (!m_orders.empty() && !session) {
      order = m_orders.front();
      m_orders.pop_front();
      if (Allowed(order)) {
        session = m_held[order.m_digest].m_session;
        SISKINDEAL_INVARIANT(order.m_token >= m_tokens[order.m_shard],
                             "no order reaches the engine under an old token");
      }
    }
    if (!session) {
      return;
    }
    m_orderRunning = true;
    ++m_epoch;
  }
  const auto& manifest = session->GetManifest();
  auto self = shared_from_this();
  if (order.m_load) {
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
  bool wrong = false;
  bool retry = false;
  std::shared_ptr<WeightsSession> session;
  {
    const OrderedLock lock(m_mutex);
    auto& held = m_held[aOrder.m_digest];
    session = held.m_session;
    const auto content = session->Content();
    const bool loaded =
      aState.m_answered && std::find(aState.m_loaded.begin(),
                                     aState.m_loaded.end(),
                                     aOrder.m_digest) != aState.m_loaded.end();
    if (loaded && !content.empty() && aState.m_content == content) {
      held.m_load = LoadState::Serving;
      held.m_attested = content;
      held.m_attempts = 0;
      held.m_problem.clear();
    } else {
      held.m_load = LoadState::Idle;
      wrong = loaded;
      retry = !aState.m_stale && ++held.m_attempts < kLoadAttempts;
      held.m_loadAgain = wrong && retry;
      held.m_problem = wrong ? "the engine loaded other bytes than were staged"
                             : "load: " + aState.m_what;
    }
  }
  Log(wrong ? LogLevel::Error : LogLevel::Info,
      "load_order_ended",
      { { "digest", aOrder.m_digest },
        { "token", aOrder.m_token },
        { "answered", aState.m_answered },
        { "stale", aState.m_stale },
        { "attested", aState.m_answered && !wrong } });
  if (wrong) {
    CountMetric("siskindeal_weights_attestations_failed_total");
    m_context->m_engine->Unload(
      aOrder.m_digest, aOrder.m_token, [session](const EngineState&) {
        session->CheckAgain();
      });
  } else if (retry) {
    m_context->m_io->PostAfter(
      kRetryOrder, [self = shared_from_this(), digest = aOrder.m_digest] {
        {
          const OrderedLock lock(self->m_mutex);
          const auto found = self->m_held.find(digest);
          if (found != self->m_held.end()) {
            self->QueueLoad(found->second, digest);
          }
        }
        self->RunNextOrder();
      });
  }
  EndOrder();
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
    auto& held = m_held[aOrder.m_digest];
    held.m_load = unloaded ? LoadState::Idle : LoadState::Releasing;
    if (unloaded) {
      held.m_loadWhenStaged = false;
    }
  }
  if (!unloaded) {
    m_context->m_io->PostAfter(kRetryOrder,
                               [self = shared_from_this(), aOrder] {
                                 {
                                   const OrderedLock lock(self->m_mutex);
                                   self->m_orders.push_back(aOrder);
                                 }
                                 self->RunNextOrder();
                               });
  }
  EndOrder();
}

void
WeightsAgent::Impl::EndOrder()
{
  {
    const OrderedLock lock(m_mutex);
    m_orderRunning = false;
    ++m_epoch;
  }
  Persist([](bool) {});
  RunNextOrder();
}

bool
WeightsAgent::Impl::IsServing(const std::string& aDigest)
{
  const OrderedLock lock(m_mutex);
  const auto found = m_held.find(aDigest);
  return found != m_held.end() && found->second.m_load == LoadState::Serving;
}

std::shared_ptr<void>
WeightsAgent::Impl::Use(const std::string& aDigest)
{
  std::shared_ptr<WeightsSession> session;
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_held.find(aDigest);
    if (found == m_held.end() || found->second.m_load != LoadState::Serving) {
      return nullptr;
    }
    session = found->second.m_session;
    SISKINDEAL_INVARIANT(!found->second.m_attested.empty(),
                         "only weights verified whole are served");
    ++found->second.m_uses;
  }
  // The pointer only has to be other than null; the deleter does the work.
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
    const auto found = m_held.find(aDigest);
    if (found == m_held.end() || found->second.m_session != aSession) {
      return; // the engine lost these weights meanwhile
    }
    SISKINDEAL_INVARIANT(found->second.m_uses > 0, "a use is released once");
    if (--found->second.m_uses > 0 ||
        found->second.m_load != LoadState::Releasing) {
      return;
    }
    m_orders.push_back(EngineOrder{
      aDigest, false, found->second.m_shard, found->second.m_token });
  }
  m_context->m_io->Post([self = shared_from_this()] { self->RunNextOrder(); });
}

} // namespace siskindeal

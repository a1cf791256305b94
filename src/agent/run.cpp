#include "run_p.h"

#include "run_session_p.h"

namespace siskindeal {

std::string
AttemptKey(const std::string& aRequestId, std::uint32_t aAttempt)
{
  return aRequestId + "-" + std::to_string(aAttempt);
}

bool
AttemptLedger::TryStart(const std::string& aKey, MonotonicTime aNow)
{
  MakeRoom(aNow);
  if (!m_attempts.emplace(aKey, true).second) {
    return false;
  }
  m_order.push_back({ aNow, aKey });
  return true;
}

bool
AttemptLedger::GiveUp(const std::string& aKey,
                      std::chrono::milliseconds aAge,
                      MonotonicTime aNow)
{
  const auto known = m_attempts.find(aKey);
  if (known != m_attempts.end()) {
    return !known->second;
  }
  if (aNow - aAge <= m_forgottenUntil || !MakeRoom(aNow)) {
    return false;
  }
  m_attempts.emplace(aKey, false);
  m_order.push_back({ aNow, aKey });
  return true;
}

// Forgets the oldest attempt when full. False when that attempt was given up so
// lately that it may still be on its way: then it is kept.
bool
AttemptLedger::MakeRoom(MonotonicTime aNow)
{
  if (m_order.size() < kMostRememberedAttempts) {
    return true;
  }
  const auto& oldest = m_order.front();
  const bool givenUp = !m_attempts[oldest.m_key];
  if (givenUp && aNow - oldest.m_at < kLongestTransit) {
    return false;
  }
  m_forgottenUntil = oldest.m_at;
  m_attempts.erase(oldest.m_key);
  m_order.pop_front();
  return true;
}

RunService::RunService(const UpstreamSettings& aUpstream,
                       HttpClient& aHttp,
                       const Clock& aClock,
                       std::uint64_t aIncarnation,
                       RunGates aGates)
  : m_upstream(aUpstream)
  , m_http(aHttp)
  , m_clock(aClock)
  , m_incarnation(aIncarnation)
  , m_gates(std::move(aGates))
{
}

void
RunService::OnRun(const wire::RunRequest& aRequest,
                  std::shared_ptr<RunSink> aSink)
{
  const auto session =
    std::make_shared<RunSession>(shared_from_this(), aRequest, aSink);
  if (aRequest.service() != m_upstream.m_service) {
    session->Fail(
      Reason::NotFound, Verdict::NotRun, "this agent serves another service");
    return;
  }
  const bool model = m_upstream.m_kind == UpstreamSettings::Kind::Model;
  auto weights =
    model ? m_gates.m_useWeights(aRequest.expected_digest()) : nullptr;
  if (model && !weights) {
    session->Fail(Reason::DigestMismatch,
                  Verdict::NotRun,
                  "these weights don't take requests here");
    return;
  }
  session->HoldWeights(std::move(weights));
  Admit(session);
}

void
RunService::Admit(const std::shared_ptr<RunSession>& aSession)
{
  const auto key = aSession->Key();
  bool givenUp = false;
  bool draining = false;
  bool start = false;
  {
    const OrderedLock lock(m_mutex);
    draining = m_draining;
    givenUp = !draining && !m_attempts.TryStart(key, m_clock.Now());
    if (!draining && !givenUp) {
      start = m_waiting.empty() && MayStart(*aSession);
      if (start) {
        m_running[key] = aSession;
        m_isolated = aSession->Request().isolated();
      } else {
        m_waiting.push_back(aSession);
      }
    }
  }
  if (draining) {
    aSession->Fail(Reason::Draining, Verdict::NotRun, "this VM is leaving");
    return;
  }
  if (givenUp) {
    aSession->Fail(Reason::Cancelled, Verdict::NotRun, "given up before");
    return;
  }
  if (start) {
    aSession->Start();
  }
}

bool
RunService::MayStart(const RunSession& aSession) const
{
  if (m_isolated) {
    return false;
  }
  return m_running.empty() || !aSession.Request().isolated();
}

void
RunService::Leave(const std::string& aKey)
{
  {
    const OrderedLock lock(m_mutex);
    const auto running = m_running.find(aKey);
    if (running == m_running.end()) {
      return;
    }
    if (running->second->Request().isolated()) {
      m_isolated = false;
    }
    m_running.erase(running);
  }
  StartWaiting();
}

// Starts waiting requests in order, until one has to run alone.
void
RunService::StartWaiting()
{
  while (true) {
    std::shared_ptr<RunSession> next;
    {
      const OrderedLock lock(m_mutex);
      if (m_waiting.empty() || !MayStart(*m_waiting.front())) {
        return;
      }
      next = m_waiting.front();
      m_waiting.pop_front();
      m_running[next->Key()] = next;
      m_isolated = next->Request().isolated();
    }
    next->Start();
  }
}

wire::CancelReply
RunService::OnCancel(const wire::CancelRequest& aRequest)
{
  const auto key = AttemptKey(aRequest.request_id(), aRequest.attempt());
  const std::chrono::milliseconds age(aRequest.age_ms());
  wire::CancelReply reply;
  std::shared_ptr<RunSession> running;
  std::shared_ptr<RunSession> waiting;
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_running.find(key);
    if (found != m_running.end()) {
      running = found->second;
    }
    for (auto item = m_waiting.begin(); item != m_waiting.end(); ++item) {
      if ((*item)->Key() == key) {
        waiting = *item;
        m_waiting.erase(item);
        break;
      }
    }
    const bool promised = m_attempts.GiveUp(key, age, m_clock.Now());
    reply.set_not_started(
      waiting != nullptr ||
      (promised && aRequest.incarnation() == m_incarnation));
  }
  if (running) {
    running->Cancel();
  }
  if (waiting) {
    waiting->Fail(Reason::Cancelled, Verdict::NotRun, "given up while queued");
  }
  return reply;
}

void
RunService::BeginDrain()
{
  const OrderedLock lock(m_mutex);
  m_draining = true;
}

std::size_t
RunService::InFlight() const
{
  const OrderedLock lock(m_mutex);
  return m_running.size() + m_waiting.size();
}

} // namespace siskindeal

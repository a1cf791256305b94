#include "run_p.h"

#include "run_session_p.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "siskindeal/wire_values.h"

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kIsolationRetryAfter{ 200 };

} // namespace

std::string
AttemptKey(const std::string& aRequestId, std::uint32_t aAttempt)
{
  return aRequestId + "-" + std::to_string(aAttempt);
}

bool
AttemptLedger::TryStart(const std::string& aKey, MonotonicTime aNow)
{
  EnsureCapacity(aNow);
  if (!m_attempts.emplace(aKey, true).second) {
    return false;
  }
  m_insertionOrder.push_back({ aNow, aKey });
  return true;
}

bool
AttemptLedger::TryCancel(const std::string& aKey,
                         std::chrono::milliseconds aAge,
                         MonotonicTime aNow)
{
  const auto known = m_attempts.find(aKey);
  if (known != m_attempts.end()) {
    return !known->second;
  }
  if (aNow - aAge <= m_evictedUntil || !EnsureCapacity(aNow)) {
    return false;
  }
  m_attempts.emplace(aKey, false);
  m_insertionOrder.push_back({ aNow, aKey });
  return true;
}

// Evicts the oldest attempt when full. Returns false if that attempt was
// cancelled so recently that its call may still arrive, in which case it is
// kept.
bool
AttemptLedger::EnsureCapacity(MonotonicTime aNow)
{
  if (m_insertionOrder.size() < kMaxTrackedAttempts) {
    return true;
  }
  const auto& oldest = m_insertionOrder.front();
  const bool cancelled = !m_attempts[oldest.m_key];
  if (cancelled && aNow - oldest.m_at < kMaxTransitTime) {
    return false;
  }
  m_evictedUntil = oldest.m_at;
  m_attempts.erase(oldest.m_key);
  m_insertionOrder.pop_front();
  return true;
}

std::string
UpstreamInstance(const HttpHeaders& aHeaders)
{
  const auto found = aHeaders.find("x-upstream-instance");
  return found == aHeaders.end() ? std::string() : found->second;
}

RunService::RunService(const UpstreamSettings& aUpstream,
                       HttpClient& aHttp,
                       const Clock& aClock,
                       const std::string& aVm,
                       std::uint64_t aIncarnation,
                       RunHooks aHooks)
  : m_upstream(aUpstream)
  , m_http(aHttp)
  , m_clock(aClock)
  , m_vm(aVm)
  , m_incarnation(aIncarnation)
  , m_hooks(std::move(aHooks))
{
}

void
RunService::OnRun(const wire::RunRequest& aRequest,
                  std::shared_ptr<RunSink> aSink)
{
  const auto session =
    std::make_shared<RunSession>(shared_from_this(), aRequest, aSink);
  if (aRequest.service() != m_upstream.m_service) {
    session->Fail(Reason::NotFound,
                  Verdict::NotRun,
                  "this agent serves a different service");
    return;
  }
  const bool model = m_upstream.m_kind == UpstreamSettings::Kind::Model;
  auto weights =
    model ? m_hooks.m_acquireWeights(aRequest.expected_digest()) : nullptr;
  if (model && !weights) {
    session->Fail(Reason::DigestMismatch,
                  Verdict::NotRun,
                  "the requested weights are not serving on this VM");
    return;
  }
  session->HoldWeights(std::move(weights));
  if (const auto refusal = CheckQuarantine(aRequest)) {
    session->Fail(refusal->GetReason(), Verdict::NotRun, refusal->what());
    return;
  }
  Admit(session);
}

bool
RunService::RecordInstance(const HttpHeaders& aHeaders)
{
  auto instance = UpstreamInstance(aHeaders);
  if (instance.empty()) {
    return false;
  }
  const OrderedLock lock(m_mutex);
  const bool instanceChanged = !m_instance.empty() && m_instance != instance;
  m_instance = std::move(instance);
  return instanceChanged;
}

std::string
RunService::Instance() const
{
  const OrderedLock lock(m_mutex);
  return m_instance;
}

void
RunService::Merge(const wire::Suspicion& aSuspicion)
{
  const OrderedLock lock(m_mutex);
  m_suspicions.Merge(aSuspicion);
}

std::optional<Error>
RunService::CheckQuarantine(const wire::RunRequest& aRequest)
{
  const OrderedLock lock(m_mutex);
  switch (m_suspicions.StateOf(aRequest.fingerprint())) {
    case SuspicionState::None:
      return std::nullopt;
    case SuspicionState::Suspect:
      if (aRequest.isolated()) {
        return std::nullopt;
      }
      return Error(Reason::Overloaded,
                   Verdict::NotRun,
                   "this request is suspect and must run in isolation");
    case SuspicionState::Quarantined:
      break;
  }
  return Error(Reason::Quarantined,
               Verdict::NotRun,
               "this request is quarantined because it crashed its upstreams");
}

RunService::Suspicions
RunService::SuspicionsOf(std::uint64_t aFingerprint)
{
  const OrderedLock lock(m_mutex);
  Suspicions known;
  if (m_suspicions.StateOf(aFingerprint) != SuspicionState::None) {
    known = m_suspicions.All();
    std::erase_if(known, [&](const wire::Suspicion& aSuspicion) {
      return aSuspicion.fingerprint() != aFingerprint;
    });
  }
  return known;
}

RunService::Suspicions
RunService::OnCrash(const RunSession& aSession)
{
  Suspicions changed;
  {
    const OrderedLock lock(m_mutex);
    if (m_reportedCrashes.erase(aSession.Key()) == 0) {
      std::vector<SuspicionTable::InFlight> inFlight;
      for (const auto& [key, running] : m_running) {
        const auto& request = running->Request();
        inFlight.push_back({ request.fingerprint(),
                             request.class_of_work().empty()
                               ? request.service()
                               : request.class_of_work() });
        m_reportedCrashes.insert(key);
      }
      m_reportedCrashes.erase(aSession.Key());
      const auto crash = m_vm + "/" + std::to_string(m_incarnation) + "/" +
                         std::to_string(++m_crashCount);
      changed = m_suspicions.RecordCrash(crash, inFlight, m_clock.Now());
    }
  }
  if (!changed.empty()) {
    CountMetric("siskindeal_upstream_crashes_total");
  }
  for (const auto& suspicion : changed) {
    Log(LogLevel::Warning,
        suspicion.quarantined() ? "request_quarantined" : "request_suspected",
        { { "fingerprint", suspicion.fingerprint() },
          { "class_of_work", suspicion.class_of_work() },
          { "crashes", suspicion.crashes() },
          { "alone", aSession.Request().isolated() } });
    m_hooks.m_publishSuspicion(suspicion);
  }
  return SuspicionsOf(aSession.Request().fingerprint());
}

void
RunService::OnRunCompleted(const RunSession& aSession)
{
  Suspicions changed;
  {
    const OrderedLock lock(m_mutex);
    changed = m_suspicions.RecordCompletion(aSession.Request().fingerprint(),
                                            aSession.Request().isolated(),
                                            m_clock.Now());
  }
  for (const auto& suspicion : changed) {
    m_hooks.m_publishSuspicion(suspicion);
  }
}

void
RunService::Admit(const std::shared_ptr<RunSession>& aSession)
{
  bool cancelled = false;
  bool draining = false;
  auto entry = IsolationGate::Entry::Busy;
  std::vector<std::shared_ptr<RunSession>> expired;
  {
    const OrderedLock lock(m_mutex);
    draining = m_draining;
    cancelled =
      !draining && !m_attempts.TryStart(aSession->Key(), m_clock.Now());
    if (!draining && !cancelled) {
      entry = EnterGate(aSession, expired);
    }
  }
  for (const auto& session : expired) {
    session->Fail(Reason::Overloaded,
                  Verdict::NotRun,
                  "the upstream did not become idle in time");
  }
  if (draining) {
    aSession->Fail(Reason::Draining, Verdict::NotRun, "this VM is draining");
    return;
  }
  if (cancelled) {
    aSession->Fail(Reason::Cancelled,
                   Verdict::NotRun,
                   "the attempt was already started or cancelled");
    return;
  }
  if (entry == IsolationGate::Entry::Start) {
    aSession->Start();
  } else if (entry == IsolationGate::Entry::Busy) {
    aSession->Fail(Reason::Overloaded,
                   Verdict::NotRun,
                   "the upstream is reserved for an isolated request",
                   {},
                   kIsolationRetryAfter);
  }
}

IsolationGate::Entry
RunService::EnterGate(const std::shared_ptr<RunSession>& aSession,
                      std::vector<std::shared_ptr<RunSession>>& aExpired)
{
  const auto now = m_clock.Now();
  for (const auto& key : m_gate.Tick(now)) {
    const auto waiting = m_waiting.extract(key);
    if (!waiting.empty()) {
      aExpired.push_back(waiting.mapped());
    }
  }
  const auto key = aSession->Key();
  const auto entry = m_gate.Arrive(key, aSession->Request().isolated(), now);
  if (entry == IsolationGate::Entry::Start) {
    m_running[key] = aSession;
  } else if (entry == IsolationGate::Entry::Wait) {
    m_waiting[key] = aSession;
  }
  return entry;
}

void
RunService::RemoveSession(const std::string& aKey)
{
  std::shared_ptr<RunSession> next;
  {
    const OrderedLock lock(m_mutex);
    m_reportedCrashes.erase(aKey);
    if (m_running.erase(aKey) == 0) {
      return;
    }
    if (const auto key = m_gate.Finish(aKey)) {
      next = m_waiting.extract(*key).mapped();
      m_running[*key] = next;
    }
  }
  if (!next) {
    return;
  }
  // The request may have been quarantined while it waited.
  if (const auto refusal = CheckQuarantine(next->Request())) {
    next->Fail(refusal->GetReason(), Verdict::NotRun, refusal->what());
    return;
  }
  next->Start();
}

wire::CancelReply
RunService::OnCancel(const wire::CancelRequest& aRequest)
{
  const auto key = AttemptKey(aRequest.request_id(), aRequest.attempt());
  const std::chrono::milliseconds age = MillisFromWire(aRequest.age_ms());
  wire::CancelReply reply;
  std::shared_ptr<RunSession> running;
  std::shared_ptr<RunSession> waiting;
  {
    const OrderedLock lock(m_mutex);
    const auto found = m_running.find(key);
    if (found != m_running.end()) {
      running = found->second;
    }
    if (auto found = m_waiting.extract(key); !found.empty()) {
      waiting = found.mapped();
      m_gate.Finish(key);
    }
    const bool cancelled = m_attempts.TryCancel(key, age, m_clock.Now());
    reply.set_not_started(
      waiting != nullptr ||
      (cancelled && aRequest.incarnation() == m_incarnation));
  }
  if (running) {
    running->Cancel();
  }
  if (waiting) {
    waiting->Fail(Reason::Cancelled, Verdict::NotRun, "cancelled while queued");
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

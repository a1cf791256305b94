#include "platform/connection_p.h"

#include "platform/reply_parser_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/metrics.h"

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

std::string
OutcomeLabel(const HttpReply& aReply)
{
  switch (aReply.m_outcome) {
    case HttpOutcome::Answered:
      return std::to_string(aReply.m_status);
    case HttpOutcome::NotSent:
      return "not_sent";
    default:
      return "no_answer";
  }
}

void
CountCall(PlatformUse aUse, bool aWrite, const std::string& aOutcome)
{
  CountMetric("siskindeal_platform_calls_total",
              { { "use", ToString(aUse) },
                { "kind", aWrite ? "write" : "read" },
                { "outcome", aOutcome } });
}

} // namespace

PlatformConnection::PlatformConnection(const PlatformSettings& aSettings,
                                       HttpClient& aHttp,
                                       WorkerPool& aPool,
                                       const Clock& aClock)
  : m_settings(aSettings)
  , m_http(aHttp)
  , m_pool(aPool)
  , m_clock(aClock)
  , m_readBudget(aSettings.m_readsPerSecond, aClock.Now())
  , m_writeBudget(aSettings.m_writesPerSecond, aClock.Now())
  , m_random(StableHash(NewId()))
{
}

void
PlatformConnection::Call(PlatformUse aUse,
                         HttpClientRequest aRequest,
                         std::chrono::milliseconds aTimeout,
                         Done aDone)
{
  const bool isWrite = aRequest.m_method != "GET";
  if (const auto wait = Throttle(aUse, isWrite)) {
    CountCall(aUse, isWrite, "held_back");
    HttpReply reply;
    reply.m_headers["retry-after-ms"] = std::to_string(wait->count());
    reply.m_error =
      "not sent: over the call budget or blocked by the circuit breaker";
    m_pool.Post([done = std::move(aDone), reply] { done(reply); });
    return;
  }
  aRequest.m_timeout = aTimeout;
  aRequest.m_connectTimeout =
    std::min(aRequest.m_connectTimeout, m_settings.m_timeout);
  const auto self = shared_from_this();
  m_http.Start(
    std::move(aRequest),
    [self, aUse, isWrite, done = std::move(aDone)](HttpReply aReply) mutable {
      CountCall(aUse, isWrite, OutcomeLabel(aReply));
      self->RecordOutcome(aReply);
      self->m_pool.Post(
        [done = std::move(done), reply = std::move(aReply)] { done(reply); });
    });
}

std::string
PlatformConnection::Url(const std::string& aPath) const
{
  return m_settings.m_url + aPath;
}

std::chrono::milliseconds
PlatformConnection::NextDelay(Backoff& aBackoff,
                              std::chrono::milliseconds aMinDelay)
{
  const OrderedLock lock(m_mutex);
  return aBackoff.Next(m_random, aMinDelay);
}

bool
PlatformConnection::IsCircuitOpen()
{
  const OrderedLock lock(m_mutex);
  return m_breaker.IsOpen();
}

void
PlatformConnection::RunAfter(std::chrono::milliseconds aDelay,
                             WorkerPool::Task aTask)
{
  m_pool.PostAfter(aDelay, std::move(aTask));
}

std::optional<std::chrono::milliseconds>
PlatformConnection::Throttle(PlatformUse aUse, bool aWrite)
{
  const auto now = m_clock.Now();
  const OrderedLock lock(m_mutex);
  if (const auto wait = m_breaker.Reject(now)) {
    return wait;
  }
  return (aWrite ? m_writeBudget : m_readBudget).Throttle(aUse, now);
}

void
PlatformConnection::RecordOutcome(const HttpReply& aReply)
{
  const auto now = m_clock.Now();
  const OrderedLock lock(m_mutex);
  if (IsDefinitive(aReply)) {
    m_breaker.OnSuccess();
    return;
  }
  if (aReply.m_outcome == HttpOutcome::Answered &&
      aReply.m_status == kStatusTooManyRequests) {
    m_breaker.OnSuccess();
    m_breaker.PauseUntil(now + RetryAfter(aReply));
    return;
  }
  m_breaker.OnFailure(now, m_random, RetryAfter(aReply));
  SetMetric("siskindeal_platform_circuit_open", m_breaker.IsOpen() ? 1 : 0);
}

} // namespace siskindeal

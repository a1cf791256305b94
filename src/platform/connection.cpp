#include "platform/connection_p.h"

#include "platform/answers_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/metrics.h"

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

std::string
OutcomeName(const HttpReply& aReply)
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
Count(PlatformUse aUse, bool aWrite, const std::string& aOutcome)
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
  , m_reads(aSettings.m_readsPerSecond, aClock.Now())
  , m_writes(aSettings.m_writesPerSecond, aClock.Now())
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
  if (const auto wait = Refuse(aUse, isWrite)) {
    Count(aUse, isWrite, "held_back");
    HttpReply reply;
    reply.m_headers["retry-after-ms"] = std::to_string(wait->count());
    reply.m_error = "held back by the client";
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
      Count(aUse, isWrite, OutcomeName(aReply));
      self->Judge(aReply);
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
PlatformConnection::Jittered(Backoff& aBackoff,
                             std::chrono::milliseconds aAtLeast)
{
  const OrderedLock lock(m_mutex);
  return aBackoff.Next(m_random, aAtLeast);
}

bool
PlatformConnection::Failing()
{
  const OrderedLock lock(m_mutex);
  return m_breaker.Open();
}

void
PlatformConnection::After(std::chrono::milliseconds aDelay,
                          WorkerPool::Task aTask)
{
  m_pool.PostAfter(aDelay, std::move(aTask));
}

std::optional<std::chrono::milliseconds>
PlatformConnection::Refuse(PlatformUse aUse, bool aWrite)
{
  const auto now = m_clock.Now();
  const OrderedLock lock(m_mutex);
  if (const auto wait = m_breaker.Refuse(now)) {
    return wait;
  }
  return (aWrite ? m_writes : m_reads).Refuse(aUse, now);
}

void
PlatformConnection::Judge(const HttpReply& aReply)
{
  const auto now = m_clock.Now();
  const OrderedLock lock(m_mutex);
  if (IsAnswer(aReply)) {
    m_breaker.Succeeded();
    return;
  }
  if (aReply.m_outcome == HttpOutcome::Answered &&
      aReply.m_status == kStatusTooManyRequests) {
    m_breaker.Succeeded();
    m_breaker.Pause(now + RetryAfter(aReply));
    return;
  }
  m_breaker.Failed(now, m_random, RetryAfter(aReply));
  SetMetric("siskindeal_platform_circuit_open", m_breaker.Open() ? 1 : 0);
}

} // namespace siskindeal

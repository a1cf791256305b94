#pragma once
// Sends the calls of one platform client within its budget and circuit breaker,
// and counts them. Calls in flight keep the connection alive.

#include "platform/budget_p.h"
#include "platform/circuit_breaker_p.h"
#include "siskindeal/backoff.h"
#include "siskindeal/clock.h"
#include "siskindeal/http.h"
#include "siskindeal/lock_order.h"
#include "siskindeal/platform.h"
#include "siskindeal/random.h"
#include "siskindeal/settings.h"
#include "siskindeal/worker_pool.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace siskindeal {

class PlatformConnection
  : public std::enable_shared_from_this<PlatformConnection>
{
public:
  using Done = std::function<void(HttpReply)>;

  PlatformConnection(const PlatformSettings& aSettings,
                     HttpClient& aHttp,
                     WorkerPool& aPool,
                     const Clock& aClock);

  // Sends one call; aDone runs on a worker. A call that is over budget or
  // blocked by the circuit breaker gets NotSent with a retry-after-ms header.
  void Call(PlatformUse aUse,
            HttpClientRequest aRequest,
            std::chrono::milliseconds aTimeout,
            Done aDone);

  std::string Url(const std::string& aPath) const;
  // The next delay of aBackoff, at least aMinDelay.
  std::chrono::milliseconds NextDelay(Backoff& aBackoff,
                                      std::chrono::milliseconds aMinDelay)
    ABSL_LOCKS_EXCLUDED(m_mutex);
  // Whether the circuit breaker is open after failures.
  bool IsCircuitOpen() ABSL_LOCKS_EXCLUDED(m_mutex);
  MonotonicTime Now() const { return m_clock.Now(); }
  std::chrono::milliseconds Timeout() const { return m_settings.m_timeout; }
  void RunAfter(std::chrono::milliseconds aDelay, WorkerPool::Task aTask);

private:
  std::optional<std::chrono::milliseconds> Throttle(PlatformUse aUse,
                                                    bool aWrite)
    ABSL_LOCKS_EXCLUDED(m_mutex);
  void RecordOutcome(const HttpReply& aReply) ABSL_LOCKS_EXCLUDED(m_mutex);

  const PlatformSettings m_settings;
  HttpClient& m_http;
  WorkerPool& m_pool;
  const Clock& m_clock;
  OrderedMutex m_mutex{ LockLevel::Transport };
  PlatformBudget m_readBudget ABSL_GUARDED_BY(m_mutex);
  PlatformBudget m_writeBudget ABSL_GUARDED_BY(m_mutex);
  CircuitBreaker m_breaker ABSL_GUARDED_BY(m_mutex);
  Random m_random ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal

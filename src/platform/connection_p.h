#pragma once
// What the calls of one platform client share: its budget, its circuit breaker
// and its counts. It is kept alive by the calls.

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

  // Sends one call within the budget; aDone runs on a worker. A call that isn't
  // let out is answered as NotSent with a retry-after-ms header.
  void Call(PlatformUse aUse,
            HttpClientRequest aRequest,
            std::chrono::milliseconds aTimeout,
            Done aDone);

  std::string Url(const std::string& aPath) const;
  // The next wait of aBackoff, never below aAtLeast.
  std::chrono::milliseconds Jittered(Backoff& aBackoff,
                                     std::chrono::milliseconds aAtLeast)
    ABSL_LOCKS_EXCLUDED(m_mutex);
  // Whether calls are held back after failures.
  bool Failing() ABSL_LOCKS_EXCLUDED(m_mutex);
  MonotonicTime Now() const { return m_clock.Now(); }
  std::chrono::milliseconds Timeout() const { return m_settings.m_timeout; }
  void After(std::chrono::milliseconds aDelay, WorkerPool::Task aTask);

private:
  std::optional<std::chrono::milliseconds> Refuse(PlatformUse aUse, bool aWrite)
    ABSL_LOCKS_EXCLUDED(m_mutex);
  void Judge(const HttpReply& aReply) ABSL_LOCKS_EXCLUDED(m_mutex);

  const PlatformSettings m_settings;
  HttpClient& m_http;
  WorkerPool& m_pool;
  const Clock& m_clock;
  OrderedMutex m_mutex{ LockLevel::Transport };
  PlatformBudget m_reads ABSL_GUARDED_BY(m_mutex);
  PlatformBudget m_writes ABSL_GUARDED_BY(m_mutex);
  CircuitBreaker m_breaker ABSL_GUARDED_BY(m_mutex);
  Random m_random ABSL_GUARDED_BY(m_mutex);
};

} // namespace siskindeal

#pragma once
// Limits the rate of calls to the platform, per use.

#include "siskindeal/clock.h"
#include "siskindeal/platform.h"

#include <array>
#include <chrono>
#include <optional>

namespace siskindeal {

inline constexpr std::size_t kPlatformUses = 6;

// The name used in metrics, for example "lease".
const char*
ToString(PlatformUse aUse);

// Token bucket with a steady refill rate and a burst limit.
class TokenBucket
{
public:
  TokenBucket() = default;
  TokenBucket(double aPerSecond, double aBurst, MonotonicTime aNow)
    : m_perSecond(aPerSecond)
    , m_burst(aBurst)
    , m_tokens(aBurst)
    , m_updatedAt(aNow)
  {
  }

  bool TryTake(MonotonicTime aNow);
  // The time until a token is available.
  std::chrono::milliseconds TimeUntilToken(MonotonicTime aNow) const;

private:
  double TokensAt(MonotonicTime aNow) const;

  double m_perSecond = 0;
  double m_burst = 0;
  double m_tokens = 0;
  MonotonicTime m_updatedAt;
};

// Half of the rate is reserved for the uses in fixed shares. The other half is
// shared by all, so that one busy use can exceed its share.
class PlatformBudget
{
public:
  PlatformBudget(double aPerSecond, MonotonicTime aNow);

  // Takes a token for one call and returns std::nullopt, or returns the time
  // until a token is available.
  std::optional<std::chrono::milliseconds> Throttle(PlatformUse aUse,
                                                    MonotonicTime aNow);

private:
  std::array<TokenBucket, kPlatformUses> m_reserved;
  TokenBucket m_shared;
};

} // namespace siskindeal

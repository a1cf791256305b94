#pragma once
// How many calls a process may make to the platform, by use.

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

// Tokens that come at a steady rate up to a burst.
class TokenBucket
{
public:
  TokenBucket() = default;
  TokenBucket(double aPerSecond, double aBurst, MonotonicTime aNow)
    : m_perSecond(aPerSecond)
    , m_burst(aBurst)
    , m_tokens(aBurst)
    , m_at(aNow)
  {
  }

  bool TryTake(MonotonicTime aNow);
  // Until one token is there.
  std::chrono::milliseconds Wait(MonotonicTime aNow) const;

private:
  double Tokens(MonotonicTime aNow) const;

  double m_perSecond = 0;
  double m_burst = 0;
  double m_tokens = 0;
  MonotonicTime m_at;
};

// Half of the rate is reserved for the uses, by fixed shares; the other half is
// common, so that a single busy use isn't held to its share.
class PlatformBudget
{
public:
  PlatformBudget(double aPerSecond, MonotonicTime aNow);

  // Takes a call's token; otherwise how long until there is one.
  std::optional<std::chrono::milliseconds> Refuse(PlatformUse aUse,
                                                  MonotonicTime aNow);

private:
  std::array<TokenBucket, kPlatformUses> m_reserved;
  TokenBucket m_common;
};

} // namespace siskindeal

#include "platform/budget_p.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

constexpr double kSharedFraction = 0.5;
constexpr double kBurstSeconds = 2;
constexpr double kMinBurst = 2;

// Shares of the reserved part, in the order of PlatformUse.
constexpr std::array<double, kPlatformUses> kReservedFractions{
  0.2, // Config
  0.2, // Lease
  0.3, // Claim
  0.1, // Target
  0.1, // Membership
  0.1, // Operator
};

TokenBucket
MakeBucket(double aPerSecond, MonotonicTime aNow)
{
  return { aPerSecond, std::max(aPerSecond * kBurstSeconds, kMinBurst), aNow };
}

} // namespace

const char*
ToString(PlatformUse aUse)
{
  constexpr std::array<const char*, kPlatformUses> kNames{
    "config", "lease", "claim", "target", "membership", "operator",
  };
  return kNames.at(static_cast<std::size_t>(aUse));
}

double
TokenBucket::TokensAt(MonotonicTime aNow) const
{
  const auto elapsed =
    std::chrono::duration<double>(aNow - m_updatedAt).count();
  return std::min(m_burst, m_tokens + std::max(elapsed, 0.0) * m_perSecond);
}

bool
TokenBucket::TryTake(MonotonicTime aNow)
{
  m_tokens = TokensAt(aNow);
  m_updatedAt = aNow;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

std::chrono::milliseconds
TokenBucket::TimeUntilToken(MonotonicTime aNow) const
{
  constexpr std::chrono::milliseconds kZeroRateWait{ 60000 };
  if (m_perSecond <= 0) {
    return kZeroRateWait;
  }
  const auto seconds = std::max(0.0, 1 - TokensAt(aNow)) / m_perSecond;
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

PlatformBudget::PlatformBudget(double aPerSecond, MonotonicTime aNow)
  : m_shared(MakeBucket(aPerSecond * kSharedFraction, aNow))
{
  for (std::size_t use = 0; use < kPlatformUses; ++use) {
    m_reserved.at(use) = MakeBucket(
      aPerSecond * (1 - kSharedFraction) * kReservedFractions.at(use), aNow);
  }
}

std::optional<std::chrono::milliseconds>
PlatformBudget::Throttle(PlatformUse aUse, MonotonicTime aNow)
{
  auto& reserved = m_reserved.at(static_cast<std::size_t>(aUse));
  if (reserved.TryTake(aNow) || m_shared.TryTake(aNow)) {
    return std::nullopt;
  }
  return std::min(reserved.TimeUntilToken(aNow), m_shared.TimeUntilToken(aNow));
}

} // namespace siskindeal

#include "platform/budget_p.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

constexpr double kCommonShare = 0.5;
constexpr double kBurstSeconds = 2;
constexpr double kLeastBurst = 2;

// Of the reserved part, in the order of PlatformUse.
constexpr std::array<double, kPlatformUses> kReservedShares{
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
  return { aPerSecond,
           std::max(aPerSecond * kBurstSeconds, kLeastBurst),
           aNow };
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
TokenBucket::Tokens(MonotonicTime aNow) const
{
  const auto passed = std::chrono::duration<double>(aNow - m_at).count();
  return std::min(m_burst, m_tokens + std::max(passed, 0.0) * m_perSecond);
}

bool
TokenBucket::TryTake(MonotonicTime aNow)
{
  m_tokens = Tokens(aNow);
  m_at = aNow;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

std::chrono::milliseconds
TokenBucket::Wait(MonotonicTime aNow) const
{
  constexpr std::chrono::milliseconds kNever{ 60000 };
  if (m_perSecond <= 0) {
    return kNever;
  }
  const auto seconds = std::max(0.0, 1 - Tokens(aNow)) / m_perSecond;
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

PlatformBudget::PlatformBudget(double aPerSecond, MonotonicTime aNow)
  : m_common(MakeBucket(aPerSecond * kCommonShare, aNow))
{
  for (std::size_t use = 0; use < kPlatformUses; ++use) {
    m_reserved.at(use) = MakeBucket(
      aPerSecond * (1 - kCommonShare) * kReservedShares.at(use), aNow);
  }
}

std::optional<std::chrono::milliseconds>
PlatformBudget::Refuse(PlatformUse aUse, MonotonicTime aNow)
{
  auto& reserved = m_reserved.at(static_cast<std::size_t>(aUse));
  if (reserved.TryTake(aNow) || m_common.TryTake(aNow)) {
    return std::nullopt;
  }
  return std::min(reserved.Wait(aNow), m_common.Wait(aNow));
}

} // namespace siskindeal

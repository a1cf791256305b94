#include "dispatch/runner_limits_p.h"

#include "dispatch/take_turns_p.h"
#include "siskindeal/log.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Part of a limit that is used. The rest covers the time in which gateways
// disagree about its holders.
constexpr double kUsableShare = 0.75;
// Requests a second of a limit for each of its holders. A holder's own callers
// must be enough to use its share.
constexpr double kPerHolder = 2;
// A new holder waits until the previous one knows of the change.
constexpr milliseconds kTakeoverDelay{ 1000 };
constexpr milliseconds kSameKnowledge{ 1000 };
// How long the end of a limit is advertised.
constexpr milliseconds kEndedPeriod{ 5000 };
constexpr std::size_t kMaxAdvertised = 16;
constexpr milliseconds kMaxRetryAfter{ 5000 };

std::size_t
HoldersOf(double aPerSecond, std::size_t aGateways)
{
  const double wanted = std::floor(aPerSecond / kPerHolder);
  return static_cast<std::size_t>(std::clamp(
    wanted, 1.0, static_cast<double>(std::max<std::size_t>(aGateways, 1))));
}

} // namespace

void
RunnerLimits::Set(const RunnerIncarnation& aRunner,
                  const RunnerLimit& aLimit,
                  MonotonicTime aNow)
{
  Known& known = m_limits[aRunner];
  if (m_reason == LimitReason::Stated &&
      known.m_limit.m_perSecond != aLimit.m_perSecond) {
    Log(LogLevel::Warning,
        "runner limit changed",
        { { "runner", aRunner.m_id },
          { "limited", aLimit.m_perSecond.has_value() },
          { "per_second", aLimit.m_perSecond.value_or(0) } });
  }
  known = { aLimit, aNow + kEndedPeriod, aNow };
  if (!aLimit.m_perSecond) {
    m_shares.erase(aRunner);
    return;
  }
  m_shares.try_emplace(aRunner); // not a holder until the next update
}

std::optional<double>
RunnerLimits::LimitOf(const RunnerIncarnation& aRunner) const
{
  const auto found = m_limits.find(aRunner);
  return found == m_limits.end() ? std::nullopt
                                 : found->second.m_limit.m_perSecond;
}

void
RunnerLimits::RecordResponse(const RunnerIncarnation& aRunner,
                             std::optional<double> aPerSecond,
                             MonotonicTime aSentAt,
                             MonotonicTime aNow)
{
  const bool isLimited = LimitOf(aRunner).has_value();
  if (aPerSecond) {
    const bool isUsable = std::isfinite(*aPerSecond) && *aPerSecond > 0;
    const MonotonicTime since =
      isLimited ? m_limits.at(aRunner).m_limit.m_since : aNow;
    Set(aRunner, { isUsable ? *aPerSecond : kTrialRate, aNow, since }, aNow);
    return;
  }
  if (isLimited && aSentAt >= m_limits.at(aRunner).m_limit.m_namedAt) {
    Set(aRunner, { std::nullopt, aNow, {} }, aNow);
  }
}

void
RunnerLimits::Merge(const RunnerIncarnation& aRunner,
                    const RunnerLimit& aLimit,
                    MonotonicTime aNow)
{
  const auto found = m_limits.find(aRunner);
  if (found == m_limits.end()) {
    Set(aRunner, aLimit, aNow);
    return;
  }
  Known& known = found->second;
  if (aLimit.m_perSecond == known.m_limit.m_perSecond) {
    known.m_limit.m_since = std::min(known.m_limit.m_since, aLimit.m_since);
    // Ages grow on their way, so a slightly newer time is the same knowledge.
    if (aLimit.m_namedAt - known.m_limit.m_namedAt > kSameKnowledge) {
      known.m_limit.m_namedAt = aLimit.m_namedAt;
    }
  } else if (aLimit.m_namedAt > known.m_limit.m_namedAt) {
    Set(aRunner, aLimit, aNow);
  } else {
    known.m_advertiseUntil = aNow + kEndedPeriod; // the sender missed it
  }
}

void
RunnerLimits::Forget(
  const std::function<bool(const RunnerIncarnation&)>& aIsKnown,
  MonotonicTime aNow)
{
  const milliseconds memory =
    m_reason == LimitReason::Stated ? milliseconds(kMemory) : milliseconds(0);
  for (auto& [runner, known] : m_limits) {
    known.m_isKnown = aIsKnown(runner);
    if (known.m_isKnown) {
      known.m_lastKnown = aNow;
    }
  }
  std::erase_if(m_limits, [&](const auto& aEntry) {
    return !aEntry.second.m_isKnown &&
           aNow - aEntry.second.m_lastKnown >= memory;
  });
  while (m_limits.size() > kMaxLimits) {
    m_limits.erase(std::min_element(m_limits.begin(),
                                    m_limits.end(),
                                    [](const auto& aOne, const auto& aOther) {
                                      return aOne.second.m_lastKnown <
                                             aOther.second.m_lastKnown;
                                    }));
  }
  std::erase_if(m_shares, [&](const auto& aEntry) {
    return !m_limits.contains(aEntry.first);
  });
}

RunnerLimits::Share
RunnerLimits::BeginShare(const RunnerLimit& aLimit, MonotonicTime aNow)
{
  // A limit that was just named had no holders yet.
  const bool hadHolders = aNow - aLimit.m_since > kTakeoverDelay;
  Share share;
  share.m_tokens = hadHolders ? 0 : 1;
  share.m_updatedAt = aNow;
  share.m_heldFrom = hadHolders ? aNow + kTakeoverDelay : aNow;
  return share;
}

void
RunnerLimits::Update(
  const PositionOf& aPositionOf,
  const std::function<bool(const RunnerIncarnation&)>& aIsKnown,
  MonotonicTime aNow)
{
  Forget(aIsKnown, aNow);
  for (auto& [runner, share] : m_shares) {
    const RunnerLimit& limit = m_limits.at(runner).m_limit;
    const double perSecond = limit.m_perSecond.value_or(0);
    const Position position = aPositionOf(runner);
    const std::size_t holders = HoldersOf(perSecond, position.m_gateways);
    if (position.m_rank >= holders) {
      share = {};
      continue;
    }
    if (share.m_heldFrom) {
      share.m_tokens = TokensAt(share, aNow);
      share.m_updatedAt = aNow;
    } else {
      share = BeginShare(limit, aNow);
    }
    share.m_perSecond = kUsableShare * perSecond / static_cast<double>(holders);
  }
}

double
RunnerLimits::TokensAt(const Share& aShare, MonotonicTime aNow)
{
  const double refill =
    aShare.m_perSecond * Seconds(aNow - aShare.m_updatedAt).count();
  return std::min(1.0, aShare.m_tokens + refill);
}

bool
RunnerLimits::Allows(const RunnerIncarnation& aRunner, MonotonicTime aNow) const
{
  const auto found = m_shares.find(aRunner);
  if (found == m_shares.end()) {
    return true;
  }
  const Share& share = found->second;
  return share.m_heldFrom && aNow >= *share.m_heldFrom &&
         TokensAt(share, aNow) >= 1;
}

void
RunnerLimits::RecordSend(const RunnerIncarnation& aRunner, MonotonicTime aNow)
{
  const auto found = m_shares.find(aRunner);
  if (found == m_shares.end()) {
    return;
  }
  Share& share = found->second;
  share.m_tokens = std::max(0.0, TokensAt(share, aNow) - 1);
  share.m_updatedAt = aNow;
}

milliseconds
RunnerLimits::RetryAfter(const std::vector<RunnerIncarnation>& aRunners) const
{
  double perSecond = 0;
  for (const RunnerIncarnation& runner : aRunners) {
    perSecond += kUsableShare * LimitOf(runner).value_or(0);
  }
  if (perSecond <= 0) {
    return kMaxRetryAfter;
  }
  return std::min(
    kMaxRetryAfter,
    std::chrono::duration_cast<milliseconds>(Seconds(1 / perSecond)));
}

std::vector<std::pair<RunnerIncarnation, RunnerLimit>>
RunnerLimits::Advertise(MonotonicTime aNow)
{
  std::vector<std::pair<RunnerIncarnation, RunnerLimit>> advertised;
  const auto take = [&](const RunnerIncarnation& aRunner, const Known& aKnown) {
    // Gateways would otherwise remind each other of runners that left for ever.
    const bool due = aKnown.m_isKnown && (aKnown.m_limit.m_perSecond ||
                                          aNow < aKnown.m_advertiseUntil);
    if (due) {
      advertised.emplace_back(aRunner, aKnown.m_limit);
    }
    return due;
  };
  TakeTurns(m_limits, m_lastAdvertised, kMaxAdvertised, take);
  return advertised;
}

} // namespace siskindeal

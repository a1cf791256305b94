#include "dispatch/retry_budget_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

// The rest is for processes that have run for less than a window.
constexpr double kUsableShare = 0.8;

} // namespace

void
SharedRetryBudget::SetGatewayCount(std::size_t aCount)
{
  m_gatewayCount = std::max(m_gatewayCount, aCount);
}

void
SharedRetryBudget::DropExpired(Window& aWindow, MonotonicTime aNow) const
{
  const auto drop = [&](std::deque<MonotonicTime>& aTimes) {
    while (!aTimes.empty() && aNow - aTimes.front() > m_allowance.m_window) {
      aTimes.pop_front();
    }
  };
  drop(aWindow.m_requests);
  drop(aWindow.m_retries);
}

void
SharedRetryBudget::RecordRequest(const std::string& aService,
                                 MonotonicTime aNow)
{
  Window& window = m_windows[aService];
  window.m_requests.push_back(aNow);
  DropExpired(window, aNow);
}

double
SharedRetryBudget::UsableSlackShare(MonotonicTime aNow) const
{
  using Seconds = std::chrono::duration<double>;
  const Seconds age = aNow - m_startedAt;
  if (age >= m_allowance.m_window) {
    return kUsableShare;
  }
  // Processes that start in series use up the rest once in a window, however
  // many they are.
  return (1 - kUsableShare) * (age / Seconds(m_allowance.m_window));
}

RetryUsage
SharedRetryBudget::Usage(const std::string& aService, MonotonicTime aNow)
{
  Window& window = m_windows[aService];
  DropExpired(window, aNow);
  const double ownSlack =
    m_gatewayCount == 0
      ? 0
      : m_allowance.m_slack / static_cast<double>(m_gatewayCount);
  const double allowed = kUsableShare * m_allowance.m_ratio *
                           static_cast<double>(window.m_requests.size()) +
                         UsableSlackShare(aNow) * ownSlack;
  return {
    window.m_requests.size(), window.m_retries.size(), allowed, m_gatewayCount
  };
}

bool
SharedRetryBudget::Allows(const std::string& aService, MonotonicTime aNow)
{
  const RetryUsage usage = Usage(aService, aNow);
  return static_cast<double>(usage.m_retries) + 1 <= usage.m_allowed;
}

bool
SharedRetryBudget::TakeRetry(const std::string& aService, MonotonicTime aNow)
{
  if (!Allows(aService, aNow)) {
    return false;
  }
  m_windows[aService].m_retries.push_back(aNow);
  return true;
}

} // namespace siskindeal

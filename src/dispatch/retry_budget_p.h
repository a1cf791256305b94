#pragma once
// Limits how often this gateway retries requests to a service's runners. All
// gateways share one allowance; each uses its part without coordination.

#include "siskindeal/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace siskindeal {

struct RetryAllowance
{
  double m_ratio = 0.2; // retries per request in the window
  std::chrono::milliseconds m_window{ 10000 };
  double m_slack = 10; // further retries, shared by all gateways
};

// What a gateway has used of the allowance for a service, in the window.
struct RetryUsage
{
  std::size_t m_requests = 0;
  std::size_t m_retries = 0;
  double m_allowed = 0;       // retries
  std::size_t m_gateways = 0; // that share the slack; 0: unknown
};

class SharedRetryBudget
{
public:
  // aStartedAt: when this gateway's process started. What a former process on
  // its VM has used in the window isn't known, so the share of the slack grows
  // from then on.
  explicit SharedRetryBudget(const RetryAllowance& aAllowance,
                             MonotonicTime aStartedAt = {})
    : m_allowance(aAllowance)
    , m_startedAt(aStartedAt)
  {
  }

  void SetAllowance(const RetryAllowance& aAllowance)
  {
    m_allowance = aAllowance;
  }
  // Sets how many gateways share the slack; until then, none of it is used.
  // Keeps the largest count seen.
  void SetGatewayCount(std::size_t aCount);
  void RecordRequest(const std::string& aService, MonotonicTime aNow);
  RetryUsage Usage(const std::string& aService, MonotonicTime aNow);
  // Whether the budget allows one more retry now.
  bool Allows(const std::string& aService, MonotonicTime aNow);
  // Counts one more retry and returns true if the budget allows it.
  bool TakeRetry(const std::string& aService, MonotonicTime aNow);

private:
  struct Window
  {
    std::deque<MonotonicTime> m_requests;
    std::deque<MonotonicTime> m_retries;
  };

  void DropExpired(Window& aWindow, MonotonicTime aNow) const;
  // The share of this gateway's part of the slack that it may use.
  double UsableSlackShare(MonotonicTime aNow) const;

  RetryAllowance m_allowance;
  MonotonicTime m_startedAt;
  std::size_t m_gatewayCount = 0; // 0: unknown
  std::map<std::string, Window> m_windows;
};

} // namespace siskindeal

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

class SharedRetryBudget
{
public:
  explicit SharedRetryBudget(const RetryAllowance& aAllowance)
    : m_allowance(aAllowance)
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

  RetryAllowance m_allowance;
  std::size_t m_gatewayCount = 0; // 0: unknown
  std::map<std::string, Window> m_windows;
};

} // namespace siskindeal

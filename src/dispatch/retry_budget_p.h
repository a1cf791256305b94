#pragma once
// How many further sends to a service's runners this entry may make. All
// entries share one allowance; each takes its part of it without asking.

#include "siskindeal/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace siskindeal {

struct RetryAllowance
{
  double m_ratio = 0.2; // of the requests in the window
  std::chrono::milliseconds m_window{ 10000 };
  double m_slack = 10; // over all entries
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
  // How many entries share the slack; the most that were seen at once.
  void SetEntries(std::size_t aEntries);
  void NoteRequest(const std::string& aService, MonotonicTime aNow);
  // True, and counted, if one more send to the service is within the budget.
  bool TakeRetry(const std::string& aService, MonotonicTime aNow);

private:
  struct Window
  {
    std::deque<MonotonicTime> m_requests;
    std::deque<MonotonicTime> m_retries;
  };

  void Forget(Window& aWindow, MonotonicTime aNow) const;

  RetryAllowance m_allowance;
  std::size_t m_entries = 1;
  std::map<std::string, Window> m_windows;
};

} // namespace siskindeal

#include "dispatch/retry_budget_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

// Kept back for sends that a restarted entry has forgotten.
constexpr double kUsedShare = 0.8;

} // namespace

void
SharedRetryBudget::SetEntries(std::size_t aEntries)
{
  m_entries = std::max(m_entries, aEntries);
}

void
SharedRetryBudget::Forget(Window& aWindow, MonotonicTime aNow) const
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
SharedRetryBudget::NoteRequest(const std::string& aService, MonotonicTime aNow)
{
  Window& window = m_windows[aService];
  window.m_requests.push_back(aNow);
  Forget(window, aNow);
}

bool
SharedRetryBudget::TakeRetry(const std::string& aService, MonotonicTime aNow)
{
  Window& window = m_windows[aService];
  Forget(window, aNow);
  const double allowed =
    kUsedShare *
    (m_allowance.m_ratio * static_cast<double>(window.m_requests.size()) +
     m_allowance.m_slack / static_cast<double>(m_entries));
  if (static_cast<double>(window.m_retries.size()) + 1 > allowed) {
    return false;
  }
  window.m_retries.push_back(aNow);
  return true;
}

} // namespace siskindeal

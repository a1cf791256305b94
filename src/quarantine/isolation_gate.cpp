#include "siskindeal/quarantine.h"

#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

IsolationGate::Entry
IsolationGate::Arrive(const std::string& aId,
                      bool aIsolated,
                      MonotonicTime aNow)
{
  if (!aIsolated) {
    if (m_isolated || !m_waiting.empty()) {
      return Entry::Busy;
    }
    m_running.insert(aId);
    return Entry::Start;
  }
  if (m_running.empty() && m_waiting.empty()) {
    m_running.insert(aId);
    m_isolated = true;
    return Entry::Start;
  }
  if (m_waiting.size() >= kMaxWaiting) {
    return Entry::Busy;
  }
  m_waiting.push_back({ aId, aNow });
  return Entry::Wait;
}

std::optional<std::string>
IsolationGate::Finish(const std::string& aId)
{
  if (m_running.erase(aId) == 0) {
    std::erase_if(m_waiting,
                  [&](const Waiter& aWaiter) { return aWaiter.m_id == aId; });
  }
  if (!m_running.empty()) {
    return std::nullopt;
  }
  m_isolated = false;
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  const std::string next = m_waiting.front().m_id;
  m_waiting.pop_front();
  m_running.insert(next);
  m_isolated = true;
  SISKINDEAL_INVARIANT(m_running.size() == 1, "a suspect runs alone");
  return next;
}

std::vector<std::string>
IsolationGate::Tick(MonotonicTime aNow)
{
  std::vector<std::string> expired;
  while (!m_waiting.empty() && aNow - m_waiting.front().m_since >= kMaxWait) {
    expired.push_back(m_waiting.front().m_id);
    m_waiting.pop_front();
  }
  return expired;
}

} // namespace siskindeal

#include "siskindeal/routing.h"

#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::uint32_t kMostDoublings = 5;
constexpr std::chrono::milliseconds kTrial{ 30000 }; // longest trial

} // namespace

void
OutlierEjector::Succeeded(const std::string& aVm)
{
  m_states.erase(aVm);
}

std::size_t
OutlierEjector::Ejected(MonotonicTime aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_states.begin(), m_states.end(), [&](const auto& aEntry) {
      return aEntry.second.m_out;
    }));
}

void
OutlierEjector::Failed(const std::string& aVm,
                       std::size_t aVms,
                       MonotonicTime aNow)
{
  auto& state = m_states[aVm];
  ++state.m_failures;
  const bool trialFailed = state.m_out && aNow >= state.m_until;
  if (!trialFailed && (state.m_out || state.m_failures < kFailures)) {
    return;
  }
  // The service may have shrunk since others were taken out.
  const auto others = Ejected(aNow) - (state.m_out ? 1 : 0);
  if ((others + 1) * 2 > aVms) {
    state.m_out = false;
    return;
  }
  const auto doublings = std::min(state.m_ejections, kMostDoublings);
  state.m_out = true;
  state.m_until = aNow + std::min(kFirst * (1 << doublings), kLongest);
  state.m_trialUntil = MonotonicTime{};
  ++state.m_ejections;
  SISKINDEAL_INVARIANT(Ejected(aNow) * 2 <= aVms,
                       "at most half of a service is ejected");
}

bool
OutlierEjector::IsEjected(const std::string& aVm, MonotonicTime aNow) const
{
  const auto found = m_states.find(aVm);
  if (found == m_states.end() || !found->second.m_out) {
    return false;
  }
  return aNow < found->second.m_until || aNow < found->second.m_trialUntil;
}

void
OutlierEjector::Chosen(const std::string& aVm, MonotonicTime aNow)
{
  const auto found = m_states.find(aVm);
  if (found != m_states.end() && found->second.m_out &&
      aNow >= found->second.m_until) {
    found->second.m_trialUntil = aNow + kTrial;
  }
}

void
OutlierEjector::Forget(const std::string& aVm)
{
  m_states.erase(aVm);
}

} // namespace siskindeal

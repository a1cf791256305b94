#include "siskindeal/routing.h"

#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::uint32_t kMaxDoublings = 5;
constexpr std::chrono::milliseconds kMaxTrialTime{ 30000 };

} // namespace

void
OutlierEjector::RecordSuccess(const std::string& aVm)
{
  m_states.erase(aVm);
}

std::size_t
OutlierEjector::EjectedCount(MonotonicTime aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_states.begin(), m_states.end(), [&](const auto& aEntry) {
      return aEntry.second.m_ejected;
    }));
}

void
OutlierEjector::RecordFailure(const std::string& aVm,
                              std::size_t aRunnerCount,
                              MonotonicTime aNow)
{
  auto& state = m_states[aVm];
  ++state.m_failures;
  const bool trialFailed = state.m_ejected && aNow >= state.m_ejectedUntil;
  if (!trialFailed &&
      (state.m_ejected || state.m_failures < kConsecutiveFailures)) {
    return;
  }
  // The service may have shrunk since the other runners were ejected.
  const auto others = EjectedCount(aNow) - (state.m_ejected ? 1 : 0);
  if ((others + 1) * 2 > aRunnerCount) {
    state.m_ejected = false;
    return;
  }
  const auto doublings = std::min(state.m_ejections, kMaxDoublings);
  state.m_ejected = true;
  state.m_ejectedUntil =
    aNow + std::min(kBaseEjectionTime * (1 << doublings), kMaxEjectionTime);
  state.m_trialUntil = MonotonicTime{};
  ++state.m_ejections;
  SISKINDEAL_INVARIANT(EjectedCount(aNow) * 2 <= aRunnerCount,
                       "at most half of a service's runners are ejected");
}

bool
OutlierEjector::IsEjected(const std::string& aVm, MonotonicTime aNow) const
{
  const auto found = m_states.find(aVm);
  if (found == m_states.end() || !found->second.m_ejected) {
    return false;
  }
  return aNow < found->second.m_ejectedUntil ||
         aNow < found->second.m_trialUntil;
}

void
OutlierEjector::OnSelected(const std::string& aVm, MonotonicTime aNow)
{
  const auto found = m_states.find(aVm);
  if (found != m_states.end() && found->second.m_ejected &&
      aNow >= found->second.m_ejectedUntil) {
    found->second.m_trialUntil = aNow + kMaxTrialTime;
  }
}

void
OutlierEjector::RemoveVm(const std::string& aVm)
{
  m_states.erase(aVm);
}

} // namespace siskindeal

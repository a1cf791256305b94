// Applies to placement which runners are cold.

#include "gateway/gateway_p.h"
#include "siskindeal/digest.h"

namespace siskindeal {

const ServiceRecord*
Gateway::ServiceOf(const RunnerRecord& aRunner) const
{
  if (!m_routes) {
    return nullptr;
  }
  const auto& services = m_routes->Config().m_services;
  const auto found = services.find(aRunner.m_service);
  return found == services.end() ? nullptr : &found->second;
}

void
Gateway::ObserveCold(const RunnerRecord& aRunner)
{
  if (const ServiceRecord* service = ServiceOf(aRunner)) {
    m_placer.Cold().Observe(aRunner, *service, LoopNow());
  }
}

void
Gateway::RecordReturnedPlaces(const std::set<std::string>& aPlaces)
{
  for (const auto& [id, state] : m_runners.All()) {
    const ServiceRecord* service = ServiceOf(state.m_record);
    if (service != nullptr && aPlaces.contains(state.m_record.m_place)) {
      m_placer.Cold().RecordReturn(state.m_record, *service, LoopNow());
    }
  }
}

void
Gateway::UpdateColdRunners()
{
  const MonotonicTime now = LoopNow();
  for (const auto& [id, state] : m_runners.All()) {
    const ServiceRecord* service = ServiceOf(state.m_record);
    if (service == nullptr || service->m_coldPerSecond <= 0) {
      continue;
    }
    m_placer.Cold().Observe(state.m_record, *service, now);
    const RunnerIncarnation runner = state.m_record.Incarnation();
    if (m_crashes.HasCrashed(runner)) {
      m_placer.Cold().RecordCrash(runner, *service, now);
    }
  }
  const auto positionOf = [&](const RunnerIncarnation& aRunner) {
    const RunnerState* state = m_runners.Find(aRunner.m_id);
    const std::string region =
      state == nullptr
        ? m_region
        : RegionOf(m_settings.m_gateway.m_regions, state->m_record.m_place);
    return m_peers.PositionIn(region, StableHash(aRunner.ToString()), now);
  };
  const auto isKnown = [&](const RunnerIncarnation& aRunner) {
    return IsListed(aRunner);
  };
  m_placer.Cold().Update(positionOf, isKnown, now);
}

} // namespace siskindeal

// Exchanges the demand by priority and the pace of runners with the other
// gateways, and updates the admission control.

#include "gateway/gateway_p.h"
#include "siskindeal/metrics.h"
#include "siskindeal/wire_values.h"

#include <algorithm>
#include <cmath>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr double kPacePercent = 100;
// A pace that was stated longer ago says nothing of the present one.
constexpr milliseconds kPaceLifetime{ 500 };
// The regions' sums are told apart from gateways by their source.
constexpr std::string_view kRegionSource = "region ";

void
Append(const std::map<std::string, ServiceDemand>& aDemand,
       google::protobuf::RepeatedPtrField<v1::ServiceDemand>& aTo)
{
  for (const auto& [service, levels] : aDemand) {
    v1::ServiceDemand& demand = *aTo.Add();
    demand.set_service(service);
    for (std::size_t i = 0; i < kPriorityLevels; ++i) {
      if (levels[i].m_offered > 0) {
        v1::DemandLevel& level = *demand.add_levels();
        level.set_level(static_cast<std::uint32_t>(i));
        level.set_offered(levels[i].m_offered);
        level.set_returned(levels[i].m_returned);
      }
    }
  }
}

// Other processes' figures may be anything.
double
RateFromWire(double aRate)
{
  constexpr double kMaxRate = 1e9;
  return std::isfinite(aRate) ? std::min(std::max(aRate, 0.0), kMaxRate) : 0;
}

} // namespace

bool
Gateway::LearnsCosts(const std::string& aService) const
{
  return m_routes && m_routes->IsPrioritized(aService);
}

void
Gateway::RecordPace(RunnerState& aRunner, double aPace)
{
  if (aPace > 0 && LearnsCosts(aRunner.m_record.m_service)) {
    aRunner.m_pace.RecordStated({ aPace, LoopNow(), true });
  }
}

void
Gateway::AppendPaces(
  bool aOnlyOwn,
  google::protobuf::RepeatedPtrField<v1::RunnerLoadReport>& aTo) const
{
  const MonotonicTime now = LoopNow();
  std::map<std::string, v1::RunnerLoadReport*> listed;
  for (v1::RunnerLoadReport& load : aTo) {
    listed[load.runner()] = &load;
  }
  for (const auto& [id, state] : m_runners.All()) {
    const RunnerPace::Reading& stated = state.m_pace.Stated();
    if (!state.m_pace.IsStated() || now - stated.m_at > kPaceLifetime ||
        (aOnlyOwn && !stated.m_isOwn)) {
      continue;
    }
    v1::RunnerLoadReport*& load = listed[id];
    if (load == nullptr) {
      load = aTo.Add();
      load->set_runner(id);
      load->set_born(state.m_record.m_born);
    }
    load->set_pace_percent(
      static_cast<std::uint32_t>(std::lround(stated.m_factor * kPacePercent)));
    load->set_pace_age_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(now - stated.m_at).count()));
  }
}

void
Gateway::MergePaces(
  const google::protobuf::RepeatedPtrField<v1::RunnerLoadReport>& aLoads)
{
  const MonotonicTime now = LoopNow();
  for (const v1::RunnerLoadReport& load : aLoads) {
    RunnerState* runner =
      load.pace_percent() > 0 ? m_runners.Find(load.runner()) : nullptr;
    if (runner != nullptr && runner->m_record.m_born == load.born() &&
        LearnsCosts(runner->m_record.m_service)) {
      runner->m_pace.RecordStated({ load.pace_percent() / kPacePercent,
                                    now - MillisFromWire(load.pace_age_ms()) });
    }
  }
}

void
Gateway::UpdateAdmission()
{
  if (!m_routes) {
    return;
  }
  const MonotonicTime now = LoopNow();
  m_admission.Retain([&](const std::string& aService) {
    return m_routes->IsPrioritized(aService);
  });
  const std::set<std::string> evacuated = m_evacuations.Places();
  for (const std::string& name : m_routes->PrioritizedServices()) {
    const ServiceRecord& record = m_routes->Service(name);
    if (!record.m_engine) {
      continue;
    }
    ServiceCapacity capacity;
    for (const RunnerState* runner : m_runners.Usable(name)) {
      if (runner->m_loadingUntil > now ||
          evacuated.contains(runner->m_record.m_place)) {
        continue;
      }
      capacity.m_slots += runner->m_record.m_slots > 0
                            ? runner->m_record.m_slots
                            : record.m_engine->m_slots;
      capacity.m_requests += runner->Requests();
    }
    m_admission.Update(name, capacity, now);
    const PriorityAdmission::Service& service = m_admission.Services().at(name);
    SetMetric("siskindeal_gateway_capacity_correction",
              service.m_correction,
              { { "service", name } });
    for (std::size_t i = 0; i < kPriorityLevels; ++i) {
      if (service.m_demand[i].m_offered > 0) {
        SetMetric("siskindeal_gateway_admitted_share",
                  service.m_shares[i].m_new,
                  { { "service", name }, { "level", std::to_string(i) } });
      }
    }
  }
}

void
Gateway::AppendDemand(v1::GatewayBeacon& aBeacon) const
{
  Append(m_admission.OwnDemand(LoopNow()), *aBeacon.mutable_demand());
}

void
Gateway::AppendDemand(v1::RegionReport& aReport) const
{
  const MonotonicTime now = LoopNow();
  const auto isGateway = [](const std::string& aSource) {
    return aSource.rfind(kRegionSource, 0) != 0;
  };
  std::map<std::string, ServiceDemand> sum =
    m_admission.DemandOf(isGateway, now);
  for (const auto& [service, demand] : m_admission.OwnDemand(now)) {
    for (std::size_t i = 0; i < kPriorityLevels; ++i) {
      sum[service][i] += demand[i];
    }
  }
  Append(sum, *aReport.mutable_demand());
}

void
Gateway::MergeDemand(
  const std::string& aSource,
  const google::protobuf::RepeatedPtrField<v1::ServiceDemand>& aDemand)
{
  std::map<std::string, ServiceDemand> demand;
  for (const v1::ServiceDemand& one : aDemand) {
    if (!m_routes || !m_routes->IsPrioritized(one.service())) {
      continue;
    }
    for (const v1::DemandLevel& level : one.levels()) {
      const std::size_t index =
        std::min<std::size_t>(level.level(), kPriorityLevels - 1);
      demand[one.service()].at(index) +=
        { RateFromWire(level.offered()), RateFromWire(level.returned()) };
    }
  }
  if (!demand.empty()) {
    m_admission.RecordDemand(aSource, std::move(demand), LoopNow());
  }
}

void
Gateway::MergeRegionDemand(const v1::RegionReport& aReport)
{
  MergeDemand(std::string(kRegionSource) + aReport.region(), aReport.demand());
}

} // namespace siskindeal

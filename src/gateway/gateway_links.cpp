// The delay of links between regions: what region reports show of it and tell
// of it.

#include "gateway/gateway_p.h"
#include "siskindeal/metrics.h"
#include "siskindeal/wire_values.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

// aTo is a LinkDelay or a RegionReport.
template<typename Message>
void
WriteMeasurement(const LinkMeasurement& aMeasured, Message& aTo)
{
  aTo.set_queued_ms(static_cast<std::uint32_t>(aMeasured.m_queued.count()));
  aTo.set_measured_for_ms(
    static_cast<std::uint32_t>(aMeasured.m_measuredFor.count()));
}

template<typename Message>
LinkMeasurement
ReadMeasurement(const Message& aFrom)
{
  return { MillisFromWire(aFrom.queued_ms()),
           MillisFromWire(aFrom.measured_for_ms()) };
}

} // namespace

void
Gateway::RecordLinkDelays(const v1::RegionReport& aReport)
{
  const milliseconds now = BootTime();
  const bool isTimed =
    aReport.passed_on() ? aReport.has_queued_ms() : aReport.sent_at_ms() > 0;
  if (!isTimed) {
    m_linkDelays.Forget(aReport.region()); // by a gateway of an earlier release
  } else if (aReport.passed_on()) {
    m_linkDelays.RecordRelayed(aReport.region(), ReadMeasurement(aReport), now);
  } else if (aReport.gateways_size() > 0) {
    const v1::GatewayBeacon& sender = aReport.gateways(0);
    m_linkDelays.RecordReport(aReport.region(),
                              { sender.vm(), sender.incarnation() },
                              MillisFromWire(aReport.sent_at_ms()),
                              now);
  }
  for (const v1::LinkDelay& delay : aReport.link_delays()) {
    if (delay.from() == m_region) {
      m_linkDelays.RecordOutbound(
        aReport.region(), ReadMeasurement(delay), now);
    }
  }
  UpdateLinkDelays();
}

void
Gateway::UpdateLinkDelays()
{
  m_placer.SetLinkDelays(m_linkDelays.RoundTrips(BootTime()));
}

std::shared_ptr<HttpConnection>
Gateway::Connect(const Address& aRunner,
                 const std::string& aRegion,
                 bool aIsUnshared)
{
  const bool isOther = !aRegion.empty() && aRegion != m_region;
  const bool isProven = !isOther || m_deliveries.IsProven(aRegion, LoopNow());
  return isProven && !aIsUnshared ? m_pool->Acquire(aRunner)
                                  : m_pool->Replace(aRunner);
}

void
Gateway::LogLinkDelays()
{
  constexpr milliseconds kMinLogged{ 100 };
  constexpr int kMuch = 2;
  const milliseconds now = BootTime();
  for (const auto& [region, delay] : m_linkDelays.RoundTrips(now)) {
    milliseconds& logged = m_loggedDelays[region];
    const milliseconds shown = std::max(delay, kMinLogged);
    const milliseconds former = std::max(logged, kMinLogged);
    if (shown < former * kMuch && former < shown * kMuch) {
      continue;
    }
    logged = delay;
    LogRequest(LogLevel::Info,
               "link delay changed",
               { { "region", region },
                 { "to_ms", m_linkDelays.Outbound(region, now).count() },
                 { "from_ms", m_linkDelays.Inbound(region, now).count() } });
  }
}

void
Gateway::LogDatagrams()
{
  constexpr std::uint64_t kMinLoggedBytes = 100000;
  constexpr std::uint64_t kMuch = 2;
  const auto traffic = m_datagrams->TakeTraffic();
  DatagramTraffic sum;
  for (const auto& [kind, sent] : traffic) {
    sum.m_datagrams += sent.m_datagrams;
    sum.m_bytes += sent.m_bytes;
    sum.m_dropped += sent.m_dropped;
  }
  const std::uint64_t shown = std::max(sum.m_bytes, kMinLoggedBytes);
  const std::uint64_t former = std::max(m_loggedDatagramBytes, kMinLoggedBytes);
  const bool hasChanged = shown >= former * kMuch || former >= shown * kMuch;
  if (!hasChanged && sum.m_dropped == 0) {
    return;
  }
  m_loggedDatagramBytes = sum.m_bytes;
  const auto bytesOf = [&](DatagramKind aKind) {
    const auto found = traffic.find(aKind);
    return found == traffic.end() ? 0 : found->second.m_bytes;
  };
  LogRequest(LogLevel::Info,
             "datagrams of the last second",
             { { "sent", sum.m_datagrams },
               { "dropped", sum.m_dropped },
               { "bytes", sum.m_bytes },
               { "heartbeat_bytes", bytesOf(DatagramKind::Heartbeat) },
               { "load_bytes", bytesOf(DatagramKind::Load) },
               { "report_bytes", bytesOf(DatagramKind::Report) },
               { "relay_bytes", bytesOf(DatagramKind::Relay) },
               { "weights_bytes", bytesOf(DatagramKind::Weights) } });
}

void
Gateway::CountRegionBytes(const std::string& aRegion,
                          const char* aKind,
                          std::size_t aBytes) const
{
  if (aRegion != m_region && aBytes > 0) {
    CountMetric("siskindeal_gateway_region_bytes_total",
                { { "kind", aKind } },
                static_cast<double>(aBytes));
  }
}

void
Gateway::AppendMeasurement(v1::RegionReport& aRelayed) const
{
  const auto measured = m_linkDelays.Measurements(BootTime());
  const auto found = measured.find(aRelayed.region());
  if (found != measured.end()) {
    WriteMeasurement(found->second, aRelayed);
  }
}

void
Gateway::AppendLinkDelays(v1::RegionReport& aReport) const
{
  for (const auto& [from, measured] : m_linkDelays.Measurements(BootTime())) {
    v1::LinkDelay& delay = *aReport.add_link_delays();
    delay.set_from(from);
    WriteMeasurement(measured, delay);
  }
}

} // namespace siskindeal

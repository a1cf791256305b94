#include "gateway/crash_watch_p.h"

#include "siskindeal/metrics.h"

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbeDelay{ 60 };      // groups simultaneous losses
constexpr milliseconds kProbeInterval{ 1000 }; // between probes of one runner
constexpr milliseconds kProbeTimeout{ 300 };   // a timeout isn't a crash
constexpr std::size_t kMaxProbes = 256;        // one per runner
constexpr std::size_t kMaxSilentRequests = 4096;
// Longer than requests last that a crashed runner may have executed.
constexpr std::chrono::minutes kLongestRequest{ 10 };

const char*
ProbeResultName(const NetError& aResult)
{
  if (!aResult) {
    return "accepted";
  }
  return aResult == boost::asio::error::connection_refused ? "refused"
                                                           : "unknown";
}

} // namespace

void
CrashWatch::OnConnectionLost(const RunnerIncarnation& aRunner,
                             const Address& aAddress,
                             RequestTraits aRequest)
{
  AddLostConnection(
    aRunner, aAddress, { std::move(aRequest), LoopNow(), std::nullopt });
}

void
CrashWatch::OnResponseClosed(const RunnerIncarnation& aRunner,
                             const Address& aAddress,
                             RequestTraits aRequest,
                             const ClosedResponse& aResponse)
{
  AddLostConnection(
    aRunner, aAddress, { std::move(aRequest), LoopNow(), aResponse });
}

void
CrashWatch::AddLostConnection(const RunnerIncarnation& aRunner,
                              const Address& aAddress,
                              LostConnection aLost)
{
  const MonotonicTime now = LoopNow();
  std::erase_if(m_probes, [&](const auto& aEntry) {
    const RunnerProbe& probe = *aEntry.second;
    return !probe.m_pending && now - probe.m_probedAt > kProbeInterval;
  });
  if (m_probes.size() >= kMaxProbes) {
    return;
  }
  std::shared_ptr<RunnerProbe>& probe = m_probes[aRunner];
  if (!probe) {
    probe = std::make_shared<RunnerProbe>(m_loop);
    probe->m_address = aAddress;
  }
  probe->m_lostConnections.push_back(std::move(aLost));
  if (probe->m_pending) {
    return;
  }
  ScheduleProbe(aRunner, probe);
}

void
CrashWatch::ScheduleProbe(const RunnerIncarnation& aRunner,
                          const std::shared_ptr<RunnerProbe>& aProbe)
{
  aProbe->m_pending = true;
  aProbe->m_timer.expires_at(
    std::max(LoopNow() + kProbeDelay, aProbe->m_probedAt + kProbeInterval));
  aProbe->m_timer.async_wait(
    [this, aRunner, probe = aProbe](const NetError& aError) {
      if (!aError) {
        StartProbe(aRunner, probe);
      }
    });
}

void
CrashWatch::StartProbe(const RunnerIncarnation& aRunner,
                       const std::shared_ptr<RunnerProbe>& aProbe)
{
  aProbe->m_probedAt = LoopNow();
  aProbe->m_timer.expires_after(kProbeTimeout);
  aProbe->m_timer.async_wait([probe = aProbe](const NetError& aError) {
    NetError ignored;
    if (!aError) {
      probe->m_socket.close(ignored);
    }
  });
  aProbe->m_socket.async_connect(
    EndpointOf(aProbe->m_address),
    [this, aRunner, probe = aProbe](const NetError& aError) {
      NetError ignored;
      probe->m_timer.cancel();
      probe->m_socket.close(ignored);
      OnProbed(aRunner, probe, aError);
    });
}

void
CrashWatch::OnProbed(const RunnerIncarnation& aRunner,
                     const std::shared_ptr<RunnerProbe>& aProbe,
                     const NetError& aResult)
{
  aProbe->m_pending = false;
  std::erase_if(aProbe->m_lostConnections, [&](LostConnection& aLost) {
    if (LoopNow() - aLost.m_at <= m_crashWindow) {
      return false;
    }
    if (!aLost.m_response) {
      OnSilence(aRunner, std::move(aLost.m_request));
    }
    return true;
  });
  CountMetric("siskindeal_gateway_crash_probes_total",
              { { "result", ProbeResultName(aResult) } });
  const bool refused = aResult == boost::asio::error::connection_refused;
  if (aResult && !refused && !aProbe->m_lostConnections.empty()) {
    ScheduleProbe(aRunner, aProbe); // packets of the probe may have been lost
    return;
  }
  const std::vector<LostConnection> lostConnections =
    std::exchange(aProbe->m_lostConnections, {});
  std::vector<RequestTraits> inFlight;
  for (const LostConnection& lost : lostConnections) {
    if (refused) {
      inFlight.push_back(lost.m_request);
    } else if (lost.m_response) {
      m_suspicions.RecordCompletion(lost.m_request,
                                    lost.m_response->m_status,
                                    lost.m_response->m_sentAt,
                                    LoopNow());
    }
  }
  if (!refused) {
    return;
  }
  std::erase_if(m_crashed, [](const auto& aEntry) {
    return LoopNow() - aEntry.second > kLongestRequest;
  });
  m_crashed[aRunner] = LoopNow();
  CountMetric("siskindeal_gateway_runner_crashes_total", {});
  m_suspicions.RecordCrash(aRunner, inFlight, LoopNow());
}

void
CrashWatch::OnSilence(const RunnerIncarnation& aRunner, RequestTraits aRequest)
{
  const MonotonicTime now = LoopNow();
  while (!m_silent.empty() && (m_silent.size() >= kMaxSilentRequests ||
                               now - m_silent.front().m_at > kRestartWindow)) {
    m_silent.pop_front();
  }
  m_silent.push_back({ aRunner, std::move(aRequest), now });
}

void
CrashWatch::OnRestart(const RunnerIncarnation& aFormer)
{
  std::vector<RequestTraits> inFlight;
  std::erase_if(m_silent, [&](SilentRequest& aSilent) {
    if (!(aSilent.m_runner == aFormer)) {
      return false;
    }
    if (LoopNow() - aSilent.m_at <= kRestartWindow) {
      inFlight.push_back(std::move(aSilent.m_request));
    }
    return true;
  });
  if (inFlight.empty()) {
    return;
  }
  CountMetric("siskindeal_gateway_silent_crashes_total", {});
  m_suspicions.RecordCrash(aFormer, inFlight, LoopNow());
}

} // namespace siskindeal

#include "gateway/crash_watch_p.h"

#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "siskindeal/operators.h"

#include <algorithm>
#include <set>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbeDelay{ 60 };      // groups simultaneous losses
constexpr milliseconds kProbeInterval{ 1000 }; // between probes of one runner
constexpr milliseconds kProbeTimeout{ 300 };   // a timeout isn't a crash
// Connections lost longer than this before a probe aren't linked to its crash.
constexpr milliseconds kCrashWindow{ 2000 };
constexpr milliseconds kAdvertisePeriod{ 3000 };
constexpr std::size_t kMaxAdvertised = 8;
constexpr std::size_t kMaxProbes = 256; // one per runner

const char*
ProbeResultName(const NetError& aResult)
{
  if (!aResult) {
    return "accepted";
  }
  return aResult == boost::asio::error::connection_refused ? "refused"
                                                           : "unknown";
}

std::string
Describe(const SuspicionListing& aListing)
{
  return FormatFingerprint(aListing.m_fingerprint) + ":" +
         std::to_string(aListing.m_crashes) + "-" +
         std::to_string(aListing.m_attributed) +
         (aListing.m_state == SuspicionState::Quarantined ? "q" : "");
}

} // namespace

void
CrashWatch::OnConnectionLost(const std::string& aRunner,
                             const Address& aAddress,
                             std::uint64_t aFingerprint)
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
  probe->m_lostConnections.push_back({ aFingerprint, now });
  if (probe->m_pending) {
    return;
  }
  probe->m_pending = true;
  probe->m_timer.expires_at(
    std::max(now + kProbeDelay, probe->m_probedAt + kProbeInterval));
  probe->m_timer.async_wait(
    [this, aRunner, probe = probe](const NetError& aError) {
      if (!aError) {
        StartProbe(aRunner, probe);
      }
    });
}

void
CrashWatch::StartProbe(const std::string& aRunner,
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
      OnProbed(aRunner, *probe, aError);
    });
}

void
CrashWatch::OnProbed(const std::string& aRunner,
                     RunnerProbe& aProbe,
                     const NetError& aResult)
{
  aProbe.m_pending = false;
  const std::vector<LostConnection> lostConnections =
    std::exchange(aProbe.m_lostConnections, {});
  CountMetric("siskindeal_gateway_crash_probes_total",
              { { "result", ProbeResultName(aResult) } });
  if (aResult != boost::asio::error::connection_refused) {
    return;
  }
  std::vector<SuspicionTable::InFlight> inFlight;
  for (const LostConnection& lost : lostConnections) {
    if (LoopNow() - lost.m_at <= kCrashWindow) {
      inFlight.push_back({ lost.m_fingerprint, {} });
    }
  }
  CountMetric("siskindeal_gateway_runner_crashes_total", {});
  // A runner id denotes one incarnation, so all gateways use it as crash id.
  m_table.RecordCrash(aRunner, inFlight, LoopNow());
  std::string suspects;
  for (const SuspicionTable::InFlight& request : inFlight) {
    suspects += Describe(*m_table.ListingOf(request.m_fingerprint)) + ' ';
  }
  Log(LogLevel::Warning,
      "runner crashed",
      { { "runner", aRunner },
        { "requests", inFlight.size() },
        { "suspects", suspects } });
  LogQuarantined();
}

void
CrashWatch::OnRequestCompleted(std::uint64_t aFingerprint, int aStatus)
{
  if (!m_table.Find(aFingerprint)) {
    return;
  }
  if (const auto listing = m_table.ListingOf(aFingerprint)) {
    Log(LogLevel::Info,
        "suspect completed",
        { { "suspect", Describe(*listing) }, { "status", aStatus } });
  }
  // Counts as run alone, since a request that crashes runners never completes.
  m_table.RecordCompletion(aFingerprint, true, LoopNow());
}

bool
CrashWatch::IsQuarantined(std::uint64_t aFingerprint) const
{
  return m_table.StateOf(aFingerprint) == SuspicionState::Quarantined;
}

std::vector<wire::Suspicion>
CrashWatch::SuspicionsToAdvertise(MonotonicTime aNow)
{
  if (m_changeNumbers.empty()) {
    m_changeNumbers.emplace_back(aNow, 0);
  }
  m_changeNumbers.emplace_back(aNow, m_table.Number());
  while (aNow - m_changeNumbers.front().first > kAdvertisePeriod) {
    m_changeNumbers.pop_front();
  }
  std::vector<wire::Suspicion> advertised =
    m_table.ChangedSince(m_changeNumbers.front().second);
  std::set<std::uint64_t> fingerprints;
  for (const wire::Suspicion& changed : advertised) {
    fingerprints.insert(changed.fingerprint());
  }
  for (const SuspicionListing& listing : m_table.List()) {
    if (listing.m_state == SuspicionState::Quarantined &&
        fingerprints.insert(listing.m_fingerprint).second) {
      advertised.push_back(*m_table.Find(listing.m_fingerprint));
    }
  }
  std::stable_sort(advertised.begin(),
                   advertised.end(),
                   [](const auto& aOne, const auto& aOther) {
                     return aOne.crashes() > aOther.crashes();
                   });
  advertised.resize(std::min(advertised.size(), kMaxAdvertised));
  return advertised;
}

void
CrashWatch::Merge(const wire::Suspicion& aSuspicion)
{
  if (m_table.Merge(aSuspicion)) {
    LogQuarantined();
  }
}

void
CrashWatch::LogQuarantined() const
{
  std::size_t quarantined = 0;
  std::string fingerprints;
  for (const SuspicionListing& listing : m_table.List()) {
    if (listing.m_state == SuspicionState::Quarantined) {
      ++quarantined;
      fingerprints += Describe(listing) + ' ';
    }
  }
  if (quarantined > 0) {
    Log(LogLevel::Warning,
        "requests quarantined",
        { { "requests", quarantined }, { "fingerprints", fingerprints } });
  }
}

} // namespace siskindeal

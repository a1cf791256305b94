#include "gateway/crash_watch_p.h"

#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <algorithm>
#include <set>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGather{ 60 };      // for the other runs that broke too
constexpr milliseconds kAskAgain{ 1000 };  // the same runner
constexpr milliseconds kAnswerTime{ 300 }; // a silent machine isn't a crash
constexpr milliseconds kTogether{ 2000 };  // breaks that one crash explains
constexpr milliseconds kToldFor{ 3000 };
constexpr std::size_t kMostTold = 8;
constexpr std::size_t kMostDoubted = 256; // runners

} // namespace

void
CrashWatch::NoteBreak(const std::string& aRunner,
                      const Address& aAddress,
                      std::uint64_t aFingerprint)
{
  const MonotonicTime now = LoopNow();
  std::erase_if(m_doubted, [&](const auto& aEntry) {
    const Doubted& doubted = *aEntry.second;
    return !doubted.m_asking && now - doubted.m_askedAt > kAskAgain;
  });
  if (m_doubted.size() >= kMostDoubted) {
    return;
  }
  std::shared_ptr<Doubted>& doubted = m_doubted[aRunner];
  if (!doubted) {
    doubted = std::make_shared<Doubted>(m_loop);
    doubted->m_address = aAddress;
  }
  doubted->m_breaks.push_back({ aFingerprint, now });
  if (doubted->m_asking) {
    return;
  }
  doubted->m_asking = true;
  doubted->m_timer.expires_at(
    std::max(now + kGather, doubted->m_askedAt + kAskAgain));
  doubted->m_timer.async_wait(
    [this, aRunner, doubted = doubted](const NetError& aError) {
      if (!aError) {
        Ask(aRunner, doubted);
      }
    });
}

void
CrashWatch::Ask(const std::string& aRunner,
                const std::shared_ptr<Doubted>& aWhat)
{
  aWhat->m_askedAt = LoopNow();
  aWhat->m_timer.expires_after(kAnswerTime);
  aWhat->m_timer.async_wait([what = aWhat](const NetError& aError) {
    NetError ignored;
    if (!aError) {
      what->m_socket.close(ignored);
    }
  });
  aWhat->m_socket.async_connect(
    EndpointOf(aWhat->m_address),
    [this, aRunner, what = aWhat](const NetError& aError) {
      NetError ignored;
      what->m_timer.cancel();
      what->m_socket.close(ignored);
      OnAsked(aRunner, *what, aError == boost::asio::error::connection_refused);
    });
}

void
CrashWatch::OnAsked(const std::string& aRunner, Doubted& aWhat, bool aCrashed)
{
  aWhat.m_asking = false;
  const std::vector<Break> breaks = std::exchange(aWhat.m_breaks, {});
  if (!aCrashed) {
    return;
  }
  std::vector<SuspicionTable::InFlight> inFlight;
  for (const Break& one : breaks) {
    if (LoopNow() - one.m_at <= kTogether) {
      inFlight.push_back({ one.m_fingerprint, {} });
    }
  }
  Log(LogLevel::Warning,
      "runner crashed",
      { { "runner", aRunner }, { "requests", inFlight.size() } });
  CountMetric("siskindeal_gateway_runner_crashes_total", {});
  // The incarnation names the crash, so that gateways tell of the same one.
  m_table.Crashed(aRunner, inFlight, LoopNow());
  LogQuarantined();
}

void
CrashWatch::NoteWhole(std::uint64_t aFingerprint)
{
  // That others ran beside it doesn't matter: what crashes never ends whole.
  if (m_table.Find(aFingerprint)) {
    m_table.RanWhole(aFingerprint, true, LoopNow());
  }
}

bool
CrashWatch::IsQuarantined(std::uint64_t aFingerprint) const
{
  return m_table.StateOf(aFingerprint) == SuspicionState::Quarantined;
}

std::vector<wire::Suspicion>
CrashWatch::Told(MonotonicTime aNow)
{
  if (m_numbers.empty()) {
    m_numbers.emplace_back(aNow, 0);
  }
  m_numbers.emplace_back(aNow, m_table.Number());
  while (aNow - m_numbers.front().first > kToldFor) {
    m_numbers.pop_front();
  }
  std::vector<wire::Suspicion> told =
    m_table.ChangedAfter(m_numbers.front().second);
  std::set<std::uint64_t> fingerprints;
  for (const wire::Suspicion& changed : told) {
    fingerprints.insert(changed.fingerprint());
  }
  for (const SuspicionListing& listing : m_table.List()) {
    if (listing.m_state == SuspicionState::Quarantined &&
        fingerprints.insert(listing.m_fingerprint).second) {
      told.push_back(*m_table.Find(listing.m_fingerprint));
    }
  }
  std::stable_sort(
    told.begin(), told.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.crashes() > aOther.crashes();
    });
  told.resize(std::min(told.size(), kMostTold));
  return told;
}

void
CrashWatch::Hear(const wire::Suspicion& aSuspicion)
{
  if (m_table.Merge(aSuspicion)) {
    LogQuarantined();
  }
}

void
CrashWatch::LogQuarantined() const
{
  std::size_t quarantined = 0;
  for (const SuspicionListing& listing : m_table.List()) {
    quarantined += listing.m_state == SuspicionState::Quarantined ? 1 : 0;
  }
  if (quarantined > 0) {
    Log(LogLevel::Warning,
        "requests quarantined",
        { { "requests", quarantined } });
  }
}

} // namespace siskindeal

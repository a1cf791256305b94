// Measures claims for requests that run at most once: claims per platform
// write, latency, and the share refused during a platform outage.

#include "siskindeal/claims.h"
#include "siskindeal/worker_pool.h"

#include "support/rows.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace siskindeal::bench {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPlatformLatency{ 3 }; // of one call
constexpr int kClaimsPerSecond = 1000;

// An in-memory platform that replies after kPlatformLatency, with an outage on
// demand.
class DelayedPlatform final : public Platform
{
public:
  explicit DelayedPlatform(WorkerPool& aWorkers)
    : m_workers(aWorkers)
  {
  }

  void Get(PlatformUse, const std::string& aKey, ReplyCallback aDone) override
  {
    ReplyLater(std::move(aDone), [this, aKey] {
      auto& object = m_objects[aKey];
      return PlatformReply{ object.m_version == 0 ? PlatformOutcome::NotFound
                                                  : PlatformOutcome::Ok,
                            object };
    });
  }

  void Put(PlatformUse,
           const PlatformWrite& aWrite,
           ReplyCallback aDone) override
  {
    ++m_writes;
    m_bytes += aWrite.m_value.size();
    ReplyLater(std::move(aDone), [this, aWrite] {
      auto& object = m_objects[aWrite.m_key];
      if (object.m_version != aWrite.m_expectedVersion) {
        return PlatformReply{ PlatformOutcome::Conflict, object };
      }
      object = { aWrite.m_key,
                 object.m_version + 1,
                 aWrite.m_value,
                 aWrite.m_changeId,
                 false };
      return PlatformReply{ PlatformOutcome::Ok, object };
    });
  }

  void Delete(PlatformUse, const PlatformWrite&, ReplyCallback aDone) override
  {
    ReplyLater(std::move(aDone), [] {
      return PlatformReply{ PlatformOutcome::Ok, {} };
    });
  }
  void List(PlatformUse, const std::string&, ChangesCallback) override {}
  void Watch(PlatformUse,
             const std::string&,
             std::uint64_t,
             milliseconds,
             ChangesCallback) override
  {
  }
  void Vms(VmsCallback) override {}

  std::atomic<bool> m_inOutage{ false };
  std::atomic<std::uint64_t> m_writes{ 0 };
  std::atomic<std::uint64_t> m_bytes{ 0 };

private:
  void ReplyLater(ReplyCallback aDone, std::function<PlatformReply()> aApply)
  {
    m_workers.PostAfter(kPlatformLatency,
                        [this, done = std::move(aDone), aApply] {
                          PlatformReply reply;
                          if (!m_inOutage) {
                            const std::lock_guard<std::mutex> lock(m_mutex);
                            reply = aApply();
                          }
                          done(reply);
                        });
  }

  WorkerPool& m_workers;
  std::mutex m_mutex;
  std::map<std::string, PlatformObject> m_objects;
};

struct Outcome
{
  std::uint64_t m_claims = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_bytes = 0;
  double m_seconds = 0;
  std::vector<double> m_milliseconds; // latencies of the granted claims
};

struct Load
{
  milliseconds m_duration{ 5000 };
  milliseconds m_outageStart{ 0 };
  milliseconds m_outageDuration{ 0 };
  bool m_plain = false; // baseline: one object per claim
};

class ClaimLoad
{
public:
  Outcome Run(const Load& aLoad)
  {
    ClaimLog log(
      "teesheet", "vm", ClaimSettings{}, m_platform, m_workers, m_clock);
    log.SetAgents({ "vm" });
    const auto start = m_clock.Now();
    const auto total = kClaimsPerSecond * aLoad.m_duration.count() / 1000;
    for (std::int64_t number = 0; number < total; ++number) {
      const auto at =
        start + std::chrono::microseconds(number * 1000000 / kClaimsPerSecond);
      std::this_thread::sleep_until(at);
      const auto elapsed = at - start;
      m_platform.m_inOutage =
        elapsed >= aLoad.m_outageStart &&
        elapsed < aLoad.m_outageStart + aLoad.m_outageDuration;
      SendClaim(log, number, aLoad.m_plain);
    }
    // An outage that outlasts the load continues until all claims are answered.
    m_platform.m_inOutage =
      m_platform.m_inOutage &&
      aLoad.m_outageStart + aLoad.m_outageDuration > aLoad.m_duration;
    while (m_resultCount < static_cast<std::uint64_t>(total)) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    m_workers.Stop();
    m_outcome.m_claims = static_cast<std::uint64_t>(total);
    m_outcome.m_writes = m_platform.m_writes;
    m_outcome.m_bytes = m_platform.m_bytes;
    m_outcome.m_seconds =
      std::chrono::duration<double>(aLoad.m_duration).count();
    return m_outcome;
  }

private:
  void SendClaim(ClaimLog& aLog, std::int64_t aNumber, bool aPlain)
  {
    const auto sent = m_clock.Now();
    const auto key = ClaimKeyOf("teesheet", "", std::to_string(aNumber));
    if (aPlain) {
      m_platform.Put(PlatformUse::Claim,
                     { key, "claimed", 0, key },
                     [this, sent](const PlatformReply& aReply) {
                       RecordResult(aReply.m_outcome == PlatformOutcome::Ok,
                                    sent);
                     });
      return;
    }
    aLog.Claim(
      { key, ClaimDigestOf("POST", "/", ""), sent + milliseconds(30000) },
      [this, sent, &aLog](const ClaimResult& aResult) {
        const auto* granted = std::get_if<ClaimGranted>(&aResult);
        if (granted != nullptr) {
          aLog.Finish(granted->m_ticket, Verdict::Ran, std::nullopt);
        }
        RecordResult(granted != nullptr, sent);
      });
  }

  void RecordResult(bool aGranted, MonotonicTime aSent)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (aGranted) {
      m_outcome.m_milliseconds.push_back(
        std::chrono::duration<double, std::milli>(m_clock.Now() - aSent)
          .count());
    } else {
      ++m_outcome.m_refused;
    }
    ++m_resultCount;
  }

  SystemClock m_clock;
  WorkerPool m_workers{ 2 };
  DelayedPlatform m_platform{ m_workers };
  std::mutex m_mutex;
  Outcome m_outcome;
  std::atomic<std::uint64_t> m_resultCount{ 0 };
};

Outcome
Run(const Load& aLoad)
{
  return ClaimLoad().Run(aLoad);
}

double
ClaimsPerWrite(const Outcome& aOutcome)
{
  return static_cast<double>(aOutcome.m_claims - aOutcome.m_refused) /
         static_cast<double>(aOutcome.m_writes);
}

double
RefusedShare(const Outcome& aOutcome)
{
  return static_cast<double>(aOutcome.m_refused) /
         static_cast<double>(aOutcome.m_claims);
}

void
GroupCommit()
{
  auto shipped = Run({});
  auto plain = Run({ milliseconds(5000), {}, {}, true });
  const std::string name = "1000_a_second";
  Print("claims",
        { name,
          "claims_per_platform_write",
          "claims",
          ClaimsPerWrite(shipped),
          ClaimsPerWrite(plain),
          10 });
  for (const double quantile : { 0.5, 0.99 }) {
    Print("claims",
          { name,
            quantile == 0.5 ? "claim_p50" : "claim_p99",
            "ms",
            Quantile(shipped.m_milliseconds, quantile),
            Quantile(plain.m_milliseconds, quantile),
            std::nullopt });
  }
  Print("claims",
        { name,
          "platform_bytes_per_second",
          "B/s",
          static_cast<double>(shipped.m_bytes) / shipped.m_seconds,
          static_cast<double>(plain.m_bytes) / plain.m_seconds,
          std::nullopt });
}

// Compares with a baseline that refuses a claim as soon as its write fails.
void
Outage(const std::string& aCase, const Load& aLoad)
{
  auto plainLoad = aLoad;
  plainLoad.m_plain = true;
  const auto shipped = Run(aLoad);
  const auto plain = Run(plainLoad);
  Print("claims",
        { aCase,
          "refused_share_in_outage",
          "share",
          RefusedShare(shipped),
          RefusedShare(plain),
          std::nullopt });
}

} // namespace
} // namespace siskindeal::bench

int
main()
{
  using siskindeal::bench::Outage;
  using std::chrono::milliseconds;
  siskindeal::bench::GroupCommit();
  Outage("outage_1s_of_8",
         { milliseconds(8000), milliseconds(2000), milliseconds(1000) });
  Outage("outage_4s_of_8",
         { milliseconds(8000), milliseconds(2000), milliseconds(4000) });
  Outage("isolated_place",
         { milliseconds(3000), milliseconds(0), milliseconds(9000) });
  return 0;
}

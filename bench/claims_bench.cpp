// Claims for requests that run at most once: how many a platform write carries,
// how long they take, and what is refused while the platform is out.

#include "siskindeal/claims.h"
#include "siskindeal/worker_pool.h"

#include "support/rows.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace siskindeal::bench {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPlatformTime{ 3 }; // of one call
constexpr int kRate = 1000;                // claims a second

// Objects in memory, answered after kPlatformTime, with an outage on demand.
class DelayedPlatform final : public Platform
{
public:
  explicit DelayedPlatform(WorkerPool& aWorkers)
    : m_workers(aWorkers)
  {
  }

  void Get(PlatformUse, const std::string& aKey, ReplyCallback aDone) override
  {
    Later(std::move(aDone), [this, aKey] {
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
    Later(std::move(aDone), [this, aWrite] {
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
    Later(std::move(aDone), [] {
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

  std::atomic<bool> m_out{ false };
  std::atomic<std::uint64_t> m_writes{ 0 };
  std::atomic<std::uint64_t> m_bytes{ 0 };

private:
  void Later(ReplyCallback aDone, std::function<PlatformReply()> aEffect)
  {
    m_workers.PostAfter(kPlatformTime,
                        [this, done = std::move(aDone), aEffect] {
                          PlatformReply reply;
                          if (!m_out) {
                            const std::lock_guard<std::mutex> lock(m_mutex);
                            reply = aEffect();
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
  std::uint64_t m_asked = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_bytes = 0;
  double m_seconds = 0;
  std::vector<double> m_milliseconds; // of those granted
};

struct Load
{
  milliseconds m_length{ 5000 };
  milliseconds m_outageFrom{ 0 };
  milliseconds m_outage{ 0 };
  bool m_plain = false; // one object a claim
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
    const auto total = kRate * aLoad.m_length.count() / 1000;
    for (std::int64_t number = 0; number < total; ++number) {
      const auto at =
        start + std::chrono::microseconds(number * 1000000 / kRate);
      std::this_thread::sleep_until(at);
      const auto passed = at - start;
      m_platform.m_out = passed >= aLoad.m_outageFrom &&
                         passed < aLoad.m_outageFrom + aLoad.m_outage;
      Ask(log, number, aLoad.m_plain);
    }
    // An outage that outlasts the load outlasts the waiting claims too.
    m_platform.m_out =
      m_platform.m_out && aLoad.m_outageFrom + aLoad.m_outage > aLoad.m_length;
    while (m_answered < static_cast<std::uint64_t>(total)) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    m_workers.Stop();
    m_outcome.m_asked = static_cast<std::uint64_t>(total);
    m_outcome.m_writes = m_platform.m_writes;
    m_outcome.m_bytes = m_platform.m_bytes;
    m_outcome.m_seconds = std::chrono::duration<double>(aLoad.m_length).count();
    return m_outcome;
  }

private:
  void Ask(ClaimLog& aLog, std::int64_t aNumber, bool aPlain)
  {
    const auto sent = m_clock.Now();
    const auto key = ClaimKeyOf("teesheet", "", std::to_string(aNumber));
    if (aPlain) {
      m_platform.Put(PlatformUse::Claim,
                     { key, "claimed", 0, key },
                     [this, sent](const PlatformReply& aReply) {
                       Answered(aReply.m_outcome == PlatformOutcome::Ok, sent);
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
        Answered(granted != nullptr, sent);
      });
  }

  void Answered(bool aGranted, MonotonicTime aSent)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (aGranted) {
      m_outcome.m_milliseconds.push_back(
        std::chrono::duration<double, std::milli>(m_clock.Now() - aSent)
          .count());
    } else {
      ++m_outcome.m_refused;
    }
    ++m_answered;
  }

  SystemClock m_clock;
  WorkerPool m_workers{ 2 };
  DelayedPlatform m_platform{ m_workers };
  std::mutex m_mutex;
  Outcome m_outcome;
  std::atomic<std::uint64_t> m_answered{ 0 };
};

Outcome
Run(const Load& aLoad)
{
  return ClaimLoad().Run(aLoad);
}

double
PerWrite(const Outcome& aOutcome)
{
  return static_cast<double>(aOutcome.m_asked - aOutcome.m_refused) /
         static_cast<double>(aOutcome.m_writes);
}

double
Refused(const Outcome& aOutcome)
{
  return static_cast<double>(aOutcome.m_refused) /
         static_cast<double>(aOutcome.m_asked);
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
          PerWrite(shipped),
          PerWrite(plain),
          10 });
  for (const double share : { 0.5, 0.99 }) {
    Print("claims",
          { name,
            share == 0.5 ? "claim_p50" : "claim_p99",
            "ms",
            Quantile(shipped.m_milliseconds, share),
            Quantile(plain.m_milliseconds, share),
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

// Against refusing each claim whose write fails at once.
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
          Refused(shipped),
          Refused(plain),
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

// Long randomised runs of gateways that gossip with losses: a request that
// crashes its runners costs few of them although quarantined requests are tried
// again, and a sound request that was in flight at a mass crash is served
// again.

#include "gateway/suspicion_exchange_p.h"
#include "siskindeal/digest.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kCulprit = 1;
constexpr std::uint64_t kSound = 2;
constexpr int kOk = 200;
constexpr milliseconds kStep{ 140 }; // one heartbeat
constexpr milliseconds kStable{ 3000 };
constexpr milliseconds kDown{ 3000 }; // of a runner after a crash
constexpr int kRunners = 3;
constexpr std::size_t kCrashesBeforeBound = 3;
constexpr int kMaxLateSends = 3;
const MonotonicTime kStart{ std::chrono::hours(1) };

struct Runner
{
  std::uint64_t m_born = 1;
  MonotonicTime m_upAt{};
};

class TrialRun
{
public:
  TrialRun(std::size_t aGateways, std::uint64_t aSeed)
    : m_gateways(aGateways)
    , m_random(aSeed)
  {
  }

  // Plays aDuration with a request that crashes its runners, or a moment at
  // which all runners crash with the sound request in flight.
  void Play(milliseconds aDuration, bool aWithCulprit, bool aWithMassCrash)
  {
    MonotonicTime nextCulprit = kStart + seconds(2);
    const MonotonicTime massCrash = kStart + seconds(10);
    bool isMassCrashDue = aWithMassCrash;
    for (m_now = kStart; m_now < kStart + aDuration; m_now += kStep) {
      Gossip();
      for (int i = 0; i < 3; ++i) {
        SendSound();
      }
      if (aWithCulprit && m_now >= nextCulprit) {
        SendCulprit();
        nextCulprit = m_now + milliseconds(500 + m_random.Below(2500));
      }
      if (isMassCrashDue && m_now >= massCrash) {
        isMassCrashDue = false;
        CrashAll();
      }
    }
  }

  int LateSends() const { return m_lateSends; }
  double SoundShareAfter(milliseconds aTime) const
  {
    int sent = 0;
    int served = 0;
    for (const auto& [at, wasServed] : m_soundSends) {
      if (at >= kStart + aTime) {
        ++sent;
        served += wasServed ? 1 : 0;
      }
    }
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
  }

private:
  bool MaySend(std::size_t aGateway, std::uint64_t aRequest)
  {
    SuspicionExchange& gateway = m_gateways[aGateway];
    if (!gateway.IsQuarantined(aRequest)) {
      return true;
    }
    if (!IsFirst(aGateway, aRequest) || !gateway.IsTrialDue(aRequest, m_now)) {
      return false;
    }
    gateway.RecordRequestTrial(aRequest, m_now);
    return true;
  }

  bool IsFirst(std::size_t aGateway, std::uint64_t aRequest) const
  {
    const auto rank = [&](std::size_t aIndex) {
      return StableHash(std::to_string(aIndex), aRequest);
    };
    for (std::size_t other = 0; other < m_gateways.size(); ++other) {
      if (rank(other) > rank(aGateway)) {
        return false;
      }
    }
    return true;
  }

  // Returns null if none is up.
  Runner* PickRunner(std::string& aId)
  {
    const std::uint64_t first = m_random.Below(kRunners);
    for (std::uint64_t i = 0; i < kRunners; ++i) {
      const std::uint64_t index = (first + i) % kRunners;
      if (m_runners[index].m_upAt <= m_now) {
        aId = "i-" + std::to_string(index);
        return &m_runners[index];
      }
    }
    return nullptr;
  }

  void Crash(Runner& aRunner)
  {
    ++aRunner.m_born;
    aRunner.m_upAt = m_now + kDown;
  }

  void SendCulprit()
  {
    constexpr int kMaxAttempts = 2;
    const auto gateway =
      static_cast<std::size_t>(m_random.Below(m_gateways.size()));
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      std::string id;
      Runner* runner = PickRunner(id);
      if (runner == nullptr || !MaySend(gateway, kCulprit)) {
        return;
      }
      if (m_culpritCrashes.size() >= kCrashesBeforeBound &&
          m_now > m_culpritCrashes[kCrashesBeforeBound - 1] + kStable) {
        ++m_lateSends;
      }
      m_culpritCrashes.push_back(m_now);
      std::vector<RequestTraits> inFlight = { { kCulprit } };
      if (m_random.Below(2) == 0) {
        inFlight.push_back({ kSound });
      }
      m_gateways[gateway].RecordCrash(
        { id, 0, runner->m_born }, inFlight, m_now);
      Crash(*runner);
    }
  }

  void SendSound()
  {
    const auto gateway =
      static_cast<std::size_t>(m_random.Below(m_gateways.size()));
    std::string id;
    if (PickRunner(id) == nullptr) {
      return;
    }
    const bool isSent = MaySend(gateway, kSound);
    m_soundSends.emplace_back(m_now, isSent);
    if (isSent) {
      m_gateways[gateway].RecordCompletion({ kSound }, kOk, m_now, m_now);
    }
  }

  void CrashAll()
  {
    for (int i = 0; i < kRunners; ++i) {
      Runner& runner = m_runners[i];
      for (SuspicionExchange& gateway : m_gateways) {
        if (m_random.Below(2) == 0) {
          gateway.RecordCrash({ "i-" + std::to_string(i), 0, runner.m_born },
                              { { kSound } },
                              m_now);
        }
      }
      Crash(runner);
    }
  }

  // A third of the datagrams is lost.
  void Gossip()
  {
    for (SuspicionExchange& from : m_gateways) {
      const auto suspicions = from.SuspicionsToAdvertise(m_now);
      for (SuspicionExchange& to : m_gateways) {
        if (m_random.Below(3) == 0) {
          continue;
        }
        for (const wire::Suspicion& suspicion : suspicions) {
          to.Merge(suspicion);
        }
      }
    }
  }

  std::vector<SuspicionExchange> m_gateways;
  Random m_random;
  MonotonicTime m_now{};
  Runner m_runners[kRunners];
  std::vector<MonotonicTime> m_culpritCrashes;
  int m_lateSends = 0;
  std::vector<std::pair<MonotonicTime, bool>> m_soundSends;
};

constexpr std::uint64_t kSeeds = 40;
const std::size_t kFleets[] = { 1, 9, 30 };

TEST(QuarantineTrialRun, RequestThatCrashesRunnersCostsFewOfThem)
{
  for (const std::size_t gateways : kFleets) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SCOPED_TRACE(testing::Message() << gateways << " gateways, " << seed);
      TrialRun run(gateways, seed);
      run.Play(seconds(120), true, false);
      EXPECT_LE(run.LateSends(), kMaxLateSends);
      EXPECT_GE(run.SoundShareAfter(seconds(60)), 0.9);
    }
  }
}

TEST(QuarantineTrialRun, SoundRequestIsServedAgainAfterAMassCrash)
{
  for (const std::size_t gateways : kFleets) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SCOPED_TRACE(testing::Message() << gateways << " gateways, " << seed);
      TrialRun run(gateways, seed);
      run.Play(seconds(60), false, true);
      EXPECT_GE(run.SoundShareAfter(seconds(30)), 0.9);
    }
  }
}

} // namespace

} // namespace siskindeal

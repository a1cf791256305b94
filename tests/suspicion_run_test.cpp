// Tests that gateways find a request that crashes its runners, in randomised
// runs over a simulated clock with faults of gateways, runners and datagrams.

#include "gateway/suspicion_exchange_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kCrasher = 1;
constexpr std::uint64_t kBystander = 2;
constexpr int kOk = 200;
const MonotonicTime kStart{ std::chrono::hours(1) };

// Gateways, runners and callers. Callers repeat a request that crashes each
// runner; runners crash for other reasons too, and gateways restart or lose
// each other's datagrams. One step is one tick of a gateway.
class CrashingFleet
{
public:
  explicit CrashingFleet(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_gateways(kGateways)
    , m_runners(kRunners)
  {
    for (Gateway& gateway : m_gateways) {
      gateway.m_suspicions = std::make_unique<SuspicionExchange>();
    }
    for (Runner& runner : m_runners) {
      StartRunner(runner);
    }
  }

  void Run(milliseconds aDuration)
  {
    const MonotonicTime end = kStart + aDuration;
    for (m_now = kStart; m_now < end; m_now += kTick, ++m_ticks) {
      DisturbGateways();
      DisturbRunners();
      SendNewRequests();
      AdvanceRequests();
      RecordProbedCrashes();
      SendBeacons();
    }
  }

  std::size_t CrasherCrashes() const { return m_crasherCrashes; }
  // Sends of the crasher that a gateway in touch made too late to be excused.
  int LateSends() const { return m_lateSends; }
  int CrasherRequests() const { return m_crasherRequests; }

  static constexpr int kMaxLateSends = 3;

private:
  static constexpr milliseconds kTick{ 20 };
  static constexpr milliseconds kStableWindow{ 3000 };
  static constexpr milliseconds kRestart{ 3300 };
  static constexpr milliseconds kProbeDelay{ 60 };
  static constexpr milliseconds kCrashDelay{ 100 };
  static constexpr std::size_t kGateways = 9;
  static constexpr std::size_t kRunners = 12;
  static constexpr int kSlots = 16;
  static constexpr int kArrivalsPerTick = 3;
  static constexpr int kTicksPerBeacon = 7;

  struct Request
  {
    std::uint64_t m_fingerprint = 0;
    std::size_t m_gateway = 0;
    std::uint64_t m_incarnation = 0; // of the gateway
    MonotonicTime m_endsAt{};
    int m_sends = 0;
    bool m_isCallerRetry = false;
  };

  struct Runner
  {
    std::string m_id;
    MonotonicTime m_upAt{};
    std::vector<Request> m_requests;
  };

  struct LostRequests
  {
    std::string m_runner;
    std::vector<RequestTraits> m_requests;
    MonotonicTime m_probedAt{};
  };

  struct Gateway
  {
    std::unique_ptr<SuspicionExchange> m_suspicions;
    std::uint64_t m_incarnation = 0;
    MonotonicTime m_cutUntil{};
    MonotonicTime m_inTouchFrom{};
    std::vector<LostRequests> m_lost;
  };

  void StartRunner(Runner& aRunner)
  {
    aRunner.m_id = "i-" + std::to_string(++m_runnerIds);
  }

  void DisturbGateways()
  {
    if (m_random.Chance(0.004)) {
      Gateway& gateway = m_gateways[m_random.Below(kGateways)];
      gateway.m_suspicions = std::make_unique<SuspicionExchange>();
      gateway.m_lost.clear();
      ++gateway.m_incarnation;
      gateway.m_inTouchFrom = m_now + kStableWindow;
    }
    if (m_random.Chance(0.004)) {
      Gateway& gateway = m_gateways[m_random.Below(kGateways)];
      gateway.m_cutUntil = m_now + milliseconds(500 + m_random.Below(4000));
      gateway.m_inTouchFrom = gateway.m_cutUntil + kStableWindow;
    }
  }

  void DisturbRunners()
  {
    if (m_random.Chance(0.004)) {
      const std::uint64_t crashes = 1 + m_random.Below(3);
      for (std::uint64_t i = 0; i < crashes; ++i) {
        Runner& runner = m_runners[m_random.Below(kRunners)];
        if (runner.m_upAt <= m_now) {
          Crash(runner);
        }
      }
    }
    for (Runner& runner : m_runners) {
      if (runner.m_upAt == m_now) {
        StartRunner(runner);
      }
    }
  }

  void SendNewRequests()
  {
    for (int i = 0; i < kArrivalsPerTick; ++i) {
      Arrive(kBystander + ++m_requestIds, false);
    }
    if (m_now >= m_nextCrasher) {
      m_nextCrasher = m_now + milliseconds(200 + m_random.Below(2500));
      ++m_crasherRequests;
      Arrive(kCrasher, false);
    }
  }

  void Arrive(std::uint64_t aFingerprint, bool aIsCallerRetry)
  {
    Request request;
    request.m_fingerprint = aFingerprint;
    request.m_gateway = m_random.Below(kGateways);
    request.m_incarnation = m_gateways[request.m_gateway].m_incarnation;
    request.m_isCallerRetry = aIsCallerRetry;
    Send(request);
  }

  // Gateways know each other's loads, so simultaneous retries go to the same
  // few runners.
  Runner* LeastLoaded()
  {
    Runner* best = nullptr;
    for (Runner& runner : m_runners) {
      if (runner.m_upAt <= m_now && runner.m_requests.size() < kSlots &&
          (best == nullptr ||
           runner.m_requests.size() < best->m_requests.size())) {
        best = &runner;
      }
    }
    return best;
  }

  void Send(Request aRequest)
  {
    const Gateway& gateway = m_gateways[aRequest.m_gateway];
    Runner* runner = LeastLoaded();
    if (runner == nullptr ||
        gateway.m_suspicions->IsQuarantined(aRequest.m_fingerprint)) {
      return;
    }
    ++aRequest.m_sends;
    if (aRequest.m_fingerprint == kCrasher) {
      m_lateSends += m_thirdCrash && m_now > *m_thirdCrash + kStableWindow &&
                     gateway.m_inTouchFrom <= m_now;
      aRequest.m_endsAt = m_now + kCrashDelay;
    } else {
      aRequest.m_endsAt = m_now + milliseconds(300 + m_random.Below(2000));
    }
    runner->m_requests.push_back(aRequest);
  }

  void AdvanceRequests()
  {
    constexpr double kErrorChance = 0.05;
    for (Runner& runner : m_runners) {
      for (std::size_t i = 0; i < runner.m_requests.size();) {
        const Request request = runner.m_requests[i];
        if (request.m_endsAt > m_now) {
          ++i;
          continue;
        }
        const bool failed = m_random.Chance(kErrorChance);
        if (request.m_fingerprint == kCrasher && !failed) {
          ++m_crasherCrashes;
          if (m_crasherCrashes == 3) {
            m_thirdCrash = m_now;
          }
          Crash(runner);
          break;
        }
        runner.m_requests.erase(runner.m_requests.begin() +
                                static_cast<std::ptrdiff_t>(i));
        if (IsHeld(request)) {
          m_gateways[request.m_gateway].m_suspicions->RecordCompletion(
            { request.m_fingerprint }, failed ? 500 : kOk, m_now, m_now);
        }
      }
    }
  }

  // Whether the gateway that sent the request still runs.
  bool IsHeld(const Request& aRequest) const
  {
    return m_gateways[aRequest.m_gateway].m_incarnation ==
           aRequest.m_incarnation;
  }

  void Crash(Runner& aRunner)
  {
    constexpr int kMaxSends = 2;
    const std::vector<Request> lost = std::move(aRunner.m_requests);
    aRunner.m_requests.clear();
    aRunner.m_upAt = m_now + kRestart;
    std::map<std::size_t, LostRequests> byGateway;
    for (const Request& request : lost) {
      if (IsHeld(request)) {
        byGateway[request.m_gateway].m_requests.push_back(
          { request.m_fingerprint });
      }
    }
    for (auto& [index, requests] : byGateway) {
      requests.m_runner = aRunner.m_id;
      requests.m_probedAt = m_now + kProbeDelay;
      m_gateways[index].m_lost.push_back(requests);
    }
    for (const Request& request : lost) {
      if (!IsHeld(request)) {
        continue;
      }
      if (request.m_sends < kMaxSends) {
        Send(request);
      } else if (!request.m_isCallerRetry) {
        Arrive(request.m_fingerprint, true);
      }
    }
  }

  void RecordProbedCrashes()
  {
    for (Gateway& gateway : m_gateways) {
      std::erase_if(gateway.m_lost, [&](const LostRequests& aLost) {
        if (aLost.m_probedAt > m_now) {
          return false;
        }
        gateway.m_suspicions->RecordCrash(
          { aLost.m_runner }, aLost.m_requests, m_now);
        return true;
      });
    }
  }

  void SendBeacons()
  {
    constexpr double kLoss = 0.05;
    if (m_ticks % kTicksPerBeacon != 0) {
      return;
    }
    for (Gateway& from : m_gateways) {
      if (from.m_cutUntil > m_now) {
        continue;
      }
      const auto advertised = from.m_suspicions->SuspicionsToAdvertise(m_now);
      for (Gateway& to : m_gateways) {
        if (&to == &from || to.m_cutUntil > m_now || m_random.Chance(kLoss)) {
          continue;
        }
        for (const wire::Suspicion& suspicion : advertised) {
          to.m_suspicions->Merge(suspicion);
        }
      }
    }
  }

  Random m_random;
  std::vector<Gateway> m_gateways;
  std::vector<Runner> m_runners;
  MonotonicTime m_now = kStart;
  int m_ticks = 0;
  std::uint64_t m_runnerIds = 0;
  std::uint64_t m_requestIds = 0;
  MonotonicTime m_nextCrasher = kStart + milliseconds(2000);
  std::size_t m_crasherCrashes = 0;
  std::optional<MonotonicTime> m_thirdCrash;
  int m_lateSends = 0;
  int m_crasherRequests = 0;
};

TEST(SuspicionExchange, RepeatedCrasherIsNotSentOnLongAfterItsThirdCrash)
{
  constexpr std::uint64_t kSeeds = 100;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    CrashingFleet fleet(seed);
    fleet.Run(std::chrono::seconds(30));
    EXPECT_GE(fleet.CrasherRequests(), 10);
    EXPECT_LE(fleet.LateSends(), CrashingFleet::kMaxLateSends)
      << fleet.CrasherCrashes() << " runners crashed";
  }
}

} // namespace

} // namespace siskindeal

// Tests how gateways find a request that crashes its runners from what each of
// them sees, over a simulated clock.

#include "gateway/suspicion_exchange_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kCrasher = 1;
constexpr std::uint64_t kBystander = 2;
constexpr int kOk = 200;
constexpr milliseconds kHeartbeat{ 140 };
const MonotonicTime kStart{ std::chrono::hours(1) };

// Runs heartbeats until every gateway has heard all others several times.
void
ExchangeAll(std::vector<SuspicionExchange>& aGateways, MonotonicTime& aNow)
{
  constexpr int kHeartbeats = 5;
  for (int i = 0; i < kHeartbeats; ++i) {
    aNow += kHeartbeat;
    for (SuspicionExchange& from : aGateways) {
      for (const wire::Suspicion& suspicion :
           from.SuspicionsToAdvertise(aNow)) {
        for (SuspicionExchange& to : aGateways) {
          to.Merge(suspicion);
        }
      }
    }
  }
}

// A gateway has about one request on each runner, so being its only one in
// flight says nothing about the requests of other gateways.
TEST(SuspicionExchange, BystanderOfAnotherGatewayIsNotBlamedForTheCrashes)
{
  std::vector<SuspicionExchange> gateways(4);
  MonotonicTime now = kStart;
  gateways[0].RecordCrash({ "i-1" }, { { kCrasher } }, now);
  gateways[1].RecordCrash({ "i-2" }, { { kCrasher } }, now);
  for (const char* runner : { "i-1", "i-2" }) {
    gateways[2].RecordCrash({ runner }, { { kBystander } }, now);
  }
  ExchangeAll(gateways, now);
  gateways[3].RecordCrash({ "i-3" }, { { kCrasher } }, now);
  ExchangeAll(gateways, now);
  for (const SuspicionExchange& gateway : gateways) {
    EXPECT_TRUE(gateway.IsQuarantined(kCrasher));
    EXPECT_FALSE(gateway.IsQuarantined(kBystander));
  }
}

TEST(SuspicionExchange, BystanderAtTwoCrashesDoesNotPreventTheQuarantine)
{
  SuspicionExchange gateway;
  gateway.RecordCrash({ "i-1" }, { { kCrasher }, { kBystander } }, kStart);
  gateway.RecordCrash({ "i-2" }, { { kCrasher }, { kBystander } }, kStart);
  gateway.RecordCrash({ "i-3" }, { { kCrasher }, { kBystander + 1 } }, kStart);
  EXPECT_TRUE(gateway.IsQuarantined(kCrasher));
  EXPECT_FALSE(gateway.IsQuarantined(kBystander));
}

TEST(SuspicionExchange, QuarantinedRequestsDoNotDisplaceNewSuspicions)
{
  constexpr std::uint64_t kFirstQuarantined = 100;
  constexpr std::uint64_t kQuarantined = 20;
  std::vector<SuspicionExchange> gateways(3);
  MonotonicTime now = kStart;
  for (std::uint64_t i = 0; i < kQuarantined; ++i) {
    for (const char* name : { "a", "b", "c" }) {
      gateways[0].RecordCrash(
        { name + std::to_string(i) }, { { kFirstQuarantined + i } }, now);
    }
  }
  now += std::chrono::minutes(1);
  gateways[0].RecordCrash({ "i-1" }, { { kCrasher } }, now);
  gateways[1].RecordCrash({ "i-2" }, { { kCrasher } }, now);
  ExchangeAll(gateways, now);
  EXPECT_TRUE(gateways[2].IsQuarantined(kCrasher));
}

TEST(SuspicionExchange, ManySuspicionsAtOnceAreAllAdvertised)
{
  constexpr std::uint64_t kSuspicions = 100;
  SuspicionExchange gateway;
  std::vector<RequestTraits> inFlight;
  for (std::uint64_t i = 1; i <= kSuspicions; ++i) {
    inFlight.push_back({ i });
  }
  gateway.RecordCrash({ "i-1" }, inFlight, kStart);
  std::set<std::uint64_t> advertised;
  for (milliseconds age{ 0 }; age < std::chrono::seconds(3);
       age += kHeartbeat) {
    for (const wire::Suspicion& suspicion :
         gateway.SuspicionsToAdvertise(kStart + age)) {
      advertised.insert(suspicion.fingerprint());
    }
  }
  EXPECT_EQ(advertised.size(), kSuspicions);
}

// A datagram that is too long is lost with all that it holds.
TEST(SuspicionExchange, PartsOfManyCrashesFitIntoADatagram)
{
  constexpr std::size_t kMaxBytes = 4 << 10; // a quarter of a datagram
  constexpr PromptPart kParts = 100;
  SuspicionExchange gateway;
  MonotonicTime now = kStart;
  RequestTraits request{ kCrasher };
  for (PromptPart part = 1; part <= kParts; ++part) {
    request.m_parts.push_back(part);
  }
  for (int round = 0; round < 2; ++round) {
    for (std::size_t i = 0; i < PromptPartTable::kMaxCrashes; ++i) {
      now += std::chrono::seconds(1);
      gateway.RecordCrash({ "i-1", 100U * round + i }, { request }, now);
    }
    if (round == 0) {
      gateway.RecordCompletion(request, kOk, now, now);
    }
  }
  std::size_t bytes = 0;
  for (const v1::PartSuspicion& suspicion : gateway.PartsToAdvertise(now)) {
    bytes += suspicion.ByteSizeLong();
  }
  EXPECT_GT(bytes, 0U);
  EXPECT_LE(bytes, kMaxBytes);
}

TEST(SuspicionExchange, QuarantineInferredLongAfterTheCrashesIsAdvertised)
{
  std::vector<SuspicionExchange> gateways(2);
  MonotonicTime now = kStart;
  gateways[0].RecordCrash({ "i-1" }, { { kCrasher }, { kBystander } }, now);
  gateways[0].RecordCrash({ "i-2" }, { { kCrasher }, { kBystander } }, now);
  ASSERT_FALSE(gateways[0].IsQuarantined(kCrasher));
  (void)gateways[0].SuspicionsToAdvertise(now);
  now += std::chrono::seconds(10);
  (void)gateways[0].SuspicionsToAdvertise(now);
  gateways[0].RecordCompletion({ kBystander }, kOk, now, now);
  ASSERT_TRUE(gateways[0].IsQuarantined(kCrasher));
  ExchangeAll(gateways, now);
  EXPECT_TRUE(gateways[1].IsQuarantined(kCrasher));
}

TEST(SuspicionExchange, ErrorResponseOfARunnerDoesNotClearASuspicion)
{
  for (const int status : { 500, 504 }) {
    SCOPED_TRACE(status);
    SuspicionExchange gateway;
    gateway.RecordCrash({ "i-1" }, { { kCrasher }, { kBystander } }, kStart);
    gateway.RecordCompletion({ kCrasher }, status, kStart, kStart);
    gateway.RecordCrash(
      { "i-2" }, { { kCrasher }, { kBystander + 1 } }, kStart);
    EXPECT_TRUE(gateway.IsQuarantined(kCrasher));
  }
}

// A gateway that restarts no longer knows that the request once completed.
TEST(SuspicionExchange, CrashesSeenByARestartedGatewayReachTheOthers)
{
  std::vector<SuspicionExchange> gateways(3);
  MonotonicTime now = kStart;
  gateways[0].RecordCrash({ "i-1" }, { { kCrasher } }, now);
  gateways[0].RecordCompletion({ kCrasher }, kOk, now, now);
  ExchangeAll(gateways, now);
  now += std::chrono::seconds(10);
  gateways[1] = SuspicionExchange();
  for (const char* runner : { "i-2", "i-3", "i-4", "i-5" }) {
    gateways[1].RecordCrash({ runner }, { { kCrasher } }, now);
    ExchangeAll(gateways, now);
  }
  for (const SuspicionExchange& gateway : gateways) {
    EXPECT_TRUE(gateway.IsQuarantined(kCrasher));
  }
}

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

// Tests how gateways find a request that crashes its runners from what each of
// them sees, over a simulated clock.

#include "gateway/suspicion_exchange_p.h"

#include <gtest/gtest.h>

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

// All runners of a service crash at one moment, and a popular request was in
// flight at several: it was refused until all gateways had restarted.
TEST(SuspicionExchange, SoundRequestInFlightAtManyCrashesIsServedAgain)
{
  std::vector<SuspicionExchange> gateways(4);
  MonotonicTime now = kStart;
  for (const char* runner : { "i-1", "i-2", "i-3" }) {
    for (SuspicionExchange& gateway : gateways) {
      gateway.RecordCrash({ runner }, { { kBystander } }, now);
    }
  }
  ExchangeAll(gateways, now);
  for (const SuspicionExchange& gateway : gateways) {
    ASSERT_TRUE(gateway.IsQuarantined(kBystander));
    EXPECT_FALSE(gateway.IsTrialDue(kBystander, now)); // runners are down
  }
  now += std::chrono::seconds(11);
  ASSERT_TRUE(gateways[2].IsTrialDue(kBystander, now));
  gateways[2].RecordRequestTrial(kBystander, now);
  EXPECT_FALSE(gateways[2].IsTrialDue(kBystander, now)); // one at a time
  gateways[2].RecordCompletion({ kBystander }, kOk, now, now);
  ExchangeAll(gateways, now);
  for (const SuspicionExchange& gateway : gateways) {
    EXPECT_FALSE(gateway.IsQuarantined(kBystander));
  }
}

TEST(SuspicionExchange, RequestThatCrashesARunnerWhenItIsTriedStaysRefused)
{
  std::vector<SuspicionExchange> gateways(4);
  MonotonicTime now = kStart;
  gateways[0].RecordCrash({ "i-1" }, { { kCrasher } }, now);
  gateways[1].RecordCrash({ "i-2" }, { { kCrasher } }, now);
  ExchangeAll(gateways, now);
  now += std::chrono::seconds(11);
  ASSERT_TRUE(gateways[2].IsTrialDue(kCrasher, now));
  gateways[2].RecordRequestTrial(kCrasher, now);
  now += milliseconds(100);
  gateways[2].RecordCrash({ "i-3" }, { { kCrasher }, { kBystander } }, now);
  ExchangeAll(gateways, now);
  for (int hour = 0; hour < 24; ++hour) {
    now += std::chrono::hours(1);
    ExchangeAll(gateways, now);
    for (const SuspicionExchange& gateway : gateways) {
      EXPECT_TRUE(gateway.IsQuarantined(kCrasher));
      EXPECT_FALSE(gateway.IsTrialDue(kCrasher, now));
      EXPECT_FALSE(gateway.IsQuarantined(kBystander));
    }
  }
}

// A runner whose VM goes down may show no crash.
TEST(SuspicionExchange, TrialsWithoutAResultBecomeRare)
{
  SuspicionExchange gateway;
  MonotonicTime now = kStart;
  gateway.RecordCrash({ "i-1" }, { { kCrasher } }, now);
  gateway.RecordCrash({ "i-2" }, { { kCrasher } }, now);
  (void)gateway.SuspicionsToAdvertise(now);
  int trials = 0;
  while (now < kStart + std::chrono::minutes(60)) {
    now += milliseconds(500);
    (void)gateway.SuspicionsToAdvertise(now);
    if (gateway.IsTrialDue(kCrasher, now)) {
      gateway.RecordRequestTrial(kCrasher, now);
      ++trials;
      EXPECT_FALSE(gateway.IsTrialDue(kCrasher, now));
    }
    EXPECT_LE(trials, now < kStart + std::chrono::seconds(75) ? 3 : 9);
  }
  EXPECT_GE(trials, 3);
}

} // namespace

} // namespace siskindeal

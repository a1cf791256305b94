// Tests how a gateway notices crashes of runners and combines what others
// noticed.

#include "gateway/crash_watch_p.h"
#include "support/gateway_fixture.h"

#include <list>
#include <utility>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kPoison = 7;
constexpr std::uint64_t kInnocent = 8;

// Crash detection and suspicions of one gateway.
class WatchingGateway : public SuspicionExchange
{
public:
  explicit WatchingGateway(Loop& aLoop,
                           milliseconds aCrashWindow = CrashWatch::kCrashWindow)
    : m_watch(aLoop, *this, aCrashWindow)
  {
  }

  void OnConnectionLost(const std::string& aRunner,
                        const Address& aAddress,
                        std::uint64_t aFingerprint)
  {
    m_watch.OnConnectionLost({ aRunner }, aAddress, { aFingerprint });
  }

  void OnResponseClosed(const std::string& aRunner,
                        const Address& aAddress,
                        std::uint64_t aFingerprint)
  {
    m_watch.OnResponseClosed(
      { aRunner }, aAddress, { aFingerprint }, { 200, LoopNow() });
  }

private:
  CrashWatch m_watch;
};

// Runs a loop until a condition holds.
template<typename Condition>
bool
RunUntil(Loop& aLoop, Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!aCondition() && std::chrono::steady_clock::now() < end) {
    aLoop.run_for(milliseconds(5));
    aLoop.restart();
  }
  return aCondition();
}

// A runner is probed once for all connections lost together.
TEST(CrashWatch, LostConnectionsOfALiveRunnerAreNoCrash)
{
  std::atomic<int> connections = 0;
  const RawServer runner([&](RawSocket&, int) { ++connections; });
  Loop loop{ 1 };
  WatchingGateway watch(loop);
  for (const char* id : { "i-1", "i-2" }) {
    watch.OnConnectionLost(id, { "127.0.0.1", runner.Port() }, kInnocent);
    watch.OnConnectionLost(id, { "127.0.0.1", runner.Port() }, kInnocent);
  }
  loop.run(); // until both have been probed
  EXPECT_TRUE(watch.List().empty());
  EXPECT_TRUE(Eventually([&] { return connections == 2; }));
}

// Listens on 127.0.0.1 and lets connections hang, as if packets were lost.
class HangingServer
{
public:
  HangingServer()
  {
    m_acceptor.open(Tcp::v4());
    m_acceptor.bind({ boost::asio::ip::address_v4::loopback(), 0 });
    m_acceptor.listen(0);
    // Fills the queue of connections that wait to be accepted.
    for (int i = 0; i < 2; ++i) {
      m_waiting.emplace_back(m_loop).async_connect(m_acceptor.local_endpoint(),
                                                   [](const NetError&) {});
    }
  }

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  void Close() { m_acceptor.close(); }

private:
  Loop m_loop{ 1 };
  Tcp::acceptor m_acceptor{ m_loop };
  std::list<Tcp::socket> m_waiting;
};

TEST(CrashWatch, CrashIsNoticedAlthoughTheFirstProbeGetsNoAnswer)
{
  Loop loop{ 1 };
  WatchingGateway watch(loop, kTestTimeout);
  HangingServer runner;
  watch.OnConnectionLost("i-1", { "127.0.0.1", runner.Port() }, kPoison);
  constexpr milliseconds kFirstProbeTimesOut{ 500 };
  loop.run_for(kFirstProbeTimesOut);
  loop.restart();
  EXPECT_TRUE(watch.List().empty());
  runner.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return watch.List().size() == 1; }));
}

TEST(CrashWatch, SuspicionsOfSeveralGatewaysAreCombined)
{
  Loop loop{ 1 };
  WatchingGateway first(loop);
  WatchingGateway second(loop);
  WatchingGateway third(loop);
  const Address nobody{ "127.0.0.1", UnusedPort() };
  first.OnConnectionLost("i-1", nobody, kPoison);
  first.OnConnectionLost("i-1", nobody, kInnocent);
  second.OnConnectionLost("i-2", nobody, kPoison);
  ASSERT_TRUE(RunUntil(loop, [&] {
    return first.List().size() == 2 && second.List().size() == 1;
  }));
  for (WatchingGateway* from : { &first, &second }) {
    for (const wire::Suspicion& suspicion :
         from->SuspicionsToAdvertise(LoopNow())) {
      third.Merge(suspicion);
    }
  }
  EXPECT_TRUE(third.IsQuarantined(kPoison));
  EXPECT_FALSE(third.IsQuarantined(kInnocent));
  EXPECT_FALSE(first.IsQuarantined(kPoison)); // has recorded only one crash
}

TEST(CrashWatch, CompletedRequestClearsSuspicion)
{
  Loop loop{ 1 };
  WatchingGateway watch(loop);
  const Address nobody{ "127.0.0.1", UnusedPort() };
  watch.OnConnectionLost("i-1", nobody, kInnocent);
  ASSERT_TRUE(RunUntil(loop, [&] { return watch.List().size() == 1; }));
  watch.RecordCompletion({ kInnocent }, 200, LoopNow(), LoopNow());
  EXPECT_TRUE(watch.List().empty());
  watch.OnConnectionLost("i-2", nobody, kInnocent);
  ASSERT_TRUE(RunUntil(loop, [&] { return watch.List().size() == 1; }));
  EXPECT_FALSE(watch.IsQuarantined(kInnocent));
}

TEST(CrashWatch, ResponseThatEndsWithItsConnectionClearsSuspicion)
{
  Loop loop{ 1 };
  WatchingGateway watch(loop);
  const RawServer runner([](RawSocket&, int) {});
  const Address nobody{ "127.0.0.1", UnusedPort() };
  watch.OnConnectionLost("i-1", nobody, kInnocent);
  ASSERT_TRUE(RunUntil(loop, [&] { return watch.List().size() == 1; }));
  watch.OnResponseClosed("i-2", { "127.0.0.1", runner.Port() }, kInnocent);
  EXPECT_TRUE(RunUntil(loop, [&] { return watch.List().empty(); }));
}

TEST(CrashWatch, AdvertisedSuspicionsAreBounded)
{
  Loop loop{ 1 };
  WatchingGateway watch(loop);
  const Address nobody{ "127.0.0.1", UnusedPort() };
  (void)watch.SuspicionsToAdvertise(LoopNow());
  constexpr std::uint64_t kSuspicions = 100;
  for (std::uint64_t i = 1; i <= kSuspicions; ++i) {
    watch.OnConnectionLost("i-1", nobody, i);
  }
  ASSERT_TRUE(
    RunUntil(loop, [&] { return watch.List().size() == kSuspicions; }));
  EXPECT_EQ(watch.SuspicionsToAdvertise(LoopNow()).size(), 8U);
  EXPECT_TRUE(
    watch.SuspicionsToAdvertise(LoopNow() + std::chrono::seconds(4)).empty())
    << "one crash is advertised for a limited time";
}

TEST(CrashWatch, QuarantineIsAdvertisedInEveryBeacon)
{
  Loop loop{ 1 };
  WatchingGateway watch(loop);
  const Address nobody{ "127.0.0.1", UnusedPort() };
  watch.OnConnectionLost("i-1", nobody, kPoison);
  watch.OnConnectionLost("i-2", nobody, kPoison);
  ASSERT_TRUE(RunUntil(loop, [&] { return watch.IsQuarantined(kPoison); }));
  EXPECT_EQ(watch.SuspicionsToAdvertise(LoopNow()).size(), 1U);
  EXPECT_EQ(
    watch.SuspicionsToAdvertise(LoopNow() + std::chrono::hours(1)).size(), 1U);
}

} // namespace

} // namespace siskindeal

// Tests requests that crash the runners that execute them.

#include "gateway/crash_watch_p.h"
#include "siskindeal/metrics.h"
#include "support/gateway_fixture.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdlib>
#include <list>
#include <string_view>
#include <utility>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kPoison = 7;
constexpr std::uint64_t kInnocent = 8;

class CrashingRunnersTest : public GatewayTest
{
protected:
  // Adds runners that crash on a request whose path contains "poison".
  void AddRunners(int aRunners, const std::string& aService = "get")
  {
    for (int i = 0; i < aRunners; ++i) {
      const std::string id = "i-" + aService + std::to_string(i);
      m_site.AddRunner(id, aService, [this](const auto& aConnection) {
        const std::string& target = aConnection->Request().m_target;
        if (target.find("poison") == std::string::npos) {
          Answer(aConnection);
          return;
        }
        ++m_crashes;
        m_site.CrashRunner(aConnection->LocalAddress());
      });
    }
  }

  std::string State()
  {
    RawSocket socket(m_gateway->AdminPort());
    socket.Send("GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return socket.ReadAll();
  }

  // The number of parts or requests in the store.
  std::size_t StoredSuspicions(const std::string& aList)
  {
    const nlohmann::json spec = m_site.SpecOf("suspicions", "main");
    return spec.is_object() ? spec.at(aList).size() : 0;
  }

  // Whether the gateway has noticed every crash of this test.
  bool AllCrashesRecorded() const
  {
    return RecordedCrashes() - m_recordedBefore >= m_crashes;
  }

  // Of all tests in this process.
  static int RecordedCrashes()
  {
    return Metric("\nsiskindeal_gateway_runner_crashes_total ");
  }
  static int RecordedSilentCrashes()
  {
    return Metric("\nsiskindeal_gateway_silent_crashes_total ");
  }
  static int Metric(std::string_view aLine)
  {
    const std::string metrics = MetricsText();
    const auto at = metrics.find(aLine);
    return at == std::string::npos
             ? 0
             : std::atoi(metrics.c_str() + at + aLine.size());
  }

  const int m_recordedBefore = RecordedCrashes();

  std::atomic<int> m_crashes = 0;
};

TEST_F(CrashingRunnersTest, RequestIsQuarantinedAfterItsSecondCrash)
{
  AddRunners(4);
  StartAndAwaitReady();
  const std::string poison = Request("GET", "/get/poison");
  EXPECT_NE(SendRequest(poison).find(" 502 "), std::string::npos);
  EXPECT_EQ(m_crashes, 2); // the route allows two attempts
  ASSERT_TRUE(Eventually([&] {
    return State().find("\"quarantined\": true") != std::string::npos;
  }));
  for (int i = 0; i < 3; ++i) {
    const std::string answer = SendRequest(poison);
    EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
    EXPECT_NE(answer.find("Retry-After: 30"), std::string::npos) << answer;
  }
  EXPECT_EQ(m_crashes, 2);
  EXPECT_NE(SendRequest(Request("GET", "/get/a")).find(" 200 "),
            std::string::npos);
}

TEST_F(CrashingRunnersTest, CrashesOnAllServicesOfASplitRouteCountTogether)
{
  nlohmann::json config = ConfigJson(2);
  config["routes"][2]["traffic_split"] = {
    { { "service", "get" }, { "weight", 1 } },
    { { "service", "post" }, { "weight", 1 } },
  };
  m_site.Put("config", "main", config);
  constexpr int kRunners = 8; // per service
  AddRunners(kRunners);
  AddRunners(kRunners, "post");
  StartAndAwaitReady();
  const std::string poison = Request("GET", "/get/poison");
  for (int i = 0; i < 10; ++i) {
    (void)SendRequest(poison);
    ASSERT_TRUE(Eventually([&] {
      return State().find("\"quarantined\": true") != std::string::npos;
    }));
  }
  EXPECT_EQ(m_crashes, 2);
}

TEST_F(CrashingRunnersTest, CrashesOfARunnerThatKeepsItsIdCountApart)
{
  const std::string poison = Request("GET", "/get/poison");
  AddRunners(1);
  StartAndAwaitReady();
  for (int start = 0; start < 5; ++start) {
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
    (void)SendRequest(poison);
    ASSERT_TRUE(Eventually([&] { return AllCrashesRecorded(); }));
    m_site.Remove("servers", "i-get0");
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
    AddRunners(1);
  }
  EXPECT_EQ(m_crashes, 2);
}

TEST_F(CrashingRunnersTest, CrashesOfARunnerThatReplacesItsEntryCountApart)
{
  const std::string poison = Request("GET", "/get/poison");
  bool started = false;
  for (std::uint64_t start = 0; start < 5; ++start) {
    const Address address =
      m_site.AddRunner("i-1",
                       "get",
                       [this](const auto& aConnection) {
                         ++m_crashes;
                         m_site.CrashRunner(aConnection->LocalAddress());
                       },
                       { { "born", 1764793000000 + start } });
    if (!std::exchange(started, true)) {
      StartAndAwaitReady();
    }
    ASSERT_TRUE(Eventually(
      [&] { return State().find(address.ToString()) != std::string::npos; }));
    (void)SendRequest(poison);
    ASSERT_TRUE(Eventually([&] { return AllCrashesRecorded(); }));
  }
  EXPECT_EQ(m_crashes, 2);
}

// A runner whose VM goes down with it resets no connection and refuses no
// probe; its next start shows that it crashed.
TEST_F(CrashingRunnersTest, CrashSeenAsSilenceCountsOnceTheRunnerHasRestarted)
{
  std::string poison = Request("GET", "/get/poison");
  const std::string deadline = "Deadline-Ms: 3000";
  poison.replace(poison.find(deadline), deadline.size(), "Deadline-Ms: 1500");
  std::vector<std::shared_ptr<ServerConnection>> silent;
  const int recordedBefore = RecordedSilentCrashes();
  bool started = false;
  for (std::uint64_t start = 0; start < 5; ++start) {
    const Address address =
      m_site.AddRunner("i-1",
                       "get",
                       [&](const auto& aConnection) {
                         ++m_crashes;
                         silent.push_back(aConnection);
                       },
                       { { "born", 1764793000000 + start } });
    if (!std::exchange(started, true)) {
      StartAndAwaitReady();
    }
    ASSERT_TRUE(Eventually(
      [&] { return State().find(address.ToString()) != std::string::npos; }));
    // All of the former starts.
    ASSERT_TRUE(Eventually(
      [&] { return RecordedSilentCrashes() - recordedBefore >= m_crashes; }));
    (void)SendRequest(poison);
  }
  EXPECT_EQ(m_crashes, 2);
  m_site.RunOnLoop([&] { silent.clear(); });
}

// The parts of a prompt, as callers list them.
std::string
PromptField(const std::string& aSharedParts, int aRequest)
{
  return "X-Siskindeal-Prompt-Prefix: a0:40," + aSharedParts + ":600,e000" +
         std::to_string(aRequest) + ":50\r\n";
}

TEST_F(CrashingRunnersTest, PartOfPromptsThatCrashesRunnersIsRefused)
{
  constexpr int kRunners = 24;
  constexpr int kRequests = 12;
  constexpr int kMaxCrashes = 8;
  AddRunners(kRunners);
  StartAndAwaitReady();
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string path = "/get/poison" + std::to_string(i);
    const std::string answer =
      SendRequest(Request("GET", path, PromptField("dead", i)));
    refused += answer.find(" 503 ") != std::string::npos ? 1 : 0;
    ASSERT_TRUE(Eventually([&] { return AllCrashesRecorded(); }));
    // Sound requests share the key and the first part.
    const std::string sound = SendRequest(
      Request("GET", "/get/" + std::to_string(i), PromptField("b0", i)));
    EXPECT_NE(sound.find(" 200 "), std::string::npos) << sound;
    // Crashes at the same time may have another cause.
    std::this_thread::sleep_for(PromptPartTable::kEpisode);
  }
  EXPECT_LE(m_crashes, kMaxCrashes);
  EXPECT_GE(refused, kRequests - kMaxCrashes);
}

// Guards against a part of prompts that crashes more runners after all gateways
// were killed: what they had found was lost with them.
TEST_F(CrashingRunnersTest, SuspicionsOutlastAllGateways)
{
  constexpr int kRunners = 24;
  AddRunners(kRunners);
  StartAndAwaitReady();
  const std::string poison = Request("GET", "/get/poison");
  (void)SendRequest(poison);
  ASSERT_TRUE(Eventually([&] { return StoredSuspicions("requests") > 0; }));
  bool isRefused = false;
  for (int i = 0; i < kRunners / 2 && !isRefused; ++i) {
    const std::string answer = SendRequest(Request(
      "GET", "/get/poison" + std::to_string(i), PromptField("dead", i)));
    isRefused = answer.find(" 503 ") != std::string::npos;
    ASSERT_TRUE(Eventually([&] { return AllCrashesRecorded(); }));
    (void)SendRequest(
      Request("GET", "/get/" + std::to_string(i), PromptField("b0", i)));
    std::this_thread::sleep_for(PromptPartTable::kEpisode);
  }
  ASSERT_TRUE(isRefused);
  ASSERT_TRUE(Eventually([&] { return StoredSuspicions("parts") > 0; }));
  const int crashes = m_crashes;
  TearDown();
  StartAndAwaitReady();
  for (int i = 0; i < 3; ++i) {
    const std::string path = "/get/poison" + std::to_string(kRunners + i);
    EXPECT_NE(
      SendRequest(Request("GET", path, PromptField("dead", i))).find(" 503 "),
      std::string::npos);
    EXPECT_NE(SendRequest(poison).find(" 503 "), std::string::npos);
    EXPECT_NE(
      SendRequest(Request("GET", "/get/a", PromptField("b0", i))).find(" 200 "),
      std::string::npos);
  }
  EXPECT_EQ(m_crashes, crashes);
}

TEST_F(CrashingRunnersTest, SilentStoreKeepsNoGatewayFromServing)
{
  AddRunners(1);
  m_site.SilenceKind("suspicions");
  StartAndAwaitReady();
  EXPECT_NE(SendRequest(Request("GET", "/get/a")).find(" 200 "),
            std::string::npos);
}

TEST_F(CrashingRunnersTest, StoreThatGoesBackGetsTheSuspicionsAgain)
{
  constexpr int kRunners = 4;
  AddRunners(kRunners);
  StartAndAwaitReady();
  const SiteStandIn::Copy copy = m_site.TakeCopy();
  (void)SendRequest(Request("GET", "/get/poison"));
  ASSERT_TRUE(Eventually([&] { return StoredSuspicions("requests") > 0; }));
  m_site.GoAway();
  m_site.ComeBack(copy, {});
  EXPECT_TRUE(Eventually([&] { return StoredSuspicions("requests") > 0; }));
}

// Accepts one connection and listens no more, like a runner that crashes in the
// middle of a response without a length.
class CrashingStreamServer
{
public:
  CrashingStreamServer()
    : m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), 0 })
    , m_port(m_acceptor.local_endpoint().port())
    , m_thread([this] { Serve(); })
  {
  }
  ~CrashingStreamServer() { m_thread.join(); }
  CrashingStreamServer(const CrashingStreamServer&) = delete;
  CrashingStreamServer& operator=(const CrashingStreamServer&) = delete;

  std::uint16_t Port() const { return m_port; }

private:
  void Serve()
  {
    Tcp::socket socket = m_acceptor.accept();
    m_acceptor.close();
    std::string request;
    boost::asio::read_until(
      socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    boost::asio::write(
      socket,
      boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n"
                                      "X-Siskindeal-Attempt-Id: id-1\r\n"
                                      "X-Siskindeal-Runner-Signature: sig\r\n"
                                      "Content-Type: text/event-stream\r\n"
                                      "\r\nid: 1\ndata: a\n\n")));
    socket.shutdown(Tcp::socket::shutdown_both);
  }

  Loop m_loop{ 1 };
  Tcp::acceptor m_acceptor;
  std::uint16_t m_port;
  std::thread m_thread;
};

TEST_F(CrashingRunnersTest, CrashThatEndsAStreamWithoutALengthIsRecorded)
{
  const CrashingStreamServer runner;
  m_site.Put("servers",
             "i-1",
             { { "service", "chat" },
               { "address", "127.0.0.1:" + std::to_string(runner.Port()) },
               { "zone", "here" },
               { "state", "ready" } });
  StartAndAwaitReady();
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
  (void)SendRequest(Request("POST", "/chat/1"));
  EXPECT_TRUE(
    Eventually([&] { return RecordedCrashes() == m_recordedBefore + 1; }));
}

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

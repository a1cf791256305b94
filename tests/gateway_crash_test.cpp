// Tests requests that crash the runners that execute them.

#include "siskindeal/metrics.h"
#include "support/gateway_fixture.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdlib>
#include <string_view>
#include <utility>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

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

} // namespace

} // namespace siskindeal

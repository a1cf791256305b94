// Tests how the gateways of a region get the configuration.

#include "support/gateway_fixture.h"
#include "support/remote_process.h"

#include <vector>

namespace siskindeal {

namespace {

constexpr std::size_t kGateways = 4;

// Gateways of one region, each on a host of its own.
class GatewayConfigTest : public testing::Test
{
protected:
  void SetUp() override
  {
    m_site.Put("config", "main", ConfigJson(m_version));
    for (std::size_t i = 0; i < kGateways; ++i) {
      AddGateway();
    }
    ASSERT_TRUE(Eventually([&] { return AllHave(m_version); }));
  }

  void TearDown() override
  {
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
      Stop(i);
    }
  }

  void AddGateway() { AddGateway(m_site.Store()); }

  void AddGateway(const Address& aStore)
  {
    const std::size_t number = m_gateways.size();
    GatewaySettings settings;
    settings.m_node.m_vm = "edge-" + std::to_string(number);
    settings.m_node.m_place = "here";
    settings.m_node.m_rpc = { "127.0.0." + std::to_string(10 + number),
                              m_port };
    settings.m_node.m_http = { "127.0.0.1", 0 };
    settings.m_node.m_entries = { { "127.0.0.10", m_port } };
    settings.m_gateway.m_ready = { "127.0.0.1", 0 };
    settings.m_gateway.m_directory = { "127.0.0.1", 0 };
    settings.m_gateway.m_answerLifetime = std::chrono::milliseconds(1);
    settings.m_platform.m_url = "http://" + aStore.ToString();
    m_hosts.push_back(settings.m_node.m_rpc);
    m_gateways.push_back(std::make_unique<Gateway>(settings));
    m_threads.emplace_back(
      [gateway = m_gateways.back().get()] { gateway->Run(); });
  }

  void Stop(std::size_t aIndex)
  {
    if (m_threads[aIndex].joinable()) {
      m_gateways[aIndex]->RequestShutdown();
      m_threads[aIndex].join();
    }
  }

  std::uint64_t VersionOf(std::size_t aIndex)
  {
    return StateOf(aIndex).value("config", std::uint64_t{ 0 });
  }

  std::size_t RunnersOf(std::size_t aIndex)
  {
    const nlohmann::json state = StateOf(aIndex);
    return state.contains("runners") ? state["runners"].size() : 0;
  }

  // The /state of a gateway; an empty object if it doesn't respond.
  nlohmann::json StateOf(std::size_t aIndex)
  {
    Loop loop{ 1 };
    nlohmann::json state = nlohmann::json::object();
    CallBuffered(loop,
                 std::make_shared<ConnectionPool>(loop),
                 m_hosts[aIndex],
                 "GET",
                 "/state",
                 {},
                 std::chrono::seconds(5),
                 [&](const BufferedResponse& aAnswer) {
                   auto parsed = nlohmann::json::parse(
                     aAnswer.m_body, nullptr, /* allow_exceptions */ false);
                   if (parsed.is_object()) {
                     state = std::move(parsed);
                   }
                   loop.stop();
                 });
    loop.run();
    return state;
  }

  bool AllKnowRunners(std::size_t aCount)
  {
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
      if (m_threads[i].joinable() && RunnersOf(i) != aCount) {
        return false;
      }
    }
    return true;
  }

  // Lists another runner and waits until all gateways know it. Returns how many
  // copies of its record the store sent.
  std::size_t ListRunner()
  {
    const std::size_t before = m_site.CopiesSent("servers");
    const std::string id = "i-" + std::to_string(++m_runners);
    m_site.Put("servers",
               id,
               { { "service", "chat" },
                 { "address", "127.0.0.1:" + std::to_string(m_runners) },
                 { "zone", "here" },
                 { "slots", 8 },
                 { "state", "ready" } });
    EXPECT_TRUE(Eventually([&] { return AllKnowRunners(m_runners); }));
    return m_site.CopiesSent("servers") - before;
  }

  bool AllHave(std::uint64_t aVersion)
  {
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
      if (m_threads[i].joinable() && VersionOf(i) != aVersion) {
        return false;
      }
    }
    return true;
  }

  // Changes the configuration and waits until all gateways have it. Returns how
  // many copies of it the store sent.
  std::size_t ChangeConfiguration()
  {
    const std::size_t before = m_site.CopiesSent("config");
    m_site.Put("config", "main", ConfigJson(++m_version));
    EXPECT_TRUE(Eventually([&] { return AllHave(m_version); }));
    return m_site.CopiesSent("config") - before;
  }

  SiteStandIn m_site;
  std::uint16_t m_port = UnusedPort();
  std::uint64_t m_version = 1;
  std::size_t m_runners = 0;
  std::vector<Address> m_hosts;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  std::vector<std::thread> m_threads;
};

TEST_F(GatewayConfigTest, StoreDoesNotSendAChangeToEachGatewayOfARegion)
{
  EXPECT_TRUE(Eventually([&] { return ChangeConfiguration() == 1; }));
}

TEST_F(GatewayConfigTest, ChangeReachesAllWhenTheirSourceStops)
{
  for (std::size_t i = 0; i + 1 < kGateways; ++i) {
    Stop(i);
    EXPECT_GE(ChangeConfiguration(), 1U) << i;
  }
}

TEST_F(GatewayConfigTest, StoreDoesNotSendARunnerToEachGatewayOfARegion)
{
  EXPECT_TRUE(Eventually([&] { return ListRunner() == 1; }));
}

TEST_F(GatewayConfigTest, RunnersReachAllWhenTheirSourceStops)
{
  for (std::size_t i = 0; i + 1 < kGateways; ++i) {
    Stop(i);
    EXPECT_GE(ListRunner(), 1U) << i;
  }
  m_site.Remove("servers", "i-1");
  EXPECT_TRUE(Eventually([&] { return AllKnowRunners(m_runners - 1); }));
}

TEST_F(GatewayConfigTest, GatewayThatStartsLaterGetsTheRunnersOfTheOthers)
{
  ListRunner();
  ListRunner();
  const std::size_t before = m_site.ListCount("servers");
  AddGateway();
  EXPECT_TRUE(Eventually([&] { return AllKnowRunners(m_runners); }));
  EXPECT_EQ(m_site.ListCount("servers"), before);
}

// Runners that expire during an outage of the store are kept until they can be
// listed again. A store that turns some gateways away isn't such an outage.
TEST_F(GatewayConfigTest, RemovedRunnerIsNotKeptForGatewaysWithoutTheStore)
{
  constexpr std::size_t kWithoutStore = 4;
  ListRunner();
  ListRunner();
  for (std::size_t i = 0; i < kWithoutStore; ++i) {
    AddGateway({ "127.0.0.1", UnusedPort() });
  }
  EXPECT_TRUE(Eventually([&] { return AllKnowRunners(m_runners); }));
  m_site.Remove("servers", "i-1");
  EXPECT_TRUE(Eventually([&] { return AllKnowRunners(m_runners - 1); }));
}

TEST_F(GatewayConfigTest, RunnerThatExpiresInAnOutageIsKept)
{
  // Longer than the shortest outage in which a runner may expire.
  constexpr std::chrono::milliseconds kOutage{ 4000 };
  ListRunner();
  m_site.SetSilent(true);
  std::this_thread::sleep_for(kOutage);
  m_site.Remove("servers", "i-1");
  m_site.SetSilent(false);
  ++m_runners;
  m_site.Put("servers",
             "i-2",
             { { "service", "chat" },
               { "address", "127.0.0.1:2" },
               { "zone", "here" },
               { "slots", 8 },
               { "state", "ready" } });
  EXPECT_TRUE(Eventually([&] { return RunnersOf(0) == 2; }));
  EXPECT_TRUE(Eventually([&] { return AllKnowRunners(1); }));
}

TEST_F(GatewayConfigTest, NewEraOfTheStoreReachesAllGateways)
{
  ASSERT_TRUE(Eventually([&] {
    return m_site.Has("gateways", "edge-" + std::to_string(kGateways - 1));
  }));
  const auto copy = m_site.TakeCopy();
  ListRunner();
  ListRunner();
  for (const char* kind : { "config", "servers" }) {
    ASSERT_TRUE(m_site.AwaitCaughtUp(kind));
  }
  m_site.ComeBack(copy,
                  { { "config", "main", ConfigJson(++m_version) },
                    { "servers",
                      "i-3",
                      { { "service", "chat" },
                        { "address", "127.0.0.1:3" },
                        { "zone", "here" },
                        { "slots", 8 },
                        { "state", "ready" } } } });
  EXPECT_TRUE(Eventually([&] { return AllHave(m_version); }));
  EXPECT_TRUE(Eventually([&] { return AllKnowRunners(1); }));
  for (std::size_t i = 0; i < kGateways; ++i) {
    EXPECT_TRUE(Eventually(
      [&] { return m_site.Has("gateways", "edge-" + std::to_string(i)); }))
      << i;
  }
}

class GatewayConfigLagTest : public GatewayTest
{
protected:
  // Sends the beacon of a gateway of this region that has aVersion.
  void SendPeerBeacon(std::uint64_t aVersion,
                      std::uint16_t aConfigPort = UnusedPort())
  {
    v1::Datagram datagram;
    v1::GatewayBeacon& beacon = *datagram.mutable_gateway();
    beacon.set_vm("edge-9");
    beacon.set_incarnation(1);
    beacon.set_region("here");
    beacon.set_callers("127.0.0.1:9");
    beacon.set_serving(true);
    beacon.mutable_config()->set_version(aVersion);
    beacon.mutable_config()->set_port(aConfigPort);
    m_peer.Send(datagram, m_gateway->DatagramPort());
  }

  RemoteProcess m_peer;
};

// Another gateway, which has the newest configuration.
class ConfigPeer
{
public:
  ConfigPeer()
    : m_listener(m_loop, { "127.0.0.1", 0 }, [](const auto& aConnection) {
      v1::ConfigReply reply;
      reply.set_version(1);
      aConnection->SendResponse(200, {}, {}, reply.SerializeAsString());
    })
  {
    m_thread = std::thread([this] { m_loop.run(); });
  }

  ~ConfigPeer()
  {
    m_loop.stop();
    m_thread.join();
  }

  std::uint16_t Port() const { return m_listener.Port(); }

private:
  Loop m_loop{ 1 };
  HttpListener m_listener;
  std::thread m_thread;
};

TEST_F(GatewayConfigLagTest, CallersAreNotSentToAGatewayThatLostTheStore)
{
  const ConfigPeer peer;
  StartAndAwaitReady();
  const std::string own = R"("127.0.0.1:0")"; // as in the settings
  const auto isListed = [&] {
    SendPeerBeacon(1, peer.Port());
    return QueryDirectory().find(own) != std::string::npos;
  };
  EXPECT_TRUE(Eventually(isListed));
  m_site.SetSilent(true);
  EXPECT_TRUE(Eventually([&] { return !isListed(); }));
}

TEST_F(GatewayConfigLagTest, ReplacedConfigurationIsNotAppliedToRequests)
{
  m_site.AddRunner(
    "i-1", "get", [](const auto& aConnection) { Answer(aConnection); });
  StartAndAwaitReady();
  const auto status = [&] {
    return SendRequest(Request("GET", "/get/1")).substr(0, 12);
  };
  ASSERT_TRUE(Eventually([&] {
    SendPeerBeacon(1);
    return status() == "HTTP/1.1 200";
  }));
  EXPECT_TRUE(Eventually([&] {
    SendPeerBeacon(2);
    return status() == "HTTP/1.1 503";
  }));
  m_site.Put("config", "main", ConfigJson(2));
  EXPECT_TRUE(Eventually([&] {
    SendPeerBeacon(2);
    return status() == "HTTP/1.1 200";
  }));
}

} // namespace

} // namespace siskindeal

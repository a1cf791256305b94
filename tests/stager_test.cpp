// Runs stagers over loopback with scripted runners and a weights origin.

#include "config_relay.pb.h"
#include "net/gzip_p.h"
#include "stager/stager_p.h"
#include "support/engine_site.h"
#include "support/gateway_fixture.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace siskindeal {

namespace {

class StagerTest : public testing::Test
{
protected:
  void TearDown() override
  {
    for (std::size_t i = 0; i < m_stagers.size(); ++i) {
      StopStager(i);
    }
  }

  // Adds a runner with aVersion loaded, and its stager.
  void AddStager(std::uint64_t aVersion) { AddStager(aVersion, m_site); }

  // aStore is the store that the stager connects to.
  void AddStager(std::uint64_t aVersion, const SiteStandIn& aStore)
  {
    const Address runner = m_engines.AddRunner(aVersion);
    StagerSettings settings;
    settings.m_node.m_vm = "side-" + std::to_string(m_stagers.size());
    settings.m_node.m_place = "here";
    settings.m_node.m_rpc = { runner.m_host, m_port };
    m_httpAddresses.push_back(settings.m_node.m_rpc);
    settings.m_platform.m_url = "http://" + aStore.Store().ToString();
    settings.m_stager.m_runner = runner;
    settings.m_stager.m_service = "chat";
    m_stagers.push_back(std::make_unique<Stager>(settings));
    m_threads.emplace_back(
      [stager = m_stagers.back().get()] { stager->Run(); });
  }

  void StopStager(std::size_t aIndex)
  {
    if (m_threads[aIndex].joinable()) {
      m_stagers[aIndex]->Stop();
      m_threads[aIndex].join();
    }
  }

  // Returns the /state response of a stager.
  nlohmann::json QueryState(std::size_t aIndex)
  {
    Loop loop{ 1 };
    nlohmann::json state;
    CallBuffered(loop,
                 std::make_shared<ConnectionPool>(loop),
                 m_httpAddresses[aIndex],
                 "GET",
                 "/state",
                 {},
                 std::chrono::seconds(5),
                 [&](const BufferedResponse& aAnswer) {
                   state = nlohmann::json::parse(
                     aAnswer.m_body, nullptr, /* allow_exceptions */ false);
                   loop.stop();
                 });
    loop.run();
    return state;
  }

  bool AllServe(std::uint64_t aVersion, std::size_t aFirst = 0)
  {
    return Eventually([&] {
      for (std::size_t i = aFirst; i < m_stagers.size(); ++i) {
        if (m_engines.ServedVersion(i) != aVersion) {
          return false;
        }
      }
      return true;
    });
  }

  SiteStandIn m_site;
  EngineSite m_engines{ m_site };
  // Each stager has its own host; all use this port.
  std::uint16_t m_port = UnusedPort();
  std::vector<Address> m_httpAddresses;
  std::vector<std::unique_ptr<Stager>> m_stagers;
  std::vector<std::thread> m_threads;
};

TEST_F(StagerTest, ConfigurationIsNotReadAgainWhileAReadIsInFlight)
{
  constexpr std::size_t kRequests = 3;
  m_site.SilenceKind("config");
  AddStager(1);
  EXPECT_TRUE(
    Eventually([&] { return m_site.Unanswered().m_count >= kRequests; }));
  EXPECT_EQ(m_site.Unanswered().m_mostWaiting, 1U);
}

TEST_F(StagerTest, StagerWithoutAConfigurationDoesNotReadTheListOfRunners)
{
  SiteStandIn store; // has no configuration yet
  AddStager(1, store);
  EXPECT_TRUE(Eventually([&] { return store.ListCount("config") >= 2; }));
  EXPECT_EQ(store.ListCount("servers"), 0U);
  TearDown(); // the stager must stop before the store is destroyed
}

TEST_F(StagerTest, IdleStagerDoesNotReadTheListOfRunners)
{
  constexpr int kQueries = 40;
  constexpr std::chrono::milliseconds kTick{ 25 };
  AddStager(1);
  ASSERT_TRUE(Eventually([&] {
    const nlohmann::json state = QueryState(0);
    return state.is_object() && state.value("loaded", 0U) == 1 &&
           state.value("target", 0U) == 0 && state.value("load", "") == "none";
  }));
  std::this_thread::sleep_for(4 * kTick);
  std::size_t before = m_site.ListCount("servers");
  // Once it has had time to hear of peers, it lists the pieces that it can give
  // to them.
  ASSERT_TRUE(Eventually([&] {
    const std::size_t lists = m_site.ListCount("servers");
    const nlohmann::json state = QueryState(0);
    const bool isResting = state.value("stage", "") == "resting";
    const auto target = state.value("target", 0U);
    if (isResting && target == 0) {
      EXPECT_EQ(lists, before);
    }
    return isResting && target == 1;
  }));
  before = m_site.ListCount("servers");
  for (int i = 0; i < kQueries; ++i) {
    EXPECT_EQ(QueryState(0).value("stage", ""), "resting");
    std::this_thread::sleep_for(kTick);
  }
  EXPECT_EQ(m_site.ListCount("servers"), before);
}

// A gateway that passes the configuration on.
class ConfigGateway
{
public:
  explicit ConfigGateway(const nlohmann::json& aConfig)
    : m_listener(m_loop,
                 { "127.0.0.1", 0 },
                 [this](const auto& aConnection) {
                   aConnection->SendResponse(200, {}, {}, m_reply);
                 })
    , m_datagrams(m_loop, { "127.0.0.1", 0 }, [](const auto&, const auto&) {})
  {
    v1::ConfigReply reply;
    reply.set_version(1);
    reply.set_spec(Compress(aConfig.dump()));
    m_reply = reply.SerializeAsString();
    m_thread = std::thread([this] { m_loop.run(); });
  }

  ~ConfigGateway()
  {
    m_loop.stop();
    m_thread.join();
  }

  // aNamed: the newest version of the weights; 0: none.
  void Announce(const Address& aStager, std::uint64_t aNamed = 0)
  {
    v1::Datagram datagram;
    v1::GatewayBeacon& beacon = *datagram.mutable_gateway();
    beacon.set_vm("edge-1");
    beacon.mutable_config()->set_version(1);
    beacon.mutable_config()->set_port(m_listener.Port());
    if (aNamed > 0) {
      v1::NamedAge& named = *beacon.add_named();
      named.set_model(kEngineModel);
      named.set_version(aNamed);
    }
    boost::asio::post(m_loop, [this, datagram, aStager] {
      m_datagrams.Send(datagram, aStager, DatagramKind::Weights);
    });
  }

private:
  Loop m_loop{ 1 };
  std::string m_reply;
  HttpListener m_listener;
  DatagramSocket m_datagrams;
  std::thread m_thread;
};

TEST_F(StagerTest, StoreDoesNotSendTheConfigurationToEachNewStager)
{
  ConfigGateway gateway(m_engines.Config());
  AddStager(1);
  EXPECT_TRUE(Eventually([&] {
    gateway.Announce(m_httpAddresses[0]);
    const nlohmann::json state = QueryState(0);
    return state.is_object() && state.value("model", "") == kEngineModel;
  }));
  EXPECT_EQ(m_site.CopiesSent("config"), 0U);
}

TEST_F(StagerTest, HearsOfVersionsFromGatewaysWithoutAskingTheStore)
{
  // Longer than a stager waits for gateways when it starts.
  constexpr std::chrono::milliseconds kStarted{ 2000 };
  constexpr std::chrono::milliseconds kInterval{ 20 };
  ConfigGateway gateway(m_engines.Config());
  AddStager(1);
  std::uint64_t target = 0;
  for (std::chrono::milliseconds waited{ 0 }; waited < kStarted;
       waited += kInterval) {
    gateway.Announce(m_httpAddresses[0], 2);
    std::this_thread::sleep_for(kInterval);
  }
  EXPECT_TRUE(Eventually([&] {
    gateway.Announce(m_httpAddresses[0], 2);
    const nlohmann::json state = QueryState(0);
    target = state.is_object() ? state.value("target", 0U) : 0;
    return target == 2;
  }));
  EXPECT_EQ(m_site.ListCount("versions"), 0U);
}

// Guards against a load that relies on pieces read back seconds ago, as after a
// pause: a piece had become corrupt in the meantime.
TEST_F(StagerTest, PieceThatBecomesCorruptAfterItsReadingIsNotLoaded)
{
  m_engines.m_corruptAfterRead = { 0 };
  m_engines.m_slowReads = { 1, 2, 3, 4, 5 };
  AddStager(0);
  EXPECT_TRUE(AllServe(1));
  EXPECT_TRUE(m_engines.AllLoadsIntact());
}

TEST_F(StagerTest, EmptyRunnersFetchWeightsFromPeers)
{
  AddStager(1);
  AddStager(1);
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  AddStager(0);
  AddStager(0);
  EXPECT_TRUE(AllServe(1));
  EXPECT_TRUE(m_engines.AllLoadsIntact());
  EXPECT_EQ(m_engines.PiecesSent(), 0U);
}

TEST_F(StagerTest, NamedVersionReachesAllRunnersWithAtMostTwoOriginCopies)
{
  for (int i = 0; i < 4; ++i) {
    AddStager(1);
  }
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  ASSERT_TRUE(m_site.AwaitWatched("versions"));
  m_engines.PublishVersion(2);
  EXPECT_TRUE(AllServe(2));
  EXPECT_TRUE(m_engines.AllLoadsIntact());
  EXPECT_LE(m_engines.PiecesSent(), 2 * kEnginePieces);
}

// The origin accepts fewer connections than there are stagers, so idle pooled
// connections would exhaust it.
TEST_F(StagerTest, OriginWithOneConnectionServesAllStagers)
{
  m_engines.m_maxOriginConnections = 1;
  for (int i = 0; i < 3; ++i) {
    AddStager(1);
  }
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  AddStager(0);
  AddStager(0);
  EXPECT_TRUE(AllServe(1));
  m_engines.PublishVersion(2);
  EXPECT_TRUE(AllServe(2));
  EXPECT_TRUE(m_engines.AllLoadsIntact());
}

// A version is fetched while the previous one loads. It replaces the previous
// one if that is still waiting for its turn to load.
TEST_F(StagerTest, VersionsNamedInQuickSuccessionLoadIntact)
{
  for (int i = 0; i < 5; ++i) {
    AddStager(1);
  }
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  ASSERT_TRUE(m_site.AwaitWatched("versions"));
  for (std::uint64_t version = 2; version <= 6; ++version) {
    m_engines.PublishVersion(version);
    std::this_thread::sleep_for(std::chrono::milliseconds(150 * version));
  }
  EXPECT_TRUE(AllServe(6));
  EXPECT_TRUE(m_engines.AllLoadsIntact());
}

// The origin serves the two newest versions. A stager that went on with an
// older one would get no weights for as long as versions are named.
TEST_F(StagerTest, VersionThatTheOriginWithdrewIsGivenUp)
{
  constexpr std::uint64_t kLastVersion = 16;
  constexpr std::chrono::milliseconds kGap{ 1600 };
  m_engines.m_withheldVersion = 2;
  AddStager(1);
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  ASSERT_TRUE(m_site.AwaitWatched("versions"));
  std::uint64_t version = 2;
  while (m_engines.ServedVersion(0) <= 2 && version <= kLastVersion) {
    m_engines.PublishVersion(version++);
    std::this_thread::sleep_for(kGap);
  }
  EXPECT_GT(m_engines.ServedVersion(0), 2U);
}

// While a runner drains, its staging area is complete and the pieces of the
// next version stay buffered.
TEST_F(StagerTest, NextVersionDoesNotOverwriteStagedOne)
{
  nlohmann::json config = m_engines.Config();
  config["routes"][0]["resumable"] = false; // lengthens draining
  m_site.Put("config", "main", config);
  m_engines.m_reportedRunning = 1;
  AddStager(1);
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  ASSERT_TRUE(m_site.AwaitWatched("versions"));
  m_engines.PublishVersion(2);
  ASSERT_TRUE(
    Eventually([&] { return QueryState(0).at("load") == "draining"; }));
  m_engines.PublishVersion(3);
  EXPECT_TRUE(AllServe(3));
  EXPECT_EQ(m_engines.LoadedVersions(0), (std::vector<std::uint64_t>{ 2, 3 }));
  EXPECT_TRUE(m_engines.AllLoadsIntact());
}

TEST_F(StagerTest, CorruptPiecesAreDetectedAndRefetched)
{
  m_engines.m_corruptFromOrigin = { 0, 5 };
  m_engines.m_corruptWhenStaged = { 3, 7 };
  for (int i = 0; i < 3; ++i) {
    AddStager(0);
  }
  EXPECT_TRUE(AllServe(1));
  EXPECT_TRUE(m_engines.AllLoadsIntact());
}

// An origin outage affects all stagers at once. If each then read the
// configuration, the cost would be high, as it is large with many routes.
TEST_F(StagerTest, UnreachableOriginDoesNotCauseConfigReads)
{
  constexpr std::size_t kAttempts = 8;
  m_engines.m_maxOriginConnections = 0;
  AddStager(1);
  AddStager(1);
  ASSERT_TRUE(
    Eventually([&] { return m_engines.RefusedConnections() >= kAttempts; }));
  EXPECT_LE(m_site.ListCount("config"), 4U);
}

// The store may refuse some VMs. Here one stager uses a store that never
// reports the new version.
TEST_F(StagerTest, LearnsVersionFromPeersWhenStoreDoesNotReportIt)
{
  SiteStandIn oldStore;
  oldStore.Put("config", "main", m_engines.Config());
  AddStager(1);
  AddStager(1);
  AddStager(1, oldStore);
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  ASSERT_TRUE(m_site.AwaitWatched("versions"));
  m_engines.PublishVersion(2);
  EXPECT_TRUE(AllServe(2));
  EXPECT_TRUE(m_engines.AllLoadsIntact());
  TearDown(); // the stagers must stop before oldStore is destroyed
}

TEST_F(StagerTest, RemainingStagersCompleteAfterOneStops)
{
  for (int i = 0; i < 4; ++i) {
    AddStager(1);
  }
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  m_engines.PublishVersion(2);
  StopStager(0);
  EXPECT_TRUE(AllServe(2, 1));
  EXPECT_TRUE(m_engines.AllLoadsIntact());
}

} // namespace

} // namespace siskindeal

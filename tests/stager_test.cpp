// Stagers over loopback, beside scripted runners and an origin of weights.

#include "stager/stager_p.h"
#include "support/engine_site.h"
#include "support/gateway_fixture.h"

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
      Stop(i);
    }
  }

  // Adds a runner that holds aVersion, with its stager.
  void Add(std::uint64_t aVersion) { Add(aVersion, m_site); }

  // aStore: the one that its stager reaches.
  void Add(std::uint64_t aVersion, const SiteStandIn& aStore)
  {
    const Address runner = m_engines.AddRunner(aVersion);
    StagerSettings settings;
    settings.m_node.m_vm = "side-" + std::to_string(m_stagers.size());
    settings.m_node.m_place = "here";
    settings.m_node.m_rpc = { runner.m_host, m_port };
    m_pages.push_back(settings.m_node.m_rpc);
    settings.m_platform.m_url = "http://" + aStore.Store().ToString();
    settings.m_stager.m_runner = runner;
    settings.m_stager.m_service = "chat";
    m_stagers.push_back(std::make_unique<Stager>(settings));
    m_threads.emplace_back(
      [stager = m_stagers.back().get()] { stager->Run(); });
  }

  void Stop(std::size_t aIndex)
  {
    if (m_threads[aIndex].joinable()) {
      m_stagers[aIndex]->Stop();
      m_threads[aIndex].join();
    }
  }

  // What a stager's page of state says.
  nlohmann::json StateOf(std::size_t aIndex)
  {
    Loop loop{ 1 };
    nlohmann::json state;
    CallWhole(loop,
              std::make_shared<ConnectionPool>(loop),
              m_pages[aIndex],
              "GET",
              "/state",
              {},
              std::chrono::seconds(5),
              [&](const WholeAnswer& aAnswer) {
                state = nlohmann::json::parse(aAnswer.m_body);
                loop.stop();
              });
    loop.run();
    return state;
  }

  bool AllServe(std::uint64_t aVersion, std::size_t aFirst = 0)
  {
    return Eventually([&] {
      for (std::size_t i = aFirst; i < m_stagers.size(); ++i) {
        if (m_engines.Serves(i) != aVersion) {
          return false;
        }
      }
      return true;
    });
  }

  SiteStandIn m_site;
  EngineSite m_engines{ m_site };
  // Each stager has a host of its own, and all use one port.
  std::uint16_t m_port = UnusedPort();
  std::vector<Address> m_pages;
  std::vector<std::unique_ptr<Stager>> m_stagers;
  std::vector<std::thread> m_threads;
};

TEST_F(StagerTest, EmptyRunnersAreFilledFromThoseThatHoldTheWeights)
{
  Add(1);
  Add(1);
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  Add(0);
  Add(0);
  EXPECT_TRUE(AllServe(1));
  EXPECT_TRUE(m_engines.AllTakenWhole());
  EXPECT_EQ(m_engines.PiecesSent(), 0U);
}

TEST_F(StagerTest, NamedWeightsReachEveryRunnerWithAboutOneCopyFromTheOrigin)
{
  for (int i = 0; i < 4; ++i) {
    Add(1);
  }
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  ASSERT_TRUE(m_site.AwaitWatched("versions"));
  m_engines.Name(2);
  EXPECT_TRUE(AllServe(2));
  EXPECT_TRUE(m_engines.AllTakenWhole());
  EXPECT_LE(m_engines.PiecesSent(), 2 * kEnginePieces);
}

// Fewer than there are stagers: connections that are only kept would fill it.
TEST_F(StagerTest, AnOriginThatTakesOneConnectionServesThemAll)
{
  m_engines.m_originConnections = 1;
  for (int i = 0; i < 3; ++i) {
    Add(1);
  }
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  Add(0);
  Add(0);
  EXPECT_TRUE(AllServe(1));
  m_engines.Name(2);
  EXPECT_TRUE(AllServe(2));
  EXPECT_TRUE(m_engines.AllTakenWhole());
}

// The second is fetched while the first is loaded, and replaces it where its
// turn hasn't come.
TEST_F(StagerTest, VersionsNamedInQuickSuccessionAreEachTakenWhole)
{
  for (int i = 0; i < 5; ++i) {
    Add(1);
  }
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  ASSERT_TRUE(m_site.AwaitWatched("versions"));
  for (std::uint64_t version = 2; version <= 6; ++version) {
    m_engines.Name(version);
    std::this_thread::sleep_for(std::chrono::milliseconds(150 * version));
  }
  EXPECT_TRUE(AllServe(6));
  EXPECT_TRUE(m_engines.AllTakenWhole());
}

// One that drains its runner has all pieces there; those of the next wait.
TEST_F(StagerTest, TheNextVersionDoesNotSpoilTheOneThatIsAboutToBeTaken)
{
  nlohmann::json config = m_engines.Config();
  config["routes"][0]["resumable"] = false; // so that draining takes a while
  m_site.Put("config", "main", config);
  m_engines.m_running = 1;
  Add(1);
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  ASSERT_TRUE(m_site.AwaitWatched("versions"));
  m_engines.Name(2);
  ASSERT_TRUE(Eventually([&] { return StateOf(0).at("load") == "draining"; }));
  m_engines.Name(3);
  EXPECT_TRUE(AllServe(3));
  EXPECT_EQ(m_engines.Taken(0), (std::vector<std::uint64_t>{ 2, 3 }));
  EXPECT_TRUE(m_engines.AllTakenWhole());
}

TEST_F(StagerTest, SpoiltPiecesAreFoundAndFetchedAgain)
{
  m_engines.m_spoiltByOrigin = { 0, 5 };
  m_engines.m_spoiltWhenStaged = { 3, 7 };
  for (int i = 0; i < 3; ++i) {
    Add(0);
  }
  EXPECT_TRUE(AllServe(1));
  EXPECT_TRUE(m_engines.AllTakenWhole());
}

// With many routes the configuration is large, and all stagers miss the origin
// at once.
TEST_F(StagerTest, AnOriginThatIsDownIsNoReasonToReadTheConfigurationAgain)
{
  constexpr std::size_t kAttempts = 8;
  m_engines.m_originConnections = 0;
  Add(1);
  Add(1);
  ASSERT_TRUE(Eventually([&] { return m_engines.Refused() >= kAttempts; }));
  EXPECT_LE(m_site.Listed("config"), 4U);
}

// As where the store turns some VMs away.
TEST_F(StagerTest, AStagerThatTheStoreTellsNothingHearsOfWeightsFromOthers)
{
  SiteStandIn oldStore;
  oldStore.Put("config", "main", m_engines.Config());
  Add(1);
  Add(1);
  Add(1, oldStore);
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  ASSERT_TRUE(m_site.AwaitWatched("versions"));
  m_engines.Name(2);
  EXPECT_TRUE(AllServe(2));
  EXPECT_TRUE(m_engines.AllTakenWhole());
  TearDown(); // before its store
}

TEST_F(StagerTest, TheOthersGoOnWithoutOneThatIsGone)
{
  for (int i = 0; i < 4; ++i) {
    Add(1);
  }
  ASSERT_TRUE(Eventually([&] { return m_engines.ListsSent() > 0; }));
  m_engines.Name(2);
  Stop(0);
  EXPECT_TRUE(AllServe(2, 1));
  EXPECT_TRUE(m_engines.AllTakenWhole());
}

} // namespace

} // namespace siskindeal

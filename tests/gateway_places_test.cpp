// Tests that a gateway sends nothing to evacuated places and to regions that
// aren't a request's home, whatever it learns this from.

#include "support/gateway_fixture.h"
#include "support/remote_process.h"

namespace siskindeal {

namespace {

class GatewayPlacesTest : public GatewayTest
{
protected:
  void SetUp() override
  {
    GatewayTest::SetUp();
    m_evacuateWithin = std::chrono::milliseconds(5000);
    m_regions = { { "here", "north" }, { "far", "south" } };
  }

  // Adds a runner that answers everything.
  void AddRunner(const std::string& aId,
                 const std::string& aPlace,
                 nlohmann::json aExtraFields = nlohmann::json::object())
  {
    aExtraFields["zone"] = aPlace;
    m_site.AddRunner(
      aId,
      "get",
      [this, aPlace](const auto& aConnection) {
        const std::lock_guard lock(m_mutex);
        ++m_arrivals[aPlace];
        Answer(aConnection);
      },
      aExtraFields);
  }

  // Has cold runners take almost nothing for longer than a test lasts.
  void LimitColdRunners()
  {
    nlohmann::json config = ConfigJson(2);
    for (nlohmann::json& service : config["services"]) {
      service["cold_per_s"] = 0.02;
      service["cold_start_s"] = 600;
    }
    m_site.Put("config", "main", config);
  }

  // Sends kRequests and returns how many arrived at the runners of a place.
  int SendMany(const std::string& aPlace)
  {
    const int before = Arrivals(aPlace);
    for (int i = 0; i < kRequests; ++i) {
      EXPECT_TRUE(IsServed());
    }
    return Arrivals(aPlace) - before;
  }

  static constexpr int kRequests = 40;

  void StartWithRunners(std::size_t aRunners)
  {
    StartAndAwaitReady();
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == aRunners; }));
  }

  std::string Get() { return SendRequest(Request("GET", "/get/a")); }
  bool IsServed() { return Get().find(" 200 ") != std::string::npos; }
  bool IsRefusedAs(const std::string& aReason)
  {
    const std::string answer = Get();
    return answer.find(" 503 ") != std::string::npos &&
           answer.find("Retry-After") != std::string::npos &&
           answer.find(aReason) != std::string::npos;
  }

  int Arrivals(const std::string& aPlace)
  {
    const std::lock_guard lock(m_mutex);
    return m_arrivals[aPlace];
  }

  // Tells the gateway, as a peer, what is evacuated at a revision of the store.
  void SendEvacuations(std::uint64_t aRevision,
                       const std::vector<std::string>& aPlaces)
  {
    v1::Datagram datagram;
    v1::GatewayBeacon& beacon = *datagram.mutable_gateway();
    beacon.set_vm("edge-2");
    beacon.set_incarnation(1);
    beacon.set_region("north");
    beacon.set_callers("127.0.0.1:9");
    beacon.mutable_evacuations()->set_era(1);
    beacon.mutable_evacuations()->set_revision(aRevision);
    for (const std::string& place : aPlaces) {
      beacon.mutable_evacuations()->add_places(place);
    }
    m_peer.Send(datagram, m_gateway->DatagramPort());
  }

  RemoteProcess m_peer;
  std::mutex m_mutex;
  std::map<std::string, int> m_arrivals; // by place
};

TEST_F(GatewayPlacesTest, EvacuatedPlaceGetsNothingUntilItIsTakenBack)
{
  AddRunner("i-1", "here");
  StartWithRunners(1);
  ASSERT_TRUE(IsServed());
  m_site.Put("evacuations", "here", nlohmann::json::object());
  ASSERT_TRUE(Eventually(
    [&] { return IsRefusedAs("the service's runners are evacuated"); }));
  const int before = Arrivals("here");
  EXPECT_FALSE(IsServed());
  EXPECT_EQ(Arrivals("here"), before);
  m_site.Remove("evacuations", "here");
  EXPECT_TRUE(Eventually([&] { return IsServed(); }));
}

TEST_F(GatewayPlacesTest, RequestsGoToOtherPlacesDuringAnEvacuation)
{
  AddRunner("i-1", "here");
  AddRunner("i-2", "far");
  m_site.Put("evacuations", "here", nlohmann::json::object());
  StartWithRunners(2);
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(IsServed());
  }
  EXPECT_EQ(Arrivals("here"), 0); // not even before it had read the store
  EXPECT_EQ(Arrivals("far"), 5);
}

// Guards against cold runners that get all requests at once, as they are idle.
TEST_F(GatewayPlacesTest, ColdRunnerGetsFewRequests)
{
  LimitColdRunners();
  AddRunner("i-1", "here", { { "cold_remaining_ms", 600000 } });
  AddRunner("i-2", "far", { { "cold_remaining_ms", 0 } });
  StartWithRunners(2);
  EXPECT_LE(SendMany("here"), kRequests / 4);
}

TEST_F(GatewayPlacesTest, RunnersOfAReturnedPlaceGetFewRequests)
{
  LimitColdRunners();
  AddRunner("i-1", "here", { { "cold_remaining_ms", 0 } });
  AddRunner("i-2", "far", { { "cold_remaining_ms", 0 } });
  StartWithRunners(2);
  EXPECT_EQ(SendMany("here"), kRequests);
  m_site.Put("evacuations", "here", nlohmann::json::object());
  ASSERT_TRUE(m_site.AwaitWatched("evacuations"));
  EXPECT_EQ(SendMany("here"), 0);
  m_site.Remove("evacuations", "here");
  ASSERT_TRUE(m_site.AwaitWatched("evacuations"));
  EXPECT_LE(SendMany("here"), kRequests / 4);
}

TEST_F(GatewayPlacesTest, RunnerThatBecomesColdAgainGetsFewRequests)
{
  LimitColdRunners();
  AddRunner("i-1", "here", { { "cold_remaining_ms", 0 } });
  AddRunner("i-2", "far", { { "cold_remaining_ms", 0 } });
  StartWithRunners(2);
  EXPECT_EQ(SendMany("here"), kRequests);
  nlohmann::json entry = m_site.SpecOf("servers", "i-1");
  entry["cold_remaining_ms"] = 600000;
  m_site.Put("servers", "i-1", entry);
  ASSERT_TRUE(m_site.AwaitWatched("servers"));
  EXPECT_LE(SendMany("here"), kRequests / 4);
}

// Malformed entries of other writers must not empty a place.
TEST_F(GatewayPlacesTest, MalformedEvacuationsChangeNothing)
{
  AddRunner("i-1", "here");
  m_site.Put("evacuations", "nowhere", nlohmann::json::object());
  m_site.PutText("evacuations", "here", "[1]");
  StartWithRunners(1);
  EXPECT_TRUE(IsServed());
  // One that was good stays in force until it is removed.
  m_site.Put("evacuations", "here", nlohmann::json::object());
  ASSERT_TRUE(Eventually([&] { return !IsServed(); }));
  m_site.PutText("evacuations", "here", "7");
  ASSERT_TRUE(m_site.AwaitWatched("evacuations"));
  EXPECT_FALSE(IsServed());
}

TEST_F(GatewayPlacesTest, GatewayWithoutTheStoreLearnsFromPeers)
{
  AddRunner("i-1", "here");
  StartWithRunners(1);
  ASSERT_TRUE(m_site.AwaitWatched("evacuations"));
  m_site.SetSilent(true);
  EXPECT_TRUE(Eventually([&] {
    SendEvacuations(1000, { "here" });
    return !IsServed();
  }));
  SendEvacuations(999, {}); // an older message that arrives late
  EXPECT_FALSE(IsServed());
  EXPECT_TRUE(Eventually([&] {
    SendEvacuations(1001, {});
    return IsServed();
  }));
}

TEST_F(GatewayPlacesTest, GatewayIsNotReadyBeforeItKnowsTheEvacuations)
{
  AddRunner("i-1", "here");
  m_site.SilenceKind("evacuations");
  Start();
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
  EXPECT_FALSE(IsReady());
  EXPECT_FALSE(IsServed());
  EXPECT_EQ(Arrivals("here"), 0);
  EXPECT_TRUE(Eventually([&] {
    SendEvacuations(1000, {});
    return IsReady();
  }));
  EXPECT_TRUE(IsServed());
}

TEST_F(GatewayPlacesTest, EvacuationsAreNotReadWithoutTheSetting)
{
  m_evacuateWithin = std::chrono::milliseconds(0);
  AddRunner("i-1", "here");
  m_site.Put("evacuations", "here", nlohmann::json::object());
  StartWithRunners(1);
  EXPECT_TRUE(IsServed());
  EXPECT_EQ(m_site.ListCount("evacuations"), 0U);
}

TEST_F(GatewayPlacesTest, RequestsAreServedInTheirHomeRegionsOnly)
{
  AddRunner("i-1", "here");
  AddRunner("i-2", "far");
  AddRunner("i-3", "unknown");
  nlohmann::json config = ConfigJson(2);
  config["routes"][2]["allowed_regions"] = { "south" };
  m_site.Put("config", "main", config);
  StartWithRunners(3);
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(IsServed());
  }
  EXPECT_EQ(Arrivals("far"), 5);
  m_site.Put("evacuations", "far", nlohmann::json::object());
  EXPECT_TRUE(Eventually(
    [&] { return IsRefusedAs("the service's runners are evacuated"); }));
  // The team's homes apply beside the route's.
  config["version"] = 3;
  config["tenants"][0]["allowed_regions"] = { "north" };
  m_site.Put("config", "main", config);
  EXPECT_TRUE(
    Eventually([&] { return IsRefusedAs("no home region is left"); }));
  EXPECT_EQ(Arrivals("here") + Arrivals("unknown"), 0);
}

} // namespace

} // namespace siskindeal

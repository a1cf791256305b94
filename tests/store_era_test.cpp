// Tests what a gateway makes of a store that comes back from an older copy,
// which gives the revisions of lost changes out again.

#include "support/gateway_fixture.h"

#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using Writes = std::vector<SiteStandIn::ObjectWrite>;

class StoreEra : public GatewayTest
{
protected:
  static constexpr int kLost = 4;

  static nlohmann::json RunnerJson(std::uint16_t aPort, int aSlots = 4)
  {
    return { { "service", "get" },
             { "address", "127.0.0.1:" + std::to_string(aPort) },
             { "zone", "here" },
             { "slots", aSlots },
             { "state", "ready" } };
  }

  static nlohmann::json ConfigWithoutKey2(std::uint64_t aVersion)
  {
    nlohmann::json config = ConfigJson(aVersion);
    config["tenants"][0]["api_keys"] = { "key-1" };
    return config;
  }

  void StartWithRunner()
  {
    m_address = m_site.AddRunner(
      "i-1", "get", [](const auto& aConnection) { Answer(aConnection); });
    StartAndAwaitReady();
    ASSERT_TRUE(Eventually([&] { return m_site.Has("gateways", "edge-1"); }));
    ASSERT_TRUE(Eventually([&] { return StatusWith("key-2") == "200"; }));
  }

  // Writes what a copy taken before lacks, and waits until all of it is known.
  void WriteWhatIsLost()
  {
    for (int i = 1; i <= kLost; ++i) {
      m_site.Put("servers", "i-9", RunnerJson(9, i));
    }
    for (const char* kind : { "config", "servers", "versions" }) {
      ASSERT_TRUE(m_site.AwaitCaughtUp(kind));
    }
  }

  // With other writes, so that all revisions of what was lost are given out.
  static Writes FillUp(Writes aWrites)
  {
    while (aWrites.size() < kLost) {
      aWrites.push_back({ "other", "x", nlohmann::json::object() });
    }
    return aWrites;
  }

  std::string StatusWith(const std::string& aKey)
  {
    std::string request = Request("GET", "/get/x");
    const std::string usual = "key-1";
    request.replace(request.find(usual), usual.size(), aKey);
    const std::string response = SendRequest(request);
    return response.substr(std::min<std::size_t>(response.size(), 9), 3);
  }

  std::uint64_t ConfigVersion()
  {
    RawSocket socket(m_gateway->AdminPort());
    socket.Send("GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const std::string answer = socket.ReadAll();
    const auto body = answer.find("\r\n\r\n");
    return nlohmann::json::parse(answer.substr(body + 4)).at("config");
  }

  Address m_address; // of i-1
};

TEST_F(StoreEra, KeyTakenAwayAtARevisionThatIsGivenOutAgainStopsWorking)
{
  StartWithRunner();
  const auto copy = m_site.TakeCopy();
  WriteWhatIsLost();
  m_site.ComeBack(copy, FillUp({ { "config", "main", ConfigWithoutKey2(2) } }));
  EXPECT_TRUE(Eventually([&] { return StatusWith("key-2") == "401"; }));
  EXPECT_EQ(StatusWith("key-1"), "200");
}

TEST_F(StoreEra, VersionNamedAtARevisionThatIsGivenOutAgainIsRequired)
{
  m_versionWithin = milliseconds(1100);
  m_address = m_site.AddRunner(
    "i-1",
    "get",
    [](const auto& aConnection) { Answer(aConnection); },
    { { "models", { { { "name", "m" }, { "version", 1 } } } } });
  StartAndAwaitReady();
  const auto served = [&] {
    return SendRequest(Request("GET", "/get/x", "X-Siskindeal-Model: m\r\n"))
             .find(" 200 ") != std::string::npos;
  };
  ASSERT_TRUE(Eventually([&] { return m_site.Has("gateways", "edge-1"); }));
  ASSERT_TRUE(Eventually(served));
  const auto copy = m_site.TakeCopy();
  WriteWhatIsLost();
  m_site.ComeBack(
    copy,
    FillUp({ { "versions", "m", { { "model", "m" }, { "version", 2 } } } }));
  EXPECT_TRUE(Eventually([&] { return !served(); }));
}

TEST_F(StoreEra, RunnersOfTheNewEraReplaceThoseOfTheOld)
{
  StartWithRunner();
  const auto copy = m_site.TakeCopy();
  WriteWhatIsLost();
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
  // i-9 isn't written again, i-8 is new.
  m_site.ComeBack(copy, FillUp({ { "servers", "i-8", RunnerJson(8) } }));
  EXPECT_TRUE(Eventually([&] { return RunnerCount() == 3; }));
  EXPECT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
}

TEST_F(StoreEra, KeyTakenAwayInALostVersionStaysRefused)
{
  StartWithRunner();
  const auto copy = m_site.TakeCopy();
  m_site.Put("config", "main", ConfigWithoutKey2(2));
  ASSERT_TRUE(Eventually([&] { return StatusWith("key-2") == "401"; }));
  WriteWhatIsLost();
  const std::size_t listed = m_site.ListCount("config");
  m_site.ComeBack(copy, {});
  ASSERT_TRUE(Eventually([&] { return m_site.ListCount("config") > listed; }));
  ASSERT_TRUE(m_site.AwaitCaughtUp("config"));
  EXPECT_EQ(ConfigVersion(), 2U);
  EXPECT_NE(StatusWith("key-2"), "200");
}

// While the store holds an older version, others may be missing there too.
TEST_F(StoreEra, OlderConfigurationInTheStoreDoesNotProveTheNewerOneRecent)
{
  StartWithRunner();
  const auto copy = m_site.TakeCopy();
  m_site.Put("config", "main", ConfigWithoutKey2(2));
  ASSERT_TRUE(Eventually([&] { return StatusWith("key-2") == "401"; }));
  WriteWhatIsLost();
  m_site.ComeBack(copy, {});
  EXPECT_TRUE(Eventually([&] { return StatusWith("key-1") == "503"; }));
  m_site.Put("config", "main", ConfigWithoutKey2(2));
  EXPECT_TRUE(Eventually([&] { return StatusWith("key-1") == "200"; }));
  EXPECT_EQ(StatusWith("key-2"), "401");
}

TEST_F(StoreEra, RegistrationThatTheStoreLostIsWrittenAgain)
{
  const auto copy = m_site.TakeCopy();
  StartWithRunner();
  WriteWhatIsLost();
  m_site.ComeBack(copy, {});
  EXPECT_TRUE(Eventually([&] { return m_site.Has("gateways", "edge-1"); }));
}

TEST_F(StoreEra, StoreThatIsAwayForAMomentIsReadAnew)
{
  StartWithRunner();
  for (const milliseconds away :
       { milliseconds(100), milliseconds(700), milliseconds(3000) }) {
    const auto copy = m_site.TakeCopy();
    WriteWhatIsLost();
    m_site.GoAway();
    std::this_thread::sleep_for(away);
    const std::uint64_t version = ConfigVersion() + 1;
    m_site.ComeBack(
      copy, FillUp({ { "config", "main", ConfigWithoutKey2(version) } }));
    EXPECT_TRUE(Eventually([&] { return ConfigVersion() == version; }))
      << away.count() << " ms";
  }
}

} // namespace

} // namespace siskindeal

// Runners and callers that send bytes without end to a deployed gateway or
// stager. The process stays within the memory of its VM, and requests to other
// runners are answered. SISKINDEAL_SOAK_BINARY plays another program.

#include "support/deployed_site.h"
#include "support/endless_server.h"
#include "support/gateway_fixture.h"

#include <filesystem>
#include <list>

namespace siskindeal {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The least memory of a VM that a gateway or a stager is deployed on.
constexpr std::size_t kGatewayMegabytes = 160;
constexpr std::size_t kStagerMegabytes = 128;
constexpr std::size_t kRequestsToBadRunners = 400;
constexpr std::size_t kSoundRequests = 20;
constexpr milliseconds kRouteTimeout{ 15000 };

// What a runner sends once, and then again and again.
struct Endless
{
  const char* m_name;
  std::string m_first;
  std::string m_repeated;
};

const std::string kSignedHead =
  "HTTP/1.1 200 OK\r\nX-Siskindeal-Attempt-Id: bad\r\n"
  "X-Siskindeal-Runner-Signature: sig\r\n";
const std::string kStreamHead =
  kSignedHead + "Content-Type: text/event-stream\r\n\r\n";

std::string
Repeat(const std::string& aText, std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    text += aText;
  }
  return text;
}

const std::vector<Endless>&
EndlessResponses()
{
  static const std::vector<Endless> sResponses{
    { "Chunks",
      kSignedHead + "Transfer-Encoding: chunked\r\n\r\n",
      "8000\r\n" + std::string(0x8000, 'x') + "\r\n" },
    { "BodyUntilClose", kSignedHead + "\r\n", std::string(0x8000, 'x') },
    { "OneEvent", kStreamHead + "id: 1\ndata: ", std::string(0x8000, 'x') },
    { "Comments", kStreamHead, Repeat(":\n\n", 0x8000) },
    { "CommentLines", kStreamHead, Repeat(":x\n", 0x8000) },
    { "OneField", "HTTP/1.1 200 OK\r\nX-A: ", std::string(0x8000, 'x') },
    { "Fields", "HTTP/1.1 200 OK\r\n", Repeat("A: b\r\n", 0x8000) },
    { "LongLength",
      kSignedHead + "Content-Length: 90000000000\r\n\r\n",
      std::string(0x8000, 'x') },
    { "InformationalHeads", "", Repeat("HTTP/1.1 102 Wait\r\n\r\n", 0x8000) },
    { "ChunkExtension",
      kSignedHead + "Transfer-Encoding: chunked\r\n\r\n5;",
      std::string(0x8000, 'x') },
  };
  return sResponses;
}

// The most memory that a process has held.
std::size_t
PeakMegabytes(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    const std::string name = "VmHWM:";
    if (line.rfind(name, 0) == 0) {
      return std::stoul(line.substr(name.size())) / 1024;
    }
  }
  return 0;
}

class EndlessBytes : public testing::TestWithParam<std::size_t>
{
protected:
  void SetUp() override
  {
    m_directory = testing::TempDir() + "endless-bytes-XXXXXX";
    ASSERT_NE(mkdtemp(m_directory.data()), nullptr);
    json config = ConfigJson(1);
    for (json& route : config["routes"]) {
      route["timeout_ms"] = kRouteTimeout.count();
      route["target_latency_ms"] = kRouteTimeout.count();
    }
    config["limits"]["max_body_bytes"] = 4 << 20;
    m_site.Put("config", "main", config);
    m_site.AddRunner(
      "sound", "get", [](const std::shared_ptr<ServerConnection>& aConnection) {
        HttpFields fields;
        fields.Add("X-Siskindeal-Attempt-Id", "sound");
        fields.Add("X-Siskindeal-Runner-Signature", "sig");
        aConnection->SendResponse(200, {}, fields, "booked");
      });
  }

  void TearDown() override
  {
    m_callers.clear();
    m_process.reset();
    m_runners.clear();
    m_deployed.reset();
    if (!HasFailure()) {
      std::filesystem::remove_all(m_directory);
    }
  }

  void Deploy(std::size_t aGateways, std::size_t aMegabytes)
  {
    DeployedSiteOptions options;
    options.m_directory = m_directory;
    options.m_store = m_site.Store();
    options.m_gateways = aGateways;
    options.m_memoryMegabytes = aMegabytes;
    if (aGateways == 0) {
      options.m_stagedRunners = { m_runners.front().ListenAddress() };
      options.m_stagedService = "chat";
    }
    m_deployed = std::make_unique<DeployedSite>(options);
    m_process = m_deployed->Start(0);
  }

  void AddBadRunner(const Endless& aSent, const std::string& aService)
  {
    m_runners.emplace_back(aSent.m_first, aSent.m_repeated);
    const std::string id = "bad-" + std::to_string(m_runners.size());
    m_site.Put("servers",
               id,
               { { "service", aService },
                 { "address", m_runners.back().ListenAddress().ToString() },
                 { "zone", "here" },
                 { "slots", 1000 },
                 { "state", "ready" } });
  }

  RawSocket Connect(std::uint16_t aPort = DeployedSite::kFrontPort) const
  {
    return { m_deployed->Vms()[0].m_host, aPort };
  }

  static std::string Request(const std::string& aRoute, const std::string& aId)
  {
    return "POST /" + aRoute +
           "/a HTTP/1.1\r\nHost: x.example\r\nX-Siskindeal-Attempt-Id: " + aId +
           "\r\nAuthorization: Bearer key-1\r\nX-Siskindeal-Deadline-Ms: " +
           std::to_string(kRouteTimeout.count()) +
           "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  }

  bool IsReady() const
  {
    try {
      RawSocket socket = Connect(DeployedSite::kReadyPort);
      socket.Send("GET /siskindeal/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
      return socket.ReadUntil("\r\n").find(" 200 ") != std::string::npos;
    } catch (const std::system_error&) {
      return false;
    }
  }

  // Sends sound requests one after the other, and checks the process.
  void ExpectOthersAreServed()
  {
    for (std::size_t i = 0; i < kSoundRequests; ++i) {
      RawSocket socket = Connect();
      socket.Send(Request("get", "sound"));
      EXPECT_NE(socket.ReadAll().find(" 200 "), std::string::npos)
        << "request " << i;
    }
    EXPECT_TRUE(IsReady());
  }

  void ExpectMemoryWithin(std::size_t aMegabytes)
  {
    EXPECT_FALSE(m_process->m_process->EndsWithin(milliseconds(0)));
    const std::size_t peak = PeakMegabytes(m_process->m_process->Id());
    RecordProperty("peak_megabytes", static_cast<int>(peak));
    std::printf("peak %zu MB\n", peak);
    EXPECT_LE(peak, aMegabytes);
  }

  std::string m_directory;
  SiteStandIn m_site;
  std::list<EndlessServer> m_runners;
  std::unique_ptr<DeployedSite> m_deployed;
  std::shared_ptr<DeployedProcess> m_process;
  std::list<RawSocket> m_callers; // of requests to the bad runners
};

TEST_P(EndlessBytes, GatewayServesOthersWithinItsMemory)
{
  const Endless& sent = EndlessResponses()[GetParam()];
  for (const char* service : { "chat", "chat", "post" }) {
    AddBadRunner(sent, service);
  }
  Deploy(1, kGatewayMegabytes);
  ASSERT_TRUE(Eventually([&] { return IsReady(); }));
  // Half of them on a stream's route, whose events are passed on.
  for (std::size_t i = 0; i < kRequestsToBadRunners; ++i) {
    m_callers.push_back(Connect());
    m_callers.back().Send(Request(i % 2 == 0 ? "chat" : "post", "bad"));
  }
  ExpectOthersAreServed();
  ExpectMemoryWithin(kGatewayMegabytes);
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         EndlessBytes,
                         testing::Range<std::size_t>(0, 10),
                         [](const auto& aInfo) {
                           return EndlessResponses()[aInfo.param].m_name;
                         });

using EndlessCallers = EndlessBytes;

TEST_F(EndlessCallers, BodiesInArrivalStayWithinTheMemory)
{
  Deploy(1, kGatewayMegabytes);
  ASSERT_TRUE(Eventually([&] { return IsReady(); }));
  // Each below max_body_bytes, and none of them complete.
  constexpr std::size_t kCallers = 150;
  const std::string part(3 << 20, 'x');
  std::size_t refused = 0;
  for (std::size_t i = 0; i < kCallers; ++i) {
    m_callers.push_back(Connect());
    m_callers.back().Send(
      "POST /get/a HTTP/1.1\r\nHost: x.example\r\n"
      "X-Siskindeal-Attempt-Id: bad\r\nAuthorization: Bearer key-1\r\n"
      "Content-Length: 4000000\r\n\r\n" +
      part);
  }
  ExpectOthersAreServed();
  ExpectMemoryWithin(kGatewayMegabytes);
  for (RawSocket& caller : m_callers) {
    if (caller.HasInput(milliseconds(0))) {
      EXPECT_NE(caller.ReadUntil("\r\n").find(" 503 "), std::string::npos);
      ++refused;
    }
  }
  EXPECT_GT(refused, 0U);
  EXPECT_LT(refused, kCallers);
}

TEST_P(EndlessBytes, StagerStaysWithinItsMemory)
{
  AddBadRunner(EndlessResponses()[GetParam()], "chat");
  Deploy(0, kStagerMegabytes);
  ASSERT_TRUE(Eventually([&] { return m_process->HasStarted(); }));
  // It asks its runner for a report again and again.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  ExpectMemoryWithin(kStagerMegabytes);
}

} // namespace

} // namespace siskindeal

// Tests how a gateway forwards and authenticates requests and shuts down.

#include "siskindeal/metrics.h"
#include "support/gateway_fixture.h"

#include <cstdlib>

namespace siskindeal {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

TEST_F(GatewayTest, ForwardsRequestUnchangedWithoutKey)
{
  IncomingRequest seen;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    seen = aConnection->Request();
    Answer(aConnection);
  });
  StartAndAwaitReady();
  const std::string answer =
    SendRequest(Request("POST",
                        "/post/a%20b?x=1&&y",
                        "X-Siskindeal-Tenant: forged\r\nX-Other: kept\r\n",
                        "four tees"));
  EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
  EXPECT_NE(answer.find("sig-7"), std::string::npos);
  EXPECT_NE(answer.find("\r\n\r\nbooked"), std::string::npos);
  EXPECT_EQ(seen.m_method, "POST");
  EXPECT_EQ(seen.m_target, "/post/a%20b?x=1&&y");
  EXPECT_EQ(seen.m_body, "four tees");
  EXPECT_EQ(*seen.m_fields.Find("x-other"), "kept");
  EXPECT_EQ(*seen.m_fields.Find("x-siskindeal-tenant"), "pro-shop");
  EXPECT_EQ(*seen.m_fields.Find("x-siskindeal-expect-instance"), "i-1");
  EXPECT_EQ(seen.m_fields.Find("authorization"), nullptr);
  const int left = std::stoi(*seen.m_fields.Find("x-siskindeal-deadline-ms"));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 3000);
}

TEST_F(GatewayTest, ForwardsChunkedBody)
{
  std::string seen;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    seen = aConnection->Request().m_body;
    Answer(aConnection);
  });
  StartAndAwaitReady();
  const std::string answer = SendRequest(
    "POST /post/a HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n"
    "X-Siskindeal-Attempt-Id: id-1\r\nAuthorization: Bearer key-1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n5\r\n tees\r\n0\r\n\r\n");
  EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
  EXPECT_EQ(seen, "four tees");
}

// A service that isn't predicted well must show.
TEST_F(GatewayTest, ErrorOfThePredictionIsObservedOnItsSide)
{
  constexpr milliseconds kDuration{ 400 }; // far above what a new one predicts
  const auto observed = [](const std::string& aSide) {
    const std::string line =
      "siskindeal_gateway_prediction_error_seconds_count{side=\"" + aSide +
      "\"} ";
    const std::string metrics = MetricsText();
    const auto at = metrics.find(line);
    return at == std::string::npos
             ? 0
             : std::atoi(metrics.c_str() + at + line.size());
  };
  const int early = observed("early");
  const int late = observed("late");
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    std::this_thread::sleep_for(kDuration);
    Answer(aConnection);
  });
  StartAndAwaitReady();
  EXPECT_NE(SendRequest(Request("POST", "/post/a")).find(" 200 "),
            std::string::npos);
  EXPECT_EQ(observed("late"), late + 1);
  EXPECT_EQ(observed("early"), early);
}

struct RefusalCase
{
  const char* m_name;
  std::string m_request;
  const char* m_status;
};

TEST_F(GatewayTest, RejectsInvalidRequests)
{
  std::atomic<int> runs = 0;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    ++runs;
    Answer(aConnection);
  });
  StartAndAwaitReady();
  const std::string head = "POST /post/a HTTP/1.1\r\nHost: x.example\r\n"
                           "Connection: close\r\n";
  const RefusalCase cases[] = {
    { "no route", Request("POST", "/none/a"), " 404 " },
    { "no key", head + "Content-Length: 0\r\n\r\n", " 401 " },
    { "unknown key",
      head + "Authorization: Bearer other\r\nContent-Length: 0\r\n\r\n",
      " 401 " },
    { "no host", "GET /post/a HTTP/1.1\r\n\r\n", " 400 " },
    { "not HTTP", "hello\r\n\r\n", " 400 " },
    { "a header line without a name", head + ": x\r\n\r\n", " 400 " },
    { "a null in a header",
      head + std::string("A: b\0c\r\n\r\n", 10),
      " 400 " },
    { "two lengths",
      head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      " 400 " },
    { "length and chunks",
      head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      " 400 " },
    { "a chunk without a size",
      head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
      " 400 " },
    { "headers too large",
      head + "A: " + std::string(5000, 'a') + "\r\n\r\n",
      " 431 " },
    { "a body too large", head + "Content-Length: 10001\r\n\r\n", " 413 " },
  };
  for (const RefusalCase& refusal : cases) {
    SCOPED_TRACE(refusal.m_name);
    const std::string answer = SendRequest(refusal.m_request);
    EXPECT_NE(answer.substr(0, 20).find(refusal.m_status), std::string::npos)
      << answer;
  }
  EXPECT_EQ(runs, 0);
}

TEST_F(GatewayTest, IsNotReadyBeforeFirstConfiguration)
{
  m_site.SetSilent(true);
  Start();
  EXPECT_FALSE(IsReady());
  EXPECT_NE(SendRequest(Request("POST", "/post/a")).find(" 503 "),
            std::string::npos);
}

TEST_F(GatewayTest, RevokedKeyIsRejected)
{
  m_site.AddRunner(
    "i-1", "get", [](const auto& aConnection) { Answer(aConnection); });
  StartAndAwaitReady();
  EXPECT_NE(SendRequest(Request("GET", "/get/a")).find(" 200 "),
            std::string::npos);
  json config = ConfigJson(2);
  config["tenants"][0]["api_keys"] = { "key-2" };
  m_site.Put("config", "main", config);
  EXPECT_TRUE(Eventually([&] {
    return SendRequest(Request("GET", "/get/a")).find(" 401 ") !=
           std::string::npos;
  }));
  // An older version that arrives late is ignored.
  m_site.Put("config", "main", ConfigJson(1));
  ASSERT_TRUE(m_site.AwaitWatched("config"));
  EXPECT_NE(SendRequest(Request("GET", "/get/a")).find(" 401 "),
            std::string::npos);
}

// A configuration without a list of teams opens its routes; an empty list names
// no team that may use them.
TEST_F(GatewayTest, RemovalOfTheLastTeamOpensNoRoute)
{
  m_site.AddRunner(
    "i-1", "get", [](const auto& aConnection) { Answer(aConnection); });
  StartAndAwaitReady();
  const auto statusIs = [&](const char* aStatus) {
    return SendRequest(Request("GET", "/get/a")).find(aStatus) !=
           std::string::npos;
  };
  ASSERT_TRUE(Eventually([&] { return statusIs(" 200 "); }));
  json config = ConfigJson(2);
  config["tenants"] = json::array();
  m_site.Put("config", "main", config);
  EXPECT_TRUE(Eventually([&] { return statusIs(" 401 "); }));
  config = ConfigJson(3);
  config.erase("tenants");
  m_site.Put("config", "main", config);
  EXPECT_TRUE(Eventually([&] { return statusIs(" 200 "); }));
}

TEST_F(GatewayTest, KeysAreRejectedWhenConfigurationIsStale)
{
  m_site.AddRunner(
    "i-1", "get", [](const auto& aConnection) { Answer(aConnection); });
  StartAndAwaitReady();
  m_site.SetSilent(true);
  EXPECT_TRUE(Eventually([&] {
    return SendRequest(Request("GET", "/get/a")).find(" 503 ") !=
           std::string::npos;
  }));
  EXPECT_NE(SendRequest(Request("GET", "/none/a")).find(" 503 "),
            std::string::npos);
  m_site.SetSilent(false);
  EXPECT_TRUE(Eventually([&] {
    return SendRequest(Request("GET", "/get/a")).find(" 200 ") !=
           std::string::npos;
  }));
}

TEST_F(GatewayTest, CallerDisconnectCancelsRequest)
{
  std::atomic<bool> began = false;
  std::atomic<bool> ended = false;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    aConnection->m_onDisconnect = [&] { ended = true; };
    began = true;
  });
  StartAndAwaitReady();
  {
    RawSocket socket(m_gateway->CallersPort());
    socket.Send(Request("POST", "/post/a"));
    EXPECT_TRUE(Eventually([&] { return began.load(); }));
  }
  EXPECT_TRUE(Eventually([&] { return ended.load(); }));
}

TEST_F(GatewayTest, PipelinedRequestsAreAnsweredInOrder)
{
  m_site.AddRunner("i-1", "post", [](const auto& aConnection) {
    Answer(aConnection, 200, aConnection->Request().m_body);
  });
  StartAndAwaitReady();
  std::string request = Request("POST", "/post/a", {}, "one");
  request.erase(request.find("Connection: close\r\n"), 19);
  std::string second = request;
  second.replace(second.size() - 3, 3, "two");
  RawSocket socket(m_gateway->CallersPort());
  socket.Send(request + second);
  std::string answers = socket.ReadUntil("one");
  answers += socket.ReadUntil("two");
  EXPECT_NE(answers.find("\r\n\r\none"), std::string::npos) << answers;
  EXPECT_NE(answers.find("\r\n\r\ntwo"), std::string::npos) << answers;
}

TEST_F(GatewayTest, DrainingRunnerGetsNoRequests)
{
  std::atomic<int> runs = 0;
  const auto handler = [&](const auto& aConnection) {
    ++runs;
    Answer(aConnection);
  };
  const Address address = m_site.AddRunner("i-1", "get", handler);
  StartAndAwaitReady();
  EXPECT_NE(SendRequest(Request("GET", "/get/a")).find(" 200 "),
            std::string::npos);
  m_site.Put("servers",
             "i-1",
             { { "service", "get" },
               { "address", address.ToString() },
               { "state", "draining" } });
  EXPECT_TRUE(Eventually([&] {
    return SendRequest(Request("GET", "/get/a")).find(" 503 ") !=
           std::string::npos;
  }));
  const int before = runs;
  SendRequest(Request("GET", "/get/a"));
  EXPECT_EQ(runs, before);
}

TEST_F(GatewayTest, GracefulShutdownCompletesRequests)
{
  std::shared_ptr<ServerConnection> running;
  std::atomic<bool> began = false;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    running = aConnection;
    began = true;
  });
  StartAndAwaitReady();
  RawSocket socket(m_gateway->CallersPort());
  socket.Send(Request("POST", "/post/a"));
  EXPECT_TRUE(Eventually([&] { return began.load(); }));
  m_gateway->RequestShutdown();
  EXPECT_TRUE(Eventually([&] {
    try {
      return !IsReady();
    } catch (const std::system_error&) {
      return true;
    }
  }));
  m_site.RunOnLoop([&] { Answer(running); });
  EXPECT_NE(socket.ReadAll().find("\r\n\r\nbooked"), std::string::npos);
}

TEST_F(GatewayTest, EndOfGracePeriodAnswersWhatIsUnfinished)
{
  m_graceSeconds = 1;
  std::atomic<int> began = 0;
  m_site.AddRunner("i-1", "post", [&](const auto&) { ++began; });
  StartAndAwaitReady();
  RawSocket waiting(m_gateway->CallersPort());
  waiting.Send(Request("POST", "/post/a"));
  EXPECT_TRUE(Eventually([&] { return began == 1; }));
  const std::string request = Request("POST", "/post/a", {}, "four tees");
  RawSocket inHead(m_gateway->CallersPort());
  inHead.Send(request.substr(0, 20));
  RawSocket inBody(m_gateway->CallersPort());
  inBody.Send(request.substr(0, request.size() - 4));
  ASSERT_TRUE(IsReady() && IsReady()); // both have been accepted meanwhile
  m_gateway->RequestShutdown();
  EXPECT_NE(waiting.ReadAll().find(" 504 "), std::string::npos);
  EXPECT_NE(inHead.ReadAll().find(" 503 "), std::string::npos);
  EXPECT_NE(inBody.ReadAll().find(" 503 "), std::string::npos);
  EXPECT_EQ(began, 1);
}

TEST_F(GatewayTest, DirectoryListsTheGateway)
{
  StartAndAwaitReady();
  EXPECT_NE(QueryDirectory().find("\"addresses\":[\"127.0.0.1:"),
            std::string::npos);
}

TEST_F(GatewayTest, ReloadsSettingsOnSighup)
{
  m_settingsFile =
    testing::TempDir() + "gateway_" + std::to_string(getpid()) + ".toml";
  WriteSettings("");
  StartAndAwaitReady();
  EXPECT_NE(QueryDirectory().find("\"ttl_s\":0.05"), std::string::npos);
  WriteSettings("answer_lifetime = \"soon\"\n"); // invalid, ignored
  ASSERT_EQ(kill(getpid(), SIGHUP), 0);
  WriteSettings("answer_lifetime = \"750ms\"\n");
  EXPECT_TRUE(Eventually([&] {
    kill(getpid(), SIGHUP);
    return QueryDirectory().find("\"ttl_s\":0.75") != std::string::npos;
  }));
  std::remove(m_settingsFile.c_str());
}

} // namespace

} // namespace siskindeal

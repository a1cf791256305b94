// A gateway over loopback, between raw callers and a scripted platform.

#include "gateway/gateway_p.h"
#include "support/raw_socket.h"
#include "support/site.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace siskindeal {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kGuard{ 20 };

template<typename Condition>
bool
Eventually(Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kGuard;
  while (std::chrono::steady_clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return false;
}

json
RouteJson(const std::string& aName, const std::string& aKind, bool aResumable)
{
  return { { "name", aName },
           { "host", "x.example" },
           { "path_prefix", "/" + aName + "/" },
           { "kind", aKind },
           { "service", aName },
           { "timeout_ms", 4000 },
           { "target_latency_ms", 1500 },
           { "max_attempts", 2 },
           { "resumable", aResumable } };
}

json
ConfigJson(std::uint64_t aVersion)
{
  json services = json::array();
  for (const char* name : { "chat", "post", "get" }) {
    services.push_back({ { "name", name } });
  }
  return {
    { "version", aVersion },
    { "routes",
      { RouteJson("chat", "streaming", true),
        RouteJson("post", "non_idempotent", false),
        RouteJson("get", "idempotent", false) } },
    { "services", services },
    { "tenants",
      { { { "name", "pro-shop" }, { "api_keys", { "key-1", "key-2" } } } } },
    { "limits", { { "max_header_bytes", 4000 }, { "max_body_bytes", 10000 } } }
  };
}

class GatewayTest : public testing::Test
{
protected:
  void SetUp() override { m_site.Put("config", "main", ConfigJson(1)); }

  void TearDown() override
  {
    if (m_gateway) {
      m_gateway->AskToLeave();
      m_thread.join();
    }
  }

  void Start()
  {
    GatewaySettings settings;
    settings.m_node.m_vm = "edge-1";
    settings.m_node.m_place = "here";
    settings.m_node.m_rpc = { "127.0.0.1", 0 };
    settings.m_node.m_http = { "127.0.0.1", 0 };
    settings.m_gateway.m_ready = { "127.0.0.1", 0 };
    settings.m_gateway.m_directory = { "127.0.0.1", 0 };
    settings.m_gateway.m_answerLifetime = milliseconds(50);
    settings.m_gateway.m_graceSeconds = 5;
    settings.m_platform.m_url = "http://" + m_site.Store().ToString();
    m_gateway = std::make_unique<Gateway>(settings);
    m_thread = std::thread([this] { m_gateway->Run(); });
  }

  void StartReady()
  {
    Start();
    ASSERT_TRUE(Eventually([&] { return Ready(); }));
  }

  bool Ready()
  {
    RawSocket socket(m_gateway->ReadyPort());
    socket.Send("GET /siskindeal/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    return socket.ReadUntil("\r\n").find(" 200 ") != std::string::npos;
  }

  std::string Ask(const std::string& aRequest)
  {
    RawSocket socket(m_gateway->CallersPort());
    socket.Send(aRequest);
    return socket.ReadAll();
  }

  static std::string Request(const std::string& aMethod,
                             const std::string& aPath,
                             const std::string& aMore = {},
                             const std::string& aBody = {})
  {
    return aMethod + " " + aPath +
           " HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n"
           "X-Siskindeal-Attempt-Id: id-1\r\nAuthorization: Bearer key-1\r\n"
           "X-Siskindeal-Deadline-Ms: 3000\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n" + aMore + "\r\n" + aBody;
  }

  static HttpFields Signed()
  {
    HttpFields fields;
    fields.Add("X-Siskindeal-Attempt-Id", "id-1");
    fields.Add("X-Siskindeal-Runner-Signature", "sig-7");
    return fields;
  }

  static void Answer(const std::shared_ptr<ServerConnection>& aConnection,
                     int aStatus = 200,
                     const std::string& aBody = "booked")
  {
    aConnection->SendWhole(aStatus, {}, Signed(), aBody);
  }

  static void RefuseNotRun(const std::shared_ptr<ServerConnection>& aConnection)
  {
    HttpFields fields = Signed();
    fields.Add("X-Siskindeal-Not-Executed", "1");
    aConnection->SendWhole(503, {}, fields, "");
  }

  static HttpFields StreamFields()
  {
    HttpFields fields = Signed();
    fields.Add("Content-Type", "text/event-stream");
    return fields;
  }

  SiteStandIn m_site;
  std::unique_ptr<Gateway> m_gateway;
  std::thread m_thread;
};

TEST_F(GatewayTest, PassesARequestOnUnchangedAndKeepsTheKey)
{
  IncomingRequest seen;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    seen = aConnection->Request();
    Answer(aConnection);
  });
  StartReady();
  const std::string answer =
    Ask(Request("POST",
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

TEST_F(GatewayTest, ABodyInChunksArrivesWhole)
{
  std::string seen;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    seen = aConnection->Request().m_body;
    Answer(aConnection);
  });
  StartReady();
  const std::string answer = Ask(
    "POST /post/a HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n"
    "X-Siskindeal-Attempt-Id: id-1\r\nAuthorization: Bearer key-1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n5\r\n tees\r\n0\r\n\r\n");
  EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
  EXPECT_EQ(seen, "four tees");
}

struct RefusalCase
{
  const char* m_name;
  std::string m_request;
  const char* m_status;
};

TEST_F(GatewayTest, RefusesWhatItMust)
{
  std::atomic<int> runs = 0;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    ++runs;
    Answer(aConnection);
  });
  StartReady();
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
    const std::string answer = Ask(refusal.m_request);
    EXPECT_NE(answer.substr(0, 20).find(refusal.m_status), std::string::npos)
      << answer;
  }
  EXPECT_EQ(runs, 0);
}

TEST_F(GatewayTest, KnowsNothingYetAndSaysSo)
{
  m_site.SetSilent(true);
  Start();
  EXPECT_FALSE(Ready());
  EXPECT_NE(Ask(Request("POST", "/post/a")).find(" 503 "), std::string::npos);
}

TEST_F(GatewayTest, AKeyThatIsTakenAwayIsRefused)
{
  m_site.AddRunner(
    "i-1", "get", [](const auto& aConnection) { Answer(aConnection); });
  StartReady();
  EXPECT_NE(Ask(Request("GET", "/get/a")).find(" 200 "), std::string::npos);
  json config = ConfigJson(2);
  config["tenants"][0]["api_keys"] = { "key-2" };
  m_site.Put("config", "main", config);
  EXPECT_TRUE(Eventually([&] {
    return Ask(Request("GET", "/get/a")).find(" 401 ") != std::string::npos;
  }));
  // An older version that comes late changes nothing.
  m_site.Put("config", "main", ConfigJson(1));
  m_site.Put("config", "main", [&] {
    json newer = config;
    newer["version"] = 3;
    newer["routes"][0]["path_prefix"] = "/talk/";
    return newer;
  }());
  EXPECT_TRUE(Eventually([&] {
    return Ask(Request("GET", "/talk/a")).find(" 401 ") != std::string::npos;
  }));
  EXPECT_NE(Ask(Request("GET", "/get/a")).find(" 401 "), std::string::npos);
}

TEST_F(GatewayTest, KeysAreRefusedOnceTheConfigurationMayBeOld)
{
  m_site.AddRunner(
    "i-1", "get", [](const auto& aConnection) { Answer(aConnection); });
  StartReady();
  m_site.SetSilent(true);
  EXPECT_TRUE(Eventually([&] {
    return Ask(Request("GET", "/get/a")).find(" 503 ") != std::string::npos;
  }));
  EXPECT_NE(Ask(Request("GET", "/none/a")).find(" 503 "), std::string::npos);
  m_site.SetSilent(false);
  EXPECT_TRUE(Eventually([&] {
    return Ask(Request("GET", "/get/a")).find(" 200 ") != std::string::npos;
  }));
}

struct FaultCase
{
  const char* m_name;
  const char* m_path;
  SiteStandIn::Play m_fault; // of the first run; later ones answer
  const char* m_status;      // that the caller gets
  int m_runs;
};

void
CloseEarly(const std::shared_ptr<ServerConnection>& aConnection)
{
  aConnection->BreakOff();
}

TEST_F(GatewayTest, EachFaultOfARunnerHasItsOutcome)
{
  const auto unsignedAnswer = [](const auto& aConnection) {
    HttpFields fields;
    fields.Add("X-Siskindeal-Attempt-Id", "id-1");
    aConnection->SendWhole(200, {}, fields, "whose?");
  };
  const auto shortBody = [](const auto& aConnection) {
    aConnection->SendHead(200, {}, Signed(), 100);
    aConnection->SendPart("half");
    aConnection->BreakOff();
  };
  const auto fails = [](const auto& aConnection) { Answer(aConnection, 500); };
  const auto plainBusy = [](const auto& aConnection) {
    Answer(aConnection, 503); // says nothing of whether it ran
  };
  const FaultCase cases[] = {
    { "refused, may go on", "/get/a", RefuseNotRun, " 200 ", 2 },
    { "refused, not to be repeated", "/post/a", RefuseNotRun, " 200 ", 2 },
    { "closed", "/get/a", CloseEarly, " 200 ", 2 },
    { "closed, not to be repeated", "/post/a", CloseEarly, " 502 ", 1 },
    { "cut short", "/get/a", shortBody, " 200 ", 2 },
    { "cut short, not to be repeated", "/post/a", shortBody, " 502 ", 1 },
    { "unsigned", "/get/a", unsignedAnswer, " 200 ", 2 },
    { "unsigned, not to be repeated", "/post/a", unsignedAnswer, " 502 ", 1 },
    { "failed", "/get/a", fails, " 200 ", 2 },
    { "failed, not to be repeated", "/post/a", fails, " 500 ", 1 },
    { "busy without a promise", "/post/a", plainBusy, " 502 ", 1 },
  };
  std::atomic<int> runs = 0;
  const FaultCase* present = nullptr;
  const auto play = [&](const auto& aConnection) {
    if (runs++ == 0) {
      present->m_fault(aConnection);
    } else {
      Answer(aConnection);
    }
  };
  for (const char* service : { "get", "post" }) {
    m_site.AddRunner(std::string("i-1-") + service, service, play);
    m_site.AddRunner(std::string("i-2-") + service, service, play);
  }
  StartReady();
  for (const FaultCase& fault : cases) {
    SCOPED_TRACE(fault.m_name);
    runs = 0;
    present = &fault;
    const std::string answer = Ask(Request("POST", fault.m_path, {}, "body"));
    EXPECT_NE(answer.substr(0, 20).find(fault.m_status), std::string::npos)
      << answer;
    EXPECT_EQ(runs, fault.m_runs);
  }
}

TEST_F(GatewayTest, WhatNoRunnerTakesIsRefusedWithATimeToComeBack)
{
  m_site.AddRunner("i-1", "post", RefuseNotRun);
  StartReady();
  const std::string answer = Ask(Request("POST", "/post/a"));
  EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(answer.find("sig-7"), std::string::npos);
}

TEST_F(GatewayTest, AnAnswerToAnEarlierRequestIsLeftOut)
{
  const RawServer runner([](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send("HTTP/1.1 200 OK\r\nX-Siskindeal-Attempt-Id: other\r\n"
                 "X-Siskindeal-Runner-Signature: s\r\nContent-Length: 5\r\n\r\n"
                 "wrong"
                 "HTTP/1.1 200 OK\r\nX-Siskindeal-Attempt-Id: id-1\r\n"
                 "X-Siskindeal-Runner-Signature: s\r\nContent-Length: 5\r\n\r\n"
                 "right and more that belongs to nobody");
    aSocket.ReadAll();
  });
  m_site.Put("servers",
             "i-1",
             { { "service", "post" },
               { "address", "127.0.0.1:" + std::to_string(runner.Port()) },
               { "state", "ready" } });
  StartReady();
  for (int i = 0; i < 3; ++i) {
    const std::string answer = Ask(Request("POST", "/post/a"));
    EXPECT_NE(answer.find("\r\n\r\nright"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("nobody"), std::string::npos);
  }
}

TEST_F(GatewayTest, AStreamThatBreaksInsideAnEventGoesOnElsewhere)
{
  std::atomic<int> runs = 0;
  std::string goneOnAfter;
  const auto play = [&](const std::shared_ptr<ServerConnection>& aConnection) {
    if (runs++ == 0) {
      aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
      aConnection->SendPart("id: 1\ndata: a\n\nid: 2\nda");
      aConnection->BreakOff();
      return;
    }
    goneOnAfter = *aConnection->Request().m_fields.Find("last-event-id");
    HttpFields fields = StreamFields();
    fields.Add("X-Second", "run");
    aConnection->SendHead(200, {}, fields, std::nullopt);
    aConnection->SendPart("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    aConnection->SendPart("id: 3\ndata: c\n\n");
    aConnection->SendEnd();
  };
  m_site.AddRunner("i-1", "chat", play);
  m_site.AddRunner("i-2", "chat", play);
  StartReady();
  const std::string answer = Ask(Request("POST", "/chat/a"));
  EXPECT_EQ(goneOnAfter, "1");
  EXPECT_EQ(answer.find("X-Second"), std::string::npos);
  for (const char* event : { "data: a", "data: b", "data: c" }) {
    EXPECT_NE(answer.find(event), std::string::npos) << answer;
    EXPECT_EQ(answer.find(event), answer.rfind(event)) << answer;
  }
  EXPECT_EQ(answer.substr(answer.size() - 5), "0\r\n\r\n");
}

TEST_F(GatewayTest, AStreamThatCantGoOnDoesntLookComplete)
{
  m_site.AddRunner("i-1", "chat", [](const auto& aConnection) {
    aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
    aConnection->SendPart("id: 1\ndata: a\n\n");
    aConnection->BreakOff();
  });
  StartReady();
  const std::string answer = Ask(Request("POST", "/chat/a"));
  EXPECT_NE(answer.find("data: a"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(GatewayTest, ACallerThatLeavesEndsItsRun)
{
  std::atomic<bool> began = false;
  std::atomic<bool> ended = false;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    aConnection->m_onGone = [&] { ended = true; };
    began = true;
  });
  StartReady();
  {
    RawSocket socket(m_gateway->CallersPort());
    socket.Send(Request("POST", "/post/a"));
    EXPECT_TRUE(Eventually([&] { return began.load(); }));
  }
  EXPECT_TRUE(Eventually([&] { return ended.load(); }));
}

TEST_F(GatewayTest, AKeptConnectionAnswersRequestsInTurn)
{
  m_site.AddRunner("i-1", "post", [](const auto& aConnection) {
    Answer(aConnection, 200, aConnection->Request().m_body);
  });
  StartReady();
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

TEST_F(GatewayTest, ADrainingRunnerGetsNoMore)
{
  std::atomic<int> runs = 0;
  const auto play = [&](const auto& aConnection) {
    ++runs;
    Answer(aConnection);
  };
  const Address address = m_site.AddRunner("i-1", "get", play);
  StartReady();
  EXPECT_NE(Ask(Request("GET", "/get/a")).find(" 200 "), std::string::npos);
  m_site.Put("servers",
             "i-1",
             { { "service", "get" },
               { "address", address.ToString() },
               { "state", "draining" } });
  EXPECT_TRUE(Eventually([&] {
    return Ask(Request("GET", "/get/a")).find(" 503 ") != std::string::npos;
  }));
  const int before = runs;
  Ask(Request("GET", "/get/a"));
  EXPECT_EQ(runs, before);
}

TEST_F(GatewayTest, APlannedStopCutsOffNothing)
{
  std::shared_ptr<ServerConnection> running;
  std::atomic<bool> began = false;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    running = aConnection;
    began = true;
  });
  StartReady();
  RawSocket socket(m_gateway->CallersPort());
  socket.Send(Request("POST", "/post/a"));
  EXPECT_TRUE(Eventually([&] { return began.load(); }));
  m_gateway->AskToLeave();
  EXPECT_TRUE(Eventually([&] {
    try {
      return !Ready();
    } catch (const std::system_error&) {
      return true;
    }
  }));
  m_site.On([&] { Answer(running); });
  EXPECT_NE(socket.ReadAll().find("\r\n\r\nbooked"), std::string::npos);
}

TEST_F(GatewayTest, TheDirectoryNamesTheGateway)
{
  StartReady();
  RawSocket socket(m_gateway->DirectoryPort());
  socket.Send("GET /siskindeal/resolve?name=x.example HTTP/1.1\r\nHost: d\r\n"
              "Connection: close\r\n\r\n");
  EXPECT_NE(socket.ReadAll().find("\"addresses\":[\"127.0.0.1:"),
            std::string::npos);
}

} // namespace

} // namespace siskindeal

// Tests how a gateway handles responses and failures of runners.

#include "siskindeal/metrics.h"
#include "support/gateway_fixture.h"

namespace siskindeal {

namespace {

using nlohmann::json;

struct FaultCase
{
  const char* m_name;
  const char* m_path;
  SiteStandIn::Play m_fault; // of the first attempt; later ones respond
  const char* m_status;      // in the caller's response
  int m_runs;
};

void
CloseWithoutAnswer(const std::shared_ptr<ServerConnection>& aConnection)
{
  aConnection->AbortResponse();
}

TEST_F(GatewayTest, RunnerFaultsMapToOutcomes)
{
  const auto unsignedAnswer = [](const auto& aConnection) {
    HttpFields fields;
    fields.Add("X-Siskindeal-Attempt-Id", "id-1");
    aConnection->SendResponse(200, {}, fields, "whose?");
  };
  const auto shortBody = [](const auto& aConnection) {
    aConnection->SendHead(200, {}, SignedFields(), 100);
    aConnection->SendPart("half");
    aConnection->AbortResponse();
  };
  const auto serverError = [](const auto& aConnection) {
    Answer(aConnection, 500);
  };
  const auto plainBusy = [](const auto& aConnection) {
    Answer(aConnection, 503); // does not indicate whether it executed
  };
  const FaultCase cases[] = {
    { "rejected, repeatable", "/get/a", RejectNotExecuted, " 200 ", 2 },
    { "rejected, not repeatable", "/post/a", RejectNotExecuted, " 200 ", 2 },
    { "closed", "/get/a", CloseWithoutAnswer, " 200 ", 2 },
    { "closed, not repeatable", "/post/a", CloseWithoutAnswer, " 502 ", 1 },
    { "truncated", "/get/a", shortBody, " 200 ", 2 },
    { "truncated, not repeatable", "/post/a", shortBody, " 502 ", 1 },
    { "unsigned", "/get/a", unsignedAnswer, " 200 ", 2 },
    { "unsigned, not repeatable", "/post/a", unsignedAnswer, " 502 ", 1 },
    { "failed", "/get/a", serverError, " 200 ", 2 },
    { "failed, not repeatable", "/post/a", serverError, " 500 ", 1 },
    { "busy, may have executed", "/post/a", plainBusy, " 502 ", 1 },
  };
  std::atomic<int> runs = 0;
  const FaultCase* current = nullptr;
  const auto handler = [&](const auto& aConnection) {
    if (runs++ == 0) {
      current->m_fault(aConnection);
    } else {
      Answer(aConnection);
    }
  };
  for (const char* service : { "get", "post" }) {
    m_site.AddRunner(std::string("i-1-") + service, service, handler);
    m_site.AddRunner(std::string("i-2-") + service, service, handler);
  }
  StartAndAwaitReady();
  for (const FaultCase& fault : cases) {
    SCOPED_TRACE(fault.m_name);
    runs = 0;
    current = &fault;
    const std::string answer =
      SendRequest(Request("POST", fault.m_path, {}, "body"));
    EXPECT_NE(answer.substr(0, 20).find(fault.m_status), std::string::npos)
      << answer;
    EXPECT_EQ(runs, fault.m_runs);
  }
}

TEST_F(GatewayTest, RequestRejectedByAllRunnersGetsRetryAfter)
{
  m_site.AddRunner("i-1", "post", RejectNotExecuted);
  StartAndAwaitReady();
  const std::string answer = SendRequest(Request("POST", "/post/a"));
  EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(answer.find("sig-7"), std::string::npos);
}

// A response that a runner sends until its connection is closed.
struct EndlessCase
{
  const char* m_name;
  const char* m_service;
  std::string m_begin;
  std::string m_repeated;
};

TEST_F(GatewayTest, ResponseWithoutAnEndIsCutOff)
{
  const std::string head = "HTTP/1.1 200 OK\r\n"
                           "X-Siskindeal-Attempt-Id: id-1\r\n"
                           "X-Siskindeal-Runner-Signature: s\r\n";
  const std::string stream = head + "Content-Type: text/event-stream\r\n";
  const std::string noise(16 << 10, 'x');
  const std::string chunk = "4000\r\n" + noise + "\r\n";
  const std::vector<EndlessCase> cases = {
    { "no response at all", "post", "", noise },
    { "field", "post", "HTTP/1.1 200 OK\r\nX-A: ", noise },
    { "fields", "post", "HTTP/1.1 200 OK\r\n", "X-A: " + noise + "\r\n" },
    { "body until close", "post", head + "\r\n", noise },
    { "chunks", "post", head + "Transfer-Encoding: chunked\r\n\r\n", chunk },
    { "event until close", "chat", stream + "\r\n", noise },
    { "event in chunks",
      "chat",
      stream + "Transfer-Encoding: chunked\r\n\r\n",
      chunk },
    { "repeated event",
      "chat",
      stream + "\r\nid: 1\ndata: a\n\n",
      "id: 1\n\n" },
    { "informational responses",
      "post",
      "",
      "HTTP/1.1 102 Processing\r\n\r\n" },
    { "response to another request",
      "post",
      "HTTP/1.1 200 OK\r\nX-Siskindeal-Attempt-Id: other\r\n\r\n",
      noise },
  };
  // Includes what the buffers of the connection hold.
  constexpr std::size_t kMaxSent = 48 << 20;
  StartAndAwaitReady();
  for (const EndlessCase& one : cases) {
    SCOPED_TRACE(one.m_name);
    std::atomic<std::size_t> sent = 0;
    std::string repeated;
    while (repeated.size() < noise.size()) {
      repeated += one.m_repeated;
    }
    const RawServer runner([&](RawSocket& aSocket, int) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send(one.m_begin);
      while (sent < kMaxSent && aSocket.Send(repeated)) {
        sent += repeated.size();
      }
    });
    m_site.Put("servers",
               "i-1",
               { { "service", one.m_service },
                 { "address", "127.0.0.1:" + std::to_string(runner.Port()) },
                 { "state", "ready" } });
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 1; }));
    const std::string path = "/" + std::string(one.m_service) + "/a";
    const std::string answer = SendRequest(Request("POST", path));
    EXPECT_LT(sent, kMaxSent);
    EXPECT_EQ(answer.find("\r\n0\r\n"), std::string::npos)
      << "must not look complete";
    m_site.Remove("servers", "i-1");
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
  }
}

TEST_F(GatewayTest, AnswerToEarlierRequestIsDropped)
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
  StartAndAwaitReady();
  for (int i = 0; i < 3; ++i) {
    const std::string answer = SendRequest(Request("POST", "/post/a"));
    EXPECT_NE(answer.find("\r\n\r\nright"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("nobody"), std::string::npos);
  }
}

TEST_F(GatewayTest, InterruptedStreamResumesAtAnotherRunner)
{
  std::atomic<int> runs = 0;
  std::string resumedAfter;
  const auto handler =
    [&](const std::shared_ptr<ServerConnection>& aConnection) {
      if (runs++ == 0) {
        aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
        aConnection->SendPart("id: 1\ndata: a\n\nid: 2\nda");
        aConnection->AbortResponse();
        return;
      }
      resumedAfter = *aConnection->Request().m_fields.Find("last-event-id");
      HttpFields fields = StreamFields();
      fields.Add("X-Second", "run");
      aConnection->SendHead(200, {}, fields, std::nullopt);
      aConnection->SendPart("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      aConnection->SendPart("id: 3\ndata: c\n\n");
      aConnection->SendEnd();
    };
  m_site.AddRunner("i-1", "chat", handler);
  m_site.AddRunner("i-2", "chat", handler);
  StartAndAwaitReady();
  const std::string answer = SendRequest(Request("POST", "/chat/a"));
  EXPECT_EQ(resumedAfter, "1");
  EXPECT_EQ(answer.find("X-Second"), std::string::npos);
  for (const char* event : { "data: a", "data: b", "data: c" }) {
    EXPECT_NE(answer.find(event), std::string::npos) << answer;
    EXPECT_EQ(answer.find(event), answer.rfind(event)) << answer;
  }
  EXPECT_EQ(answer.substr(answer.size() - 5), "0\r\n\r\n");
}

TEST_F(GatewayTest, UnresumableStreamIsAborted)
{
  m_site.AddRunner("i-1", "chat", [](const auto& aConnection) {
    aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
    aConnection->SendPart("id: 1\ndata: a\n\n");
    aConnection->AbortResponse();
  });
  StartAndAwaitReady();
  const std::string answer = SendRequest(Request("POST", "/chat/a"));
  EXPECT_NE(answer.find("data: a"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
}

// The gateway must not send a response head of its own inside the stream.
TEST_F(GatewayTest, StreamIsAbortedWhenResumptionIsRejected)
{
  for (const int status : { 400, 421, 429, 503, 500 }) {
    SCOPED_TRACE(status);
    std::atomic<int> runs = 0;
    const auto handler =
      [&](const std::shared_ptr<ServerConnection>& aConnection) {
        if (runs++ == 0) {
          aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
          aConnection->SendPart("id: 1\ndata: a\n\nid: 2\nda");
          aConnection->AbortResponse();
          return;
        }
        HttpFields fields = SignedFields();
        fields.Add("X-Siskindeal-Not-Executed", "1");
        aConnection->SendResponse(status, {}, fields, "");
      };
    const std::string id = "i-" + std::to_string(status);
    m_site.AddRunner(id + "-1", "chat", handler);
    m_site.AddRunner(id + "-2", "chat", handler);
    if (!m_gateway) {
      StartAndAwaitReady();
    }
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
    const std::string answer = SendRequest(Request("POST", "/chat/a"));
    EXPECT_EQ(runs, 2);
    EXPECT_NE(answer.find("data: a"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
    EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos) << answer;
    m_site.Remove("servers", id + "-1");
    m_site.Remove("servers", id + "-2");
    ASSERT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
  }
}

// A runner rejects requests that expect any version but the one it holds, even
// an older one.
TEST_F(GatewayTest, RequestExpectsTheRunnersVersionOnceWeightsAreDue)
{
  // The version is due 0.1 s after its publication.
  m_versionWithin = std::chrono::milliseconds(1100);
  std::string expected;
  const auto handler = [&](const auto& aConnection) {
    const std::string* version =
      aConnection->Request().m_fields.Find("x-siskindeal-expect-version");
    expected = version == nullptr ? "none" : *version;
    Answer(aConnection);
  };
  const auto holds = [](int aVersion) {
    return json{ { "models",
                   { { { "name", "m" }, { "version", aVersion } } } } };
  };
  const std::string request =
    Request("GET", "/get/a", "X-Siskindeal-Model: m\r\n");
  m_site.AddRunner("i-1", "get", handler, holds(1));
  StartAndAwaitReady();
  EXPECT_NE(SendRequest(request).find(" 200 "), std::string::npos);
  EXPECT_EQ(expected, "none");
  m_site.Put("versions", "m", { { "model", "m" }, { "version", 2 } });
  EXPECT_TRUE(Eventually(
    [&] { return SendRequest(request).find(" 503 ") != std::string::npos; }));
  m_site.AddRunner("i-3", "get", handler, holds(3));
  EXPECT_TRUE(Eventually(
    [&] { return SendRequest(request).find(" 200 ") != std::string::npos; }));
  EXPECT_EQ(expected, "3");
}

TEST_F(GatewayTest, VersionsNamedInARowDoNotLetOldWeightsRun)
{
  m_versionWithin = std::chrono::milliseconds(4500);
  m_site.AddRunner(
    "i-1",
    "get",
    [](const auto& aConnection) { Answer(aConnection); },
    json{ { "models", { { { "name", "m" }, { "version", 1 } } } } });
  StartAndAwaitReady();
  const std::string request =
    Request("GET", "/get/a", "X-Siskindeal-Model: m\r\n");
  int version = 1;
  EXPECT_TRUE(Eventually([&] {
    m_site.Put("versions", "m", { { "model", "m" }, { "version", ++version } });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return SendRequest(request).find(" 503 ") != std::string::npos;
  }));
}

TEST_F(GatewayTest, StreamDoesNotBeginLateOnWeightsThatBecameDue)
{
  m_versionWithin = std::chrono::milliseconds(1100);
  std::vector<std::shared_ptr<ServerConnection>> silent;
  const auto holds = [](int aVersion) {
    return json{ { "models",
                   { { { "name", "m" }, { "version", aVersion } } } } };
  };
  std::atomic<bool> received = false;
  m_site.AddRunner(
    "i-1",
    "chat",
    [&](const auto& aConnection) {
      silent.push_back(aConnection);
      received = true;
    },
    holds(1));
  StartAndAwaitReady();
  std::string answer;
  std::thread caller([&] {
    answer =
      SendRequest(Request("POST", "/chat/a", "X-Siskindeal-Model: m\r\n"));
  });
  EXPECT_TRUE(Eventually([&] { return received.load(); }));
  m_site.AddRunner(
    "i-2",
    "chat",
    [](const auto& aConnection) {
      aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
      aConnection->SendPart("id: 1\ndata: a\n\n");
      aConnection->SendEnd();
    },
    holds(2));
  EXPECT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
  m_site.Put("versions", "m", { { "model", "m" }, { "version", 2 } });
  caller.join();
  EXPECT_NE(answer.find("data: a"), std::string::npos) << answer;
}

// Guards against a request that begins on overdue weights at a runner that was
// silent for so long that its entry has left the list.
TEST_F(GatewayTest, RequestAtAnUnlistedRunnerIsWithdrawn)
{
  constexpr std::string_view kWithdrawn =
    "\nsiskindeal_gateway_withdrawn_requests_total ";
  const auto countWithdrawn = [&] {
    const std::string metrics = MetricsText();
    const auto at = metrics.find(kWithdrawn);
    return at == std::string::npos
             ? 0
             : std::atoi(metrics.c_str() + at + kWithdrawn.size());
  };
  m_versionWithin = std::chrono::milliseconds(1100);
  std::vector<std::shared_ptr<ServerConnection>> silent;
  std::atomic<bool> received = false;
  m_site.AddRunner(
    "i-1",
    "chat",
    [&](const auto& aConnection) {
      silent.push_back(aConnection);
      received = true;
    },
    json{ { "models", { { { "name", "m" }, { "version", 1 } } } } });
  StartAndAwaitReady();
  const int before = countWithdrawn();
  std::thread caller([&] {
    SendRequest(Request("POST", "/chat/a", "X-Siskindeal-Model: m\r\n"));
  });
  EXPECT_TRUE(Eventually([&] { return received.load(); }));
  m_site.Remove("servers", "i-1");
  EXPECT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
  m_site.Put("versions", "m", { { "model", "m" }, { "version", 2 } });
  caller.join();
  EXPECT_EQ(countWithdrawn() - before, 1);
  m_site.RunOnLoop([&] { silent.clear(); });
}

TEST_F(GatewayTest, RequestThatMayHaveBegunIsNotWithdrawn)
{
  m_versionWithin = std::chrono::milliseconds(1100);
  std::shared_ptr<ServerConnection> running;
  std::atomic<bool> received = false;
  m_site.AddRunner(
    "i-1",
    "post",
    [&](const auto& aConnection) {
      running = aConnection;
      received = true;
    },
    json{ { "models", { { { "name", "m" }, { "version", 1 } } } } });
  StartAndAwaitReady();
  std::string answer;
  std::thread caller([&] {
    answer =
      SendRequest(Request("POST", "/post/a", "X-Siskindeal-Model: m\r\n"));
  });
  EXPECT_TRUE(Eventually([&] { return received.load(); }));
  m_site.Put("versions", "m", { { "model", "m" }, { "version", 2 } });
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  m_site.RunOnLoop([&] { Answer(running); });
  caller.join();
  EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
}

} // namespace

} // namespace siskindeal

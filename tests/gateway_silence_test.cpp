// Tests that a runner which falls silent and goes on costs its caller nothing,
// beside changes of the configuration.

#include "support/gateway_fixture.h"

#include <vector>

namespace siskindeal {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kSilence{ 1200 };
// From the second runner's failure until the first one goes on.
constexpr milliseconds kSilenceAfterSecond{ 50 };

// What becomes of the request at the runner that it is also sent to.
struct SecondRunner
{
  const char* m_name;
  SiteStandIn::Play m_play;
};

std::vector<SecondRunner>
FailingSecondRunners()
{
  return {
    { "rejects",
      [](const auto& aConnection) {
        HttpFields fields;
        fields.Add("X-Siskindeal-Attempt-Id", "id-1");
        fields.Add("X-Siskindeal-Not-Executed", "1");
        aConnection->SendResponse(503, {}, fields, "");
      } },
    { "closes", [](const auto& aConnection) { aConnection->AbortResponse(); } },
    { "responds with an error",
      [](const auto& aConnection) {
        HttpFields fields;
        fields.Add("X-Siskindeal-Attempt-Id", "id-1");
        fields.Add("X-Siskindeal-Runner-Signature", "sig-8");
        aConnection->SendResponse(500, {}, fields, "");
      } },
    { "falls silent too", [](const auto&) {} },
  };
}

class GatewaySilenceTest : public GatewayTest
{
protected:
  using Play = SiteStandIn::Play;

  // Sends a request whose first runner plays aBegin, falls silent and goes on
  // with aGoOn, and applies configurations meanwhile. Returns the response.
  std::string AnswerAcrossSilence(const std::string& aService,
                                  const Play& aBegin,
                                  const Play& aGoOn,
                                  const Play& aSecond)
  {
    std::atomic<int> runs = 0;
    m_cancelled = 0;
    std::shared_ptr<ServerConnection> first;
    Timer timer(m_site.m_loop);
    const auto goOnAfter = [&](milliseconds aDelay) {
      timer.expires_after(aDelay);
      timer.async_wait([&](const NetError& aError) {
        if (!aError) {
          aGoOn(first);
        }
      });
    };
    const Play play =
      [&](const std::shared_ptr<ServerConnection>& aConnection) {
        aConnection->m_onDisconnect = [this] { ++m_cancelled; };
        if (runs++ == 0) {
          first = aConnection;
          aBegin(aConnection);
          goOnAfter(kSilence);
          return;
        }
        aSecond(aConnection);
        if (runs == 2) {
          goOnAfter(kSilenceAfterSecond);
        }
      };
    const std::string id = "i-" + std::to_string(m_version) + aService;
    const Address one = m_site.AddRunner(id + "-1", aService, play);
    const Address two = m_site.AddRunner(id + "-2", aService, play);
    if (!m_gateway) {
      StartAndAwaitReady();
    }
    EXPECT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
    RawSocket caller(m_gateway->CallersPort());
    caller.Send(Request("POST", "/" + aService + "/a"));
    EXPECT_TRUE(Eventually([&] { return runs > 0; }));
    for (int i = 0; i < 3; ++i) {
      m_site.Put("config", "main", Config(++m_version));
    }
    std::string answer = caller.ReadAll();
    m_site.RunOnLoop([&] { timer.cancel(); });
    m_site.Remove("servers", id + "-1");
    m_site.Remove("servers", id + "-2");
    EXPECT_TRUE(Eventually([&] { return RunnerCount() == 0; }));
    EXPECT_TRUE(Eventually([&] { return m_cancelled >= m_minCancelled; }));
    m_site.CrashRunner(one);
    m_site.CrashRunner(two);
    m_site.RunOnLoop([] {}); // the runners no longer use this call's variables
    m_runs = runs;
    return answer;
  }

  // Targets are short, so that a silence exceeds them.
  static json Config(std::uint64_t aVersion)
  {
    json config = ConfigJson(aVersion);
    for (json& route : config["routes"]) {
      route["target_latency_ms"] = 100;
      route["target_gap_ms"] = 100;
    }
    return config;
  }

  void SetUp() override { m_site.Put("config", "main", Config(m_version)); }

  std::uint64_t m_version = 1;
  int m_runs = 0; // of the last request
  int m_minCancelled = 0;
  std::atomic<int> m_cancelled = 0; // of its runs
};

struct SilentPlace
{
  const char* m_name;
  const char* m_service;
  SiteStandIn::Play m_begin;
  SiteStandIn::Play m_goOn;
};

std::vector<SilentPlace>
SilentPlaces()
{
  const auto fields = [](const char* aType) {
    HttpFields all;
    all.Add("X-Siskindeal-Attempt-Id", "id-1");
    all.Add("X-Siskindeal-Runner-Signature", "sig-7");
    all.Add("Content-Type", aType);
    return all;
  };
  return {
    { "head",
      "get",
      [](const auto&) {},
      [fields](const auto& aConnection) {
        aConnection->SendResponse(200, {}, fields("text/plain"), "data: b");
      } },
    { "body",
      "get",
      [fields](const auto& aConnection) {
        aConnection->SendHead(200, {}, fields("text/plain"), 7);
        aConnection->SendPart("data");
      },
      [](const auto& aConnection) {
        aConnection->SendPart(": b");
        aConnection->SendEnd();
      } },
    { "stream",
      "chat",
      [fields](const auto& aConnection) {
        aConnection->SendHead(
          200, {}, fields("text/event-stream"), std::nullopt);
        aConnection->SendPart("id: 1\ndata: a\n\n");
      },
      [](const auto& aConnection) {
        aConnection->SendPart("id: 2\ndata: b\n\n");
        aConnection->SendEnd();
      } },
  };
}

TEST_F(GatewaySilenceTest, SilentRunnerIsNotGivenUpForOneThatFails)
{
  for (const SilentPlace& place : SilentPlaces()) {
    for (const SecondRunner& second : FailingSecondRunners()) {
      SCOPED_TRACE(std::string(place.m_name) + ", second " + second.m_name);
      const std::string answer = AnswerAcrossSilence(
        place.m_service, place.m_begin, place.m_goOn, second.m_play);
      EXPECT_EQ(answer.rfind("HTTP/1.1 200 ", 0), 0U) << answer;
      EXPECT_NE(answer.find("data: b"), std::string::npos) << answer;
      EXPECT_EQ(answer.find("sig-8"), std::string::npos) << answer;
      EXPECT_EQ(m_runs, 2);
    }
  }
}

TEST_F(GatewaySilenceTest, SilenceWithoutRetryBudgetDoesNotEndTheRequest)
{
  m_retrySlack = 0;
  for (const SilentPlace& place : SilentPlaces()) {
    SCOPED_TRACE(place.m_name);
    const std::string answer = AnswerAcrossSilence(
      place.m_service, place.m_begin, place.m_goOn, [](const auto&) {});
    EXPECT_EQ(answer.rfind("HTTP/1.1 200 ", 0), 0U) << answer;
    EXPECT_NE(answer.find("data: b"), std::string::npos) << answer;
    EXPECT_EQ(m_runs, 1);
  }
}

TEST_F(GatewaySilenceTest, SlowCallerIsNotTakenForASilentRunner)
{
  constexpr int kEvents = 512;
  constexpr std::size_t kEventBytes = 64 << 10; // in all more than sockets hold
  std::atomic<int> runs = 0;
  const auto play = [&](const auto& aConnection) {
    ++runs;
    aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
    for (int id = 1; id <= kEvents; ++id) {
      aConnection->SendPart("id: " + std::to_string(id) + "\ndata: " +
                            std::string(kEventBytes, 'x') + "\n\n");
    }
    aConnection->SendEnd();
  };
  m_site.AddRunner("i-1", "chat", play);
  m_site.AddRunner("i-2", "chat", play);
  StartAndAwaitReady();
  RawSocket caller(m_gateway->CallersPort());
  caller.Send(Request("POST", "/chat/a"));
  std::this_thread::sleep_for(kSilence);
  const std::string answer = caller.ReadAll();
  EXPECT_GT(answer.size(), kEvents * kEventBytes);
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n"));
  EXPECT_EQ(runs, 1);
}

TEST_F(GatewaySilenceTest, NonIdempotentRequestIsNotSentAgainOnSilence)
{
  const std::string answer = AnswerAcrossSilence(
    "post",
    [](const auto&) {},
    [](const auto& aConnection) { Answer(aConnection); },
    [](const auto& aConnection) { Answer(aConnection, 200, "again"); });
  EXPECT_NE(answer.find("\r\n\r\nbooked"), std::string::npos) << answer;
  EXPECT_EQ(m_runs, 1);
}

TEST_F(GatewaySilenceTest, SilentRunIsCancelledOnceAnotherRunnerGoesOn)
{
  m_minCancelled = 1;
  const std::string answer = AnswerAcrossSilence(
    "chat",
    [](const auto& aConnection) {
      aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
      aConnection->SendPart("id: 1\ndata: a\n\n");
    },
    [](const auto&) {},
    [](const auto& aConnection) {
      EXPECT_EQ(*aConnection->Request().m_fields.Find("last-event-id"), "1");
      aConnection->SendHead(200, {}, StreamFields(), std::nullopt);
      aConnection->SendPart("id: 2\ndata: b\n\n");
      aConnection->SendEnd();
    });
  EXPECT_NE(answer.find("data: b"), std::string::npos) << answer;
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
  EXPECT_EQ(m_cancelled, 1);
}

} // namespace

} // namespace siskindeal

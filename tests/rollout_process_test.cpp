// Runs rollouts and model requests against real processes.

#include "siskindeal/http.h"
#include "siskindeal/verdict.h"
#include "support/chat.h"
#include "support/fleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <set>
#include <sstream>

namespace siskindeal {
namespace {

using nlohmann::json;

constexpr std::size_t kWeightsBytes = 1 << 20;
constexpr std::chrono::seconds kTestTimeout{ 60 };
constexpr int kMaxCrashesPerRequest = 2;

std::string
VerdictOf(const HttpReply& aReply)
{
  const auto found = aReply.m_headers.find(std::string(kVerdictHeader));
  return found == aReply.m_headers.end() ? "" : found->second;
}

class RolloutProcessTest : public testing::Test
{
protected:
  // Streams a chat and crashes its engine after the stream has started. Returns
  // the events that the caller received.
  std::string StreamThroughCrash(Fleet& aFleet, int aEngines, int aTokens);

  int RetryCrashingRequest(Fleet& aFleet, int aEngines);

  HttpClient m_client;
};

std::string
RolloutProcessTest::StreamThroughCrash(Fleet& aFleet, int aEngines, int aTokens)
{
  const std::string prompt = "a long answer";
  auto request = ChatRequest(
    aFleet.Url("entry-1", "/v1/chat/completions"), prompt, aTokens, true);
  request.m_timeout = kTestTimeout;
  StreamedChat chat(m_client, std::move(request));
  EXPECT_TRUE(chat.HasBegun(kTestTimeout)) << aFleet.Logs();
  for (int i = 0; i < aEngines; ++i) {
    auto& engine = aFleet.Engine(i);
    if (engine.Executions()[prompt] == 0) {
      continue;
    }
    standin::Fault crash;
    crash.m_value = "crash now";
    engine.GetFaults().Set("crash_on_body", crash);
    standin::Fault outage; // keeps its weights from being reloaded
    outage.m_pathPrefix = "/engine/";
    engine.GetFaults().Set("outage", outage);
    m_client.Fetch(
      { "POST", engine.Url() + "/v1/chat/completions", {}, crash.m_value });
    EXPECT_EQ(engine.Crashes(), 1);
    break; // the stream may already have resumed on another engine
  }
  const auto reply = chat.End();
  EXPECT_EQ(reply.m_outcome, HttpOutcome::Answered) << reply.m_error;
  return chat.Events();
}

TEST_F(RolloutProcessTest, ServesRequestsEndToEnd)
{
  Fleet fleet(2, 2, 1);
  const auto content = fleet.RollOut("booking-1", kWeightsBytes, 2);
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(fleet.Engine(i).Loaded().begin()->second, content);
  }
  const auto entries =
    m_client.Fetch({ "GET", fleet.Url("entry-1", "/v1/entry") });
  EXPECT_EQ(json::parse(entries.m_body)["entries"].size(), 2U);
  const auto models =
    m_client.Fetch({ "GET", fleet.Url("entry-2", "/v1/models") });
  EXPECT_NE(models.m_body.find("booking chat"), std::string::npos);
  const auto chats = fleet.Url("entry-1", "/v1/chat/completions");
  const auto expected = standin::ExpectedText(content, "tee time", 8);
  const auto unstreamed =
    m_client.Fetch(ChatRequest(chats, "tee time", 8, false));
  EXPECT_EQ(unstreamed.m_status, 200) << unstreamed.m_body;
  EXPECT_EQ(VerdictOf(unstreamed), "ran");
  EXPECT_EQ(unstreamed.m_headers.count("x-request-id"), 1U);
  EXPECT_EQ(json::parse(unstreamed.m_body)["choices"][0]["message"]["content"],
            expected);
  const auto streamed = m_client.Fetch(ChatRequest(chats, "tee time", 8, true));
  EXPECT_EQ(streamed.m_outcome, HttpOutcome::Answered);
  EXPECT_EQ(StreamText(streamed.m_body), expected + "[DONE]");
  for (int i = 0; i < 3; ++i) {
    const auto booking = m_client.Fetch(
      { "POST",
        fleet.Url("entry-2", "/v1/services/teesheet/bookings"),
        { { "idempotency-key", "k1" }, { "x-team", "pro-shops" } },
        "four at dawn" });
    EXPECT_EQ(booking.m_status, 200) << booking.m_body;
    EXPECT_EQ(json::parse(booking.m_body)["path"], "/bookings");
  }
  EXPECT_EQ(fleet.Service(0).Executions()["k1"], 1);
}

TEST_F(RolloutProcessTest, ProcessesFinishStreamsBeforeExit)
{
  Fleet fleet(2, 2, 0);
  const auto content = fleet.RollOut("booking-1", kWeightsBytes, 2);
  constexpr int kTokens = 1000;
  for (const std::string stopped : { "entry-1", "caddie-1" }) {
    SCOPED_TRACE(stopped);
    const std::string entry = stopped == "entry-1" ? "entry-1" : "entry-2";
    auto request = ChatRequest(
      fleet.Url(entry, "/v1/chat/completions"), stopped, kTokens, true);
    request.m_timeout = kTestTimeout;
    StreamedChat chat(m_client, std::move(request));
    EXPECT_TRUE(chat.HasBegun(kTestTimeout)) << fleet.Logs();
    auto& process = *fleet.GetVm(stopped).m_process;
    process.Signal(SIGTERM);
    const auto reply = chat.End();
    EXPECT_EQ(reply.m_outcome, HttpOutcome::Answered) << reply.m_error;
    EXPECT_EQ(StreamText(chat.Events()),
              standin::ExpectedText(content, stopped, kTokens) + "[DONE]");
    ASSERT_TRUE(process.EndsWithin(kTestTimeout)) << fleet.Logs();
    EXPECT_EQ(process.Wait(), 0);
  }
}

// Sends a request that crashes its engine repeatedly, through alternating
// entries. Returns the number of crashes.
int
RolloutProcessTest::RetryCrashingRequest(Fleet& aFleet, int aEngines)
{
  constexpr int kAttempts = 8;
  standin::Fault fault;
  fault.m_value = "crashes its engine";
  for (int i = 0; i < aEngines; ++i) {
    aFleet.Engine(i).GetFaults().Set("crash_on_body", fault);
  }
  for (int i = 0; i < kAttempts; ++i) {
    const std::string entry = i % 2 == 0 ? "entry-1" : "entry-2";
    const auto reply = m_client.Fetch(ChatRequest(
      aFleet.Url(entry, "/v1/chat/completions"), fault.m_value, 8, i % 4 < 2));
    EXPECT_NE(reply.m_status, 200);
    EXPECT_FALSE(VerdictOf(reply).empty());
  }
  int crashes = 0;
  for (int i = 0; i < aEngines; ++i) {
    crashes += aFleet.Engine(i).Crashes();
  }
  return crashes;
}

TEST_F(RolloutProcessTest, OneRequestCrashesAtMostTwoEngines)
{
  constexpr int kEngines = 4;
  Fleet fleet(2, kEngines, 0);
  const auto content = fleet.RollOut("booking-1", kWeightsBytes, kEngines);
  const auto crashes = RetryCrashingRequest(fleet, kEngines);
  EXPECT_GE(crashes, 1);
  EXPECT_LE(crashes, kMaxCrashesPerRequest) << fleet.Logs();
  for (const std::string entry : { "entry-1", "entry-2" }) {
    const auto reply = m_client.Fetch(ChatRequest(
      fleet.Url(entry, "/v1/chat/completions"), "tee time", 8, false));
    ASSERT_EQ(reply.m_status, 200) << reply.m_body << fleet.Logs();
    EXPECT_EQ(json::parse(reply.m_body)["choices"][0]["message"]["content"],
              standin::ExpectedText(content, "tee time", 8));
  }
}

TEST_F(RolloutProcessTest, StreamResumesAfterEngineCrash)
{
  constexpr int kTokens = 1000;
  Fleet fleet(1, 3, 0);
  const auto content = fleet.RollOut("booking-1", kWeightsBytes, 3);
  const auto events = StreamThroughCrash(fleet, 3, kTokens);
  EXPECT_EQ(StreamText(events),
            standin::ExpectedText(content, "a long answer", kTokens) + "[DONE]")
    << fleet.Logs();
  EXPECT_EQ(events.find("event: error"), std::string::npos);
  std::set<std::string> ids;
  std::istringstream lines(events);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("data: {", 0) == 0) {
      ids.insert(json::parse(line.substr(6)).at("id"));
    }
  }
  EXPECT_EQ(ids.size(), 1U);
}

TEST_F(RolloutProcessTest, StreamFailsIfNoOtherVmHasItsWeights)
{
  constexpr int kTokens = 1000;
  Fleet fleet(1, 2, 0);
  const auto content = fleet.RollOut("booking-1", kWeightsBytes, 1);
  const auto events = StreamThroughCrash(fleet, 2, kTokens);
  EXPECT_NE(events.find("event: error"), std::string::npos);
  EXPECT_NE(events.find("upstream_failed"), std::string::npos) << events;
  const auto text = StreamText(events);
  EXPECT_EQ(text.find("[DONE]"), std::string::npos);
  EXPECT_EQ(
    standin::ExpectedText(content, "a long answer", kTokens).rfind(text, 0),
    0U);
}

TEST_F(RolloutProcessTest, StreamFailsIfEngineCannotResume)
{
  constexpr int kTokens = 1000;
  Fleet fleet(1, 2, 0);
  const auto content = fleet.RollOut("booking-1", kWeightsBytes, 2);
  for (int i = 0; i < 2; ++i) {
    fleet.Engine(i).GetFaults().Set("no_resume");
  }
  const auto events = StreamThroughCrash(fleet, 2, kTokens);
  EXPECT_NE(events.find("event: error"), std::string::npos);
  const auto text = StreamText(events);
  EXPECT_EQ(text.find("[DONE]"), std::string::npos);
  EXPECT_EQ(
    standin::ExpectedText(content, "a long answer", kTokens).rfind(text, 0),
    0U);
}

// An engine can restart between two checks by its agent. The crash is then only
// visible in the changed start id.
TEST_F(RolloutProcessTest, OneRequestCrashesAtMostTwoInstantlyRestartingEngines)
{
  constexpr int kEngines = 4;
  FleetOptions options;
  options.m_engine.m_standIn.m_restart = std::chrono::milliseconds(0);
  Fleet fleet(2, kEngines, 0, options);
  fleet.RollOut("booking-1", kWeightsBytes, kEngines);
  const auto crashes = RetryCrashingRequest(fleet, kEngines);
  EXPECT_GE(crashes, 1);
  EXPECT_LE(crashes, kMaxCrashesPerRequest) << fleet.Logs();
}

// The successful end of a resumed stream must not clear the suspicion against
// the request, which crashed an engine earlier.
TEST_F(RolloutProcessTest, ResumedStreamCrashesAtMostTwoEngines)
{
  constexpr int kEngines = 4;
  constexpr int kAttempts = 6;
  Fleet fleet(2, kEngines, 0);
  fleet.RollOut("booking-1", kWeightsBytes, kEngines);
  standin::Fault fault;
  fault.m_value = "crashes its engine";
  for (int i = 0; i < kEngines; ++i) {
    fleet.Engine(i).GetFaults().Set("crash_on_token", fault);
  }
  for (int i = 0; i < kAttempts; ++i) {
    const std::string entry = i % 2 == 0 ? "entry-1" : "entry-2";
    m_client.Fetch(ChatRequest(
      fleet.Url(entry, "/v1/chat/completions"), fault.m_value, 50, true));
  }
  int crashes = 0;
  for (int i = 0; i < kEngines; ++i) {
    crashes += fleet.Engine(i).Crashes();
  }
  EXPECT_GE(crashes, 1);
  EXPECT_LE(crashes, kMaxCrashesPerRequest) << fleet.Logs();
}

} // namespace
} // namespace siskindeal

// Checks the stand-ins against docs/INTERFACES.md.

#include "siskindeal/digest.h"
#include "siskindeal/http.h"
#include "siskindeal/manifest.h"
#include "standin/engine.h"
#include "standin/platform.h"
#include "standin/service.h"
#include "standin/store.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>
#include <mutex>
#include <thread>

namespace siskindeal::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class Contract : public testing::Test
{
protected:
  HttpReply Call(const StandIn& aStandIn,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody = "",
                 const HttpHeaders& aHeaders = {})
  {
    return m_client.Fetch({ aMethod, aStandIn.Url() + aPath, aHeaders, aBody });
  }

  std::future<HttpReply> CallAsync(const StandIn& aStandIn,
                                   const std::string& aMethod,
                                   const std::string& aPath,
                                   const std::string& aBody = "",
                                   const HttpHeaders& aHeaders = {})
  {
    const auto promise = std::make_shared<std::promise<HttpReply>>();
    m_client.Start(
      { aMethod, aStandIn.Url() + aPath, aHeaders, aBody },
      [promise](HttpReply aReply) { promise->set_value(std::move(aReply)); });
    return promise->get_future();
  }

  HttpReply Put(const StandIn& aPlatform,
                const std::string& aKey,
                std::uint64_t aExpected,
                const std::string& aValue)
  {
    return Call(aPlatform,
                "PUT",
                "/v1/objects/" + aKey + "?expect=" + std::to_string(aExpected),
                aValue,
                { { "x-change-id", aValue } });
  }

  HttpClient m_client;
};

std::string
ChatBody(const std::string& aPrompt, int aTokens, bool aStream)
{
  return json{
    { "model", "booking chat" },
    { "stream", aStream },
    { "max_tokens", aTokens },
    { "messages", { { { "role", "user" }, { "content", aPrompt } } } }
  }.dump();
}

TEST_F(Contract, FaultsBehaveAsDocumented)
{
  struct Case
  {
    std::string m_fault;
    HttpOutcome m_outcome;
    int m_status;
    int m_executions;
  };
  const Case cases[] = {
    { "", HttpOutcome::Answered, 200, 1 },
    { "outage", HttpOutcome::Answered, 503, 0 },
    { "refuse", HttpOutcome::Answered, 429, 0 },
    { "slow", HttpOutcome::Answered, 200, 1 },
    { "late", HttpOutcome::Answered, 200, 1 },
    { "reset", HttpOutcome::SentNoReply, 0, 0 },
    { "lose_answer", HttpOutcome::SentNoReply, 0, 1 },
    { "truncate", HttpOutcome::SentNoReply, 200, 1 },
    { "crash_on_body", HttpOutcome::SentNoReply, 0, 0 },
  };
  for (const auto& test : cases) {
    SCOPED_TRACE(test.m_fault);
    ServiceStandIn service({});
    const bool crash = test.m_fault == "crash_on_body";
    const json fault = { { "name", test.m_fault },
                         { "value", crash ? json("ten kegs") : json(20) },
                         { "times", 1 } };
    EXPECT_EQ(Call(service, "POST", "/standin/faults", fault.dump()).m_status,
              200);
    const auto send = [&] {
      return Call(
        service, "POST", "/kegs", "ten kegs", { { "idempotency-key", "k" } });
    };
    const auto reply = send();
    EXPECT_EQ(reply.m_outcome, test.m_outcome) << reply.m_error;
    EXPECT_EQ(reply.m_status, test.m_status);
    EXPECT_EQ(service.Executions()["k"], test.m_executions);
    EXPECT_EQ(service.Crashes(), crash ? 1 : 0);
    EXPECT_EQ(reply.m_headers.count("retry-after-ms") != 0,
              test.m_status > 400);
    auto again = send();
    EXPECT_EQ(again.m_outcome == HttpOutcome::NotSent, crash);
    while (crash && again.m_outcome == HttpOutcome::NotSent) {
      std::this_thread::sleep_for(milliseconds(5));
      again = send();
    }
    EXPECT_EQ(again.m_status, 200);
    EXPECT_EQ(service.Executions()["k"], test.m_executions + 1);
  }
}

TEST_F(Contract, FrozenRequestsResumeWhenUnfrozen)
{
  ServiceStandIn service({});
  service.GetFaults().Set("freeze");
  auto frozen = CallAsync(service, "POST", "/a", "x");
  EXPECT_EQ(frozen.wait_for(milliseconds(100)), std::future_status::timeout);
  EXPECT_TRUE(service.Executions().empty());
  service.Unfreeze();
  EXPECT_EQ(frozen.get().m_status, 200);
  EXPECT_EQ(service.Executions()[""], 1);
}

TEST_F(Contract, PlatformWritesOnlyAtTheExpectedVersion)
{
  const PlatformStandIn platform({});
  struct Step
  {
    std::string m_method;
    std::uint64_t m_expect;
    int m_status;
    std::uint64_t m_version; // in the response; 0: no object
  };
  const Step steps[] = {
    { "GET", 0, 404, 0 },    { "PUT", 1, 409, 0 },    { "PUT", 0, 200, 1 },
    { "PUT", 0, 409, 1 },    { "PUT", 1, 200, 2 },    { "PUT", 1, 409, 2 },
    { "GET", 0, 200, 2 },    { "DELETE", 1, 409, 2 }, { "DELETE", 2, 200, 3 },
    { "DELETE", 3, 404, 0 }, { "GET", 0, 404, 0 },    { "PUT", 2, 409, 3 },
    { "PUT", 0, 200, 4 },    { "GET", 0, 200, 4 },
  };
  int number = 0;
  for (const auto& step : steps) {
    SCOPED_TRACE(number++);
    const auto query =
      step.m_method == "GET" ? "" : "?expect=" + std::to_string(step.m_expect);
    const auto reply = Call(platform,
                            step.m_method,
                            "/v1/objects/targets/a%20b" + query,
                            step.m_method == "PUT" ? "{}" : "",
                            { { "x-change-id", "c" } });
    EXPECT_EQ(reply.m_status, step.m_status);
    const auto body = json::parse(reply.m_body);
    if (step.m_version > 0) {
      EXPECT_EQ(body["version"], step.m_version);
      EXPECT_EQ(body["key"], "targets/a b");
    }
  }
  EXPECT_EQ(Call(platform, "PUT", "/v1/objects/a", "{}").m_status, 400);
  EXPECT_EQ(Call(platform,
                 "PUT",
                 "/v1/objects/a?expect=0",
                 std::string((1 << 20) + 1, 'a'),
                 { { "x-change-id", "c" } })
              .m_status,
            413);
}

TEST_F(Contract, PlatformWatchesReportChangesAndCompaction)
{
  PlatformOptions options;
  options.m_history = 3;
  PlatformStandIn platform(options);
  EXPECT_EQ(Put(platform, "a/1", 0, "x").m_status, 200);
  const auto list =
    json::parse(Call(platform, "GET", "/v1/objects?prefix=a/").m_body);
  EXPECT_EQ(list["objects"].size(), 1U);
  const auto watch = "/v1/watch?prefix=a/&after=" + list["revision"].dump();
  const auto unchanged =
    json::parse(Call(platform, "GET", watch + "&wait_ms=20").m_body);
  EXPECT_TRUE(unchanged["objects"].empty());
  auto waiting = CallAsync(platform, "GET", watch + "&wait_ms=60000");
  EXPECT_EQ(Put(platform, "b/1", 0, "y").m_status, 200);
  EXPECT_EQ(Put(platform, "a/2", 0, "z").m_status, 200);
  const auto changed = json::parse(waiting.get().m_body);
  ASSERT_EQ(changed["objects"].size(), 1U);
  EXPECT_EQ(changed["objects"][0]["key"], "a/2");
  EXPECT_EQ(changed["revision"], 3);
  platform.GetFaults().Set("watch_gap", { "", 1 });
  EXPECT_EQ(Call(platform, "GET", watch).m_status, 410);
  EXPECT_EQ(Call(platform, "GET", watch).m_status, 200);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Put(platform, "c/" + std::to_string(i), 0, "x").m_status, 200);
  }
  EXPECT_EQ(Call(platform, "GET", watch).m_status, 410);
}

TEST_F(Contract, PlatformRateLimitsWithoutEffectAndDelaysTheVmList)
{
  PlatformOptions options;
  options.m_writesPerSecond = 2;
  options.m_vmLag = milliseconds(200);
  PlatformStandIn platform(options);
  int written = 0;
  int refused = 0;
  for (int i = 0; i < 10; ++i) {
    const auto reply = Put(platform, "k/" + std::to_string(i), 0, "x");
    written += reply.m_status == 200 ? 1 : 0;
    refused += reply.m_status == 429 ? 1 : 0;
  }
  EXPECT_EQ(written + refused, 10);
  EXPECT_GT(refused, 0);
  const auto list =
    json::parse(Call(platform, "GET", "/v1/objects?prefix=k/").m_body);
  EXPECT_EQ(list["objects"].size(), static_cast<std::size_t>(written));
  platform.SetVm({ "vm-1", "kingston", "caddie-llm", "127.0.0.1:1" }, true);
  platform.SetVm({ "vm-1", "kingston", "caddie-llm", "127.0.0.1:1", true });
  const auto leaving = [&] {
    const auto reply = Call(platform, "GET", "/v1/vms");
    EXPECT_EQ(reply.m_status, 200);
    return json::parse(reply.m_body)["vms"][0]["leaving"].get<bool>();
  };
  EXPECT_FALSE(leaving());
  while (!leaving()) {
    std::this_thread::sleep_for(milliseconds(5));
  }
}

TEST_F(Contract, OriginServesTheChunksOfTheManifest)
{
  StoreStandIn store({});
  std::string bytes(250000, '\0');
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bytes[i] = static_cast<char>(StableHash(std::to_string(i)));
  }
  const auto digest = store.PublishBytes("r1", "r1.bin", bytes, 100000);
  const auto manifest =
    ParseManifest(Call(store, "GET", "/v1/releases/r1").m_body);
  EXPECT_EQ(manifest.Digest(), digest);
  EXPECT_EQ(manifest.ChunkCount(), 3U);
  const auto chunk = [&](std::uint32_t aIndex) {
    const auto first = aIndex * manifest.m_chunkSize;
    const auto last = first + manifest.ChunkBytes(aIndex) - 1;
    return Call(
      store,
      "GET",
      "/v1/origin/" + manifest.m_origin,
      "",
      { { "range",
          "bytes=" + std::to_string(first) + "-" + std::to_string(last) } });
  };
  for (std::uint32_t i = 0; i < 3; ++i) {
    const auto reply = chunk(i);
    EXPECT_EQ(reply.m_status, 206);
    EXPECT_EQ(Sha256Hex(reply.m_body), manifest.m_chunkDigests[i]);
  }
  EXPECT_EQ(store.OriginBytes(), bytes.size());
  store.GetFaults().Set("corrupt_chunk", { "", 1 });
  EXPECT_NE(Sha256Hex(chunk(1).m_body), manifest.m_chunkDigests[1]);
  EXPECT_EQ(Sha256Hex(chunk(1).m_body), manifest.m_chunkDigests[1]);
  // Publishing other bytes under the same name changes the digest.
  EXPECT_NE(store.PublishBytes("r1", "r2.bin", bytes + "x", 100000), digest);
  EXPECT_EQ(Call(store, "GET", "/v1/releases/none").m_status, 404);
  EXPECT_EQ(Call(store, "GET", "/v1/origin/r1.bin").m_status, 416);
}

TEST_F(Contract, EngineLoadsOnlyCompleteWeightsAndChecksTheFencingToken)
{
  for (const bool checks : { true, false }) {
    EngineOptions options;
    options.m_checksFencing = checks;
    EngineStandIn engine(options);
    const auto order = [&](const std::string& aKind, std::uint64_t aToken) {
      return Call(engine,
                  "POST",
                  "/engine/orders",
                  json{ { "order", aKind },
                        { "digest", "d1" },
                        { "base", "" },
                        { "chunks", 2 },
                        { "fencing_token", aToken } }
                    .dump());
    };
    EXPECT_EQ(Call(engine, "PUT", "/engine/staging/d1/0", "ab").m_status, 200);
    EXPECT_EQ(order("load", 5).m_status, 409);
    EXPECT_EQ(Call(engine, "PUT", "/engine/staging/d1/1", "c").m_status, 200);
    EXPECT_EQ(Call(engine, "GET", "/engine/staging/d1").m_body,
              R"({"chunks":[0,1]})");
    EXPECT_EQ(Call(engine, "GET", "/engine/staging/d1/0").m_body, "ab");
    EXPECT_EQ(Call(engine, "GET", "/engine/staging/d1/7").m_status, 404);
    const auto loaded = order("load", 5);
    EXPECT_EQ(loaded.m_status, 200);
    EXPECT_EQ(json::parse(loaded.m_body)["content"], Sha256Hex("abc"));
    EXPECT_EQ(json::parse(loaded.m_body)["loaded"], json::array({ "d1" }));
    const auto stale = order("unload", 4);
    EXPECT_EQ(stale.m_status, checks ? 409 : 200);
    EXPECT_EQ(engine.Loaded().size(), checks ? 1U : 0U);
    EXPECT_EQ(engine.Counts().m_staleOrders, 1U);
    const auto state = json::parse(Call(engine, "GET", "/engine/state").m_body);
    EXPECT_EQ(state["checks_fencing"], checks);
    EXPECT_EQ(Call(engine, "DELETE", "/engine/staging/d1").m_status, 200);
    EXPECT_EQ(Call(engine, "GET", "/engine/staging/d1").m_body,
              R"({"chunks":[]})");
  }
}

TEST_F(Contract, EngineRespondsFromTheRequestedWeights)
{
  EngineStandIn engine({});
  const auto content = Sha256Hex("weights");
  EXPECT_EQ(
    Call(engine, "POST", "/v1/chat/completions", ChatBody("hi", 3, false))
      .m_status,
    409);
  engine.SetLoaded("d1", content);
  const auto expected = ExpectedText(content, "hi", 3);
  const auto buffered = Call(engine,
                             "POST",
                             "/v1/chat/completions",
                             ChatBody("hi", 3, false),
                             { { "x-weights-digest", "d1" } });
  EXPECT_EQ(buffered.m_headers.at("x-weights-digest"), "d1");
  EXPECT_EQ(json::parse(buffered.m_body)["choices"][0]["message"]["content"],
            expected);
  EXPECT_EQ(Call(engine,
                 "POST",
                 "/v1/chat/completions",
                 ChatBody("hi", 3, false),
                 { { "x-weights-digest", "d2" } })
              .m_status,
            409);
  const auto streamed =
    Call(engine, "POST", "/v1/chat/completions", ChatBody("hi", 3, true));
  std::string text;
  std::string_view remaining = streamed.m_body;
  while (remaining.substr(0, 7) == "data: {") {
    const auto end = remaining.find("\n\n");
    text += json::parse(
              remaining.substr(6, end - 6))["choices"][0]["delta"]["content"]
              .get<std::string>();
    remaining.remove_prefix(end + 2);
  }
  EXPECT_EQ(text, expected);
  EXPECT_EQ(remaining, "data: [DONE]\n\n");
  engine.GetFaults().Set("truncate", { "", 1 });
  const auto cut =
    Call(engine, "POST", "/v1/chat/completions", ChatBody("hi", 9, true));
  EXPECT_EQ(cut.m_outcome, HttpOutcome::SentNoReply);
  EXPECT_EQ(cut.m_body.find("[DONE]"), std::string::npos);
}

TEST_F(Contract, EngineBatchesByPriorityRejectsWhenFullAndCancels)
{
  EngineOptions options;
  options.m_slots = 1;
  options.m_maxWaiting = 2;
  options.m_token = milliseconds(20);
  EngineStandIn engine(options);
  engine.SetLoaded("d1", Sha256Hex("weights"));
  std::mutex mutex;
  std::vector<std::string> order;
  std::vector<std::future<HttpReply>> replies;
  const auto send = [&](const std::string& aId, int aPriority, int aTokens) {
    const auto promise = std::make_shared<std::promise<HttpReply>>();
    replies.push_back(promise->get_future());
    m_client.Start({ "POST",
                     engine.Url() + "/v1/chat/completions",
                     { { "x-request-id", aId },
                       { "x-priority", std::to_string(aPriority) } },
                     ChatBody(aId, aTokens, false) },
                   [&, promise, aId](const HttpReply& aReply) {
                     const std::lock_guard lock(mutex);
                     order.push_back(aId);
                     promise->set_value(aReply);
                   });
    while (engine.Executions()[aId] == 0 &&
           replies.back().wait_for(milliseconds(1)) !=
             std::future_status::ready) {
    }
  };
  send("first", 0, 1000);
  send("low", 0, 1);
  send("high", 5, 1);
  send("refused", 9, 1);
  EXPECT_EQ(replies[3].get().m_status, 503);
  EXPECT_EQ(
    Call(engine, "POST", "/engine/cancel", R"({"request_id":"first"})").m_body,
    R"({"cancelled":1})");
  EXPECT_EQ(replies[0].get().m_outcome, HttpOutcome::SentNoReply);
  EXPECT_EQ(replies[1].get().m_status, 200);
  EXPECT_EQ(replies[2].get().m_status, 200);
  EXPECT_EQ(order,
            (std::vector<std::string>{ "refused", "first", "high", "low" }));
  EXPECT_EQ(engine.Counts().m_maxRunning, 1);
}

TEST_F(Contract, EngineDelaysReportsLosesEventsAndExportsItsCache)
{
  EngineOptions options;
  options.m_reportLag = milliseconds(0);
  options.m_eventLag = milliseconds(0);
  options.m_eventGap = 3;
  options.m_cachedPrefixes = 2;
  EngineStandIn engine(options);
  engine.SetLoaded("d1", Sha256Hex("weights"));
  for (const std::string prompt : { "a", "a", "b", "c" }) {
    EXPECT_EQ(Call(engine,
                   "POST",
                   "/v1/chat/completions",
                   ChatBody(prompt, 1, false),
                   { { "x-session", "s" } })
                .m_status,
              200);
  }
  EXPECT_EQ(engine.Counts().m_cacheHits, 1U);
  // Events 1 to 4: a, b, c (lost), a evicted.
  const auto events =
    json::parse(Call(engine, "GET", "/engine/cache-events?after=1").m_body);
  ASSERT_EQ(events["events"].size(), 2U);
  EXPECT_EQ(events["events"][0]["sequence"], 2);
  EXPECT_EQ(events["events"][0]["prefix_hash"],
            std::to_string(StableHash("b")));
  EXPECT_EQ(events["events"][1]["sequence"], 4);
  EXPECT_EQ(events["events"][1]["evicted"], true);
  const auto load = json::parse(Call(engine, "GET", "/engine/load").m_body);
  for (const auto* const member : { "running",
                                    "waiting",
                                    "slots",
                                    "kv_free_tokens",
                                    "tokens_per_second",
                                    "age_ms" }) {
    EXPECT_TRUE(load.contains(member)) << member;
  }
  const auto kv =
    Call(engine, "POST", "/engine/kv/export", R"({"session":"s"})");
  EXPECT_EQ(kv.m_status, 200);
  EXPECT_EQ(
    Call(engine, "POST", "/engine/kv/import?session=t", kv.m_body).m_status,
    200);
  EXPECT_EQ(
    Call(engine, "POST", "/engine/kv/export", R"({"session":"u"})").m_status,
    404);
}

TEST_F(Contract, ServiceThatDropsDuplicatesExecutesEachKeyOnce)
{
  ServiceOptions options;
  options.m_dropsDuplicates = true;
  ServiceStandIn service(options);
  for (int i = 0; i < 3; ++i) {
    const auto reply =
      Call(service, "POST", "/tee-times", "x", { { "idempotency-key", "k1" } });
    EXPECT_EQ(json::parse(reply.m_body)["executed"], 1);
  }
  EXPECT_EQ(service.Executions()["k1"], 1);
  EXPECT_EQ(Call(service, "GET", "/load").m_status, 200);
}

} // namespace
} // namespace siskindeal::standin

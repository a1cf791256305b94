// Tests how a feed of the platform's store recovers from failed calls.

#include "platform/dialect.h"
#include "site/object_feed_p.h"
#include "support/raw_socket.h"
#include "support/site.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWait{ 8000 };

std::string
JsonResponse(const std::string& aBody, const std::string& aFields = {})
{
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
EraField(int aEra)
{
  return "Store-Era: " + std::to_string(aEra) + "\r\n";
}

// The "wait_ms" of a watch in a request's head.
milliseconds
WaitOf(const std::string& aHead)
{
  const std::string key = "wait_ms=";
  const auto at = aHead.find(key);
  return at == std::string::npos
           ? milliseconds(-1)
           : milliseconds(std::stoi(aHead.substr(at + key.size())));
}

// A watch that is sent while the store is silent gets no answer after the
// store's return either, so the feed misses changes until it has timed out.
TEST(ObjectFeed, WatchAfterAFailureIsShortUntilOneIsAnswered)
{
  // Leaves time for the timeout and the backoff within the 2 s in which a
  // gateway must learn that a runner leaves.
  constexpr milliseconds kMaxWaitAfterFailure{ 300 };
  std::vector<milliseconds> waits;
  Loop loop{ 1 };
  const RawServer store([&](RawSocket& aSocket, int aConnection) {
    if (aConnection == 0) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send(JsonResponse(R"({"items":[],"has_more":false,"at":5})"));
    }
    const std::string first = aSocket.ReadUntil("\r\n\r\n");
    waits.push_back(WaitOf(first));
    if (aConnection == 0) {
      return; // closes the connection without an answer
    }
    aSocket.Send(JsonResponse(R"({"events":[],"at":6})"));
    waits.push_back(WaitOf(aSocket.ReadUntil("\r\n\r\n")));
    loop.stop();
  });
  const auto feed = std::make_shared<ObjectFeed>(
    loop,
    std::make_shared<ConnectionPool>(loop),
    Address{ "127.0.0.1", store.Port() },
    "servers",
    FeedTiming{ kWait, milliseconds(1) },
    FeedCallbacks{ [](const auto&) {}, [](const auto&) {}, [] {} });
  feed->Start();
  loop.run();
  feed->Stop();
  ASSERT_EQ(waits.size(), 3U);
  EXPECT_EQ(waits[0], kWait);
  EXPECT_LE(waits[1], kMaxWaitAfterFailure);
  EXPECT_EQ(waits[2], kWait);
}

// How long each change that is reported may have been in the store, where the
// store or the process fails before it.
std::vector<std::optional<milliseconds>>
UnseenTimes(const std::function<void(RawSocket&)>& aPlay,
            const std::function<void(ObjectFeed&)>& aBeforeChange)
{
  std::vector<std::optional<milliseconds>> unseen;
  Loop loop{ 1 };
  const RawServer store([&](RawSocket& aSocket, int aConnection) {
    if (aConnection == 0) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send(JsonResponse(
        R"({"items":[{"metadata":{"name":"m"},"spec":{}}],"has_more":false,"at":5})"));
      aPlay(aSocket);
    }
    aSocket.ReadUntil("\r\n\r\n");
    aSocket.Send(JsonResponse(
      R"({"events":[{"object":{"metadata":{"name":"m"},"spec":{}}}],"at":6})"));
    aSocket.ReadUntil("\r\n\r\n");
  });
  std::shared_ptr<ObjectFeed> feed;
  feed = std::make_shared<ObjectFeed>(
    loop,
    std::make_shared<ConnectionPool>(loop),
    Address{ "127.0.0.1", store.Port() },
    "versions",
    FeedTiming{ kWait, milliseconds(1) },
    FeedCallbacks{ [&](const auto&) {
                    unseen.push_back(feed->UnseenFor());
                    aBeforeChange(*feed);
                  },
                   [&](const auto&) {
                     unseen.push_back(feed->UnseenFor());
                     feed->Stop();
                     loop.stop();
                   },
                   [] {} });
  feed->Start();
  loop.run();
  return unseen;
}

TEST(ObjectFeed, ChangeAfterAnInterruptionIsNotTakenForNew)
{
  const auto nothing = [](ObjectFeed&) {};
  const auto healthy = UnseenTimes([](RawSocket&) {}, nothing);
  EXPECT_EQ(healthy,
            (std::vector<std::optional<milliseconds>>{ std::nullopt,
                                                       milliseconds(0) }));
  const auto failed = UnseenTimes(
    [](RawSocket& aSocket) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send("HTTP/1.1 503 Service Unavailable\r\n"
                   "Content-Length: 0\r\n\r\n");
    },
    nothing);
  EXPECT_GT(failed.at(1), milliseconds(0));
  const auto paused =
    UnseenTimes([](RawSocket&) {},
                [](ObjectFeed& aFeed) {
                  aFeed.RecordAlive();
                  std::this_thread::sleep_for(milliseconds(400));
                });
  EXPECT_GE(paused.at(1), milliseconds(400));
}

TEST(ObjectFeed, ChangeThatALaterOneReplacesIsNotApplied)
{
  struct Case
  {
    std::vector<nlohmann::json> m_events;
    std::string m_applied; // NAME:REVISION, with - for a deletion
  };
  const auto event =
    [](const std::string& aName, int aRevision, bool aDeleted = false) {
      return nlohmann::json{
        { "deleted", aDeleted },
        { "object",
          { { "metadata", { { "name", aName }, { "rev", aRevision } } },
            { "spec", nlohmann::json::object() } } }
      };
    };
  for (const Case& one : {
         Case{ { event("a", 6), event("a", 7) }, "a:7 " },
         Case{ { event("a", 6), event("b", 7), event("a", 8) }, "b:7 a:8 " },
         Case{ { event("a", 6, true), event("a", 7) }, "a:6- a:7 " },
         Case{ { event("a", 6), event("a", 7, true) }, "a:6 a:7- " },
       }) {
    const RawServer store([&](RawSocket& aSocket, int) {
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send(JsonResponse(R"({"items":[],"has_more":false,"at":5})"));
      aSocket.ReadUntil("\r\n\r\n");
      aSocket.Send(JsonResponse(
        nlohmann::json{ { "events", one.m_events }, { "at", 9 } }.dump()));
      aSocket.ReadUntil("\r\n\r\n");
    });
    Loop loop{ 1 };
    std::string seen;
    const auto feed = std::make_shared<ObjectFeed>(
      loop,
      std::make_shared<ConnectionPool>(loop),
      Address{ "127.0.0.1", store.Port() },
      "config",
      FeedTiming{ kWait, milliseconds(1) },
      FeedCallbacks{ [](const auto&) {},
                     [&](const SiteObject& aObject) {
                       seen += aObject.m_name + ":" +
                               std::to_string(aObject.m_revision) +
                               (aObject.m_deleted ? "- " : " ");
                     },
                     [] {},
                     [&] {
                       if (!seen.empty()) {
                         loop.stop();
                       }
                     } });
    feed->Start();
    loop.run();
    feed->Stop();
    EXPECT_EQ(seen, one.m_applied);
  }
}

TEST(ObjectFeed, ResponseOfAnOlderEraChangesNothingAndOfANewerOneLists)
{
  const std::string changes =
    R"({"events":[{"deleted":false,"object":{"metadata":{"name":"lost",)"
    R"("rev":6},"spec":{}}}],"at":9})";
  Loop loop{ 1 };
  std::vector<std::string> asked;
  const RawServer store([&](RawSocket& aSocket, int) {
    const std::vector<std::string> responses{
      JsonResponse(R"({"items":[],"has_more":false,"at":5})", EraField(2)),
      JsonResponse(changes, EraField(1)),
      JsonResponse(changes, EraField(3)),
      JsonResponse(R"({"items":[],"has_more":false,"at":4})", EraField(3)),
      JsonResponse(R"({"events":[],"at":4})", EraField(3)),
    };
    for (const std::string& response : responses) {
      const std::string head = aSocket.ReadUntil("\r\n\r\n");
      asked.push_back(head.substr(0, head.find("&wait_ms")));
      aSocket.Send(response);
    }
    aSocket.ReadUntil("\r\n\r\n");
  });
  std::vector<std::uint64_t> eras;
  int applied = 0;
  int known = 0;
  const auto feed = std::make_shared<ObjectFeed>(
    loop,
    std::make_shared<ConnectionPool>(loop),
    Address{ "127.0.0.1", store.Port() },
    "servers",
    FeedTiming{ kWait, milliseconds(1) },
    FeedCallbacks{ [](const auto&) {},
                   [&](const auto&) { ++applied; },
                   [] {},
                   [&] {
                     if (++known == 3) {
                       loop.stop();
                     }
                   },
                   [&](std::uint64_t aEra) { eras.push_back(aEra); } });
  feed->Start();
  loop.run();
  feed->Stop();
  EXPECT_EQ(applied, 0);
  EXPECT_EQ(eras, (std::vector<std::uint64_t>{ 2, 3 }));
  EXPECT_EQ(feed->Position(), (StorePosition{ 3, 4 }));
  ASSERT_EQ(asked.size(), 5U);
  EXPECT_NE(asked[1].find("watch=5"), std::string::npos) << asked[1];
  EXPECT_NE(asked[2].find("watch=5"), std::string::npos) << asked[2];
  EXPECT_EQ(asked[3].find("watch="), std::string::npos) << asked[3];
  EXPECT_NE(asked[4].find("watch=4"), std::string::npos) << asked[4];
}

TEST(ObjectFeed, WhatAPeerKnowsOfAnOlderEraChangesNothing)
{
  Loop loop{ 1 };
  const auto feed = std::make_shared<ObjectFeed>(
    loop,
    std::make_shared<ConnectionPool>(loop),
    Address{ "127.0.0.1", 1 },
    "servers",
    FeedTiming{},
    FeedCallbacks{ [](const auto&) {}, [](const auto&) {}, [] {} });
  feed->SetActive(false);
  feed->RecordKnown({ 2, 10 }, milliseconds(1000));
  feed->RecordKnown({ 1, 50 }, milliseconds(2000));
  feed->Continue({ 1, 60 }, milliseconds(2000));
  EXPECT_EQ(feed->Position(), (StorePosition{ 2, 10 }));
  EXPECT_EQ(feed->KnownUntil(), milliseconds(1000));
  feed->RecordKnown({ 3, 5 }, milliseconds(1500));
  EXPECT_EQ(feed->Position(), (StorePosition{ 3, 5 }));
}

// The transfer takes longer than any timeout of a call that receives nothing.
TEST(ObjectFeed, SlowTransferThatProgressesIsNotStartedAgain)
{
  constexpr int kParts = 30;
  constexpr milliseconds kPause{ 300 };
  const std::string padding(kParts * 16384UL, ' ');
  const std::string response =
    JsonResponse(R"({"items":[],"has_more":false,"at":5)" + padding + "}");
  Loop loop{ 1 };
  const RawServer store([&](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    for (int part = 0; part < kParts; ++part) {
      const std::size_t from = response.size() * part / kParts;
      const std::size_t to = response.size() * (part + 1) / kParts;
      if (!aSocket.Send(response.substr(from, to - from))) {
        return;
      }
      std::this_thread::sleep_for(kPause);
    }
    aSocket.ReadUntil("\r\n\r\n");
  });
  int failures = 0;
  bool isListed = false;
  const auto feed =
    std::make_shared<ObjectFeed>(loop,
                                 std::make_shared<ConnectionPool>(loop),
                                 Address{ "127.0.0.1", store.Port() },
                                 "config",
                                 FeedTiming{ kWait, milliseconds(1) },
                                 FeedCallbacks{ [&](const auto&) {
                                                 isListed = true;
                                                 loop.stop();
                                               },
                                                [](const auto&) {},
                                                [&] {
                                                  ++failures;
                                                  loop.stop();
                                                } });
  feed->Start();
  loop.run();
  feed->Stop();
  EXPECT_TRUE(isListed);
  EXPECT_EQ(failures, 0);
}

TEST(SiteStandIn, ChangesOfOtherKindsDoNotDelayAwaitWatched)
{
  constexpr std::uint64_t kFirstRevision = 101;
  SiteStandIn site;
  site.Put("versions", "m", { { "version", 1 } });
  RawSocket watcher(site.Store().m_port);
  watcher.Send(
    "GET " +
    dialect::WatchPath("versions", kFirstRevision, std::chrono::minutes(1)) +
    " HTTP/1.1\r\nHost: x\r\n\r\n");
  site.Put("servers", "i-1", { { "service", "s" } });
  EXPECT_TRUE(site.AwaitWatched("versions"));
}

} // namespace

} // namespace siskindeal

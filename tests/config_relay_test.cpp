// Tests questions for the configuration between gateways, and their replies.

#include "gateway/config_follower_p.h"
#include "gateway/config_server_p.h"
#include "net/datagrams_p.h"
#include "net/gzip_p.h"
#include "support/raw_socket.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kVersion = 7;
// Longer than a RawSocket reads.
constexpr milliseconds kLongWait{ 30000 };

TEST(Gzip, DecompressesWhatItCompressed)
{
  for (const std::size_t size : { 0UL, 1UL, 70000UL, 3000000UL }) {
    std::string bytes(size, 'x');
    for (std::size_t i = 0; i < size; i += 7) {
      bytes[i] = static_cast<char>(i);
    }
    EXPECT_EQ(Decompress(Compress(bytes), size), bytes) << size;
  }
}

TEST(Gzip, RejectsDataThatIsCutOffMalformedOrTooLarge)
{
  const std::string bytes(100000, 'x');
  const std::string compressed = Compress(bytes);
  const std::string cutOff = compressed.substr(0, compressed.size() / 2);
  EXPECT_THROW(Decompress(cutOff, bytes.size()), std::invalid_argument);
  EXPECT_THROW(Decompress("no gzip", bytes.size()), std::invalid_argument);
  EXPECT_THROW(Decompress({}, bytes.size()), std::invalid_argument);
  EXPECT_THROW(Decompress(compressed, bytes.size() - 1), std::invalid_argument);
}

class ConfigServerTest : public testing::Test
{
protected:
  ConfigServerTest()
    : m_listener(m_loop, { "127.0.0.1", 0 }, [this](const auto& aConnection) {
      m_server.Answer(aConnection);
      ++m_questions;
    })
  {
    RunEvery(m_timer, milliseconds(5), [this] { m_server.Tick(); });
    m_thread = std::thread([this] { m_loop.run(); });
  }

  ~ConfigServerTest() override
  {
    m_loop.stop();
    m_thread.join();
  }

  void Update(std::uint64_t aVersion, milliseconds aKnownUntil)
  {
    std::promise<void> done;
    boost::asio::post(m_loop, [&] {
      m_server.Update({ aVersion,
                        { 0, aVersion + 100 },
                        aKnownUntil,
                        std::make_shared<const std::string>("spec"),
                        aKnownUntil });
      done.set_value();
    });
    done.get_future().wait();
  }

  // The response to a question.
  std::string Ask(std::uint64_t aAfter,
                  milliseconds aAge,
                  milliseconds aWait,
                  std::optional<RunnerListMark> aRunners = std::nullopt)
  {
    RawSocket socket(m_listener.Port());
    socket.Send("GET " +
                ConfigQuestion{ aAfter, aAge, aWait, aRunners }.Target() +
                " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return socket.ReadAll();
  }

  static v1::ConfigReply ReplyOf(const std::string& aResponse)
  {
    v1::ConfigReply reply;
    EXPECT_EQ(aResponse.substr(0, 12), "HTTP/1.1 200");
    EXPECT_TRUE(
      reply.ParseFromString(aResponse.substr(aResponse.find("\r\n\r\n") + 4)));
    return reply;
  }

  Loop m_loop{ 1 };
  Timer m_timer{ m_loop };
  RunnerList m_runners;
  NamedVersions m_named;
  ConfigServer m_server{ m_runners, m_named };
  std::atomic<int> m_questions = 0;
  HttpListener m_listener;
  std::thread m_thread;
};

TEST_F(ConfigServerTest, GatewayWithoutConfigurationSaysSo)
{
  EXPECT_EQ(Ask(0, kLongWait, milliseconds(0)).substr(0, 12), "HTTP/1.1 503");
}

TEST_F(ConfigServerTest, OlderVersionIsAnsweredAtOnceWithTheNewerOne)
{
  const milliseconds knownUntil = BootTime() - milliseconds(50);
  Update(kVersion, knownUntil);
  const milliseconds before = BootTime();
  const auto reply = ReplyOf(Ask(kVersion - 1, milliseconds(0), kLongWait));
  EXPECT_EQ(reply.version(), kVersion);
  EXPECT_EQ(reply.revision(), kVersion + 100);
  EXPECT_EQ(reply.spec(), "spec");
  EXPECT_LE(milliseconds(reply.known_until_ms()), knownUntil - before);
  EXPECT_GE(milliseconds(reply.known_until_ms()), knownUntil - BootTime());
}

TEST_F(ConfigServerTest, QuestionWithoutNewsIsAnsweredAfterItsWait)
{
  Update(kVersion, BootTime());
  const auto reply = ReplyOf(Ask(kVersion, milliseconds(0), milliseconds(20)));
  EXPECT_EQ(reply.version(), kVersion);
  EXPECT_TRUE(reply.spec().empty());
}

TEST_F(ConfigServerTest, HeldQuestionIsAnsweredByNews)
{
  constexpr milliseconds kHeld{ 30 };
  for (const std::uint64_t version : { kVersion, kVersion + 1 }) {
    Update(kVersion, BootTime());
    const int asked = m_questions;
    const milliseconds before = BootTime();
    auto response = std::async(std::launch::async, [&] {
      return Ask(kVersion, milliseconds(0), kLongWait);
    });
    while (m_questions == asked) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    const milliseconds arrived = BootTime();
    std::this_thread::sleep_for(kHeld);
    const milliseconds knownUntil = arrived + milliseconds(1000);
    Update(version, knownUntil);
    const auto reply = ReplyOf(response.get());
    EXPECT_EQ(reply.version(), version);
    EXPECT_EQ(reply.spec().empty(), version == kVersion);
    EXPECT_GE(milliseconds(reply.known_until_ms()), knownUntil - arrived);
    EXPECT_LE(milliseconds(reply.known_until_ms()), knownUntil - before);
  }
}

RunnerRecord
RunnerNamed(const std::string& aId, bool aDraining = false)
{
  RunnerRecord runner;
  runner.m_id = aId;
  runner.m_created = 3;
  runner.m_born = 1764793000000;
  runner.m_service = "chat";
  runner.m_address = { "10.0.0.1", 80 };
  runner.m_place = "here";
  runner.m_slots = 8;
  runner.m_draining = aDraining;
  runner.m_versions = { { "m", 2 } };
  return runner;
}

TEST_F(ConfigServerTest, ReplyHoldsTheRunnersThatTheQuestionLacks)
{
  constexpr std::uint64_t kLineage = 5;
  m_runners.Replace({ RunnerNamed("a"), RunnerNamed("b"), RunnerNamed("c") },
                    { kLineage, 10 });
  m_runners.Put(RunnerNamed("b", /* aDraining */ true), 12);
  m_runners.Remove("c", 13);
  m_runners.Advance(14);
  m_named.Record("m", 2, BootTime() - milliseconds(500));
  Update(kVersion, BootTime());
  struct Case
  {
    RunnerListMark m_mark;
    std::vector<std::string> m_runners;
    std::vector<std::string> m_removed;
    bool m_whole;
  };
  for (const Case& one : {
         Case{ { 0, 0 }, { "a", "b" }, {}, true },
         Case{ { kLineage + 1, 99 }, { "a", "b" }, {}, true },
         Case{ { kLineage, 9 }, { "a", "b" }, {}, true }, // before the history
         Case{ { kLineage, 10 }, { "b" }, { "c" }, false },
         Case{ { kLineage, 12 }, {}, { "c" }, false },
       }) {
    const auto reply =
      ReplyOf(Ask(kVersion, milliseconds(0), kLongWait, one.m_mark));
    const RunnerListDelta delta = DecodeRunnerList(reply.runners());
    std::vector<std::string> ids;
    for (const RunnerRecord& runner : delta.m_runners) {
      ids.push_back(runner.m_id);
      EXPECT_EQ(runner, RunnerNamed(runner.m_id, runner.m_id == "b"));
    }
    EXPECT_EQ(ids, one.m_runners);
    EXPECT_EQ(delta.m_removed, one.m_removed);
    EXPECT_EQ(delta.m_whole, one.m_whole);
    EXPECT_EQ(reply.runners().revision(), 14U);
    ASSERT_EQ(reply.named_size(), 1);
    EXPECT_GE(reply.named(0).age_ms(), 500U);
  }
  const RunnerListMark newest{ kLineage, 14 };
  const auto reply =
    ReplyOf(Ask(kVersion, milliseconds(0), milliseconds(20), newest));
  EXPECT_EQ(reply.runners().runners_size() + reply.runners().removed_size(), 0);
}

TEST_F(ConfigServerTest, QuestionThatWantsNoRunnersGetsNone)
{
  m_runners.Replace({ RunnerNamed("a") }, { 5, 10 });
  Update(kVersion, BootTime());
  EXPECT_FALSE(
    ReplyOf(Ask(kVersion - 1, milliseconds(0), kLongWait)).has_runners());
}

// A process that knew only the newest version would use weights older than the
// one before until the newest is due.
TEST(NamedAges, VersionsBeforeTheNewestAreAdvertised)
{
  constexpr milliseconds kNow{ 60000 };
  NamedVersions named;
  named.Record("m", 2, kNow - milliseconds(9000));
  named.Record("m", 3, kNow - milliseconds(1000));
  v1::ConfigReply reply;
  AppendNamedAges(named, kNow, *reply.mutable_named());
  NamedVersions heard;
  for (const v1::NamedAge& one : reply.named()) {
    heard.Record(one.model(), one.version(), kNow - milliseconds(one.age_ms()));
  }
  EXPECT_EQ(heard.NewestOlderThan("m", milliseconds(8000), kNow), 2U);
  EXPECT_EQ(heard.Newest("m"), 3U);
}

TEST_F(ConfigServerTest, ListOfAnOlderEraIsNotPassedOn)
{
  m_runners.Replace({ RunnerNamed("a") }, { 5, 10, 2 });
  Update(kVersion, BootTime());
  const auto ask = [&](std::uint64_t aEra) {
    return ReplyOf(Ask(kVersion,
                       milliseconds(0),
                       milliseconds(20),
                       RunnerListMark{ 6, 3, aEra }));
  };
  EXPECT_EQ(ask(1).runners().era(), 2U);
  EXPECT_TRUE(ask(2).has_runners());
  EXPECT_FALSE(ask(3).has_runners());
}

TEST(ConfigRelay, MalformedRunnerListIsRejected)
{
  v1::RunnerListReply reply;
  reply.add_runners()->set_address("nowhere");
  EXPECT_THROW(DecodeRunnerList(reply), std::invalid_argument);
}

TEST(ConfigFollower, DelayedReplyDoesNotMakeAConfigurationLookRecent)
{
  constexpr milliseconds kDelay{ 200 };
  constexpr milliseconds kKnownBefore{ 100 };
  milliseconds askedAt{ 0 };
  const RawServer peer([&](RawSocket& aSocket, int) {
    aSocket.ReadUntil("\r\n\r\n");
    askedAt = BootTime();
    std::this_thread::sleep_for(kDelay);
    v1::ConfigReply reply;
    reply.set_version(kVersion);
    reply.set_known_until_ms(-kKnownBefore.count());
    const std::string body = reply.SerializeAsString();
    aSocket.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    aSocket.ReadUntil("\r\n\r\n");
  });
  Loop loop{ 1 };
  milliseconds knownUntil{ 0 };
  const milliseconds before = BootTime();
  const auto follower = std::make_shared<ConfigFollower>(
    loop,
    std::make_shared<ConnectionPool>(loop),
    [] { return ConfigQuestion{}; },
    [&](const v1::ConfigReply&, milliseconds aKnownUntil, const std::string&) {
      knownUntil = aKnownUntil;
      loop.stop();
    });
  ConfigHolder holder;
  holder.m_vm = "edge-1";
  holder.m_address = { "127.0.0.1", peer.Port() };
  follower->Follow(holder);
  loop.run();
  EXPECT_GE(knownUntil, before - kKnownBefore);
  EXPECT_LE(knownUntil, askedAt - kKnownBefore);
}

} // namespace

} // namespace siskindeal

// What every implementation of Platform promises, in a table that runs against
// the platform in memory and against the HTTP client over the stand-in.

#include "support/fake_platform.h"

#include "siskindeal/metrics.h"
#include "siskindeal/platform_client.h"
#include "standin/platform.h"

#include <gtest/gtest.h>

#include <optional>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

enum class Fault
{
  None,
  Outage,
  Rate,
  LostAnswerOnce,
  LostRequestOnce,
  TruncatedAnswerOnce,
  WatchGap,
};

// An implementation with its faults and its way to let time pass.
class World
{
public:
  virtual ~World() = default;
  virtual Platform& Get() = 0;
  virtual void Set(Fault aFault) = 0;
  // A write by another, past all faults.
  virtual void Overwrite(const std::string& aKey,
                         const std::string& aValue) = 0;
  // Whether it finds out by itself what became of a write.
  virtual bool Resolves() const = 0;
  virtual void Pass() = 0;

  // The answer of a call that aStart makes.
  template<typename T, typename Start>
  T Await(const Start& aStart)
  {
    struct Slot
    {
      absl::Mutex m_mutex;
      std::optional<T> m_value;
    };
    const auto slot = std::make_shared<Slot>();
    aStart([slot](T aValue) {
      const absl::MutexLock lock(&slot->m_mutex);
      EXPECT_FALSE(slot->m_value.has_value()) << "answered twice";
      slot->m_value = std::move(aValue);
    });
    while (true) {
      {
        const absl::MutexLock lock(&slot->m_mutex);
        if (slot->m_value) {
          return *slot->m_value;
        }
      }
      Pass();
    }
  }

  PlatformReply Put(const std::string& aKey,
                    const std::string& aValue,
                    std::uint64_t aExpected,
                    const std::string& aId)
  {
    return Await<PlatformReply>([&](auto aDone) {
      Get().Put(PlatformUse::Lease, { aKey, aValue, aExpected, aId }, aDone);
    });
  }
  PlatformReply Delete(const std::string& aKey,
                       std::uint64_t aExpected,
                       const std::string& aId)
  {
    return Await<PlatformReply>([&](auto aDone) {
      Get().Delete(PlatformUse::Lease, { aKey, "", aExpected, aId }, aDone);
    });
  }
  PlatformReply Read(const std::string& aKey)
  {
    return Await<PlatformReply>(
      [&](auto aDone) { Get().Get(PlatformUse::Lease, aKey, aDone); });
  }
  PlatformChanges List(const std::string& aPrefix)
  {
    return Await<PlatformChanges>(
      [&](auto aDone) { Get().List(PlatformUse::Config, aPrefix, aDone); });
  }
  PlatformChanges Watch(const std::string& aPrefix, std::uint64_t aAfter)
  {
    return Await<PlatformChanges>([&](auto aDone) {
      Get().Watch(
        PlatformUse::Config, aPrefix, aAfter, milliseconds{ 50 }, aDone);
    });
  }
};

class FakeWorld final : public World
{
public:
  Platform& Get() override { return m_platform; }
  void Set(Fault aFault) override
  {
    auto& faults = m_platform.Faults();
    faults = {};
    faults.m_outage = aFault == Fault::Outage;
    faults.m_rateLimited = aFault == Fault::Rate ? 1 : 0;
    const bool noAnswer =
      aFault == Fault::LostAnswerOnce || aFault == Fault::TruncatedAnswerOnce;
    faults.m_lostAnswers = noAnswer ? 1 : 0;
    faults.m_lostRequests = aFault == Fault::LostRequestOnce ? 1 : 0;
    if (aFault == Fault::WatchGap) {
      m_platform.Compact();
    }
  }
  void Overwrite(const std::string& aKey, const std::string& aValue) override
  {
    ASSERT_TRUE(
      m_platform.Write(aKey, aValue, m_platform.Stored(aKey).m_version));
  }
  bool Resolves() const override { return false; }
  void Pass() override { m_platform.Advance(milliseconds{ 10 }); }

private:
  ManualClock m_clock;
  FakePlatform m_platform{ m_clock, 1 };
};

class HttpWorld final : public World
{
public:
  HttpWorld()
  {
    m_settings.m_url = m_standIn.Url();
    m_settings.m_readsPerSecond = 1000;
    m_settings.m_writesPerSecond = 1000;
    m_settings.m_timeout = milliseconds{ 5000 };
    m_platform = PlatformRegistry::Instance().Make(
      "http", m_settings, m_http, m_pool, m_clock);
  }
  ~HttpWorld() override { m_pool.Stop(); }

  Platform& Get() override { return *m_platform; }
  void Set(Fault aFault) override
  {
    auto& faults = m_standIn.GetFaults();
    for (const auto* name : { "outage",
                              "refuse",
                              "lose_answer",
                              "reset",
                              "truncate",
                              "watch_gap" }) {
      faults.Clear(name);
    }
    switch (aFault) {
      case Fault::None:
        break;
      case Fault::Outage:
        return faults.Set("outage");
      case Fault::Rate:
        return faults.Set("refuse");
      case Fault::LostAnswerOnce:
        return faults.Set("lose_answer", { .m_value = "", .m_times = 1 });
      case Fault::LostRequestOnce:
        return faults.Set("reset", { .m_value = "", .m_times = 1 });
      case Fault::TruncatedAnswerOnce:
        return faults.Set("truncate", { .m_value = "", .m_times = 1 });
      case Fault::WatchGap:
        return faults.Set("watch_gap");
    }
  }
  void Overwrite(const std::string& aKey, const std::string& aValue) override
  {
    m_standIn.SetObject(aKey, aValue);
  }
  bool Resolves() const override { return true; }
  void Pass() override
  {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 1 });
  }

private:
  standin::PlatformStandIn m_standIn{ {} };
  SystemClock m_clock;
  WorkerPool m_pool{ 2 };
  HttpClient m_http;
  PlatformSettings m_settings;
  std::unique_ptr<Platform> m_platform;
};

class PlatformContract : public testing::TestWithParam<bool>
{
protected:
  void SetUp() override
  {
    m_world = GetParam() ? std::unique_ptr<World>(new HttpWorld())
                         : std::unique_ptr<World>(new FakeWorld());
  }

  std::unique_ptr<World> m_world;
};

TEST_P(PlatformContract, WritesOnlyAtTheExpectedVersionAndVersionsOnlyGrow)
{
  auto& world = *m_world;
  EXPECT_EQ(world.Read("a/ä 1").m_outcome, PlatformOutcome::NotFound);
  const auto made = world.Put("a/ä 1", "one", 0, "c1");
  ASSERT_EQ(made.m_outcome, PlatformOutcome::Ok);
  const auto again = world.Put("a/ä 1", "two", 0, "c2");
  EXPECT_EQ(again.m_outcome, PlatformOutcome::Conflict);
  EXPECT_EQ(again.m_object.m_value, "one");
  EXPECT_EQ(again.m_object.m_changeId, "c1");
  const auto changed =
    world.Put("a/ä 1", "three", made.m_object.m_version, "c3");
  ASSERT_EQ(changed.m_outcome, PlatformOutcome::Ok);
  EXPECT_EQ(world.Put("a/ä 1", "four", made.m_object.m_version, "c4").m_outcome,
            PlatformOutcome::Conflict);
  EXPECT_EQ(world.Read("a/ä 1").m_object.m_value, "three");
  ASSERT_EQ(world.Delete("a/ä 1", changed.m_object.m_version, "c5").m_outcome,
            PlatformOutcome::Ok);
  EXPECT_EQ(world.Read("a/ä 1").m_outcome, PlatformOutcome::NotFound);
  EXPECT_EQ(world.Delete("a/ä 1", changed.m_object.m_version, "c6").m_outcome,
            PlatformOutcome::NotFound);
  const auto anew = world.Put("a/ä 1", "five", 0, "c7");
  ASSERT_EQ(anew.m_outcome, PlatformOutcome::Ok);
  EXPECT_GT(anew.m_object.m_version, changed.m_object.m_version + 1);
  const std::string large(kPlatformValueBytes + 1, 'x');
  EXPECT_EQ(world.Put("a/large", large, 0, "c8").m_outcome,
            PlatformOutcome::Invalid);
}

TEST_P(PlatformContract, ListsAndWatchesAPrefix)
{
  auto& world = *m_world;
  world.Put("a/1", "one", 0, "c1");
  world.Put("b/1", "other", 0, "c2");
  const auto listed = world.List("a/");
  ASSERT_EQ(listed.m_outcome, PlatformOutcome::Ok);
  ASSERT_EQ(listed.m_objects.size(), 1U);
  EXPECT_TRUE(world.Watch("a/", listed.m_revision).m_objects.empty());
  world.Put("a/2", "two", 0, "c3");
  world.Delete("a/1", listed.m_objects[0].m_version, "c4");
  const auto watched = world.Watch("a/", listed.m_revision);
  ASSERT_EQ(watched.m_objects.size(), 2U);
  EXPECT_GT(watched.m_revision, listed.m_revision);
  for (const auto& object : watched.m_objects) {
    EXPECT_EQ(object.m_deleted, object.m_key == "a/1");
  }
  EXPECT_TRUE(world.Watch("a/", watched.m_revision).m_objects.empty());
  world.Set(Fault::WatchGap);
  EXPECT_EQ(world.Watch("a/", listed.m_revision - 1).m_outcome,
            PlatformOutcome::Compacted);
}

TEST_P(PlatformContract, FaultsOfAWrite)
{
  struct Case
  {
    const char* m_name;
    Fault m_fault;
    bool m_overwritten; // by another, just before
    PlatformOutcome m_outcome;
    PlatformOutcome m_resolved; // where the client finds out
    std::string m_stored;
  };
  using Outcome = PlatformOutcome;
  const Case cases[] = {
    { "none", Fault::None, false, Outcome::Ok, Outcome::Ok, "new" },
    { "raced",
      Fault::None,
      true,
      Outcome::Conflict,
      Outcome::Conflict,
      "other" },
    { "outage",
      Fault::Outage,
      false,
      Outcome::Unavailable,
      Outcome::Unavailable,
      "old" },
    { "rate",
      Fault::Rate,
      false,
      Outcome::Unavailable,
      Outcome::Unavailable,
      "old" },
    { "lost answer",
      Fault::LostAnswerOnce,
      false,
      Outcome::Unknown,
      Outcome::Ok,
      "new" },
    { "raced, lost answer",
      Fault::LostAnswerOnce,
      true,
      Outcome::Unknown,
      Outcome::Conflict,
      "other" },
    { "lost request",
      Fault::LostRequestOnce,
      false,
      Outcome::Unknown,
      Outcome::Ok,
      "" },
    { "truncated answer",
      Fault::TruncatedAnswerOnce,
      false,
      Outcome::Unknown,
      Outcome::Ok,
      "new" },
  };
  auto& world = *m_world;
  for (const auto& testCase : cases) {
    SCOPED_TRACE(testCase.m_name);
    const auto key = std::string("faults/") + testCase.m_name;
    const auto made = world.Put(key, "old", 0, key + "1");
    ASSERT_EQ(made.m_outcome, Outcome::Ok);
    if (testCase.m_overwritten) {
      world.Overwrite(key, "other");
    }
    world.Set(testCase.m_fault);
    const auto reply =
      world.Put(key, "new", made.m_object.m_version, key + "2");
    world.Set(Fault::None);
    EXPECT_EQ(reply.m_outcome,
              world.Resolves() ? testCase.m_resolved : testCase.m_outcome);
    if (testCase.m_outcome == Outcome::Unavailable) {
      EXPECT_GT(reply.m_retryAfter.count(), 0);
    }
    PlatformReply stored;
    while (stored.m_outcome != Outcome::Ok) { // a refusal holds calls back
      stored = world.Read(key);
    }
    const auto lost = testCase.m_stored.empty();
    EXPECT_EQ(stored.m_object.m_value,
              lost ? (world.Resolves() ? "new" : "old") : testCase.m_stored);
  }
}

INSTANTIATE_TEST_SUITE_P(FakeAndHttp,
                         PlatformContract,
                         testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "Http" : "Fake";
                         });

TEST(HttpPlatform, CountsEveryCallByUseAndOutcome)
{
  HttpWorld world;
  world.Put("counted", "x", 0, "c1");
  const auto text = MetricsText();
  EXPECT_NE(text.find("siskindeal_platform_calls_total{"), std::string::npos);
  EXPECT_NE(text.find("use=\"lease\""), std::string::npos);
  EXPECT_NE(text.find("outcome=\"200\""), std::string::npos);
}

} // namespace
} // namespace siskindeal

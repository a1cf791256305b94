// Tests the contract of Platform with the in-memory fake, and with the HTTP
// client and the stand-in.

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
  LostReplyOnce,
  LostRequestOnce,
  TruncatedReplyOnce,
  WatchGap,
};

// An implementation of Platform with fault injection and control of time.
class PlatformHarness
{
public:
  virtual ~PlatformHarness() = default;
  virtual Platform& Get() = 0;
  virtual void SetFault(Fault aFault) = 0;
  // Writes as another client, bypassing faults.
  virtual void Overwrite(const std::string& aKey,
                         const std::string& aValue) = 0;
  // Returns whether the client resolves writes whose reply was lost.
  virtual bool ResolvesLostWrites() const = 0;
  virtual void WaitStep() = 0;

  // Starts a call and waits for its reply.
  template<typename T, typename Start>
  T Await(const Start& aStart)
  {
    struct Result
    {
      absl::Mutex m_mutex;
      std::optional<T> m_value;
    };
    const auto result = std::make_shared<Result>();
    aStart([result](T aValue) {
      const absl::MutexLock lock(&result->m_mutex);
      EXPECT_FALSE(result->m_value.has_value()) << "answered twice";
      result->m_value = std::move(aValue);
    });
    while (true) {
      {
        const absl::MutexLock lock(&result->m_mutex);
        if (result->m_value) {
          return *result->m_value;
        }
      }
      WaitStep();
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

class FakeHarness final : public PlatformHarness
{
public:
  Platform& Get() override { return m_platform; }
  void SetFault(Fault aFault) override
  {
    auto& faults = m_platform.Faults();
    faults = {};
    faults.m_outage = aFault == Fault::Outage;
    faults.m_rateLimited = aFault == Fault::Rate ? 1 : 0;
    const bool noReply =
      aFault == Fault::LostReplyOnce || aFault == Fault::TruncatedReplyOnce;
    faults.m_lostAnswers = noReply ? 1 : 0;
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
  bool ResolvesLostWrites() const override { return false; }
  void WaitStep() override { m_platform.Advance(milliseconds{ 10 }); }

private:
  ManualClock m_clock;
  FakePlatform m_platform{ m_clock, 1 };
};

class HttpHarness final : public PlatformHarness
{
public:
  HttpHarness()
  {
    m_settings.m_url = m_standIn.Url();
    m_settings.m_readsPerSecond = 1000;
    m_settings.m_writesPerSecond = 1000;
    m_settings.m_timeout = milliseconds{ 5000 };
    m_platform = PlatformRegistry::Instance().Make(
      "http", m_settings, m_http, m_pool, m_clock);
  }
  ~HttpHarness() override { m_pool.Stop(); }

  Platform& Get() override { return *m_platform; }
  void SetFault(Fault aFault) override
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
      case Fault::LostReplyOnce:
        return faults.Set("lose_answer", { .m_value = "", .m_times = 1 });
      case Fault::LostRequestOnce:
        return faults.Set("reset", { .m_value = "", .m_times = 1 });
      case Fault::TruncatedReplyOnce:
        return faults.Set("truncate", { .m_value = "", .m_times = 1 });
      case Fault::WatchGap:
        return faults.Set("watch_gap");
    }
  }
  void Overwrite(const std::string& aKey, const std::string& aValue) override
  {
    m_standIn.SetObject(aKey, aValue);
  }
  bool ResolvesLostWrites() const override { return true; }
  void WaitStep() override
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
    m_harness = GetParam()
                  ? std::unique_ptr<PlatformHarness>(new HttpHarness())
                  : std::unique_ptr<PlatformHarness>(new FakeHarness());
  }

  std::unique_ptr<PlatformHarness> m_harness;
};

TEST_P(PlatformContract, WritesAreConditionalAndVersionsIncrease)
{
  auto& harness = *m_harness;
  EXPECT_EQ(harness.Read("a/ä 1").m_outcome, PlatformOutcome::NotFound);
  const auto created = harness.Put("a/ä 1", "one", 0, "c1");
  ASSERT_EQ(created.m_outcome, PlatformOutcome::Ok);
  const auto secondCreate = harness.Put("a/ä 1", "two", 0, "c2");
  EXPECT_EQ(secondCreate.m_outcome, PlatformOutcome::Conflict);
  EXPECT_EQ(secondCreate.m_object.m_value, "one");
  EXPECT_EQ(secondCreate.m_object.m_changeId, "c1");
  const auto updated =
    harness.Put("a/ä 1", "three", created.m_object.m_version, "c3");
  ASSERT_EQ(updated.m_outcome, PlatformOutcome::Ok);
  EXPECT_EQ(
    harness.Put("a/ä 1", "four", created.m_object.m_version, "c4").m_outcome,
    PlatformOutcome::Conflict);
  EXPECT_EQ(harness.Read("a/ä 1").m_object.m_value, "three");
  ASSERT_EQ(harness.Delete("a/ä 1", updated.m_object.m_version, "c5").m_outcome,
            PlatformOutcome::Ok);
  EXPECT_EQ(harness.Read("a/ä 1").m_outcome, PlatformOutcome::NotFound);
  EXPECT_EQ(harness.Delete("a/ä 1", updated.m_object.m_version, "c6").m_outcome,
            PlatformOutcome::NotFound);
  const auto recreated = harness.Put("a/ä 1", "five", 0, "c7");
  ASSERT_EQ(recreated.m_outcome, PlatformOutcome::Ok);
  EXPECT_GT(recreated.m_object.m_version, updated.m_object.m_version + 1);
  const std::string large(kMaxPlatformValueBytes + 1, 'x');
  EXPECT_EQ(harness.Put("a/large", large, 0, "c8").m_outcome,
            PlatformOutcome::Invalid);
}

TEST_P(PlatformContract, ListsAndWatchesPrefix)
{
  auto& harness = *m_harness;
  harness.Put("a/1", "one", 0, "c1");
  harness.Put("b/1", "other", 0, "c2");
  const auto listed = harness.List("a/");
  ASSERT_EQ(listed.m_outcome, PlatformOutcome::Ok);
  ASSERT_EQ(listed.m_objects.size(), 1U);
  EXPECT_TRUE(harness.Watch("a/", listed.m_revision).m_objects.empty());
  harness.Put("a/2", "two", 0, "c3");
  harness.Delete("a/1", listed.m_objects[0].m_version, "c4");
  const auto watched = harness.Watch("a/", listed.m_revision);
  ASSERT_EQ(watched.m_objects.size(), 2U);
  EXPECT_GT(watched.m_revision, listed.m_revision);
  for (const auto& object : watched.m_objects) {
    EXPECT_EQ(object.m_deleted, object.m_key == "a/1");
  }
  EXPECT_TRUE(harness.Watch("a/", watched.m_revision).m_objects.empty());
  harness.SetFault(Fault::WatchGap);
  EXPECT_EQ(harness.Watch("a/", listed.m_revision - 1).m_outcome,
            PlatformOutcome::Compacted);
}

TEST_P(PlatformContract, WriteOutcomeUnderFaults)
{
  struct Case
  {
    const char* m_name;
    Fault m_fault;
    bool m_overwritten; // by another client just before the write
    PlatformOutcome m_outcome;
    PlatformOutcome m_resolved; // if the client resolves lost replies
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
    { "lost reply",
      Fault::LostReplyOnce,
      false,
      Outcome::Unknown,
      Outcome::Ok,
      "new" },
    { "raced, lost reply",
      Fault::LostReplyOnce,
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
    { "truncated reply",
      Fault::TruncatedReplyOnce,
      false,
      Outcome::Unknown,
      Outcome::Ok,
      "new" },
  };
  auto& harness = *m_harness;
  for (const auto& testCase : cases) {
    SCOPED_TRACE(testCase.m_name);
    const auto key = std::string("faults/") + testCase.m_name;
    const auto created = harness.Put(key, "old", 0, key + "1");
    ASSERT_EQ(created.m_outcome, Outcome::Ok);
    if (testCase.m_overwritten) {
      harness.Overwrite(key, "other");
    }
    harness.SetFault(testCase.m_fault);
    const auto reply =
      harness.Put(key, "new", created.m_object.m_version, key + "2");
    harness.SetFault(Fault::None);
    EXPECT_EQ(reply.m_outcome,
              harness.ResolvesLostWrites() ? testCase.m_resolved
                                           : testCase.m_outcome);
    if (testCase.m_outcome == Outcome::Unavailable) {
      EXPECT_GT(reply.m_retryAfter.count(), 0);
    }
    PlatformReply stored;
    // The client rejects calls for a time after a refusal.
    while (stored.m_outcome != Outcome::Ok) {
      stored = harness.Read(key);
    }
    const auto isLostRequest = testCase.m_stored.empty();
    EXPECT_EQ(stored.m_object.m_value,
              isLostRequest ? (harness.ResolvesLostWrites() ? "new" : "old")
                            : testCase.m_stored);
  }
}

INSTANTIATE_TEST_SUITE_P(FakeAndHttp,
                         PlatformContract,
                         testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "Http" : "Fake";
                         });

TEST(HttpPlatform, CountsCallsByUseAndOutcome)
{
  HttpHarness harness;
  harness.Put("counted", "x", 0, "c1");
  const auto text = MetricsText();
  EXPECT_NE(text.find("siskindeal_platform_calls_total{"), std::string::npos);
  EXPECT_NE(text.find("use=\"lease\""), std::string::npos);
  EXPECT_NE(text.find("outcome=\"200\""), std::string::npos);
}

} // namespace
} // namespace siskindeal

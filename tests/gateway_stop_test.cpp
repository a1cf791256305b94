// Tests which requests a gateway takes during a planned stop, and how it ends
// those that it has taken.

#include "dispatch/route_durations_p.h"
#include "support/gateway_fixture.h"

#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

class GatewayStopTest : public GatewayTest
{
protected:
  // Whether the gateway has begun to stop.
  bool IsStopping()
  {
    try {
      return !IsReady();
    } catch (const std::system_error&) {
      return true;
    }
  }

  // Sends a request whose last bytes arrive once the gateway is stopping.
  std::string SendAcrossTheStop()
  {
    const std::string request = Request("POST", "/post/a", {}, "four tees");
    RawSocket socket(m_gateway->CallersPort());
    socket.Send(request.substr(0, request.size() - 4));
    EXPECT_TRUE(IsReady() && IsReady()); // it has been accepted meanwhile
    m_gateway->RequestShutdown();
    EXPECT_TRUE(Eventually([&] { return IsStopping(); }));
    socket.Send(request.substr(request.size() - 4));
    return socket.ReadAll();
  }

  std::atomic<int> m_begun = 0;
};

TEST_F(GatewayStopTest, RequestThatNeedsLongerThanTheStopIsRefusedAtOnce)
{
  constexpr milliseconds kDuration{ 900 };
  m_graceSeconds = 1;
  Timer timer(m_site.m_loop);
  std::vector<std::shared_ptr<ServerConnection>> unanswered;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    if (m_begun++ > 0) {
      unanswered.push_back(aConnection);
      return;
    }
    timer.expires_after(kDuration);
    timer.async_wait([aConnection](const NetError&) { Answer(aConnection); });
  });
  StartAndAwaitReady();
  ASSERT_NE(SendRequest(Request("POST", "/post/a")).find(" 200 "),
            std::string::npos);
  const std::string answer = SendAcrossTheStop();
  EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
  EXPECT_NE(answer.find("shutting down before"), std::string::npos) << answer;
  EXPECT_EQ(m_begun, 1);
  m_site.RunOnLoop([&] { unanswered.clear(); });
}

TEST_F(GatewayStopTest, RequestThatCompletesBeforeTheStopIsServed)
{
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    ++m_begun;
    Answer(aConnection);
  });
  StartAndAwaitReady();
  ASSERT_NE(SendRequest(Request("POST", "/post/a")).find(" 200 "),
            std::string::npos);
  EXPECT_NE(SendAcrossTheStop().find(" 200 "), std::string::npos);
  EXPECT_EQ(m_begun, 2);
}

// The process would be killed while it waits for cached addresses to lapse.
TEST_F(GatewayStopTest, RequestsAreAnsweredAlthoughAddressesStayCachedForLonger)
{
  m_graceSeconds = 1;
  m_answerLifetime = milliseconds(2000);
  std::vector<std::shared_ptr<ServerConnection>> unanswered;
  m_site.AddRunner("i-1", "post", [&](const auto& aConnection) {
    unanswered.push_back(aConnection);
    ++m_begun;
  });
  StartAndAwaitReady();
  RawSocket waiting(m_gateway->CallersPort());
  waiting.Send(Request("POST", "/post/a"));
  ASSERT_TRUE(Eventually([&] { return m_begun == 1; }));
  m_gateway->RequestShutdown();
  const std::string answer = waiting.ReadAll();
  EXPECT_NE(answer.find(" 504 "), std::string::npos) << answer;
  EXPECT_NE(answer.find("gateway is shutting down"), std::string::npos)
    << answer;
  m_site.RunOnLoop([&] { unanswered.clear(); });
}

TEST(RouteDurations, LongestOfTheLatestRequestsCounts)
{
  constexpr auto kSamples = static_cast<int>(RouteDurations::kMaxSamples);
  RouteDurations durations;
  EXPECT_FALSE(durations.Longest("a"));
  durations.Record("a", milliseconds(2000));
  EXPECT_FALSE(durations.Longest("b"));
  for (int i = 0; i < kSamples - 1; ++i) {
    durations.Record("a", milliseconds(i));
    EXPECT_EQ(durations.Longest("a"), milliseconds(2000));
  }
  for (int i = 0; i < 3 * kSamples; ++i) {
    durations.Record("a", milliseconds(100 + i));
    EXPECT_EQ(durations.Longest("a"), milliseconds(100 + i));
  }
  durations.Retain({ "b" });
  EXPECT_FALSE(durations.Longest("a"));
}

TEST(RouteDurations, RequestIsTakenIfItIsOverBeforeTheExit)
{
  struct Case
  {
    int m_untilExit;
    int m_untilDeadline;
    std::optional<int> m_longest;
    bool m_taken;
  };
  for (const Case& one : {
         Case{ 4700, 6000, 3000, true },
         Case{ 2000, 6000, 3000, false },
         Case{ 2000, 1500, 3000, true }, // answered by its deadline
         Case{ 2000, 6000, std::nullopt, false },
         Case{ 7000, 6000, std::nullopt, true },
         Case{ -10, 6000, 1, false },
         Case{ -10, 0, 1, false },
       }) {
    const auto longest = one.m_longest
                           ? std::optional(milliseconds(*one.m_longest))
                           : std::nullopt;
    EXPECT_EQ(CompletesBeforeExit(milliseconds(one.m_untilExit),
                                  milliseconds(one.m_untilDeadline),
                                  longest),
              one.m_taken)
      << one.m_untilExit << " " << one.m_untilDeadline;
  }
}

} // namespace

} // namespace siskindeal

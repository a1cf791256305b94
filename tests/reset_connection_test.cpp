// Tests requests that may run only once, at a runner that resets connections
// beyond those that it takes.

#include "support/raw_runner.h"

#include <gtest/gtest.h>

#include <future>
#include <iostream>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr int kMaxConnections = 4;
constexpr int kManyConnections = 1000;
constexpr int kBookings = 20;

class ResetConnectionTest : public RawRunnerTest
{
protected:
  // Both routes lead to one service.
  void SetUp() override
  {
    nlohmann::json config = ConfigJson(1);
    for (nlohmann::json& route : config["routes"]) {
      route["service"] = "post";
    }
    m_site.Put("config", "main", config);
  }

  void ServeSome(RawSocket& aSocket,
                 std::atomic<int>& aConnections,
                 int aMaxConnections)
  {
    if (++aConnections > aMaxConnections) {
      --aConnections;
      ++m_resets;
      aSocket.Reset();
      return;
    }
    for (;;) {
      const std::string head = NextHead(aSocket);
      if (head.empty()) {
        break;
      }
      CountRun(IdOf(head));
      if (head.find("/hold") != std::string::npos) {
        ++m_held;
        while (m_holds && !m_stopping) {
          std::this_thread::sleep_for(milliseconds(5));
        }
      }
      aSocket.Send(Answered(IdOf(head)));
    }
    --aConnections;
  }

  void AddRunner(const std::string& aId, int aMaxConnections)
  {
    m_connections.push_back(std::make_unique<std::atomic<int>>(0));
    List(aId,
         "post",
         StartRunner([this,
                      aMaxConnections,
                      count = m_connections.back().get()](RawSocket& aSocket) {
           ServeSome(aSocket, *count, aMaxConnections);
         }));
  }

  // Occupies all connections with requests of a route.
  std::vector<std::future<std::string>> HoldAll(const std::string& aRoute)
  {
    std::vector<std::future<std::string>> held;
    held.reserve(kMaxConnections);
    for (int i = 0; i < kMaxConnections; ++i) {
      held.push_back(std::async(std::launch::async, [=, this] {
        return SendAs("held-" + std::to_string(i), aRoute + "hold");
      }));
    }
    EXPECT_TRUE(Eventually([&] { return m_held == kMaxConnections; }));
    return held;
  }

  // Sends bookings one after the other, or in that many threads, and checks
  // that the runs fit what the callers are told.
  void Book(int aCallers)
  {
    std::map<std::string, int> counts;
    const auto call = [&](int aCaller) {
      for (int i = aCaller; i < kBookings; i += aCallers) {
        const std::string id = "n-" + std::to_string(i);
        const std::string answer = SendAs(id, "/post/a");
        const int status = StatusOf(answer);
        const int runs = RunsOf(id);
        EXPECT_LE(runs, 1);
        EXPECT_EQ(status == 200, runs == 1) << answer;
        {
          const std::lock_guard lock(m_mutex);
          const auto body = answer.find("\r\n\r\n");
          ++counts[std::to_string(status) + " " +
                   (status == 200 ? "" : answer.substr(body + 4))];
        }
      }
    };
    std::vector<std::future<void>> callers;
    callers.reserve(aCallers);
    for (int i = 0; i < aCallers; ++i) {
      callers.push_back(std::async(std::launch::async, call, i));
    }
    callers.clear(); // waits
    for (const auto& [answer, count] : counts) {
      std::cout << "answers " << answer << ": " << count << '\n';
    }
    std::cout << "connections reset: " << m_resets << '\n';
  }

  std::vector<std::unique_ptr<std::atomic<int>>> m_connections; // by runner
  std::atomic<int> m_resets = 0;
  std::atomic<int> m_held = 0;
  std::atomic<bool> m_holds = true;
};

TEST_F(ResetConnectionTest, BookingsBesideBusyConnectionsRunOnceOrNever)
{
  AddRunner("i-1", kMaxConnections);
  StartAndAwaitReady();
  const auto held = HoldAll("/post/");
  Book(1);
  EXPECT_GT(m_resets, 0);
  m_holds = false;
}

TEST_F(ResetConnectionTest, BookingsAtOnceBesideBusyConnectionsRunOnceOrNever)
{
  AddRunner("i-1", kMaxConnections);
  StartAndAwaitReady();
  const auto held = HoldAll("/post/");
  Book(kBookings);
  EXPECT_GT(m_resets, 0);
  m_holds = false;
}

TEST_F(ResetConnectionTest, BookingsBesideIdleConnectionsRunOnceOrNever)
{
  AddRunner("i-1", kMaxConnections);
  StartAndAwaitReady();
  auto held = HoldAll("/get/");
  m_holds = false;
  held.clear(); // their connections are idle now
  Book(1);
}

TEST_F(ResetConnectionTest,
       BookingsBesideIdleConnectionsAndAnotherRunnerRunOnceOrNever)
{
  AddRunner("i-1", kMaxConnections);
  StartAndAwaitReady();
  auto held = HoldAll("/get/");
  m_holds = false;
  held.clear(); // their connections are idle now
  AddRunner("i-2", kManyConnections);
  ASSERT_TRUE(Eventually([&] { return RunnerCount() == 2; }));
  Book(1);
}

} // namespace

} // namespace siskindeal

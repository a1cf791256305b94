// Randomised runs of the retry allowance that all gateways share, over a given
// clock: gateways restart, pause and join while runners reject requests. The
// rule is checked over all gateways together (RULES.md, BUDGET).

#include "dispatch/retry_budget_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };
const std::string kService = "caddie";
constexpr milliseconds kTick{ 10 };
constexpr milliseconds kRunTime{ 60000 };
constexpr int kMaxSends = 5;
const RetryAllowance kAllowance{ 0.2, milliseconds(10000), 106 };

// Events by time, of which those in a span can be counted.
class EventCounts
{
public:
  void Record(MonotonicTime aAt) { m_times.push_back(aAt); }
  double Between(MonotonicTime aAfter, MonotonicTime aUntil) const
  {
    const auto from = std::upper_bound(m_times.begin(), m_times.end(), aAfter);
    const auto to = std::upper_bound(m_times.begin(), m_times.end(), aUntil);
    return static_cast<double>(to - from);
  }

private:
  std::deque<MonotonicTime> m_times; // ascending
};

struct FleetShape
{
  std::size_t m_gateways = 0;
  double m_requestsPerSecond = 0;      // of all gateways
  double m_rejected = 0;               // share of sends
  milliseconds m_restartInterval{ 0 }; // mean, of all gateways; 0: none
  double m_pausesPerSecond = 0;
};

// Gateways with callers' requests, some of which are rejected by each runner.
class RetryFleet
{
public:
  RetryFleet(const FleetShape& aShape, std::uint64_t aSeed)
    : m_shape(aShape)
    , m_random(aSeed)
  {
    for (std::size_t i = 0; i < aShape.m_gateways; ++i) {
      m_gateways.push_back({ MakeBudget(), {}, 0 });
    }
    m_now += kAllowance.m_window; // traffic starts later than the gateways
  }

  // Advances the clock by one tick.
  void Step()
  {
    m_now += kTick;
    const double seconds = std::chrono::duration<double>(kTick).count();
    if (m_shape.m_restartInterval.count() > 0 &&
        m_random.Chance(kTick / std::chrono::duration<double, std::milli>(
                                  m_shape.m_restartInterval))) {
      RestartAll();
    }
    if (m_random.Chance(m_shape.m_pausesPerSecond * seconds)) {
      m_gateways[m_random.Below(m_gateways.size())].m_pausedUntil =
        m_now + milliseconds(m_random.Below(3000));
    }
    m_owed += m_shape.m_requestsPerSecond * seconds;
    for (; m_owed >= 1; m_owed -= 1) {
      ++m_gateways[m_random.Below(m_gateways.size())].m_waiting;
      m_requests.Record(m_now);
    }
    for (Gateway& gateway : m_gateways) {
      while (gateway.m_pausedUntil <= m_now && gateway.m_waiting > 0) {
        --gateway.m_waiting;
        Serve(gateway);
      }
    }
  }

  // Arrivals in the latest window beyond what is allowed.
  double Excess() const
  {
    const milliseconds window = kAllowance.m_window;
    const auto requestsUntil = [&](MonotonicTime aUntil) {
      return m_requests.Between(aUntil - window, aUntil);
    };
    const double requests = std::max({ requestsUntil(m_now),
                                       requestsUntil(m_now - window / 2),
                                       requestsUntil(m_now - window) });
    return m_repeats.Between(m_now - window, m_now) -
           (kAllowance.m_ratio * requests + kAllowance.m_slack);
  }

  double Repeats() const { return m_repeats.Between({}, m_now); }

private:
  struct Gateway
  {
    SharedRetryBudget m_budget;
    MonotonicTime m_pausedUntil;
    int m_waiting = 0; // requests that have arrived
  };

  SharedRetryBudget MakeBudget() const
  {
    SharedRetryBudget budget(kAllowance, m_now);
    budget.SetGatewayCount(m_shape.m_gateways);
    return budget;
  }

  // As when processes are replaced in series, or all killed at once.
  void RestartAll()
  {
    for (Gateway& gateway : m_gateways) {
      gateway.m_budget = MakeBudget();
    }
  }

  void Serve(Gateway& aGateway)
  {
    aGateway.m_budget.RecordRequest(kService, m_now);
    int sends = 1;
    while (m_random.Chance(m_shape.m_rejected) && sends < kMaxSends &&
           aGateway.m_budget.TakeRetry(kService, m_now)) {
      ++sends;
      m_repeats.Record(m_now);
    }
  }

  FleetShape m_shape;
  Random m_random;
  MonotonicTime m_now = kStart;
  double m_owed = 0; // requests, as a fraction
  std::vector<Gateway> m_gateways;
  EventCounts m_requests;
  EventCounts m_repeats;
};

// Returns the most that any window was beyond what is allowed.
double
MaxExcess(const FleetShape& aShape, std::uint64_t aSeed)
{
  RetryFleet fleet(aShape, aSeed);
  double excess = -kAllowance.m_slack;
  for (milliseconds at{ 0 }; at < kRunTime; at += kTick) {
    fleet.Step();
    excess = std::max(excess, fleet.Excess());
  }
  EXPECT_GT(fleet.Repeats(), 0);
  return excess;
}

class RetryBudgetRun : public testing::TestWithParam<std::size_t>
{
protected:
  void ExpectWithinAllowance(FleetShape aShape)
  {
    constexpr std::uint64_t kSeeds = 4;
    aShape.m_gateways = GetParam();
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      EXPECT_LE(MaxExcess(aShape, seed), 0) << "seed " << seed;
    }
  }
};

TEST_P(RetryBudgetRun, RejectionsDoNotExceedTheSharedAllowance)
{
  ExpectWithinAllowance({ 0, 60, 0.9, milliseconds(0), 0.5 });
}

TEST_P(RetryBudgetRun, RestartsWithinAWindowDoNotExceedTheSharedAllowance)
{
  ExpectWithinAllowance({ 0, 60, 0.9, milliseconds(4000), 0.5 });
}

TEST_P(RetryBudgetRun, RestartsInSeriesDoNotExceedTheSharedAllowance)
{
  ExpectWithinAllowance({ 0, 200, 1, milliseconds(700), 0 });
}

// A gateway that has just started doesn't know how many others share the slack.
TEST(SharedRetryBudget, GatewaysStartedTogetherStayWithinTheSharedSlack)
{
  constexpr std::size_t kGateways = 9;
  std::vector<SharedRetryBudget> budgets(kGateways,
                                         SharedRetryBudget(kAllowance));
  double retries = 0;
  for (SharedRetryBudget& budget : budgets) {
    while (budget.TakeRetry(kService, kStart)) {
      ++retries;
    }
  }
  EXPECT_LE(retries, kAllowance.m_slack);
  for (SharedRetryBudget& budget : budgets) {
    budget.SetGatewayCount(kGateways);
    EXPECT_TRUE(budget.TakeRetry(kService, kStart));
  }
}

// For any order of requests and retries and any distribution over gateways.
TEST(SharedRetryBudget, AllGatewaysStayWithinTheSharedAllowance)
{
  constexpr std::size_t kGateways = 9;
  constexpr int kSteps = 60000;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(seed);
    Random random(seed);
    std::vector<SharedRetryBudget> budgets;
    for (std::size_t i = 0; i < kGateways; ++i) {
      budgets.emplace_back(kAllowance);
      budgets.back().SetGatewayCount(kGateways);
    }
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> retries;
    MonotonicTime now = kStart;
    for (int step = 0; step < kSteps; ++step) {
      now += milliseconds(random.Below(10));
      SharedRetryBudget& budget = budgets[random.Below(kGateways)];
      if (random.Chance(0.3)) {
        budget.RecordRequest(kService, now);
        requests.push_back(now);
      } else if (budget.TakeRetry(kService, now)) {
        retries.push_back(now);
      }
      for (auto* times : { &requests, &retries }) {
        while (!times->empty() && now - times->front() > kAllowance.m_window) {
          times->pop_front();
        }
      }
      ASSERT_LE(static_cast<double>(retries.size()),
                kAllowance.m_ratio * static_cast<double>(requests.size()) +
                  kAllowance.m_slack);
    }
    EXPECT_FALSE(retries.empty());
  }
}

INSTANTIATE_TEST_SUITE_P(Gateways, RetryBudgetRun, testing::Values(3, 30, 148));

} // namespace

} // namespace siskindeal

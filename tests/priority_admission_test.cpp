// Plays overload through the admission of many gateways, without a network, and
// checks which requests are refused. The first deployment with priorities
// served its most urgent requests worst: their target was the tightest.

#include "dispatch/priority_admission_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };

ServiceDemand
Demand(double aUrgent, double aUsual, double aPatient)
{
  ServiceDemand demand{};
  demand[0].m_offered = aUrgent;
  demand[1].m_offered = aUsual;
  demand[2].m_offered = aPatient;
  return demand;
}

TEST(DivideCapacity, EverythingIsAdmittedWhileThereIsRoom)
{
  for (const LevelShares& level : DivideCapacity(Demand(30, 30, 40), 100)) {
    EXPECT_EQ(level.m_new, 1);
    EXPECT_EQ(level.m_returned, 1);
  }
}

TEST(DivideCapacity, UrgentLevelsComeFirstAndNoneStarves)
{
  struct Case
  {
    std::string m_load;
    ServiceDemand m_demand;
  };
  const std::vector<Case> cases = {
    { "the least urgent kind wants five times as much", Demand(40, 20, 200) },
    { "the most urgent kind wants ten times as much", Demand(400, 20, 40) },
    { "all kinds want three times as much", Demand(120, 90, 90) },
    { "a little more than there is", Demand(40, 30, 32) },
  };
  for (const Case& one : cases) {
    SCOPED_TRACE(one.m_load);
    const ServiceShares shares = DivideCapacity(one.m_demand, 100);
    double admitted = 0;
    double offered = 0;
    for (std::size_t i = 0; i < kPriorityLevels; ++i) {
      admitted += shares[i].m_new * one.m_demand[i].m_offered;
      offered += one.m_demand[i].m_offered;
    }
    EXPECT_NEAR(admitted, 100, 0.01);
    for (std::size_t i = 0; i < 3; ++i) {
      EXPECT_GE(shares[i].m_new, 0.39 * 100 / offered);
      EXPECT_TRUE(i == 0 || shares[i].m_new <= shares[i - 1].m_new + 1e-9);
    }
  }
}

TEST(DivideCapacity, RequestsThatCameBackHaveAPartOfTheirLevel)
{
  ServiceDemand demand = Demand(0, 200, 0);
  demand[1].m_returned = 50;
  const ServiceShares shares = DivideCapacity(demand, 100);
  EXPECT_GT(shares[1].m_returned, 0.39); // 20 of 50
  EXPECT_NEAR(shares[1].m_new * 150 + shares[1].m_returned * 50, 100, 0.01);
  // What new requests leave is theirs too.
  demand[1].m_returned = 190;
  const ServiceShares mostReturned = DivideCapacity(demand, 100);
  EXPECT_EQ(mostReturned[1].m_new, 1);
  EXPECT_NEAR(mostReturned[1].m_returned * 190, 90, 0.01);
}

TEST(PriorityAdmission, AskingAgainAtOnceGainsNothing)
{
  PriorityAdmission one;
  PriorityAdmission other;
  for (PriorityAdmission* gateway : { &one, &other }) {
    gateway->RecordDemand("far", { { "chat", Demand(0, 300000, 0) } }, kStart);
    gateway->Update("chat", { 100, 95 }, kStart);
  }
  int admitted = 0;
  constexpr std::uint64_t kCallers = 500;
  for (std::uint64_t key = 0; key < kCallers; ++key) {
    const AdmissionRequest request{ "chat", 1, 0, false, key };
    const milliseconds wall{ 1000000 };
    const AdmissionDecision first = one.Decide(request, kStart, wall);
    admitted += first.m_isAdmitted ? 1 : 0;
    EXPECT_EQ(
      other.Decide(request, kStart, wall + milliseconds(100)).m_isAdmitted,
      first.m_isAdmitted);
    EXPECT_EQ(first.m_isAdmitted, first.m_retryAfter == milliseconds(0));
  }
  EXPECT_GT(admitted, 100);
  EXPECT_LT(admitted, 250);
}

// Gateways before runners that serve the most urgent requests first. Reports
// are lost and late.
class Fleet
{
public:
  struct Level
  {
    double m_perSecond = 0;
    double m_due = 0; // arrivals
    int m_offered = 0;
    int m_admitted = 0;

    double Share() const { return static_cast<double>(m_admitted) / m_offered; }
  };

  Fleet(std::uint64_t aSeed, std::size_t aGateways, std::vector<double> aRates)
    : m_random(aSeed)
    , m_gateways(aGateways)
  {
    for (const double rate : aRates) {
      m_levels.emplace_back().m_perSecond = rate;
    }
  }

  // Forgets what was counted before.
  void Play(milliseconds aTime)
  {
    for (Level& level : m_levels) {
      level.m_offered = level.m_admitted = 0;
    }
    m_completed = 0;
    m_longestQueue = 0;
    for (const MonotonicTime end = m_now + aTime; m_now < end; m_now += kTick) {
      Complete();
      for (std::size_t level = 0; level < m_levels.size(); ++level) {
        Arrive(level);
      }
      Tell();
    }
  }

  void SetRate(std::size_t aLevel, double aPerSecond)
  {
    m_levels[aLevel].m_perSecond = aPerSecond;
  }
  const Level& At(std::size_t aLevel) const { return m_levels[aLevel]; }
  // Of what the slots can do.
  double Goodput(milliseconds aTime) const
  {
    return m_completed * kDuration / aTime / kSlots;
  }
  double LongestQueue() const { return m_longestQueue; }

  static constexpr double kSlots = 120;
  static constexpr milliseconds kDuration{ 1000 };

private:
  void Complete()
  {
    while (!m_running.empty() && m_running.front() <= m_now) {
      m_running.pop_front();
      ++m_completed;
    }
    while (m_running.size() < kSlots && m_queued > 0) {
      --m_queued;
      m_running.push_back(m_now + kDuration);
    }
  }

  void Arrive(std::size_t aLevel)
  {
    Level& level = m_levels[aLevel];
    level.m_due += level.m_perSecond * kTick / milliseconds(1000);
    for (; level.m_due >= 1; level.m_due -= 1) {
      ++level.m_offered;
      const AdmissionRequest request{
        "chat", aLevel, 1000, false, m_random.Below(1U << 30U)
      };
      const milliseconds wall =
        std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
      auto& gateway = m_gateways[m_random.Below(m_gateways.size())];
      if (gateway.Decide(request, m_now, wall).m_isAdmitted) {
        ++level.m_admitted;
        ++m_queued;
      }
    }
    m_longestQueue = std::max(m_longestQueue, static_cast<double>(m_queued));
  }

  void Tell()
  {
    if ((m_now - kStart) % milliseconds(140) != milliseconds(0)) {
      return;
    }
    const double requests = static_cast<double>(m_running.size() + m_queued);
    for (std::size_t from = 0; from < m_gateways.size(); ++from) {
      for (std::size_t to = 0; to < m_gateways.size(); ++to) {
        if (from != to && m_random.Below(20) != 0) { // some are lost
          m_gateways[to].RecordDemand(
            std::to_string(from), m_gateways[from].OwnDemand(m_now), m_now);
        }
      }
    }
    for (PriorityAdmission& gateway : m_gateways) {
      gateway.Update("chat", { kSlots, requests }, m_now);
    }
  }

  static constexpr milliseconds kTick{ 20 };
  Random m_random;
  std::vector<PriorityAdmission> m_gateways;
  std::vector<Level> m_levels;
  MonotonicTime m_now = kStart;
  std::deque<MonotonicTime> m_running; // ends
  std::size_t m_queued = 0;
  int m_completed = 0;
  double m_longestQueue = 0;
};

TEST(PriorityAdmissionRun, UrgentRequestsAreServedFirstUnderOverload)
{
  struct Case
  {
    std::string m_load;
    std::vector<double> m_perSecond; // the runners do 120
  };
  const std::vector<Case> cases = {
    { "a tenth more of all", { 50, 30, 52 } },
    { "three times all", { 140, 100, 120 } },
    { "five times the least urgent", { 40, 25, 300 } },
    { "ten times the most urgent", { 400, 25, 40 } },
  };
  for (const std::size_t gateways : { 3, 12 }) {
    for (const Case& one : cases) {
      SCOPED_TRACE(one.m_load + ", " + std::to_string(gateways) + " gateways");
      constexpr milliseconds kTime{ 10000 };
      Fleet fleet(7, gateways, one.m_perSecond);
      fleet.Play(milliseconds(4000));
      fleet.Play(kTime);
      EXPECT_GE(fleet.Goodput(kTime), 0.9);
      int admitted = 0;
      int offered = 0;
      for (std::size_t i = 0; i < 3; ++i) {
        admitted += fleet.At(i).m_admitted;
        offered += fleet.At(i).m_offered;
      }
      const double all = static_cast<double>(admitted) / offered;
      for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_GE(fleet.At(i).Share(), 0.25 * all) << i;
        EXPECT_TRUE(i == 0 ||
                    fleet.At(i).Share() <= fleet.At(i - 1).Share() + 0.05);
      }
    }
  }
}

TEST(PriorityAdmissionRun, SharesFollowABurstWithinASecond)
{
  Fleet fleet(11, 12, { 40, 25, 40 });
  fleet.Play(milliseconds(5000));
  EXPECT_EQ(fleet.At(2).m_admitted, fleet.At(2).m_offered);
  fleet.SetRate(2, 400);
  fleet.Play(milliseconds(1000));
  fleet.Play(milliseconds(2000));
  EXPECT_GE(fleet.At(0).Share(), 0.95);
  EXPECT_LE(fleet.At(2).Share(), 0.5);
  EXPECT_LE(fleet.LongestQueue(), 2 * Fleet::kSlots);
  fleet.SetRate(2, 40);
  fleet.Play(milliseconds(2000));
  fleet.Play(milliseconds(3000));
  EXPECT_GE(fleet.At(2).Share(), 0.95);
}

} // namespace

} // namespace siskindeal

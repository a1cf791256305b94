// Benchmarks admission under twice the demand that the runners can serve, from
// one large team and nine small ones, through nine entries that exchange their
// load periodically. Simulated in virtual time. The baseline is an unbounded
// FIFO queue without fairness or early refusal.

#include "siskindeal/admission.h"
#include "siskindeal/random.h"

#include "support/rows.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>

namespace siskindeal::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr int kEntries = 9;
constexpr int kSlots = 96;                 // total of all runners
constexpr milliseconds kServiceTime{ 30 }; // mean; uniform from 10 to 50 ms
constexpr milliseconds kDeadline{ 1000 };
constexpr milliseconds kExchangePeriod{ 200 }; // between load exchanges
constexpr milliseconds kRunLength{ 20000 };
constexpr double kDemand = 2;             // multiple of the capacity
constexpr double kSmallTeamDemand = 0.04; // multiple of the capacity, per team
constexpr int kSmallTeams = 9;
constexpr int kLargeTeamEntries = 4;

struct Request
{
  std::uint64_t m_id = 0;
  int m_entry = 0;
  bool m_small = false;
  std::string m_team;
  MonotonicTime m_sent;
};

struct Counts
{
  std::uint64_t m_smallSent = 0;
  std::uint64_t m_smallServed = 0;
  std::uint64_t m_served = 0; // within the deadline
  std::uint64_t m_ran = 0;
};

// Event queue in virtual time.
class Simulation
{
public:
  MonotonicTime Now() const { return m_now; }
  void Schedule(nanoseconds aDelay, std::function<void()> aTask)
  {
    m_events.emplace(m_now + aDelay, std::move(aTask));
  }
  void RunUntil(MonotonicTime aEnd)
  {
    while (!m_events.empty() && m_events.begin()->first <= aEnd) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
  }

private:
  MonotonicTime m_now{ std::chrono::hours(1) };
  std::multimap<MonotonicTime, std::function<void()>> m_events;
};

// Simulated runners. Requests beyond the slots wait in a FIFO queue.
class Runners
{
public:
  Runners(Simulation& aSimulation, Random& aRandom)
    : m_simulation(aSimulation)
    , m_random(aRandom)
  {
  }
  void Run(std::function<void()> aDone)
  {
    if (m_busy == kSlots) {
      m_waiting.push_back(std::move(aDone));
      return;
    }
    ++m_busy;
    const auto serviceTime = milliseconds(10 + m_random.Below(41));
    m_simulation.Schedule(serviceTime, [this, done = std::move(aDone)] {
      --m_busy;
      done();
      if (!m_waiting.empty() && m_busy < kSlots) {
        auto next = std::move(m_waiting.front());
        m_waiting.pop_front();
        Run(std::move(next));
      }
    });
  }

private:
  Simulation& m_simulation;
  Random& m_random;
  int m_busy = 0;
  std::deque<std::function<void()>> m_waiting;
};

class OverloadRun
{
public:
  explicit OverloadRun(bool aBaseline)
    : m_baseline(aBaseline)
  {
    for (int entry = 0; entry < kEntries; ++entry) {
      m_queues.emplace_back(AdmissionLimits{});
      m_queues.back().SetSlots(kSlots, m_simulation.Now());
    }
  }

  Counts Run()
  {
    const auto end = m_simulation.Now() + kRunLength;
    const double capacity = kSlots / Seconds(kServiceTime);
    for (int team = 0; team < kSmallTeams; ++team) {
      ScheduleArrival(
        "small" + std::to_string(team), true, kSmallTeamDemand * capacity);
    }
    ScheduleArrival(
      "large", false, (kDemand - kSmallTeams * kSmallTeamDemand) * capacity);
    if (!m_baseline) {
      ExchangeLoad();
    }
    m_simulation.RunUntil(end);
    return m_counts;
  }

  static double Capacity()
  {
    return kSlots / Seconds(kServiceTime) * Seconds(kRunLength);
  }

private:
  static double Seconds(nanoseconds aTime)
  {
    return std::chrono::duration<double>(aTime).count();
  }

  void ScheduleArrival(const std::string& aTeam, bool aSmall, double aPerSecond)
  {
    const auto gap = nanoseconds(
      static_cast<std::int64_t>(1e9 / aPerSecond * 2 * m_random.Unit()));
    m_simulation.Schedule(gap, [this, aTeam, aSmall, aPerSecond] {
      // Callers reuse their entry list, so the large team's requests reach few
      // entries.
      const auto entry =
        static_cast<int>(m_random.Below(aSmall ? kEntries : kLargeTeamEntries));
      Offer({ ++m_lastId, entry, aSmall, aTeam, m_simulation.Now() });
      ScheduleArrival(aTeam, aSmall, aPerSecond);
    });
  }

  void Offer(const Request& aRequest)
  {
    m_counts.m_smallSent += aRequest.m_small ? 1 : 0;
    m_requests[aRequest.m_id] = aRequest;
    if (m_baseline) {
      Start(aRequest.m_id);
      return;
    }
    Apply(m_queues[static_cast<std::size_t>(aRequest.m_entry)].Offer(
      { aRequest.m_id, aRequest.m_team, 1, 0, aRequest.m_sent + kDeadline },
      m_simulation.Now()));
  }

  void Apply(const AdmissionDecision& aChanges)
  {
    for (const auto& refusal : aChanges.m_refuse) {
      m_requests.erase(refusal.m_id);
    }
    for (const auto id : aChanges.m_start) {
      Start(id);
    }
  }

  void Start(std::uint64_t aId)
  {
    const auto entry = m_requests.at(aId).m_entry;
    m_runners.Run([this, aId, entry] {
      const auto request = m_requests.at(aId);
      m_requests.erase(aId);
      ++m_counts.m_ran;
      if (m_simulation.Now() - request.m_sent <= kDeadline) {
        ++m_counts.m_served;
        m_counts.m_smallServed += request.m_small ? 1 : 0;
      }
      if (!m_baseline) {
        Apply(m_queues[static_cast<std::size_t>(entry)].Finish(
          aId, m_simulation.Now()));
      }
    });
  }

  // Gives each entry the load of the others.
  void ExchangeLoad()
  {
    std::uint32_t total = 0;
    for (const auto& queue : m_queues) {
      total += queue.Running();
    }
    for (auto& queue : m_queues) {
      Apply(queue.SetOtherEntries(
        total - queue.Running(), kEntries, m_simulation.Now()));
    }
    m_simulation.Schedule(kExchangePeriod, [this] { ExchangeLoad(); });
  }

  const bool m_baseline;
  Simulation m_simulation;
  Random m_random{ 17 };
  Runners m_runners{ m_simulation, m_random };
  std::vector<AdmissionQueue> m_queues;
  std::map<std::uint64_t, Request> m_requests;
  std::uint64_t m_lastId = 0;
  Counts m_counts;
};

double
Ratio(double aPart, double aTotal)
{
  return aTotal == 0 ? 0 : aPart / aTotal;
}

} // namespace
} // namespace siskindeal::bench

int
main()
{
  using namespace siskindeal::bench;
  const auto measured = OverloadRun(false).Run();
  const auto baseline = OverloadRun(true).Run();
  const auto capacity = OverloadRun::Capacity();
  Print("overload",
        { "2x_demand",
          "goodput_share",
          "share",
          Ratio(static_cast<double>(measured.m_served), capacity),
          Ratio(static_cast<double>(baseline.m_served), capacity),
          0.95 });
  Print("overload",
        { "2x_demand",
          "small_team_share",
          "share",
          Ratio(static_cast<double>(measured.m_smallServed),
                static_cast<double>(measured.m_smallSent)),
          Ratio(static_cast<double>(baseline.m_smallServed),
                static_cast<double>(baseline.m_smallSent)),
          0.95 });
  return 0;
}

// Twice the demand that the runners can serve, from one large team and nine
// small ones, through nine entries that know each other's load with a lag.
// Virtual time over the shipped decisions; the plain way is one first-come
// queue an entry, without bound, fairness or early refusal.

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
constexpr int kSlots = 96;                 // of all runners
constexpr milliseconds kServiceTime{ 30 }; // mean, uniform from 10 to 50
constexpr milliseconds kDeadline{ 1000 };
constexpr milliseconds kExchange{ 200 }; // entries tell each other their load
constexpr milliseconds kLength{ 20000 };
constexpr double kDemand = 2;        // of what the runners serve
constexpr double kSmallShare = 0.04; // of what the runners serve, each
constexpr int kSmallTeams = 9;

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
  std::uint64_t m_smallAsked = 0;
  std::uint64_t m_smallServed = 0;
  std::uint64_t m_served = 0; // within the deadline
  std::uint64_t m_ran = 0;
};

// Events in virtual time.
class Timeline
{
public:
  MonotonicTime Now() const { return m_now; }
  void After(nanoseconds aDelay, std::function<void()> aTask)
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

// The runners: what doesn't fit into their slots waits in their own queue.
class Runners
{
public:
  Runners(Timeline& aTimeline, Random& aRandom)
    : m_timeline(aTimeline)
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
    const auto time = milliseconds(10 + m_random.Below(41));
    m_timeline.After(time, [this, done = std::move(aDone)] {
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
  Timeline& m_timeline;
  Random& m_random;
  int m_busy = 0;
  std::deque<std::function<void()>> m_waiting;
};

class Overload
{
public:
  explicit Overload(bool aPlain)
    : m_plain(aPlain)
  {
    for (int entry = 0; entry < kEntries; ++entry) {
      m_queues.emplace_back(AdmissionLimits{});
      m_queues.back().SetSlots(kSlots, m_timeline.Now());
    }
  }

  Counts Run()
  {
    const auto end = m_timeline.Now() + kLength;
    const double capacity = kSlots / Seconds(kServiceTime);
    for (int team = 0; team < kSmallTeams; ++team) {
      Arrive("small" + std::to_string(team), true, kSmallShare * capacity);
    }
    Arrive("large", false, (kDemand - kSmallTeams * kSmallShare) * capacity);
    if (!m_plain) {
      Exchange();
    }
    m_timeline.RunUntil(end);
    return m_counts;
  }

  static double Capacity()
  {
    return kSlots / Seconds(kServiceTime) * Seconds(kLength);
  }

private:
  static double Seconds(nanoseconds aTime)
  {
    return std::chrono::duration<double>(aTime).count();
  }

  void Arrive(const std::string& aTeam, bool aSmall, double aPerSecond)
  {
    const auto gap = nanoseconds(
      static_cast<std::int64_t>(1e9 / aPerSecond * 2 * m_random.Unit()));
    m_timeline.After(gap, [this, aTeam, aSmall, aPerSecond] {
      // The large team's callers share two entries; kept answers do that.
      const auto entry =
        static_cast<int>(m_random.Below(aSmall ? kEntries : 4));
      Offer({ ++m_ids, entry, aSmall, aTeam, m_timeline.Now() });
      Arrive(aTeam, aSmall, aPerSecond);
    });
  }

  void Offer(const Request& aRequest)
  {
    m_counts.m_smallAsked += aRequest.m_small ? 1 : 0;
    m_requests[aRequest.m_id] = aRequest;
    if (m_plain) {
      Start(aRequest.m_id);
      return;
    }
    Take(m_queues[static_cast<std::size_t>(aRequest.m_entry)].Offer(
      { aRequest.m_id, aRequest.m_team, 1, 0, aRequest.m_sent + kDeadline },
      m_timeline.Now()));
  }

  void Take(const AdmissionChanges& aChanges)
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
      if (m_timeline.Now() - request.m_sent <= kDeadline) {
        ++m_counts.m_served;
        m_counts.m_smallServed += request.m_small ? 1 : 0;
      }
      if (!m_plain) {
        Take(m_queues[static_cast<std::size_t>(entry)].Finish(
          aId, m_timeline.Now()));
      }
    });
  }

  // What the entries heard of each other a moment ago.
  void Exchange()
  {
    std::uint32_t all = 0;
    for (const auto& queue : m_queues) {
      all += queue.Running();
    }
    for (auto& queue : m_queues) {
      Take(queue.SetOthers(all - queue.Running(), kEntries, m_timeline.Now()));
    }
    m_timeline.After(kExchange, [this] { Exchange(); });
  }

  const bool m_plain;
  Timeline m_timeline;
  Random m_random{ 17 };
  Runners m_runners{ m_timeline, m_random };
  std::vector<AdmissionQueue> m_queues;
  std::map<std::uint64_t, Request> m_requests;
  std::uint64_t m_ids = 0;
  Counts m_counts;
};

double
Share(double aPart, double aWhole)
{
  return aWhole == 0 ? 0 : aPart / aWhole;
}

} // namespace
} // namespace siskindeal::bench

int
main()
{
  using namespace siskindeal::bench;
  const auto shipped = Overload(false).Run();
  const auto plain = Overload(true).Run();
  const auto capacity = Overload::Capacity();
  Print("overload",
        { "2x_demand",
          "goodput_share",
          "share",
          Share(static_cast<double>(shipped.m_served), capacity),
          Share(static_cast<double>(plain.m_served), capacity),
          0.95 });
  Print("overload",
        { "2x_demand",
          "small_team_share",
          "share",
          Share(static_cast<double>(shipped.m_smallServed),
                static_cast<double>(shipped.m_smallAsked)),
          Share(static_cast<double>(plain.m_smallServed),
                static_cast<double>(plain.m_smallAsked)),
          0.95 });
  return 0;
}

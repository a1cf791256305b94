// Randomised runs of placement over a given clock, with plain services from a
// fraction of their target to many times it. While a place is free, nobody who
// can be answered before the deadline is refused.

#include "dispatch/placement_p.h"

#include <gtest/gtest.h>

#include <map>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;
using Ms = std::chrono::duration<double, std::milli>;

constexpr milliseconds kTarget{ 150 };
constexpr milliseconds kTimeLeft{ 1200 };
constexpr std::uint32_t kSlots = 6;
constexpr std::size_t kRunners = 3;
constexpr milliseconds kTick{ 1 };
const std::string kService = "yard";

struct Counts
{
  int m_served = 0;
  int m_refused = 0;
  int m_refusedBesideFreePlaces = 0;
};

// A gateway with plain runners that serve each request for a random time.
class PlainService
{
public:
  explicit PlainService(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_placer("here", { { "here", "home" } }, aSeed)
  {
    for (std::size_t i = 0; i < kRunners; ++i) {
      RunnerRecord runner;
      runner.m_id = "r-" + std::to_string(i);
      runner.m_service = kService;
      runner.m_address = { "10.0.0.1", static_cast<std::uint16_t>(1000 + i) };
      runner.m_place = "here";
      runner.m_slots = kSlots;
      m_table.Put(runner);
    }
  }

  Counts Play(milliseconds aFor, double aPerSecond, Ms aMeanDuration)
  {
    Counts counts;
    for (const MonotonicTime end = m_now + aFor; m_now < end; m_now += kTick) {
      Complete();
      if (m_random.Chance(aPerSecond * Ms(kTick).count() / 1000)) {
        Arrive(aMeanDuration, counts);
      }
    }
    return counts;
  }

private:
  struct Run
  {
    std::string m_runner;
    MonotonicTime m_sentAt{};
  };

  void Arrive(Ms aMeanDuration, Counts& aCounts)
  {
    RequestShape shape;
    shape.m_service = kService;
    shape.m_target = kTarget;
    shape.m_timeLeft = kTimeLeft;
    shape.m_isCallerRetry = m_random.Chance(0.3);
    ServiceRecord service;
    service.m_name = kService;
    const Decision decision =
      m_placer.Place(shape, service, m_table, m_limits, m_notices, {}, m_now);
    const auto* placement = std::get_if<Placement>(&decision);
    if (placement == nullptr) {
      ++aCounts.m_refused;
      aCounts.m_refusedBesideFreePlaces += HasFreePlace() ? 1 : 0;
      return;
    }
    ++aCounts.m_served;
    ++m_table.Find(placement->m_runner)->m_ownLoad.m_requests;
    const Ms duration = aMeanDuration * (0.1 + 1.8 * m_random.Unit());
    m_runs.emplace(
      m_now + std::chrono::duration_cast<MonotonicTime::duration>(duration),
      Run{ placement->m_runner, m_now });
  }

  void Complete()
  {
    while (!m_runs.empty() && m_runs.begin()->first <= m_now) {
      const Run run = m_runs.begin()->second;
      m_runs.erase(m_runs.begin());
      RunnerState& runner = *m_table.Find(run.m_runner);
      --runner.m_ownLoad.m_requests;
      runner.RecordDuration(m_now - run.m_sentAt, m_now);
    }
  }

  // Whether a runner has a free place and answers in time, even if it gets as
  // slow as one that is nearly full.
  bool HasFreePlace()
  {
    constexpr double kMostSlowdown = 1.3;
    for (const RunnerState* runner : m_table.Usable(kService)) {
      if (runner->Requests() < kSlots &&
          runner->m_smoothedDuration * kMostSlowdown <= kTimeLeft) {
        return true;
      }
    }
    return false;
  }

  Random m_random;
  Placer m_placer;
  RunnerTable m_table;
  RunnerLimits m_limits;
  RunnerNotices m_notices;
  MonotonicTime m_now{ std::chrono::hours(1) };
  std::multimap<MonotonicTime, Run> m_runs; // by their end
};

TEST(SlowService, NobodyIsRefusedBesideFreePlaces)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const double slowness : { 0.3, 0.9, 1.5, 3.0, 5.0 }) {
      for (const double perSecond : { 2.0, 7.5, 30.0, 120.0 }) {
        PlainService service(seed);
        const Counts counts =
          service.Play(milliseconds(20000), perSecond, kTarget * slowness);
        EXPECT_EQ(counts.m_refusedBesideFreePlaces, 0)
          << "seed " << seed << ", " << slowness << " targets, " << perSecond
          << " a second; served " << counts.m_served << ", refused "
          << counts.m_refused;
      }
    }
  }
}

TEST(SlowService, ServiceThatIsFastAgainIsFoundOut)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    PlainService service(seed);
    // Slower than the deadline, until its last requests have ended.
    service.Play(milliseconds(10000), 30, Ms(4000));
    service.Play(milliseconds(10000), 30, Ms(20));
    const Counts counts = service.Play(milliseconds(5000), 30, Ms(20));
    EXPECT_EQ(counts.m_refused, 0) << "seed " << seed;
    EXPECT_GT(counts.m_served, 0) << "seed " << seed;
  }
}

} // namespace

} // namespace siskindeal

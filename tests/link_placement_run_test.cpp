// Plays placement between two regions over a simulated clock. The links between
// them queue, and the reports that measure this wait in the same queues.

#include "dispatch/placement_p.h"
#include "gateway/link_delays_p.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <variant>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStart{ 3600000 };
constexpr milliseconds kPropagation{ 15 };
constexpr milliseconds kReportInterval{ 140 };
constexpr double kLoss = 1.0 / 3;
constexpr double kMaxQueueMs = 3000;

RunnerRecord
Runner(const std::string& aId, const std::string& aPlace)
{
  RunnerRecord runner;
  runner.m_id = aId;
  runner.m_service = "chat";
  runner.m_address = { "10.0.0.1",
                       static_cast<std::uint16_t>(1000 + aId.size()) };
  runner.m_place = aPlace;
  runner.m_slots = 16;
  return runner;
}

ServiceRecord
Engine()
{
  ServiceRecord service;
  service.m_name = "chat";
  EngineProfile engine;
  engine.m_slots = 16;
  engine.m_stepMs = 7;
  engine.m_promptTokensPerMs = 30;
  engine.m_stepsPerPass = 6;
  engine.m_typicalPromptTokens = 900;
  engine.m_typicalAnswerTokens = 100;
  service.m_engine = engine;
  return service;
}

RequestShape
RandomShape(Random& aRandom)
{
  RequestShape shape;
  shape.m_service = "chat";
  shape.m_promptTokens = static_cast<std::uint32_t>(aRandom.Below(3000));
  shape.m_target = milliseconds(200 + aRandom.Below(1300));
  shape.m_timeLeft = milliseconds(300 + aRandom.Below(4000));
  shape.m_isCallerRetry = aRandom.Unit() < 0.2;
  shape.m_alreadyStarted = aRandom.Unit() < 0.1;
  return shape;
}

void
LoadRandomly(RunnerTable& aTable, Random& aRandom)
{
  for (auto& [id, state] : aTable.All()) {
    state.m_ownLoad = { static_cast<std::uint32_t>(aRandom.Below(20)),
                        static_cast<std::uint32_t>(aRandom.Below(6000)) };
  }
}

RunnerTable
TwoRegions()
{
  RunnerTable table;
  table.Replace({ Runner("near", "kin-a"),
                  Runner("far", "mbj-a"),
                  Runner("far-2", "mbj-a") },
                MonotonicTime(kStart));
  return table;
}

Placer
NewPlacer(std::uint64_t aSeed)
{
  return { "kin-a",
           { { "kin-a", "kingston" }, { "mbj-a", "montego" } },
           aSeed };
}

// One direction of a link, whose queue grows and shrinks.
class Link
{
public:
  explicit Link(Random& aRandom)
    : m_random(aRandom)
  {
  }

  void Step(milliseconds aNow)
  {
    if (aNow.count() % 1500 == 0) {
      m_growth =
        aNow < kStart + milliseconds(3000) ? 0 : 1.6 * (m_random.Unit() - 0.5);
    }
    m_queue = std::clamp(m_queue + m_growth, 0.0, kMaxQueueMs);
    while (!m_inFlight.empty() && m_inFlight.begin()->first <= aNow) {
      const std::function<void()> arrive = m_inFlight.begin()->second;
      m_inFlight.erase(m_inFlight.begin());
      arrive();
    }
  }

  milliseconds Queue() const
  {
    return milliseconds(static_cast<std::int64_t>(m_queue));
  }

  void Send(milliseconds aNow, std::function<void()> aArrive)
  {
    if (m_random.Unit() >= kLoss) {
      m_inFlight.emplace(aNow + kPropagation + Queue(), std::move(aArrive));
    }
  }

private:
  Random& m_random;
  std::multimap<milliseconds, std::function<void()>> m_inFlight;
  double m_queue = 0;
  double m_growth = 0;
};

class World
{
public:
  World(std::uint64_t aSeed, bool aUsesDelays)
    : m_random(aSeed)
    , m_placer(NewPlacer(aSeed))
    , m_usesDelays(aUsesDelays)
  {
  }

  // Returns how many requests arrive more than half a second after their
  // deadline.
  int Play(milliseconds aFor)
  {
    for (m_now = kStart; m_now < kStart + aFor; ++m_now) {
      m_there.Step(m_now);
      m_back.Step(m_now);
      if (m_now.count() % kReportInterval.count() == 0) {
        Report();
      }
      if (m_now.count() % 5 == 0) {
        Request();
      }
    }
    return m_late;
  }

private:
  void Report()
  {
    m_there.Send(m_now, [this, sentAt = m_now] {
      m_farDelays.RecordReport("kingston", { "near-1", 1 }, sentAt, m_now);
    });
    const auto measured = m_farDelays.Measurements(m_now);
    const auto found = measured.find("kingston");
    const LinkMeasurement told =
      found == measured.end() ? LinkMeasurement{} : found->second;
    m_back.Send(m_now, [this, sentAt = m_now, told] {
      m_delays.RecordReport("montego", { "far-1", 1 }, sentAt, m_now);
      m_delays.RecordOutbound("montego", told, m_now);
    });
  }

  void Request()
  {
    const RequestShape shape = RandomShape(m_random);
    LoadRandomly(m_table, m_random);
    const auto known = m_delays.RoundTrips(m_now);
    if (m_usesDelays) {
      m_placer.SetLinkDelays(known);
    }
    const Decision decision = m_placer.Place(
      shape, m_service, m_table, {}, {}, {}, MonotonicTime(m_now));
    const auto* placement = std::get_if<Placement>(&decision);
    if (placement == nullptr || placement->m_region != "montego") {
      return;
    }
    const auto delay = known.find("montego");
    if (m_usesDelays && delay != known.end()) {
      EXPECT_LE(delay->second, shape.m_timeLeft)
        << "sent to arrive after the deadline";
      EXPECT_GE(placement->m_predicted, delay->second);
    }
    constexpr milliseconds kAllowed{ 500 };
    m_late +=
      kPropagation + m_there.Queue() > shape.m_timeLeft + kAllowed ? 1 : 0;
  }

  Random m_random;
  Link m_there{ m_random };
  Link m_back{ m_random };
  LinkDelays m_delays;
  LinkDelays m_farDelays;
  RunnerTable m_table = TwoRegions();
  ServiceRecord m_service = Engine();
  Placer m_placer;
  bool m_usesDelays = false;
  milliseconds m_now = kStart;
  int m_late = 0;
};

TEST(LinkPlacementRun, NoRequestIsSentToArriveAfterItsDeadline)
{
  constexpr int kAllowedLate = 3; // "a few" of GONE
  int lateBlind = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    EXPECT_LE(World(seed, /* aUsesDelays */ true).Play(milliseconds(20000)),
              kAllowedLate);
    lateBlind += World(seed, /* aUsesDelays */ false).Play(milliseconds(20000));
  }
  EXPECT_GT(lateBlind, 40 * kAllowedLate) << "the run doesn't test anything";
}

TEST(LinkPlacementRun, LinkWithoutAQueueIsUsedAsBefore)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    RunnerTable table = TwoRegions();
    Placer blind = NewPlacer(seed);
    Placer measured = NewPlacer(seed);
    measured.SetLinkDelays({ { "montego", milliseconds(0) } });
    for (int i = 0; i < 500; ++i) {
      const RequestShape shape = RandomShape(random);
      LoadRandomly(table, random);
      const auto place = [&](Placer& aPlacer) {
        const Decision decision =
          aPlacer.Place(shape,
                        Engine(),
                        table,
                        {},
                        {},
                        {},
                        MonotonicTime(kStart + milliseconds(i)));
        const auto* placement = std::get_if<Placement>(&decision);
        return placement == nullptr ? "refused" : placement->m_runner;
      };
      ASSERT_EQ(place(blind), place(measured)) << seed << ' ' << i;
    }
  }
}

} // namespace

} // namespace siskindeal

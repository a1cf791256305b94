#include "siskindeal/claims.h"

#include "siskindeal/invariant.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

// The objects of the platform. The test decides when a call takes effect.
struct ModelPlatform
{
  std::map<std::string, PlatformObject> m_objects;

  PlatformReply Apply(const ClaimCall& aCall)
  {
    auto& object = m_objects[aCall.m_write.m_key];
    const auto current = object.m_deleted ? 0 : object.m_version;
    if (aCall.m_kind == ClaimCall::Kind::Get) {
      return { current == 0 ? PlatformOutcome::NotFound : PlatformOutcome::Ok,
               object };
    }
    if (current != aCall.m_write.m_expectedVersion) {
      return { PlatformOutcome::Conflict, object };
    }
    ++object.m_version;
    object.m_key = aCall.m_write.m_key;
    object.m_value = aCall.m_write.m_value;
    object.m_changeId = aCall.m_write.m_changeId;
    object.m_deleted = aCall.m_kind == ClaimCall::Kind::Delete;
    return { PlatformOutcome::Ok, object };
  }
};

// The actual state of a key, independent of the results that were returned.
struct Truth
{
  int m_runs = 0; // grants, minus those that ended as "not run"
  bool m_ran = false;
  std::string m_body;
};

struct Home
{
  std::unique_ptr<ClaimShard> m_shard;
  std::optional<ClaimCall> m_call;      // sent, without effect yet
  std::optional<PlatformReply> m_reply; // not delivered yet
  std::map<std::uint64_t, std::string> m_running;
  bool m_isHome = true; // considers itself the home

  Home(const std::string& aName, const ClaimSettings& aSettings)
    : m_shard(
        std::make_unique<ClaimShard>("teesheet", 0, aName, aSettings, 150))
  {
    m_shard->SetHome(true);
  }
  Home(const Home& aOther)
    : m_shard(std::make_unique<ClaimShard>(*aOther.m_shard))
    , m_call(aOther.m_call)
    , m_reply(aOther.m_reply)
    , m_running(aOther.m_running)
    , m_isHome(aOther.m_isHome)
  {
  }
  void SetIsHome(bool aIsHome)
  {
    m_isHome = aIsHome;
    m_shard->SetHome(aIsHome);
  }
  Home(Home&&) = default;
  Home& operator=(Home&&) = default;
};

std::string
Digest(const std::string& aBody)
{
  return ClaimDigestOf("POST", "/bookings", aBody);
}

// Agents that may each consider themselves the home of one shard, and the
// platform that they share.
struct World
{
  ModelPlatform m_platform;
  std::vector<Home> m_homes;
  std::vector<ClaimCall> m_late; // timed out at the sender, still in transit
  std::map<std::string, Truth> m_truth;
  std::map<std::uint64_t, std::string> m_awaitingResult; // key by ticket
  MonotonicTime m_now{ std::chrono::hours(1) };
  std::uint64_t m_tickets = 0;
  std::uint64_t m_granted = 0;
  std::uint64_t m_stored = 0;
  std::uint64_t m_refused = 0;
  std::string m_brokenGuarantee; // the first guarantee that was broken

  void RequestClaim(Home& aHome, const std::string& aKey)
  {
    const auto ticket = ++m_tickets;
    m_awaitingResult[ticket] = aKey;
    aHome.m_shard->Claim(
      ticket, { aKey, Digest(aKey), m_now + milliseconds(30000) }, m_now);
    TakeResults(aHome);
  }

  void TakeResults(Home& aHome)
  {
    for (auto& result : aHome.m_shard->TakeResults()) {
      const auto waiting = m_awaitingResult.find(result.m_ticket);
      Expect(waiting != m_awaitingResult.end(), "each request has one result");
      if (waiting == m_awaitingResult.end()) {
        continue;
      }
      const auto key = waiting->second;
      m_awaitingResult.erase(waiting);
      OnResult(aHome, result.m_ticket, key, result.m_result);
    }
  }

  void OnResult(Home& aHome,
                std::uint64_t aTicket,
                const std::string& aKey,
                const ClaimResult& aResult)
  {
    auto& truth = m_truth[aKey];
    if (std::holds_alternative<ClaimGranted>(aResult)) {
      Expect(truth.m_runs == 0, "a key runs at most once");
      ++truth.m_runs;
      ++m_granted;
      aHome.m_running[aTicket] = aKey;
    } else if (const auto* stored = std::get_if<StoredAnswer>(&aResult)) {
      Expect(truth.m_ran && stored->m_body == truth.m_body,
             "a duplicate gets the answer of its own key");
      ++m_stored;
    } else {
      const auto verdict = std::get<Error>(aResult).GetVerdict();
      Expect(verdict != Verdict::Ran || truth.m_ran,
             "the verdict Ran implies that the request ran");
      ++m_refused;
    }
  }

  void Expect(bool aCondition, const char* aWhat)
  {
    if (!aCondition && m_brokenGuarantee.empty()) {
      m_brokenGuarantee = aWhat;
    }
  }

  // Sends a home's next call. If aWait is set, waits for its backoff first.
  bool Send(Home& aHome, bool aWait)
  {
    if (aHome.m_call || aHome.m_reply) {
      return false;
    }
    aHome.m_call = aHome.m_shard->Next(m_now);
    const auto due = aHome.m_shard->DueAt();
    if (!aHome.m_call && aWait && due) {
      m_now = std::max(m_now, *due);
      aHome.m_call = aHome.m_shard->Next(m_now);
    }
    return aHome.m_call.has_value();
  }

  enum class Fate
  {
    Delivered,   // takes effect and is answered
    ReplyLost,   // takes effect, the reply is lost
    RequestLost, // has no effect, unknown to the sender
    Late,        // takes effect after the sender has timed out
    Refused,     // has no effect, known to the sender
  };

  void TransmitCall(Home& aHome, Fate aFate)
  {
    const auto call = *std::exchange(aHome.m_call, std::nullopt);
    const bool read = call.m_kind == ClaimCall::Kind::Get;
    const auto noReply = PlatformReply{ read ? PlatformOutcome::Unavailable
                                             : PlatformOutcome::Unknown,
                                        {} };
    switch (aFate) {
      case Fate::Delivered:
        aHome.m_reply = m_platform.Apply(call);
        return;
      case Fate::ReplyLost:
        m_platform.Apply(call);
        aHome.m_reply = noReply;
        return;
      case Fate::RequestLost:
        aHome.m_reply = noReply;
        return;
      case Fate::Late:
        m_late.push_back(call);
        aHome.m_reply = noReply;
        return;
      case Fate::Refused:
        aHome.m_reply = PlatformReply{ PlatformOutcome::Unavailable, {} };
        return;
    }
  }

  void Deliver(Home& aHome)
  {
    const auto reply = *std::exchange(aHome.m_reply, std::nullopt);
    aHome.m_shard->OnReply(reply, m_now);
    TakeResults(aHome);
  }

  void FinishRequest(Home& aHome, std::uint64_t aTicket, Verdict aVerdict)
  {
    auto& truth = m_truth[aHome.m_running.at(aTicket)];
    aHome.m_running.erase(aTicket);
    std::optional<StoredAnswer> answer;
    if (aVerdict == Verdict::NotRun) {
      --truth.m_runs;
    } else if (aVerdict == Verdict::Ran) {
      truth.m_ran = true;
      truth.m_body = "answer " + std::to_string(aTicket);
      answer = StoredAnswer{ 200, {}, truth.m_body };
    }
    aHome.m_shard->Finish(aTicket, aVerdict, answer, m_now);
    TakeResults(aHome);
  }
};

ClaimSettings
Settings()
{
  ClaimSettings settings;
  settings.m_retention = std::chrono::hours(1000);
  settings.m_most = 100000;
  settings.m_commitPeriod = milliseconds(5);
  return settings;
}

class ClaimRun
{
public:
  explicit ClaimRun(std::uint64_t aSeed)
    : m_random(aSeed)
  {
    for (int home = 0; home < 3; ++home) {
      m_world.m_homes.emplace_back(NewName(), Settings());
      m_world.m_homes.back().SetIsHome(home == 0);
    }
  }

  void Run(int aSteps)
  {
    for (int step = 0; step < aSteps && m_world.m_brokenGuarantee.empty();
         ++step) {
      Step();
    }
  }

  // Stops injecting faults, makes the first home the only one and expects that
  // it grants a new key.
  void ExpectRecovery()
  {
    for (auto& home : m_world.m_homes) {
      home.SetIsHome(&home == &m_world.m_homes[0]);
    }
    auto& home = m_world.m_homes[0];
    const auto before = m_world.m_granted;
    for (int round = 0; round < 2000 && m_world.m_granted == before; ++round) {
      m_world.m_now += milliseconds(50);
      home.m_shard->Tick(m_world.m_now);
      m_world.TakeResults(home);
      if (home.m_reply) {
        m_world.Deliver(home);
      } else if (home.m_call) {
        m_world.TransmitCall(home, World::Fate::Delivered);
      } else if (!m_world.Send(home, false)) {
        m_world.RequestClaim(home, NewKey());
      }
    }
    EXPECT_GT(m_world.m_granted, before);
  }

  World m_world;

private:
  std::string NewName() { return "home-" + std::to_string(++m_names); }
  std::string NewKey()
  {
    return ClaimKeyOf("teesheet", "", std::to_string(++m_keys));
  }

  void Step()
  {
    auto& home = m_world.m_homes[m_random.Below(m_world.m_homes.size())];
    const auto choice = m_random.Below(100);
    if (choice < 20) {
      if (home.m_isHome || m_random.Chance(0.1)) {
        RequestClaim(home);
      }
    } else if (choice < 45) {
      m_world.Send(home, false);
    } else if (choice < 62) {
      if (home.m_call) {
        m_world.TransmitCall(home, PickFate());
      }
    } else if (choice < 80) {
      if (home.m_reply) {
        m_world.Deliver(home);
      }
    } else if (choice < 90) {
      FinishOldestRequest(home);
    } else if (choice < 93) {
      ApplyLateCall();
    } else if (choice < 94 && m_random.Chance(0.02)) {
      Crash(home);
    } else if (choice < 95 && m_random.Chance(0.05)) {
      home.SetIsHome(m_random.Chance(0.7));
      m_world.TakeResults(home);
    } else if (choice < 96 && m_random.Chance(0.005)) {
      m_outageUntil = m_world.m_now + milliseconds(m_random.Below(5000));
    } else {
      m_world.m_now += milliseconds(m_random.Below(40));
      home.m_shard->Tick(m_world.m_now);
      m_world.TakeResults(home);
    }
  }

  void RequestClaim(Home& aHome)
  {
    if (m_recent.empty() || m_random.Chance(0.5)) {
      m_recent.push_back(NewKey());
    }
    if (m_recent.size() > 20) {
      m_recent.erase(m_recent.begin());
    }
    m_world.RequestClaim(aHome, m_recent[m_random.Below(m_recent.size())]);
  }

  World::Fate PickFate()
  {
    if (m_world.m_now < m_outageUntil) {
      return World::Fate::Refused;
    }
    const auto choice = m_random.Below(40);
    return choice < 4 ? static_cast<World::Fate>(1 + choice)
                      : World::Fate::Delivered;
  }

  void FinishOldestRequest(Home& aHome)
  {
    if (!aHome.m_running.empty()) {
      m_world.FinishRequest(aHome,
                            aHome.m_running.begin()->first,
                            static_cast<Verdict>(m_random.Below(3)));
    }
  }

  void ApplyLateCall()
  {
    if (!m_world.m_late.empty()) {
      const auto index = m_random.Below(m_world.m_late.size());
      m_world.m_platform.Apply(m_world.m_late[index]);
      m_world.m_late.erase(m_world.m_late.begin() +
                           static_cast<std::ptrdiff_t>(index));
    }
  }

  // Requests in progress count as run. A call in transit may still take effect.
  void Crash(Home& aHome)
  {
    if (aHome.m_call) {
      m_world.m_late.push_back(*aHome.m_call);
    }
    Home fresh(NewName(), Settings());
    fresh.SetIsHome(m_random.Chance(0.7));
    aHome = std::move(fresh);
  }

  Random m_random;
  MonotonicTime m_outageUntil;
  std::vector<std::string> m_recent;
  int m_names = 0;
  int m_keys = 0;
};

TEST(Claims, RunAtMostOnceInLongRandomisedRuns)
{
  SetAbortOnBrokenInvariant(true);
  std::uint64_t granted = 0;
  std::uint64_t stored = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    ClaimRun run(seed);
    run.Run(25000);
    ASSERT_EQ(run.m_world.m_brokenGuarantee, "") << "seed " << seed;
    run.ExpectRecovery();
    granted += run.m_world.m_granted;
    stored += run.m_world.m_stored;
  }
  EXPECT_GT(granted, 5000U); // grants and duplicates both occurred
  EXPECT_GT(stored, 100U);
}

// Explores every interleaving of the calls, effects and replies of two homes
// for one key, with up to two faults. Each home may pause at any point.
class Explorer
{
public:
  void Explore(const World& aWorld, int aDepth, int aFaults)
  {
    ++m_states;
    if (!aWorld.m_brokenGuarantee.empty()) {
      m_brokenGuarantee = aWorld.m_brokenGuarantee;
    }
    if (aDepth == 0 || !m_brokenGuarantee.empty()) {
      return;
    }
    for (std::size_t home = 0; home < aWorld.m_homes.size(); ++home) {
      ExploreHome(aWorld, home, aDepth, aFaults);
    }
    if (!aWorld.m_late.empty()) {
      World next = aWorld;
      next.m_platform.Apply(next.m_late.back());
      next.m_late.pop_back();
      Explore(next, aDepth - 1, aFaults);
    }
  }

  std::uint64_t m_states = 0;
  std::uint64_t m_granted = 0;
  std::string m_brokenGuarantee;

private:
  void ExploreHome(const World& aWorld,
                   std::size_t aHome,
                   int aDepth,
                   int aFaults)
  {
    const auto& home = aWorld.m_homes[aHome];
    if (home.m_reply) {
      World next = aWorld;
      next.Deliver(next.m_homes[aHome]);
      next.Send(next.m_homes[aHome], true);
      m_granted += next.m_granted - aWorld.m_granted;
      Explore(next, aDepth - 1, aFaults);
      return;
    }
    if (home.m_call) {
      for (int fate = 0; fate <= static_cast<int>(World::Fate::Late); ++fate) {
        if (fate != 0 && aFaults == 0) {
          break;
        }
        World next = aWorld;
        next.TransmitCall(next.m_homes[aHome], static_cast<World::Fate>(fate));
        Explore(next, aDepth - 1, aFaults - (fate == 0 ? 0 : 1));
      }
    }
  }
};

TEST(Claims, NoInterleavingOfTwoHomesRunsAKeyTwice)
{
  SetAbortOnBrokenInvariant(true);
  World world;
  const auto key = ClaimKeyOf("teesheet", "", "one");
  for (const auto* name : { "first", "second" }) {
    world.m_homes.emplace_back(name, Settings());
    world.RequestClaim(world.m_homes.back(), key);
    world.Send(world.m_homes.back(), true);
  }
  Explorer deep;
  deep.Explore(world, 14, 1);
  Explorer faulty;
  faulty.Explore(world, 10, 2);
  for (const auto& explorer : { deep, faulty }) {
    EXPECT_EQ(explorer.m_brokenGuarantee, "");
    EXPECT_GT(explorer.m_granted, 0U);
    EXPECT_GT(explorer.m_states, 10000U);
  }
  RecordProperty("states", std::to_string(deep.m_states + faulty.m_states));
}

} // namespace
} // namespace siskindeal

// Tests each row of the first table of docs/verdicts.md.

#include "siskindeal/claims.h"
#include "siskindeal/invariant.h"

#include <gtest/gtest.h>

#include <functional>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

// Ticket numbers of the claims.
constexpr int kFirstTicket = 1;
constexpr int kDuplicateTicket = 2;
constexpr int kOtherAgentTicket = 3; // of a duplicate at the other agent
constexpr int kEarlierTicket = 9;    // of a claim before the first request
constexpr int kTakeoverTicket = 77;

enum class Outcome
{
  Nothing,
  Granted,
  Stored,
  NotRun,
  MayHaveRun,
  Ran,
};

Outcome
OutcomeOf(const ClaimResult& aResult)
{
  struct Visitor
  {
    Outcome operator()(const ClaimGranted&) const { return Outcome::Granted; }
    Outcome operator()(const StoredAnswer&) const { return Outcome::Stored; }
    Outcome operator()(const Error& aError) const
    {
      switch (aError.GetVerdict()) {
        case Verdict::NotRun:
          return Outcome::NotRun;
        case Verdict::MayHaveRun:
          return Outcome::MayHaveRun;
        case Verdict::Ran:
          return Outcome::Ran;
      }
      return Outcome::Nothing;
    }
  };
  return std::visit(Visitor{}, aResult);
}

// One idempotency key, its home agent, and another agent that may become the
// home.
class ClaimScenario
{
public:
  ClaimScenario()
  {
    StartShard(m_home, "home");
    StartShard(m_other, "other");
    m_home->SetHome(true);
  }

  void CrashHome() { StartShard(m_home, "home again"); }
  void MoveHome()
  {
    m_other->SetHome(true);
    RunClaim(*m_other, "first body", kTakeoverTicket);
    RunCalls(*m_other);
    m_outcomes.erase(kTakeoverTicket); // the claim serves only to take over
  }
  Outcome RunClaim(ClaimShard& aShard,
                   const std::string& aBody,
                   std::uint64_t aTicket)
  {
    aShard.Claim(aTicket,
                 { ClaimKeyOf("teesheet", "team", "key"),
                   ClaimDigestOf("POST", "/", aBody),
                   m_now + milliseconds(30000) },
                 m_now);
    RunCalls(aShard);
    return m_outcomes[aTicket];
  }
  Outcome ClaimFirst() { return RunClaim(*m_home, "first body", kFirstTicket); }
  Outcome ClaimDuplicate()
  {
    return RunClaim(*m_home, "first body", kDuplicateTicket);
  }
  Outcome ClaimDuplicateAtOther()
  {
    m_other->SetHome(true);
    return RunClaim(*m_other, "first body", kOtherAgentTicket);
  }
  void FinishFirst(Verdict aVerdict)
  {
    m_home->Finish(kFirstTicket, aVerdict, StoredAnswer{}, m_now);
  }
  void Wait(milliseconds aTime)
  {
    m_now += aTime;
    m_home->Tick(m_now);
    RunCalls(*m_home);
  }
  // Runs the pending calls of a shard, at most kMaxCalls.
  void RunCalls(ClaimShard& aShard)
  {
    constexpr int kMaxCalls = 20;
    CollectResults(aShard);
    for (int call = 0; call < kMaxCalls; ++call) {
      const auto next = aShard.Next(m_now);
      if (!next) {
        break;
      }
      aShard.OnReply(HandleCall(*next), m_now);
      CollectResults(aShard);
    }
  }

  bool m_platformDown = false; // every platform call fails
  int m_repliesToLose = 0;     // of the next writes, which are still applied
  std::unique_ptr<ClaimShard> m_home;
  std::unique_ptr<ClaimShard> m_other;
  std::map<std::uint64_t, Outcome> m_outcomes;
  MonotonicTime m_now{ std::chrono::hours(1) };

private:
  static void StartShard(std::unique_ptr<ClaimShard>& aShard,
                         const std::string& aName)
  {
    ClaimSettings settings;
    settings.m_commitPeriod = milliseconds(0);
    aShard = std::make_unique<ClaimShard>("teesheet", 0, aName, settings);
    aShard->SetHome(true);
  }
  void CollectResults(ClaimShard& aShard)
  {
    for (const auto& result : aShard.TakeResults()) {
      m_outcomes[result.m_ticket] = OutcomeOf(result.m_result);
    }
  }
  PlatformReply HandleCall(const ClaimCall& aCall)
  {
    if (m_platformDown) {
      return { PlatformOutcome::Unavailable, {} };
    }
    if (aCall.m_kind == ClaimCall::Kind::Get) {
      return { m_object.m_version == 0 ? PlatformOutcome::NotFound
                                       : PlatformOutcome::Ok,
               m_object };
    }
    if (aCall.m_write.m_expectedVersion != m_object.m_version) {
      return { PlatformOutcome::Conflict, m_object };
    }
    m_object = { aCall.m_write.m_key,
                 m_object.m_version + 1,
                 aCall.m_write.m_value,
                 aCall.m_write.m_changeId,
                 false };
    if (m_repliesToLose > 0) {
      --m_repliesToLose;
      return { PlatformOutcome::Unknown, {} };
    }
    return { PlatformOutcome::Ok, m_object };
  }

  PlatformObject m_object;
};

struct VerdictCase
{
  const char* m_fault;
  // Claims for the first request and the duplicate.
  std::function<void(ClaimScenario&)> m_run;
  Outcome m_first;
  Outcome m_duplicate; // at the home or the other agent
};

const std::vector<VerdictCase> kVerdictCases = {
  { "none",
    [](ClaimScenario& aScenario) {
      aScenario.ClaimFirst();
      aScenario.FinishFirst(Verdict::Ran);
      aScenario.ClaimDuplicate();
    },
    Outcome::Granted,
    Outcome::Stored },
  { "platform down before the claim",
    [](ClaimScenario& aScenario) {
      aScenario.m_platformDown = true;
      aScenario.ClaimFirst();
      aScenario.Wait(milliseconds(3000));
      aScenario.ClaimDuplicate();
      aScenario.Wait(milliseconds(3000));
    },
    Outcome::NotRun,
    Outcome::NotRun },
  { "reply to the claim's write lost",
    [](ClaimScenario& aScenario) {
      aScenario.m_repliesToLose = 2; // of the takeover and the claim
      aScenario.ClaimFirst();
      aScenario.Wait(milliseconds(100));
      aScenario.Wait(milliseconds(100));
      aScenario.FinishFirst(Verdict::Ran);
      aScenario.ClaimDuplicate();
    },
    Outcome::Granted,
    Outcome::Stored },
  { "claim abandoned while the result of its write is unknown",
    [](ClaimScenario& aScenario) {
      aScenario.RunClaim(*aScenario.m_home, "first body", kEarlierTicket);
      aScenario.m_home->Finish(
        9, Verdict::NotRun, std::nullopt, aScenario.m_now);
      aScenario.m_repliesToLose = 1;
      aScenario.ClaimFirst();
      aScenario.m_platformDown = true;
      aScenario.Wait(milliseconds(3000));
      aScenario.ClaimDuplicate();
      aScenario.Wait(milliseconds(3000));
    },
    Outcome::NotRun,
    Outcome::NotRun },
  { "home has moved before the claim is durable",
    [](ClaimScenario& aScenario) {
      aScenario.RunClaim(*aScenario.m_home, "first body", kEarlierTicket);
      aScenario.m_home->Finish(
        9, Verdict::NotRun, std::nullopt, aScenario.m_now);
      aScenario.Wait(milliseconds(2000)); // the outcome is recorded
      aScenario.m_home->SetHome(false);
      aScenario.ClaimFirst();
      aScenario.ClaimDuplicateAtOther();
    },
    Outcome::NotRun,
    Outcome::Granted },
  { "home crashes before the outcome is recorded",
    [](ClaimScenario& aScenario) {
      aScenario.ClaimFirst();
      aScenario.FinishFirst(Verdict::Ran);
      aScenario.CrashHome();
      aScenario.ClaimDuplicate();
    },
    Outcome::Granted,
    Outcome::MayHaveRun },
  { "home crashes after the outcome is recorded",
    [](ClaimScenario& aScenario) {
      aScenario.ClaimFirst();
      aScenario.FinishFirst(Verdict::Ran);
      aScenario.Wait(milliseconds(2000));
      aScenario.CrashHome();
      aScenario.ClaimDuplicate();
    },
    Outcome::Granted,
    Outcome::Ran },
  { "home moves while the request runs",
    [](ClaimScenario& aScenario) {
      aScenario.ClaimFirst();
      aScenario.MoveHome();
      aScenario.FinishFirst(Verdict::Ran);
      aScenario.ClaimDuplicateAtOther();
    },
    Outcome::Granted,
    Outcome::MayHaveRun },
  { "upstream refuses the connection",
    [](ClaimScenario& aScenario) {
      aScenario.ClaimFirst();
      aScenario.FinishFirst(Verdict::NotRun);
      aScenario.ClaimDuplicate();
    },
    Outcome::Granted,
    Outcome::Granted },
  { "upstream closes the connection",
    [](ClaimScenario& aScenario) {
      aScenario.ClaimFirst();
      aScenario.FinishFirst(Verdict::MayHaveRun);
      aScenario.ClaimDuplicate();
    },
    Outcome::Granted,
    Outcome::MayHaveRun },
  { "key reused for another request",
    [](ClaimScenario& aScenario) {
      aScenario.ClaimFirst();
      aScenario.FinishFirst(Verdict::Ran);
      aScenario.RunClaim(*aScenario.m_home, "another body", kDuplicateTicket);
    },
    Outcome::Granted,
    Outcome::NotRun },
  { "duplicate arrives while the first runs",
    [](ClaimScenario& aScenario) {
      aScenario.ClaimFirst();
      aScenario.ClaimDuplicate();
    },
    Outcome::Granted,
    Outcome::MayHaveRun },
};

TEST(Verdicts, MatchTheDocumentedTable)
{
  SetAbortOnBrokenInvariant(true);
  for (const auto& verdictCase : kVerdictCases) {
    ClaimScenario scenario;
    verdictCase.m_run(scenario);
    EXPECT_EQ(scenario.m_outcomes[kFirstTicket], verdictCase.m_first)
      << verdictCase.m_fault;
    const auto duplicate = scenario.m_outcomes.contains(kOtherAgentTicket)
                             ? kOtherAgentTicket
                             : kDuplicateTicket;
    EXPECT_EQ(scenario.m_outcomes[static_cast<std::uint64_t>(duplicate)],
              verdictCase.m_duplicate)
      << verdictCase.m_fault;
  }
}

} // namespace
} // namespace siskindeal

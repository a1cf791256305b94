// The first table of docs/verdicts.md, row by row.

#include "siskindeal/claims.h"
#include "siskindeal/invariant.h"

#include <gtest/gtest.h>

#include <functional>

namespace siskindeal {
namespace {

using std::chrono::milliseconds;

enum class Told
{
  Nothing,
  Granted,
  Stored,
  NotRun,
  MayHaveRun,
  Ran,
};

Told
ToldBy(const ClaimResult& aResult)
{
  struct Visitor
  {
    Told operator()(const ClaimGranted&) const { return Told::Granted; }
    Told operator()(const StoredAnswer&) const { return Told::Stored; }
    Told operator()(const Error& aError) const
    {
      switch (aError.GetVerdict()) {
        case Verdict::NotRun:
          return Told::NotRun;
        case Verdict::MayHaveRun:
          return Told::MayHaveRun;
        case Verdict::Ran:
          return Told::Ran;
      }
      return Told::Nothing;
    }
  };
  return std::visit(Visitor{}, aResult);
}

// One key, its home, and another agent that may become the home.
class Case
{
public:
  Case()
  {
    Start(m_home, "home");
    Start(m_other, "other");
    m_home->SetHome(true);
  }

  void Crash() { Start(m_home, "home again"); }
  void MoveHome()
  {
    m_other->SetHome(true);
    Ask(*m_other, "first body", 77);
    Settle(*m_other);
    m_told.erase(77); // only made it take the record over
  }
  Told Ask(ClaimShard& aShard, const std::string& aBody, std::uint64_t aTicket)
  {
    aShard.Claim(aTicket,
                 { ClaimKeyOf("teesheet", "team", "key"),
                   ClaimDigestOf("POST", "/", aBody),
                   m_now + milliseconds(30000) },
                 m_now);
    Settle(aShard);
    return m_told[aTicket];
  }
  Told First() { return Ask(*m_home, "first body", 1); }
  Told Duplicate() { return Ask(*m_home, "first body", 2); }
  Told DuplicateElsewhere()
  {
    m_other->SetHome(true);
    return Ask(*m_other, "first body", 3);
  }
  void End(Verdict aVerdict)
  {
    m_home->Finish(1, aVerdict, StoredAnswer{}, m_now);
  }
  void Wait(milliseconds aTime)
  {
    m_now += aTime;
    m_home->Tick(m_now);
    Settle(*m_home);
  }
  // Runs a shard's calls until it has none or the platform is out.
  void Settle(ClaimShard& aShard)
  {
    Take(aShard);
    for (int call = 0; call < 20; ++call) {
      const auto next = aShard.Next(m_now);
      if (!next) {
        break;
      }
      aShard.OnReply(Reply(*next), m_now);
      Take(aShard);
    }
  }

  bool m_out = false;    // the platform refuses every call
  int m_answersLost = 0; // of the next writes, which take effect
  std::unique_ptr<ClaimShard> m_home;
  std::unique_ptr<ClaimShard> m_other;
  std::map<std::uint64_t, Told> m_told;
  MonotonicTime m_now{ std::chrono::hours(1) };

private:
  static void Start(std::unique_ptr<ClaimShard>& aShard,
                    const std::string& aName)
  {
    ClaimSettings settings;
    settings.m_commitPeriod = milliseconds(0);
    aShard = std::make_unique<ClaimShard>("teesheet", 0, aName, settings);
    aShard->SetHome(true);
  }
  void Take(ClaimShard& aShard)
  {
    for (const auto& result : aShard.TakeResults()) {
      m_told[result.m_ticket] = ToldBy(result.m_result);
    }
  }
  PlatformReply Reply(const ClaimCall& aCall)
  {
    if (m_out) {
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
    if (m_answersLost > 0) {
      --m_answersLost;
      return { PlatformOutcome::Unknown, {} };
    }
    return { PlatformOutcome::Ok, m_object };
  }

  PlatformObject m_object;
};

struct Row
{
  const char* m_fault;
  std::function<void(Case&)> m_run; // asks the first request and the duplicate
  Told m_first;
  Told m_duplicate; // ticket 2, or 3 at the other agent
};

const std::vector<Row> kRows = {
  { "none",
    [](Case& aCase) {
      aCase.First();
      aCase.End(Verdict::Ran);
      aCase.Duplicate();
    },
    Told::Granted,
    Told::Stored },
  { "platform down before the claim",
    [](Case& aCase) {
      aCase.m_out = true;
      aCase.First();
      aCase.Wait(milliseconds(3000));
      aCase.Duplicate();
      aCase.Wait(milliseconds(3000));
    },
    Told::NotRun,
    Told::NotRun },
  { "answer of the claim's write lost",
    [](Case& aCase) {
      aCase.m_answersLost = 2; // of taking over and of the claim
      aCase.First();
      aCase.Wait(milliseconds(100));
      aCase.Wait(milliseconds(100));
      aCase.End(Verdict::Ran);
      aCase.Duplicate();
    },
    Told::Granted,
    Told::Stored },
  { "claim given up while its write's fate is unknown",
    [](Case& aCase) {
      aCase.Ask(*aCase.m_home, "first body", 9);
      aCase.m_home->Finish(9, Verdict::NotRun, std::nullopt, aCase.m_now);
      aCase.m_answersLost = 1;
      aCase.First();
      aCase.m_out = true;
      aCase.Wait(milliseconds(3000));
      aCase.Duplicate();
      aCase.Wait(milliseconds(3000));
    },
    Told::NotRun,
    Told::NotRun },
  { "home has moved before the claim is durable",
    [](Case& aCase) {
      aCase.Ask(*aCase.m_home, "first body", 9);
      aCase.m_home->Finish(9, Verdict::NotRun, std::nullopt, aCase.m_now);
      aCase.Wait(milliseconds(2000)); // the outcome is recorded
      aCase.m_home->SetHome(false);
      aCase.First();
      aCase.DuplicateElsewhere();
    },
    Told::NotRun,
    Told::Granted },
  { "home crashes before the outcome is recorded",
    [](Case& aCase) {
      aCase.First();
      aCase.End(Verdict::Ran);
      aCase.Crash();
      aCase.Duplicate();
    },
    Told::Granted,
    Told::MayHaveRun },
  { "home crashes after the outcome is recorded",
    [](Case& aCase) {
      aCase.First();
      aCase.End(Verdict::Ran);
      aCase.Wait(milliseconds(2000));
      aCase.Crash();
      aCase.Duplicate();
    },
    Told::Granted,
    Told::Ran },
  { "home moves while the request runs",
    [](Case& aCase) {
      aCase.First();
      aCase.MoveHome();
      aCase.End(Verdict::Ran);
      aCase.DuplicateElsewhere();
    },
    Told::Granted,
    Told::MayHaveRun },
  { "upstream refuses the connection",
    [](Case& aCase) {
      aCase.First();
      aCase.End(Verdict::NotRun);
      aCase.Duplicate();
    },
    Told::Granted,
    Told::Granted },
  { "upstream breaks off",
    [](Case& aCase) {
      aCase.First();
      aCase.End(Verdict::MayHaveRun);
      aCase.Duplicate();
    },
    Told::Granted,
    Told::MayHaveRun },
  { "key reused for another request",
    [](Case& aCase) {
      aCase.First();
      aCase.End(Verdict::Ran);
      aCase.Ask(*aCase.m_home, "another body", 2);
    },
    Told::Granted,
    Told::NotRun },
  { "duplicate arrives while the first runs",
    [](Case& aCase) {
      aCase.First();
      aCase.Duplicate();
    },
    Told::Granted,
    Told::MayHaveRun },
};

TEST(Verdicts, AreThoseOfTheTable)
{
  SetAbortOnBrokenInvariant(true);
  for (const auto& row : kRows) {
    Case run;
    row.m_run(run);
    EXPECT_EQ(run.m_told[1], row.m_first) << row.m_fault;
    const auto duplicate = run.m_told.contains(3) ? 3 : 2;
    EXPECT_EQ(run.m_told[static_cast<std::uint64_t>(duplicate)],
              row.m_duplicate)
      << row.m_fault;
  }
}

} // namespace
} // namespace siskindeal

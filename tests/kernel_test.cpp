#include "siskindeal/digest.h"
#include "siskindeal/invariant.h"
#include "siskindeal/lock_order.h"
#include "siskindeal/registry.h"
#include "siskindeal/verdict.h"
#include "siskindeal/worker_pool.h"

#include <gtest/gtest.h>

#include <future>

namespace siskindeal {
namespace {

struct Shape
{
  virtual ~Shape() = default;
};

const Registration<Shape> kRegistered("plain",
                                      [] { return std::make_unique<Shape>(); });

TEST(Kernel, VerdictsRoundTripAndCombineToTheStronger)
{
  for (const auto verdict :
       { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran }) {
    EXPECT_EQ(ParseVerdict(ToString(verdict)), verdict);
    EXPECT_EQ(Combine(Verdict::NotRun, verdict), verdict);
    EXPECT_EQ(Combine(Verdict::Ran, verdict), Verdict::Ran);
  }
  EXPECT_FALSE(ParseVerdict("not_run").has_value());
}

TEST(Kernel, RegistryMakesRegisteredNamesAndRejectsOthers)
{
  EXPECT_NE(Registry<Shape>::Instance().Make("plain"), nullptr);
  EXPECT_THROW(Registry<Shape>::Instance().Make("other"),
               std::invalid_argument);
}

TEST(Kernel, LockingOutOfOrderBreaksAnInvariant)
{
  OrderedMutex config(LockLevel::Config);
  OrderedMutex session(LockLevel::Session);
  const auto before = BrokenInvariants();
  {
    const OrderedLock first(config);
    const OrderedLock second(session);
  }
  EXPECT_EQ(BrokenInvariants(), before);
  // Enters the level without a mutex, as Abseil's deadlock detector aborts when
  // two mutexes are locked out of order.
  const OrderedLock held(session);
  EnterLockLevel(LockLevel::Config);
  EXPECT_EQ(BrokenInvariants(), before + 1);
  LeaveLockLevel(LockLevel::Config);
}

TEST(Kernel, WorkerPoolRunsTasksAndTimersAfterAnException)
{
  WorkerPool pool(2);
  std::promise<void> posted;
  std::promise<void> timed;
  std::promise<void> periodic;
  std::atomic<int> runs{ 0 };
  pool.Post([] { throw std::runtime_error("expected by the test"); });
  pool.Post([&] { posted.set_value(); });
  pool.PostAfter(std::chrono::milliseconds(5), [&] { timed.set_value(); });
  pool.Every(std::chrono::milliseconds(1), [&] {
    if (++runs == 3) {
      periodic.set_value();
    }
  });
  posted.get_future().wait();
  timed.get_future().wait();
  periodic.get_future().wait();
  pool.Stop();
}

TEST(Kernel, DigestsMatchPublishedVectors)
{
  EXPECT_EQ(Sha256Hex("abc"),
            "ba7816bf8f01cfea414140de5dae2223"
            "b00361a396177a9cb410ff61f20015ad");
  EXPECT_EQ(HmacSha256Hex("Jefe", "what do ya want for nothing?"),
            "5bdcc146bf60754e6a042426089575c7"
            "5a003f089d2739839dec58b964ec3843");
  EXPECT_NE(NewId(), NewId());
}

} // namespace
} // namespace siskindeal

// What a caller gets of a stream that breaks off and is gone on with.

#include "entry/stream_resume_p.h"

#include "siskindeal/invariant.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace siskindeal {
namespace {

constexpr const char* kEnd = "data: [DONE]\n\n";

// The events of the answer that these weights make.
std::vector<std::string>
EventsOf(const std::string& aDigest, std::uint64_t aEvents)
{
  std::vector<std::string> events;
  events.reserve(aEvents + 1);
  for (std::uint64_t i = 0; i < aEvents; ++i) {
    const auto end = i % 3 == 0 ? "\r\n\r\n" : "\n\n";
    events.push_back("data: " + aDigest + std::to_string(i) + end);
  }
  events.emplace_back(kEnd);
  return events;
}

std::string
Join(const std::vector<std::string>& aEvents, std::size_t aFrom)
{
  std::string text;
  for (auto i = aFrom; i < aEvents.size(); ++i) {
    text += aEvents[i];
  }
  return text;
}

// One attempt: which weights answer, after how many events, as it says itself,
// and how its bytes arrive.
struct Attempt
{
  std::string m_digest;
  std::optional<std::uint64_t> m_says;
  std::string m_bytes;
  bool m_ends = false; // all of its bytes arrive
};

Attempt
AnyAttempt(const StreamResume& aStream, std::uint64_t aEvents, Random& aRandom)
{
  Attempt attempt;
  attempt.m_digest = aRandom.Chance(0.8) ? "A" : "B";
  const auto events = EventsOf(attempt.m_digest, aEvents);
  // It resumes, resumes from elsewhere, or begins anew without saying so.
  const auto kind = aRandom.Below(8);
  std::uint64_t from = aStream.Events();
  if (kind == 6) {
    from = aRandom.Below(aEvents + 1);
  }
  if (kind == 7) {
    from = 0;
  } else if (from > 0) {
    attempt.m_says = from;
  }
  attempt.m_bytes = Join(events, from);
  const auto size = attempt.m_bytes.size();
  const auto arrive = aRandom.Below(size + size / 4 + 1);
  attempt.m_ends = arrive >= size;
  attempt.m_bytes.resize(std::min(arrive, size));
  return attempt;
}

std::string
Deliver(StreamResume& aStream, const Attempt& aAttempt, Random& aRandom)
{
  std::string got;
  for (std::size_t at = 0; at < aAttempt.m_bytes.size();) {
    const auto piece = 1 + aRandom.Below(40);
    got += aStream.Take(std::string_view(aAttempt.m_bytes).substr(at, piece));
    at += piece;
  }
  if (aAttempt.m_ends) {
    got += aStream.TakeRest();
  } else {
    aStream.BreakOff();
  }
  return got;
}

// One answer; the attempts that it took, or 0 when it didn't end whole.
int
RunOnce(Random& aRandom)
{
  const auto events = 1 + aRandom.Below(12);
  StreamResume stream;
  std::string got;
  std::string digest; // of the first byte
  for (int i = 1; i <= 12; ++i) {
    const auto attempt = AnyAttempt(stream, events, aRandom);
    if (!stream.Begin(attempt.m_digest, attempt.m_says)) {
      stream.BreakOff();
      continue;
    }
    got += Deliver(stream, attempt, aRandom);
    if (digest.empty() && !got.empty()) {
      digest = attempt.m_digest;
    }
    const auto truth = Join(EventsOf(digest, events), 0);
    EXPECT_EQ(truth.rfind(got, 0), 0U) << got;
    EXPECT_EQ(stream.IsWhole(), got == truth) << got;
    EXPECT_EQ(stream.HasBegun(), !got.empty());
    EXPECT_TRUE(!stream.HasBegun() || stream.Digest() == digest);
    if (stream.IsWhole() || testing::Test::HasFailure()) {
      return i;
    }
  }
  return 0;
}

TEST(StreamResume, GivesOneTrueAnswerInLongRandomisedRuns)
{
  constexpr int kAnswers = 50000;
  SetAbortOnBrokenInvariant(true);
  Random random(20261203);
  int resumed = 0;
  for (int i = 0; i < kAnswers && !testing::Test::HasFailure(); ++i) {
    resumed += RunOnce(random) > 1 ? 1 : 0;
  }
  EXPECT_GT(resumed, kAnswers / 4);
}

TEST(StreamResume, BreaksOnlyBetweenEvents)
{
  StreamResume stream;
  ASSERT_TRUE(stream.Begin("A", std::nullopt));
  EXPECT_EQ(stream.Take("data: one\n"), "");
  EXPECT_EQ(stream.Take("\ndata: t"), "data: one\n\n");
  stream.BreakOff();
  EXPECT_TRUE(stream.MayResume(Reason::UpstreamFailed));
  EXPECT_FALSE(stream.MayResume(Reason::Quarantined));
  EXPECT_FALSE(stream.Begin("B", 1));
  EXPECT_FALSE(stream.Begin("A", std::nullopt));
  EXPECT_FALSE(stream.Begin("A", 2));
  ASSERT_TRUE(stream.Begin("A", 1));
  EXPECT_EQ(stream.Take("data: two\n\ndata: [DONE]\n\nmore\n\n"),
            "data: two\n\ndata: [DONE]\n\n");
  EXPECT_TRUE(stream.IsWhole());
  EXPECT_FALSE(stream.MayResume(Reason::UpstreamFailed));
}

TEST(StreamResume, IsBounded)
{
  StreamResume stream;
  ASSERT_TRUE(stream.Begin("A", std::nullopt));
  stream.Take("data: one\n\n");
  for (std::uint32_t i = 0; i < StreamResume::kMostBreaks; ++i) {
    stream.BreakOff();
    EXPECT_TRUE(stream.MayResume(Reason::UpstreamFailed));
  }
  stream.BreakOff();
  EXPECT_FALSE(stream.MayResume(Reason::UpstreamFailed));
}

TEST(StreamResume, PassesOnAnEventThatIsTooLongButDoesNotResumeIt)
{
  StreamResume stream;
  ASSERT_TRUE(stream.Begin("A", std::nullopt));
  const std::string bytes(StreamResume::kMostEventBytes + 1, 'x');
  EXPECT_EQ(stream.Take(bytes), bytes);
  EXPECT_EQ(stream.Take("y"), "y");
  stream.BreakOff();
  EXPECT_FALSE(stream.MayResume(Reason::UpstreamFailed));
}

TEST(StreamResume, IsNotGoneOnWithAfterTheEngineSaidThatItFailed)
{
  StreamResume stream;
  ASSERT_TRUE(stream.Begin("A", std::nullopt));
  stream.Take("event: error\ndata: {}\n\n");
  stream.BreakOff();
  EXPECT_FALSE(stream.MayResume(Reason::TruncatedAnswer));
}

} // namespace
} // namespace siskindeal

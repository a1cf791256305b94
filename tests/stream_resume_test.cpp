// Tests what a caller receives from a stream that is interrupted and resumed.

#include "entry/stream_resume_p.h"

#include "siskindeal/invariant.h"
#include "siskindeal/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace siskindeal {
namespace {

constexpr const char* kEndEvent = "data: [DONE]\n\n";

// Returns the events of the response from the given weights.
std::vector<std::string>
MakeEvents(const std::string& aDigest, std::uint64_t aEvents)
{
  std::vector<std::string> events;
  events.reserve(aEvents + 1);
  for (std::uint64_t i = 0; i < aEvents; ++i) {
    const auto end = i % 3 == 0 ? "\r\n\r\n" : "\n\n";
    events.push_back("data: " + aDigest + std::to_string(i) + end);
  }
  events.emplace_back(kEndEvent);
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

// One attempt: its weights, the number of events that it declares to skip, and
// the bytes that arrive.
struct Attempt
{
  std::string m_digest;
  std::optional<std::uint64_t> m_declaredResume;
  std::string m_bytes;
  bool m_complete = false; // all bytes of the response arrive
};

Attempt
RandomAttempt(const StreamResume& aStream,
              std::uint64_t aEvents,
              Random& aRandom)
{
  Attempt attempt;
  attempt.m_digest = aRandom.Chance(0.8) ? "A" : "B";
  const auto events = MakeEvents(attempt.m_digest, aEvents);
  // Resumes at the right event or a random one, or restarts without declaring
  // it.
  const auto kind = aRandom.Below(8);
  std::uint64_t from = aStream.EventCount();
  if (kind == 6) {
    from = aRandom.Below(aEvents + 1);
  }
  if (kind == 7) {
    from = 0;
  } else if (from > 0) {
    attempt.m_declaredResume = from;
  }
  attempt.m_bytes = Join(events, from);
  const auto size = attempt.m_bytes.size();
  const auto received = aRandom.Below(size + size / 4 + 1);
  attempt.m_complete = received >= size;
  attempt.m_bytes.resize(std::min(received, size));
  return attempt;
}

std::string
Deliver(StreamResume& aStream, const Attempt& aAttempt, Random& aRandom)
{
  std::string forwarded;
  for (std::size_t at = 0; at < aAttempt.m_bytes.size();) {
    const auto piece = 1 + aRandom.Below(40);
    forwarded += aStream.ProcessBytes(
      std::string_view(aAttempt.m_bytes).substr(at, piece));
    at += piece;
  }
  if (aAttempt.m_complete) {
    forwarded += aStream.Flush();
  } else {
    aStream.AbortAttempt();
  }
  return forwarded;
}

// Runs one response. Returns the number of attempts, or 0 if it didn't
// complete.
int
RunResponse(Random& aRandom)
{
  constexpr std::uint64_t kMaxEvents = 12;
  constexpr int kMaxAttempts = 12;
  const auto events = 1 + aRandom.Below(kMaxEvents);
  StreamResume stream;
  std::string forwarded;
  std::string digest; // of the weights that sent the first byte
  for (int i = 1; i <= kMaxAttempts; ++i) {
    const auto attempt = RandomAttempt(stream, events, aRandom);
    if (!stream.BeginAttempt(attempt.m_digest, attempt.m_declaredResume)) {
      stream.AbortAttempt();
      continue;
    }
    forwarded += Deliver(stream, attempt, aRandom);
    if (digest.empty() && !forwarded.empty()) {
      digest = attempt.m_digest;
    }
    const auto expected = Join(MakeEvents(digest, events), 0);
    EXPECT_EQ(expected.rfind(forwarded, 0), 0U) << forwarded;
    EXPECT_EQ(stream.IsComplete(), forwarded == expected) << forwarded;
    EXPECT_EQ(stream.HasBegun(), !forwarded.empty());
    EXPECT_TRUE(!stream.HasBegun() || stream.Digest() == digest);
    if (stream.IsComplete() || testing::Test::HasFailure()) {
      return i;
    }
  }
  return 0;
}

TEST(StreamResume, ForwardsOneConsistentResponseInRandomRuns)
{
  constexpr int kResponses = 50000;
  SetAbortOnBrokenInvariant(true);
  Random random(20261203);
  int resumed = 0;
  for (int i = 0; i < kResponses && !testing::Test::HasFailure(); ++i) {
    resumed += RunResponse(random) > 1 ? 1 : 0;
  }
  EXPECT_GT(resumed, kResponses / 4);
}

TEST(StreamResume, InterruptsOnlyBetweenEvents)
{
  StreamResume stream;
  ASSERT_TRUE(stream.BeginAttempt("A", std::nullopt));
  EXPECT_EQ(stream.ProcessBytes("data: one\n"), "");
  EXPECT_EQ(stream.ProcessBytes("\ndata: t"), "data: one\n\n");
  stream.AbortAttempt();
  EXPECT_TRUE(stream.MayResume(Reason::UpstreamFailed));
  EXPECT_FALSE(stream.MayResume(Reason::Quarantined));
  EXPECT_FALSE(stream.BeginAttempt("B", 1));
  EXPECT_FALSE(stream.BeginAttempt("A", std::nullopt));
  EXPECT_FALSE(stream.BeginAttempt("A", 2));
  ASSERT_TRUE(stream.BeginAttempt("A", 1));
  EXPECT_EQ(stream.ProcessBytes("data: two\n\ndata: [DONE]\n\nmore\n\n"),
            "data: two\n\ndata: [DONE]\n\n");
  EXPECT_TRUE(stream.IsComplete());
  EXPECT_FALSE(stream.MayResume(Reason::UpstreamFailed));
}

TEST(StreamResume, LimitsInterruptions)
{
  StreamResume stream;
  ASSERT_TRUE(stream.BeginAttempt("A", std::nullopt));
  stream.ProcessBytes("data: one\n\n");
  for (std::uint32_t i = 0; i < StreamResume::kMaxInterruptions; ++i) {
    stream.AbortAttempt();
    EXPECT_TRUE(stream.MayResume(Reason::UpstreamFailed));
  }
  stream.AbortAttempt();
  EXPECT_FALSE(stream.MayResume(Reason::UpstreamFailed));
}

TEST(StreamResume, ForwardsAnOversizedEventButDoesNotResume)
{
  StreamResume stream;
  ASSERT_TRUE(stream.BeginAttempt("A", std::nullopt));
  const std::string bytes(StreamResume::kMaxEventBytes + 1, 'x');
  EXPECT_EQ(stream.ProcessBytes(bytes), bytes);
  EXPECT_EQ(stream.ProcessBytes("y"), "y");
  stream.AbortAttempt();
  EXPECT_FALSE(stream.MayResume(Reason::UpstreamFailed));
}

TEST(StreamResume, DoesNotResumeAfterAnErrorEvent)
{
  StreamResume stream;
  ASSERT_TRUE(stream.BeginAttempt("A", std::nullopt));
  stream.ProcessBytes("event: error\ndata: {}\n\n");
  stream.AbortAttempt();
  EXPECT_FALSE(stream.MayResume(Reason::TruncatedAnswer));
}

} // namespace
} // namespace siskindeal

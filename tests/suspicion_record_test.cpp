// Tests the record of suspicions that gateways keep in the platform's store.

#include "gateway/suspicion_exchange_p.h"
#include "gateway/suspicion_record_p.h"

#include <gtest/gtest.h>

namespace siskindeal {

namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr WallTime kNow{ hours(500000) };
constexpr MonotonicTime kStart{ hours(1) };
constexpr PromptPart kPoisonPart = 0xdead;
constexpr PromptPart kSoundPart = 0xb0;
constexpr std::uint64_t kPoisonRequest = 7;

std::string
RunnerId(int aNumber)
{
  return "i-" + std::to_string(aNumber);
}

// Five runners crash of requests with one part, and others of one request.
SuspicionExchange
SuspectingExchange()
{
  SuspicionExchange exchange;
  MonotonicTime now = kStart;
  for (int i = 0; i < 5; ++i, now += seconds(1)) {
    exchange.RecordCrash(
      { RunnerId(i), 1, 0 },
      { { 100 + static_cast<std::uint64_t>(i), { kPoisonPart, kSoundPart } } },
      now);
    exchange.RecordCompletion({ 50, { kSoundPart } }, 200, now, now);
  }
  for (int i = 10; i < 13; ++i) {
    exchange.RecordCrash({ RunnerId(i), 1, 0 }, { { kPoisonRequest } }, now);
  }
  (void)exchange.SuspicionsToAdvertise(now);
  (void)exchange.PartsToAdvertise(now);
  return exchange;
}

SuspicionRecord
Decode(const std::string& aText, WallTime aNow, std::size_t aRejected = 0)
{
  std::vector<std::string> rejected;
  SuspicionRecord record = DecodeSuspicionRecord(aText, aNow, rejected);
  EXPECT_EQ(rejected.size(), aRejected) << aText;
  return record;
}

PartVerdict
VerdictOn(const SuspicionExchange& aExchange, PromptPart aPart)
{
  return aExchange
    .DecideParts(
      { aPart }, [](PromptPart) { return true; }, kStart)
    .m_verdict;
}

TEST(SuspicionRecord, NewGatewayRefusesWhatTheFormerOnesRefused)
{
  const SuspicionExchange former = SuspectingExchange();
  const std::string text =
    EncodeSuspicionRecord(former.RecordToStore(kStart + seconds(6)), kNow);
  SuspicionExchange exchange;
  exchange.MergeStored(Decode(text, kNow + seconds(1)), kStart);
  EXPECT_EQ(VerdictOn(exchange, kPoisonPart), PartVerdict::Refuse);
  EXPECT_EQ(VerdictOn(exchange, kSoundPart), PartVerdict::Send);
  EXPECT_TRUE(exchange.IsQuarantined(kPoisonRequest));
  EXPECT_FALSE(exchange.IsTrialDue(kPoisonRequest, kStart));
  // What was read is stored again, so nothing has to be written.
  EXPECT_EQ(ContentOf(exchange.RecordToStore(kStart)),
            ContentOf(former.RecordToStore(kStart + seconds(6))));
}

TEST(SuspicionRecord, ClearedPartIsNotStoredAgain)
{
  SuspicionExchange exchange = SuspectingExchange();
  const MonotonicTime later = kStart + seconds(60);
  exchange.MergeStored(exchange.RecordToStore(later), later);
  exchange.RecordCompletion({ 60, { kPoisonPart } }, 200, later, later);
  (void)exchange.PartsToAdvertise(later);
  EXPECT_TRUE(exchange.RecordToStore(later).m_parts.empty());
}

TEST(SuspicionRecord, AgesGrowBetweenWritingAndReading)
{
  const std::string text = EncodeSuspicionRecord(
    SuspectingExchange().RecordToStore(kStart + seconds(6)), kNow);
  const SuspicionRecord atOnce = Decode(text, kNow);
  const SuspicionRecord later = Decode(text, kNow + seconds(100));
  EXPECT_EQ(atOnce.m_parts.at(0).crashes(0).age_ms() + 100000,
            later.m_parts.at(0).crashes(0).age_ms());
  // The clock of the reading VM is behind.
  const SuspicionRecord before = Decode(text, kNow - seconds(100));
  EXPECT_EQ(atOnce.m_parts.at(0).crashes(0).age_ms(),
            before.m_parts.at(0).crashes(0).age_ms());
  EXPECT_TRUE(Decode(text, kNow + hours(2)).IsEmpty());
}

TEST(SuspicionRecord, UnreadableEntriesHideNoOthers)
{
  const std::string sound =
    R"({"part":"000000000000dead","crashes":[{"crash":"0000000000000001",)"
    R"("age_ms":5}]})";
  const std::string writtenAt =
    R"({"written_at_ms":)" +
    std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                     kNow.time_since_epoch())
                     .count());
  const char* const entries[] = {
    "7",
    "{}",
    R"({"part":7,"crashes":[]})",
    R"({"part":"zz","crashes":[]})",
    R"({"part":"000000000000dead","crashes":7})",
    R"({"part":"000000000000dead","crashes":[{"crash":"1","age_ms":-1}]})",
  };
  for (const char* entry : entries) {
    SCOPED_TRACE(entry);
    std::string text = writtenAt + R"(,"parts":[)";
    text.append(entry).append(",").append(sound).append("]}");
    const SuspicionRecord record = Decode(text, kNow, 1);
    ASSERT_EQ(record.m_parts.size(), 1U);
    EXPECT_EQ(record.m_parts[0].part(), kPoisonPart);
  }
  for (const char* text : { "", "[]", "7", "{", R"({"written_at_ms":-1})" }) {
    SCOPED_TRACE(text);
    EXPECT_TRUE(Decode(text, kNow, 1).IsEmpty());
  }
}

TEST(SuspicionRecord, IsBounded)
{
  SuspicionRecord record;
  for (std::size_t i = 0; i < 2 * kMaxRecordedParts; ++i) {
    v1::PartSuspicion& part = record.m_parts.emplace_back();
    part.set_part(i);
    part.add_crashes()->set_id(i);
  }
  const SuspicionRecord read =
    Decode(EncodeSuspicionRecord(record, kNow), kNow, 1);
  EXPECT_EQ(read.m_parts.size(), kMaxRecordedParts);
}

} // namespace

} // namespace siskindeal

#include "platform/answers_p.h"

#include "platform/object_json_p.h"
#include "siskindeal/log.h"

#include <charconv>
#include <utility>

namespace siskindeal {

namespace {

void
LogMalformed(const std::exception& aMalformed)
{
  Log(LogLevel::Warning,
      "platform_answer_malformed",
      { { "what", aMalformed.what() } });
}

} // namespace

bool
IsRefusal(const HttpReply& aReply)
{
  return aReply.m_outcome == HttpOutcome::Answered &&
         (aReply.m_status == kStatusTooManyRequests ||
          aReply.m_status == kStatusUnavailable);
}

bool
IsAnswer(const HttpReply& aReply)
{
  return aReply.m_outcome == HttpOutcome::Answered &&
         aReply.m_status < kStatusServerError &&
         aReply.m_status != kStatusTooManyRequests;
}

std::chrono::milliseconds
RetryAfter(const HttpReply& aReply)
{
  const auto found = aReply.m_headers.find("retry-after-ms");
  std::int64_t milliseconds = 0;
  if (found != aReply.m_headers.end()) {
    const auto& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  }
  return std::chrono::milliseconds(milliseconds);
}

PlatformReply
Outcome(PlatformOutcome aOutcome, std::chrono::milliseconds aRetryAfter)
{
  PlatformReply reply;
  reply.m_outcome = aOutcome;
  reply.m_retryAfter = aRetryAfter;
  return reply;
}

PlatformReply
WithObject(PlatformOutcome aOutcome, PlatformObject aObject)
{
  PlatformReply reply;
  reply.m_outcome = aOutcome;
  reply.m_object = std::move(aObject);
  return reply;
}

PlatformReply
ReadGet(const HttpReply& aReply)
{
  if (!IsAnswer(aReply)) {
    return Outcome(PlatformOutcome::Unavailable, RetryAfter(aReply));
  }
  if (aReply.m_status == kStatusNotFound) {
    return Outcome(PlatformOutcome::NotFound);
  }
  if (aReply.m_status != kStatusOk) {
    return Outcome(PlatformOutcome::Invalid);
  }
  try {
    auto object = ParseObject(aReply.m_body);
    if (object.m_deleted) {
      return Outcome(PlatformOutcome::NotFound);
    }
    return WithObject(PlatformOutcome::Ok, std::move(object));
  } catch (const std::exception& malformed) {
    LogMalformed(malformed);
    return Outcome(PlatformOutcome::Unavailable);
  }
}

PlatformChanges
ReadChanges(const HttpReply& aReply)
{
  PlatformChanges changes;
  if (!IsAnswer(aReply)) {
    return changes;
  }
  if (aReply.m_status != kStatusOk) {
    changes.m_outcome = aReply.m_status == kStatusGone
                          ? PlatformOutcome::Compacted
                          : PlatformOutcome::Invalid;
    return changes;
  }
  try {
    return ParseChanges(aReply.m_body);
  } catch (const std::exception& malformed) {
    LogMalformed(malformed);
    return changes;
  }
}

VmList
ReadVms(const HttpReply& aReply)
{
  if (!IsAnswer(aReply) || aReply.m_status != kStatusOk) {
    return {};
  }
  try {
    return ParseVms(aReply.m_body);
  } catch (const std::exception& malformed) {
    LogMalformed(malformed);
    return {};
  }
}

} // namespace siskindeal

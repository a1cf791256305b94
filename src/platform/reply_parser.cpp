#include "platform/reply_parser_p.h"

#include "platform/object_json_p.h"
#include "siskindeal/log.h"

#include <charconv>
#include <utility>

namespace siskindeal {

namespace {

void
LogMalformedReply(const std::exception& aError)
{
  Log(LogLevel::Warning,
      "platform_answer_malformed",
      { { "what", aError.what() } });
}

} // namespace

bool
IsRejection(const HttpReply& aReply)
{
  return aReply.m_outcome == HttpOutcome::Answered &&
         (aReply.m_status == kStatusTooManyRequests ||
          aReply.m_status == kStatusUnavailable);
}

bool
IsDefinitive(const HttpReply& aReply)
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
ReplyWithOutcome(PlatformOutcome aOutcome,
                 std::chrono::milliseconds aRetryAfter)
{
  PlatformReply reply;
  reply.m_outcome = aOutcome;
  reply.m_retryAfter = aRetryAfter;
  return reply;
}

PlatformReply
ReplyWithObject(PlatformOutcome aOutcome, PlatformObject aObject)
{
  PlatformReply reply;
  reply.m_outcome = aOutcome;
  reply.m_object = std::move(aObject);
  return reply;
}

PlatformReply
ParseGetReply(const HttpReply& aReply)
{
  if (!IsDefinitive(aReply)) {
    return ReplyWithOutcome(PlatformOutcome::Unavailable, RetryAfter(aReply));
  }
  if (aReply.m_status == kStatusNotFound) {
    return ReplyWithOutcome(PlatformOutcome::NotFound);
  }
  if (aReply.m_status != kStatusOk) {
    return ReplyWithOutcome(PlatformOutcome::Invalid);
  }
  try {
    auto object = ParseObject(aReply.m_body);
    if (object.m_deleted) {
      return ReplyWithOutcome(PlatformOutcome::NotFound);
    }
    return ReplyWithObject(PlatformOutcome::Ok, std::move(object));
  } catch (const std::exception& error) {
    LogMalformedReply(error);
    return ReplyWithOutcome(PlatformOutcome::Unavailable);
  }
}

PlatformChanges
ParseChangesReply(const HttpReply& aReply)
{
  PlatformChanges changes;
  if (!IsDefinitive(aReply)) {
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
  } catch (const std::exception& error) {
    LogMalformedReply(error);
    return changes;
  }
}

VmList
ParseVmsReply(const HttpReply& aReply)
{
  if (!IsDefinitive(aReply) || aReply.m_status != kStatusOk) {
    return {};
  }
  try {
    return ParseVms(aReply.m_body);
  } catch (const std::exception& error) {
    LogMalformedReply(error);
    return {};
  }
}

} // namespace siskindeal

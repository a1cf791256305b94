#include "platform/write_session_p.h"

#include "platform/object_json_p.h"
#include "platform/reply_parser_p.h"
#include "siskindeal/metrics.h"

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

// Deadline of a write including its read-backs, in call timeouts.
constexpr int kTimeoutsPerWrite = 2;
constexpr std::chrono::milliseconds kMinReadBackDelay{ 5 };
constexpr std::chrono::milliseconds kMaxReadBackDelay{ 400 };

} // namespace

WriteSession::WriteSession(std::shared_ptr<PlatformConnection> aConnection,
                           PlatformUse aUse,
                           PlatformWrite aWrite,
                           bool aIsDelete,
                           Platform::ReplyCallback aDone)
  : m_connection(std::move(aConnection))
  , m_use(aUse)
  , m_write(std::move(aWrite))
  , m_isDelete(aIsDelete)
  , m_done(std::move(aDone))
  , m_deadline(m_connection->Now() +
               kTimeoutsPerWrite * m_connection->Timeout())
  , m_backoff(kMinReadBackDelay, kMaxReadBackDelay)
{
}

void
WriteSession::Send()
{
  HttpClientRequest request;
  request.m_method = m_isDelete ? "DELETE" : "PUT";
  request.m_url =
    m_connection->Url("/v1/objects/" + EncodeKey(m_write.m_key) +
                      "?expect=" + std::to_string(m_write.m_expectedVersion));
  request.m_headers["x-change-id"] = m_write.m_changeId;
  if (!m_isDelete) {
    request.m_headers["content-type"] = "application/json";
    request.m_body = m_write.m_value;
  }
  m_connection->Call(m_use,
                     std::move(request),
                     m_connection->Timeout(),
                     [self = shared_from_this()](const HttpReply& aReply) {
                       self->OnWriteReply(aReply);
                     });
}

void
WriteSession::OnWriteReply(const HttpReply& aReply)
{
  if (aReply.m_outcome == HttpOutcome::NotSent || IsRejection(aReply)) {
    if (m_mayHaveTakenEffect) {
      return ScheduleReadBack(RetryAfter(aReply));
    }
    return m_done(
      ReplyWithOutcome(PlatformOutcome::Unavailable, RetryAfter(aReply)));
  }
  if (!IsDefinitive(aReply)) {
    m_mayHaveTakenEffect = true;
    return ScheduleReadBack({});
  }
  if (aReply.m_status == kStatusNotFound) {
    return OnNotFound();
  }
  if (aReply.m_status != kStatusOk && aReply.m_status != kStatusConflict) {
    return m_done(ReplyWithOutcome(PlatformOutcome::Invalid));
  }
  try {
    auto object = ParseObject(aReply.m_body);
    if (aReply.m_status == kStatusOk) {
      return m_done(ReplyWithObject(PlatformOutcome::Ok, std::move(object)));
    }
    ResolveFrom(std::move(object));
  } catch (const std::exception&) {
    m_mayHaveTakenEffect = true;
    ScheduleReadBack({});
  }
}

void
WriteSession::ScheduleReadBack(std::chrono::milliseconds aMinDelay)
{
  const auto delay = m_connection->NextDelay(m_backoff, aMinDelay);
  if (m_connection->Now() + delay >= m_deadline) {
    CountMetric("siskindeal_platform_writes_unresolved_total");
    return m_done(ReplyWithOutcome(PlatformOutcome::Unknown));
  }
  m_connection->RunAfter(delay,
                         [self = shared_from_this()] { self->ReadBack(); });
}

void
WriteSession::ReadBack()
{
  CountMetric("siskindeal_platform_read_backs_total");
  HttpClientRequest request;
  request.m_url = m_connection->Url("/v1/objects/" + EncodeKey(m_write.m_key));
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    m_deadline - m_connection->Now());
  m_connection->Call(m_use,
                     std::move(request),
                     std::max(std::min(remaining, m_connection->Timeout()),
                              std::chrono::milliseconds{ 1 }),
                     [self = shared_from_this()](const HttpReply& aReply) {
                       self->OnReadBackReply(aReply);
                     });
}

void
WriteSession::OnReadBackReply(const HttpReply& aReply)
{
  auto reply = ParseGetReply(aReply);
  if (reply.m_outcome == PlatformOutcome::NotFound) {
    return OnNotFound();
  }
  if (reply.m_outcome != PlatformOutcome::Ok) {
    return ScheduleReadBack(reply.m_retryAfter);
  }
  if (reply.m_object.m_changeId != m_write.m_changeId &&
      reply.m_object.m_version == m_write.m_expectedVersion) {
    return Send(); // the version check applies it at most once
  }
  ResolveFrom(std::move(reply.m_object));
}

void
WriteSession::OnNotFound()
{
  if (!m_mayHaveTakenEffect) {
    return m_done(ReplyWithOutcome(PlatformOutcome::NotFound));
  }
  m_done(ReplyWithOutcome(m_isDelete ? PlatformOutcome::Ok
                                     : PlatformOutcome::Unknown));
}

void
WriteSession::ResolveFrom(PlatformObject aObject)
{
  const bool isOwnWrite = aObject.m_changeId == m_write.m_changeId;
  const bool noWriteBetween =
    aObject.m_version <= m_write.m_expectedVersion + 1;
  auto outcome = PlatformOutcome::Conflict;
  if (isOwnWrite) {
    outcome = PlatformOutcome::Ok;
  } else if (m_mayHaveTakenEffect && !noWriteBetween) {
    outcome = PlatformOutcome::Unknown;
  }
  m_done(ReplyWithObject(outcome, std::move(aObject)));
}

} // namespace siskindeal

#include "platform/write_session_p.h"

#include "platform/answers_p.h"
#include "platform/object_json_p.h"
#include "siskindeal/metrics.h"

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

constexpr std::chrono::milliseconds kLeastReadBackWait{ 5 };
constexpr std::chrono::milliseconds kMostReadBackWait{ 400 };

} // namespace

WriteSession::WriteSession(std::shared_ptr<PlatformConnection> aConnection,
                           PlatformUse aUse,
                           PlatformWrite aWrite,
                           bool aDelete,
                           Platform::ReplyCallback aDone)
  : m_connection(std::move(aConnection))
  , m_use(aUse)
  , m_write(std::move(aWrite))
  , m_delete(aDelete)
  , m_done(std::move(aDone))
  , m_until(m_connection->Now() + 2 * m_connection->Timeout())
  , m_backoff(kLeastReadBackWait, kMostReadBackWait)
{
}

void
WriteSession::Send()
{
  HttpClientRequest request;
  request.m_method = m_delete ? "DELETE" : "PUT";
  request.m_url =
    m_connection->Url("/v1/objects/" + EncodeKey(m_write.m_key) +
                      "?expect=" + std::to_string(m_write.m_expectedVersion));
  request.m_headers["x-change-id"] = m_write.m_changeId;
  if (!m_delete) {
    request.m_headers["content-type"] = "application/json";
    request.m_body = m_write.m_value;
  }
  m_connection->Call(m_use,
                     std::move(request),
                     m_connection->Timeout(),
                     [self = shared_from_this()](const HttpReply& aReply) {
                       self->OnWritten(aReply);
                     });
}

void
WriteSession::OnWritten(const HttpReply& aReply)
{
  if (aReply.m_outcome == HttpOutcome::NotSent || IsRefusal(aReply)) {
    if (m_mayHaveTakenEffect) {
      return ReadBackLater(RetryAfter(aReply));
    }
    return m_done(Outcome(PlatformOutcome::Unavailable, RetryAfter(aReply)));
  }
  if (!IsAnswer(aReply)) {
    m_mayHaveTakenEffect = true;
    return ReadBackLater({});
  }
  if (aReply.m_status == kStatusNotFound) {
    return OnMissing();
  }
  if (aReply.m_status != kStatusOk && aReply.m_status != kStatusConflict) {
    return m_done(Outcome(PlatformOutcome::Invalid));
  }
  try {
    auto object = ParseObject(aReply.m_body);
    if (aReply.m_status == kStatusOk) {
      return m_done(WithObject(PlatformOutcome::Ok, std::move(object)));
    }
    Resolve(std::move(object));
  } catch (const std::exception&) {
    m_mayHaveTakenEffect = true;
    ReadBackLater({});
  }
}

void
WriteSession::ReadBackLater(std::chrono::milliseconds aAtLeast)
{
  const auto wait = m_connection->Jittered(m_backoff, aAtLeast);
  if (m_connection->Now() + wait >= m_until) {
    CountMetric("siskindeal_platform_writes_unresolved_total");
    return m_done(Outcome(PlatformOutcome::Unknown));
  }
  m_connection->After(wait, [self = shared_from_this()] { self->ReadBack(); });
}

void
WriteSession::ReadBack()
{
  CountMetric("siskindeal_platform_read_backs_total");
  HttpClientRequest request;
  request.m_url = m_connection->Url("/v1/objects/" + EncodeKey(m_write.m_key));
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    m_until - m_connection->Now());
  m_connection->Call(m_use,
                     std::move(request),
                     std::max(std::min(left, m_connection->Timeout()),
                              std::chrono::milliseconds{ 1 }),
                     [self = shared_from_this()](const HttpReply& aReply) {
                       self->OnReadBack(aReply);
                     });
}

void
WriteSession::OnReadBack(const HttpReply& aReply)
{
  auto reply = ReadGet(aReply);
  if (reply.m_outcome == PlatformOutcome::NotFound) {
    return OnMissing();
  }
  if (reply.m_outcome != PlatformOutcome::Ok) {
    return ReadBackLater(reply.m_retryAfter);
  }
  if (reply.m_object.m_changeId != m_write.m_changeId &&
      reply.m_object.m_version == m_write.m_expectedVersion) {
    return Send(); // the version admits it once at most
  }
  Resolve(std::move(reply.m_object));
}

void
WriteSession::OnMissing()
{
  if (!m_mayHaveTakenEffect) {
    return m_done(Outcome(PlatformOutcome::NotFound));
  }
  m_done(Outcome(m_delete ? PlatformOutcome::Ok : PlatformOutcome::Unknown));
}

void
WriteSession::Resolve(PlatformObject aObject)
{
  const bool mine = aObject.m_changeId == m_write.m_changeId;
  const bool next = aObject.m_version <= m_write.m_expectedVersion + 1;
  auto outcome = PlatformOutcome::Conflict;
  if (mine) {
    outcome = PlatformOutcome::Ok;
  } else if (m_mayHaveTakenEffect && !next) {
    outcome = PlatformOutcome::Unknown;
  }
  m_done(WithObject(outcome, std::move(aObject)));
}

} // namespace siskindeal

#include "operators/write_p.h"

#include "node/answer_p.h"
#include "operators/responses_p.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

namespace siskindeal {

namespace {

// Rounds of writing and reading back before the outcome is reported as unknown.
constexpr int kMaxRounds = 3;

void
CountWrite(const char* aOutcome)
{
  CountMetric("siskindeal_operator_writes_total", { { "outcome", aOutcome } });
}

} // namespace

OperatorWrite::OperatorWrite(Platform& aPlatform,
                             Kind aKind,
                             PlatformWrite aWrite,
                             std::shared_ptr<HttpResponder> aResponder)
  : m_platform(aPlatform)
  , m_kind(aKind)
  , m_write(std::move(aWrite))
  , m_responder(std::move(aResponder))
  , m_roundsLeft(kMaxRounds)
{
}

void
OperatorWrite::Start()
{
  Send();
}

void
OperatorWrite::Send()
{
  --m_roundsLeft;
  auto done = [self = shared_from_this()](const PlatformReply& aReply) {
    self->OnReply(aReply);
  };
  if (m_kind == Kind::Put) {
    m_platform.Put(PlatformUse::Operator, m_write, std::move(done));
    return;
  }
  m_platform.Delete(PlatformUse::Operator, m_write, std::move(done));
}

void
OperatorWrite::OnReply(const PlatformReply& aReply)
{
  switch (aReply.m_outcome) {
    case PlatformOutcome::Ok:
      CountWrite("accepted");
      Log(LogLevel::Info,
          "operator_write_accepted",
          { { "key", m_write.m_key },
            { "version", aReply.m_object.m_version },
            { "change_id", m_write.m_changeId } });
      SendJsonResponse(m_responder, 200, ObjectToJson(aReply.m_object));
      return;
    case PlatformOutcome::Conflict:
      // The conflict may be with an earlier round of this write.
      if (aReply.m_object.m_changeId == m_write.m_changeId) {
        CountWrite("accepted");
        SendJsonResponse(m_responder, 200, ObjectToJson(aReply.m_object));
        return;
      }
      SendConflict(aReply.m_object);
      return;
    case PlatformOutcome::NotFound:
      if (m_mayHaveTakenEffect) {
        SendDeleted();
        return;
      }
      SendConflict({});
      return;
    case PlatformOutcome::Unknown:
      m_mayHaveTakenEffect = true;
      ReadBack();
      return;
    case PlatformOutcome::Unavailable:
    case PlatformOutcome::Invalid:
    case PlatformOutcome::Compacted:
      break;
  }
  if (m_mayHaveTakenEffect) {
    SendOutcomeUnknown();
    return;
  }
  CountWrite("refused");
  SendErrorResponse(m_responder, PlatformCallError(aReply));
}

void
OperatorWrite::ReadBack()
{
  m_platform.Get(PlatformUse::Operator,
                 m_write.m_key,
                 [self = shared_from_this()](const PlatformReply& aReply) {
                   self->OnReadBack(aReply);
                 });
}

void
OperatorWrite::OnReadBack(const PlatformReply& aReply)
{
  const bool known = aReply.m_outcome == PlatformOutcome::Ok ||
                     aReply.m_outcome == PlatformOutcome::NotFound;
  if (known && aReply.m_object.m_changeId == m_write.m_changeId) {
    CountWrite("accepted");
    SendJsonResponse(m_responder, 200, ObjectToJson(aReply.m_object));
    return;
  }
  const bool deleted =
    m_kind == Kind::Delete && aReply.m_outcome == PlatformOutcome::NotFound;
  if (deleted) {
    SendDeleted();
    return;
  }
  // Retrying is safe: the write is conditional on the same version.
  if (known && m_roundsLeft > 0) {
    Send();
    return;
  }
  SendOutcomeUnknown();
}

void
OperatorWrite::SendDeleted()
{
  CountWrite("accepted");
  PlatformObject object;
  object.m_key = m_write.m_key;
  object.m_deleted = true;
  SendJsonResponse(m_responder, 200, ObjectToJson(object));
}

void
OperatorWrite::SendConflict(const PlatformObject& aCurrent)
{
  CountWrite("conflict");
  const Error error(
    Reason::Conflict,
    m_mayHaveTakenEffect ? Verdict::MayHaveRun : Verdict::NotRun,
    m_mayHaveTakenEffect
      ? "the object was changed by another writer, before or after this change"
      : "the object is no longer at version " +
          std::to_string(m_write.m_expectedVersion) + "; nothing was changed");
  nlohmann::json body = ErrorJson(error);
  body["yours"] = ObjectToJson(
    { m_write.m_key, 0, m_write.m_value, m_write.m_changeId, false });
  body["yours"]["deleted"] = m_kind == Kind::Delete;
  body["yours"]["version"] = m_write.m_expectedVersion;
  body["current"] = ObjectToJson(aCurrent);
  SendJsonResponse(m_responder, HttpStatus(Reason::Conflict), body);
}

void
OperatorWrite::SendOutcomeUnknown()
{
  CountWrite("unknown");
  SendErrorResponse(
    m_responder,
    Error(Reason::Timeout,
          Verdict::MayHaveRun,
          "the platform's response to change " + m_write.m_changeId +
            " was lost; read the object again and compare its change_id"));
}

} // namespace siskindeal

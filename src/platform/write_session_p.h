#pragma once
// One conditional write to the platform. If the reply is lost, the session
// reads the object back until the outcome is known or the deadline passes. It
// keeps itself alive while a call is in flight.

#include "platform/connection_p.h"

#include <memory>

namespace siskindeal {

class WriteSession : public std::enable_shared_from_this<WriteSession>
{
public:
  WriteSession(std::shared_ptr<PlatformConnection> aConnection,
               PlatformUse aUse,
               PlatformWrite aWrite,
               bool aIsDelete,
               Platform::ReplyCallback aDone);

  void Send();

private:
  void OnWriteReply(const HttpReply& aReply);
  void ScheduleReadBack(std::chrono::milliseconds aMinDelay);
  void ReadBack();
  void OnReadBackReply(const HttpReply& aReply);
  // The object does not exist. A write whose reply was lost is not retried: it
  // may have been applied and the object deleted since.
  void OnNotFound();
  // The object is not at the expected version. Versions only increase: if the
  // object has another change id and is at most one past the expected version,
  // this write cannot have been applied.
  void ResolveFrom(PlatformObject aObject);

  const std::shared_ptr<PlatformConnection> m_connection;
  const PlatformUse m_use;
  const PlatformWrite m_write;
  const bool m_isDelete;
  const Platform::ReplyCallback m_done;
  const MonotonicTime m_deadline;
  Backoff m_backoff;
  bool m_mayHaveTakenEffect = false;
};

} // namespace siskindeal

#pragma once
// One conditional write to the platform, followed until it is known whether it
// took effect. It keeps itself alive while a call is out.

#include "platform/connection_p.h"

#include <memory>

namespace siskindeal {

class WriteSession : public std::enable_shared_from_this<WriteSession>
{
public:
  WriteSession(std::shared_ptr<PlatformConnection> aConnection,
               PlatformUse aUse,
               PlatformWrite aWrite,
               bool aDelete,
               Platform::ReplyCallback aDone);

  void Send();

private:
  void OnWritten(const HttpReply& aReply);
  void ReadBackLater(std::chrono::milliseconds aAtLeast);
  void ReadBack();
  void OnReadBack(const HttpReply& aReply);
  // Nothing is there. A create isn't sent again: it may have been made, and
  // then deleted by another.
  void OnMissing();
  // The object isn't at the expected version. Versions only grow, so that one
  // more than expected leaves no room for this write before it.
  void Resolve(PlatformObject aObject);

  const std::shared_ptr<PlatformConnection> m_connection;
  const PlatformUse m_use;
  const PlatformWrite m_write;
  const bool m_delete;
  const Platform::ReplyCallback m_done;
  const MonotonicTime m_until;
  Backoff m_backoff;
  bool m_mayHaveTakenEffect = false;
};

} // namespace siskindeal

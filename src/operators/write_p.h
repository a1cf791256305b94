#pragma once
// A conditional write of an operator, with resolution of lost responses.

#include "siskindeal/http.h"
#include "siskindeal/platform.h"

#include <memory>

namespace siskindeal {

// Writes or deletes an object and sends the operator the outcome. If the
// platform's response is lost, the object is read back and its change id shows
// whether the write took effect. Keeps itself alive until it has responded.
class OperatorWrite : public std::enable_shared_from_this<OperatorWrite>
{
public:
  enum class Kind
  {
    Put,
    Delete,
  };

  OperatorWrite(Platform& aPlatform,
                Kind aKind,
                PlatformWrite aWrite,
                std::shared_ptr<HttpResponder> aResponder);

  void Start();

private:
  void Send();
  void ReadBack();
  void OnReply(const PlatformReply& aReply);
  void OnReadBack(const PlatformReply& aReply);
  void SendDeleted();
  void SendConflict(const PlatformObject& aCurrent);
  void SendOutcomeUnknown();

  Platform& m_platform;
  const Kind m_kind;
  const PlatformWrite m_write;
  const std::shared_ptr<HttpResponder> m_responder;
  int m_roundsLeft;
  bool m_mayHaveTakenEffect = false;
};

} // namespace siskindeal

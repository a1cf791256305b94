#include "platform/connection_p.h"
#include "platform/object_json_p.h"
#include "platform/reply_parser_p.h"
#include "platform/write_session_p.h"
#include "siskindeal/platform_client.h"

#include <utility>

namespace siskindeal {

namespace {

class HttpPlatform final : public Platform
{
public:
  HttpPlatform(const PlatformSettings& aSettings,
               HttpClient& aHttp,
               WorkerPool& aPool,
               const Clock& aClock)
    : m_connection(
        std::make_shared<PlatformConnection>(aSettings, aHttp, aPool, aClock))
  {
  }

  void Get(PlatformUse aUse,
           const std::string& aKey,
           ReplyCallback aDone) override
  {
    HttpClientRequest request;
    request.m_url = m_connection->Url("/v1/objects/" + EncodeKey(aKey));
    m_connection->Call(aUse,
                       std::move(request),
                       m_connection->Timeout(),
                       [done = std::move(aDone)](const HttpReply& aReply) {
                         done(ParseGetReply(aReply));
                       });
  }

  void Put(PlatformUse aUse,
           const PlatformWrite& aWrite,
           ReplyCallback aDone) override
  {
    if (aWrite.m_value.size() > kMaxPlatformValueBytes) {
      m_connection->RunAfter({}, [done = std::move(aDone)] {
        done(ReplyWithOutcome(PlatformOutcome::Invalid));
      });
      return;
    }
    std::make_shared<WriteSession>(
      m_connection, aUse, aWrite, false, std::move(aDone))
      ->Send();
  }

  void Delete(PlatformUse aUse,
              const PlatformWrite& aWrite,
              ReplyCallback aDone) override
  {
    std::make_shared<WriteSession>(
      m_connection, aUse, aWrite, true, std::move(aDone))
      ->Send();
  }

  void List(PlatformUse aUse,
            const std::string& aPrefix,
            ChangesCallback aDone) override
  {
    CallForChanges(aUse,
                   "/v1/objects?prefix=" + EncodeKey(aPrefix),
                   m_connection->Timeout(),
                   std::move(aDone));
  }

  void Watch(PlatformUse aUse,
             const std::string& aPrefix,
             std::uint64_t aAfterRevision,
             std::chrono::milliseconds aWait,
             ChangesCallback aDone) override
  {
    // A watch sent while the circuit is open is the recovery probe and must
    // return at once.
    const auto wait =
      m_connection->IsCircuitOpen() ? std::chrono::milliseconds{ 0 } : aWait;
    CallForChanges(aUse,
                   "/v1/watch?prefix=" + EncodeKey(aPrefix) +
                     "&after=" + std::to_string(aAfterRevision) +
                     "&wait_ms=" + std::to_string(wait.count()),
                   wait + m_connection->Timeout(),
                   std::move(aDone));
  }

  void Vms(VmsCallback aDone) override
  {
    HttpClientRequest request;
    request.m_url = m_connection->Url("/v1/vms");
    m_connection->Call(PlatformUse::Membership,
                       std::move(request),
                       m_connection->Timeout(),
                       [done = std::move(aDone)](const HttpReply& aReply) {
                         done(ParseVmsReply(aReply));
                       });
  }

private:
  void CallForChanges(PlatformUse aUse,
                      const std::string& aPath,
                      std::chrono::milliseconds aTimeout,
                      ChangesCallback aDone)
  {
    HttpClientRequest request;
    request.m_url = m_connection->Url(aPath);
    m_connection->Call(aUse,
                       std::move(request),
                       aTimeout,
                       [done = std::move(aDone)](const HttpReply& aReply) {
                         done(ParseChangesReply(aReply));
                       });
  }

  const std::shared_ptr<PlatformConnection> m_connection;
};

} // namespace

std::unique_ptr<Platform>
MakeHttpPlatform(const PlatformSettings& aSettings,
                 HttpClient& aHttp,
                 WorkerPool& aPool,
                 const Clock& aClock)
{
  return std::make_unique<HttpPlatform>(aSettings, aHttp, aPool, aClock);
}

namespace {

const Registration<Platform,
                   const PlatformSettings&,
                   HttpClient&,
                   WorkerPool&,
                   const Clock&>
  kRegistration("http", MakeHttpPlatform);

} // namespace

} // namespace siskindeal

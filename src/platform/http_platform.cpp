#include "siskindeal/backoff.h"
#include "siskindeal/digest.h"
#include "siskindeal/lock_order.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"
#include "siskindeal/platform_client.h"

#include "platform/budget_p.h"
#include "platform/circuit_breaker_p.h"
#include "platform/object_json_p.h"

#include <charconv>
#include <utility>

namespace siskindeal {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;

constexpr std::chrono::milliseconds kLeastReadBackWait{ 5 };
constexpr std::chrono::milliseconds kMostReadBackWait{ 400 };

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

std::string
OutcomeName(const HttpReply& aReply)
{
  switch (aReply.m_outcome) {
    case HttpOutcome::Answered:
      return std::to_string(aReply.m_status);
    case HttpOutcome::NotSent:
      return "not_sent";
    default:
      return "no_answer";
  }
}

// Everything that the calls of one client share. It is kept alive by the calls.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  using Done = std::function<void(HttpReply)>;

  Connection(const PlatformSettings& aSettings,
             HttpClient& aHttp,
             WorkerPool& aPool,
             const Clock& aClock)
    : m_settings(aSettings)
    , m_http(aHttp)
    , m_pool(aPool)
    , m_clock(aClock)
    , m_reads(aSettings.m_readsPerSecond, aClock.Now())
    , m_writes(aSettings.m_writesPerSecond, aClock.Now())
    , m_random(StableHash(NewId()))
  {
  }

  // Sends one call within the budget; aDone runs on a worker. A call that isn't
  // let out is answered as NotSent with a retry-after-ms header.
  void Call(PlatformUse aUse,
            HttpClientRequest aRequest,
            std::chrono::milliseconds aTimeout,
            Done aDone)
  {
    const bool isWrite = aRequest.m_method != "GET";
    if (const auto wait = Refuse(aUse, isWrite)) {
      Count(aUse, isWrite, "held_back");
      HttpReply reply;
      reply.m_headers["retry-after-ms"] = std::to_string(wait->count());
      reply.m_error = "held back by the client";
      m_pool.Post([done = std::move(aDone), reply] { done(reply); });
      return;
    }
    aRequest.m_timeout = aTimeout;
    aRequest.m_connectTimeout =
      std::min(aRequest.m_connectTimeout, m_settings.m_timeout);
    const auto self = shared_from_this();
    m_http.Start(
      std::move(aRequest),
      [self, aUse, isWrite, done = std::move(aDone)](HttpReply aReply) mutable {
        self->Count(aUse, isWrite, OutcomeName(aReply));
        self->Judge(aReply);
        self->m_pool.Post(
          [done = std::move(done), reply = std::move(aReply)] { done(reply); });
      });
  }

  std::string Url(const std::string& aPath) const
  {
    return m_settings.m_url + aPath;
  }

  std::chrono::milliseconds Jittered(Backoff& aBackoff,
                                     std::chrono::milliseconds aAtLeast)
    ABSL_LOCKS_EXCLUDED(m_mutex)
  {
    const OrderedLock lock(m_mutex);
    return aBackoff.Next(m_random, aAtLeast);
  }

  bool Failing() ABSL_LOCKS_EXCLUDED(m_mutex)
  {
    const OrderedLock lock(m_mutex);
    return m_breaker.Open();
  }

  MonotonicTime Now() const { return m_clock.Now(); }
  std::chrono::milliseconds Timeout() const { return m_settings.m_timeout; }
  void After(std::chrono::milliseconds aDelay, WorkerPool::Task aTask)
  {
    m_pool.PostAfter(aDelay, std::move(aTask));
  }

private:
  std::optional<std::chrono::milliseconds> Refuse(PlatformUse aUse, bool aWrite)
    ABSL_LOCKS_EXCLUDED(m_mutex)
  {
    const auto now = m_clock.Now();
    const OrderedLock lock(m_mutex);
    if (const auto wait = m_breaker.Refuse(now)) {
      return wait;
    }
    return (aWrite ? m_writes : m_reads).Refuse(aUse, now);
  }

  void Judge(const HttpReply& aReply) ABSL_LOCKS_EXCLUDED(m_mutex)
  {
    const auto now = m_clock.Now();
    const OrderedLock lock(m_mutex);
    if (IsAnswer(aReply)) {
      m_breaker.Succeeded();
      return;
    }
    if (aReply.m_outcome == HttpOutcome::Answered &&
        aReply.m_status == kStatusTooManyRequests) {
      m_breaker.Succeeded();
      m_breaker.Pause(now + RetryAfter(aReply));
      return;
    }
    m_breaker.Failed(now, m_random, RetryAfter(aReply));
    SetMetric("siskindeal_platform_circuit_open", m_breaker.Open() ? 1 : 0);
  }

  static void Count(PlatformUse aUse, bool aWrite, const std::string& aOutcome)
  {
    CountMetric("siskindeal_platform_calls_total",
                { { "use", ToString(aUse) },
                  { "kind", aWrite ? "write" : "read" },
                  { "outcome", aOutcome } });
  }

  const PlatformSettings m_settings;
  HttpClient& m_http;
  WorkerPool& m_pool;
  const Clock& m_clock;
  OrderedMutex m_mutex{ LockLevel::Transport };
  PlatformBudget m_reads ABSL_GUARDED_BY(m_mutex);
  PlatformBudget m_writes ABSL_GUARDED_BY(m_mutex);
  CircuitBreaker m_breaker ABSL_GUARDED_BY(m_mutex);
  Random m_random ABSL_GUARDED_BY(m_mutex);
};

PlatformReply
Outcome(PlatformOutcome aOutcome, std::chrono::milliseconds aRetryAfter = {})
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

// The answer to a Get.
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
    Log(LogLevel::Warning,
        "platform_answer_malformed",
        { { "what", malformed.what() } });
    return Outcome(PlatformOutcome::Unavailable);
  }
}

// One conditional write, followed until it is known whether it took effect. It
// keeps itself alive while a call is out.
class WriteSession : public std::enable_shared_from_this<WriteSession>
{
public:
  WriteSession(std::shared_ptr<Connection> aConnection,
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
  {
  }

  void Send()
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

private:
  void OnWritten(const HttpReply& aReply)
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

  void ReadBackLater(std::chrono::milliseconds aAtLeast)
  {
    const auto wait = m_connection->Jittered(m_backoff, aAtLeast);
    if (m_connection->Now() + wait >= m_until) {
      CountMetric("siskindeal_platform_writes_unresolved_total");
      return m_done(Outcome(PlatformOutcome::Unknown));
    }
    m_connection->After(wait,
                        [self = shared_from_this()] { self->ReadBack(); });
  }

  void ReadBack()
  {
    CountMetric("siskindeal_platform_read_backs_total");
    HttpClientRequest request;
    request.m_url =
      m_connection->Url("/v1/objects/" + EncodeKey(m_write.m_key));
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

  void OnReadBack(const HttpReply& aReply)
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

  // Nothing is there. A create isn't sent again: it may have been made, and
  // then deleted by another.
  void OnMissing()
  {
    if (!m_mayHaveTakenEffect) {
      return m_done(Outcome(PlatformOutcome::NotFound));
    }
    m_done(Outcome(m_delete ? PlatformOutcome::Ok : PlatformOutcome::Unknown));
  }

  // The object isn't at the expected version. Versions only grow, so that one
  // more than expected leaves no room for this write before it.
  void Resolve(PlatformObject aObject)
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

  const std::shared_ptr<Connection> m_connection;
  const PlatformUse m_use;
  const PlatformWrite m_write;
  const bool m_delete;
  const Platform::ReplyCallback m_done;
  const MonotonicTime m_until;
  Backoff m_backoff{ kLeastReadBackWait, kMostReadBackWait };
  bool m_mayHaveTakenEffect = false;
};

class HttpPlatform final : public Platform
{
public:
  HttpPlatform(const PlatformSettings& aSettings,
               HttpClient& aHttp,
               WorkerPool& aPool,
               const Clock& aClock)
    : m_connection(
        std::make_shared<Connection>(aSettings, aHttp, aPool, aClock))
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
                         done(ReadGet(aReply));
                       });
  }

  void Put(PlatformUse aUse,
           const PlatformWrite& aWrite,
           ReplyCallback aDone) override
  {
    if (aWrite.m_value.size() > kPlatformValueBytes) {
      m_connection->After({}, [done = std::move(aDone)] {
        done(Outcome(PlatformOutcome::Invalid));
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
    Changes(aUse,
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
    // A watch that tries whether the platform has recovered must not wait.
    const auto wait =
      m_connection->Failing() ? std::chrono::milliseconds{ 0 } : aWait;
    Changes(aUse,
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
                         done(ReadVms(aReply));
                       });
  }

private:
  void Changes(PlatformUse aUse,
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
                         done(ReadChanges(aReply));
                       });
  }

  static PlatformChanges ReadChanges(const HttpReply& aReply)
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
      Log(LogLevel::Warning,
          "platform_answer_malformed",
          { { "what", malformed.what() } });
      return changes;
    }
  }

  static VmList ReadVms(const HttpReply& aReply)
  {
    if (!IsAnswer(aReply) || aReply.m_status != kStatusOk) {
      return {};
    }
    try {
      return ParseVms(aReply.m_body);
    } catch (const std::exception& malformed) {
      Log(LogLevel::Warning,
          "platform_answer_malformed",
          { { "what", malformed.what() } });
      return {};
    }
  }

  const std::shared_ptr<Connection> m_connection;
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
  kRegistered("http", MakeHttpPlatform);

} // namespace

} // namespace siskindeal

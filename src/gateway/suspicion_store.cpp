#include "gateway/suspicion_store_p.h"

#include "platform/dialect.h"
#include "siskindeal/log.h"
#include "siskindeal/metrics.h"

#include <algorithm>

namespace siskindeal {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kObjectName = "main";
constexpr milliseconds kMinRetryDelay{ 200 };
constexpr std::uint32_t kMaxDoublings = 4;
// Crashes come in groups, and several gateways write: the first write may hold
// what the others would add.
constexpr milliseconds kWriteJitter{ 200 };
constexpr int kOk = 200;
constexpr int kConflict = 409;

} // namespace

void
SuspicionStore::Tick(MonotonicTime aNow, bool aMayWrite)
{
  if (m_inCall || aNow < m_nextCallAt) {
    return;
  }
  if (!m_isRead) {
    Read();
    return;
  }
  if (!aMayWrite) {
    m_found.reset();
    return;
  }
  const SuspicionRecord record = m_suspicions.RecordToStore(aNow);
  const bool isStored =
    m_storedContent ? ContentOf(record) == *m_storedContent : record.IsEmpty();
  if (isStored) {
    m_found.reset();
  } else if (m_found) {
    Write(record);
  } else {
    Read();
  }
}

void
SuspicionStore::Read()
{
  m_inCall = true;
  CallBuffered(
    m_loop,
    m_pool,
    m_store,
    "GET",
    dialect::ListPath(kSuspicionKind, {}, dialect::Freshness::Current),
    {},
    m_timeout,
    [this](const BufferedResponse& aAnswer) { OnRead(aAnswer); });
}

void
SuspicionStore::OnRead(const BufferedResponse& aAnswer)
{
  m_inCall = false;
  if (aAnswer.m_status != kOk) {
    Retry(aAnswer, "read");
    return;
  }
  SuspicionRecord found;
  m_found = Found{};
  try {
    for (const SiteObject& object :
         dialect::DecodeList(aAnswer.m_body).m_objects) {
      if (object.m_name == kObjectName) {
        m_found->m_revision = object.m_revision;
        MergeObject(object, found);
      }
    }
  } catch (const std::invalid_argument& error) {
    Log(LogLevel::Warning,
        "stored suspicions rejected",
        { { "reason", std::string_view(error.what()) } });
  }
  m_storedContent = ContentOf(found);
  m_failures = 0;
  m_nextCallAt = LoopNow() + milliseconds(m_random.Below(kWriteJitter.count()));
  if (!std::exchange(m_isRead, true)) {
    Log(LogLevel::Info,
        "suspicions read",
        { { "parts", found.m_parts.size() },
          { "requests", found.m_requests.size() } });
    m_found.reset(); // other gateways may write before the first change here
  }
}

void
SuspicionStore::MergeObject(const SiteObject& aObject, SuspicionRecord& aFound)
{
  std::vector<std::string> rejected;
  aFound = DecodeSuspicionRecord(
    aObject.m_spec, std::chrono::system_clock::now(), rejected);
  for (const std::string& reason : rejected) {
    CountMetric("siskindeal_gateway_suspicions_rejected_total");
    Log(LogLevel::Warning,
        "stored suspicion rejected",
        { { "name", aObject.m_name }, { "reason", reason } });
  }
  m_suspicions.MergeStored(aFound, LoopNow());
}

void
SuspicionStore::Write(const SuspicionRecord& aRecord)
{
  m_inCall = true;
  const std::optional<std::uint64_t> revision = m_found->m_revision;
  m_found.reset();
  CallBuffered(
    m_loop,
    m_pool,
    m_store,
    revision ? "PUT" : "POST",
    revision
      ? dialect::ObjectPath(kSuspicionKind, kObjectName)
      : dialect::ListPath(kSuspicionKind, {}, dialect::Freshness::Current),
    dialect::EncodeObject(
      std::string(kObjectName),
      EncodeSuspicionRecord(aRecord, std::chrono::system_clock::now()),
      revision),
    m_timeout,
    [this, content = ContentOf(aRecord)](const BufferedResponse& aAnswer) {
      OnWritten(content, aAnswer);
    });
}

void
SuspicionStore::OnWritten(const std::string& aContent,
                          const BufferedResponse& aAnswer)
{
  m_inCall = false;
  CountMetric("siskindeal_gateway_suspicion_writes_total",
              { { "status", std::to_string(aAnswer.m_status) } });
  if (aAnswer.m_status / 100 != 2) {
    Retry(aAnswer, "write");
    return;
  }
  Log(LogLevel::Info,
      "suspicions stored",
      { { "entries", std::count(aContent.begin(), aContent.end(), '\n') } });
  m_storedContent = aContent;
  m_failures = 0;
  m_nextCallAt = LoopNow() + kWriteJitter;
}

void
SuspicionStore::Retry(const BufferedResponse& aAnswer, const char* aCall)
{
  const milliseconds delay =
    kMinRetryDelay * (1U << std::min(m_failures, kMaxDoublings));
  m_failures = aAnswer.m_status == kConflict ? 0 : m_failures + 1;
  m_nextCallAt =
    LoopNow() + delay / 2 +
    milliseconds(m_random.Below(static_cast<std::uint64_t>(delay.count())));
  Log(LogLevel::Info,
      "suspicions call failed",
      { { "call", aCall },
        { "status", aAnswer.m_status },
        { "reason", aAnswer.m_failure } });
}

} // namespace siskindeal

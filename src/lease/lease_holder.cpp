#include "lease/lease_holder_p.h"

#include "siskindeal/invariant.h"
#include "siskindeal/json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

constexpr double kClockDriftFraction = 0.1; // of the lease duration
constexpr int kRenewalsPerDuration = 3;
constexpr int kReadsPerDuration = 4;
// The random delay of a read is at most the read interval divided by this.
constexpr int kReadJitterDivisor = 4;
// Processes that compete for a lease, by rank; the others make no calls.
constexpr std::size_t kMaxCandidates = 3;
// Each rank waits duration / kRankDelaysPerDuration longer than the one before
// it. This must exceed the interval between two reads.
constexpr int kRankDelaysPerDuration = 3;
// A holder that is no longer preferred hands the lease over after this time, at
// most once per kMinHandOverInterval.
constexpr std::chrono::seconds kHandOverDelay{ 10 };
constexpr std::chrono::seconds kMinHandOverInterval{ 60 };
// For this many lease durations after a release, a process leaves the free
// lease to the most preferred process.
constexpr int kHandOverDurations = 2;
constexpr std::chrono::milliseconds kMinRetryDelay{ 50 };
constexpr std::chrono::milliseconds kMaxRetryDelay{ 1000 };

std::chrono::milliseconds
Scale(std::chrono::milliseconds aDuration, double aFactor)
{
  return std::chrono::milliseconds(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

std::string
ToJson(const LeaseValue& aValue)
{
  return nlohmann::json{
    { "holder", aValue.m_holder },
    { "token", aValue.m_token },
    { "duration_ms", aValue.m_duration.count() }
  }.dump();
}

LeaseValue
ParseLease(const std::string& aJson)
{
  try {
    const auto json = ParseJson(aJson);
    return { json.at("holder").get<std::string>(),
             json.at("token").get<std::uint64_t>(),
             std::chrono::milliseconds(
               json.at("duration_ms").get<std::int64_t>()) };
  } catch (const nlohmann::json::exception&) {
    return {};
  }
}

LeaseHolder::LeaseHolder(std::string aKey,
                         std::string aHolder,
                         std::chrono::milliseconds aDuration,
                         std::uint64_t aSeed)
  : m_key(std::move(aKey))
  , m_holder(std::move(aHolder))
  , m_duration(aDuration)
  , m_random(aSeed)
  , m_backoff(kMinRetryDelay, kMaxRetryDelay)
{
}

std::optional<std::uint64_t>
LeaseHolder::Token(MonotonicTime aNow) const
{
  if (!m_held || m_releasing || aNow >= m_held->m_expiresAt) {
    return std::nullopt;
  }
  return m_held->m_token;
}

bool
LeaseHolder::IsReleased() const
{
  return !m_held && !m_callInFlight;
}

LeaseHolder::Call
LeaseHolder::Tick(MonotonicTime aNow, std::optional<std::size_t> aRank)
{
  if (m_held && aNow >= m_held->m_expiresAt) {
    ClearHeld(); // expired, possibly while this process was paused
  }
  if (m_callInFlight || aNow < m_retryAt) {
    return {};
  }
  if (m_held) {
    return TickHeld(aNow, aRank.value_or(kMaxCandidates));
  }
  if (m_releasing || aRank.value_or(kMaxCandidates) >= kMaxCandidates) {
    m_observed.reset();
    return {};
  }
  return TickNotHeld(aNow, *aRank);
}

LeaseHolder::Call
LeaseHolder::TickHeld(MonotonicTime aNow, std::size_t aRank)
{
  if (m_unresolvedWrite) {
    return Read();
  }
  if (aRank == 0) {
    m_outrankedSince.reset();
  } else if (!m_outrankedSince) {
    m_outrankedSince = aNow;
  }
  const bool handOver =
    m_outrankedSince && aNow - *m_outrankedSince >= kHandOverDelay &&
    (!m_releasedAt || aNow - *m_releasedAt >= kMinHandOverInterval);
  if (m_releasing || handOver) {
    m_releasedAt = aNow;
    return Write(aNow, Purpose::Release);
  }
  if (aNow >= m_held->m_renewAt) {
    return Write(aNow, Purpose::Renew);
  }
  return {};
}

LeaseHolder::Call
LeaseHolder::TickNotHeld(MonotonicTime aNow, std::size_t aRank)
{
  if (!m_unresolvedWrite && m_observed && CanAcquire(aNow, aRank)) {
    return Write(aNow, Purpose::Acquire);
  }
  if (!m_observed || m_unresolvedWrite || aNow >= m_nextReadAt) {
    return Read();
  }
  return {};
}

bool
LeaseHolder::CanAcquire(MonotonicTime aNow, std::size_t aRank) const
{
  const auto& value = m_observed->m_value;
  const auto unchangedFor = aNow - m_observed->m_firstSeenAt;
  const auto rankDelay =
    m_duration / kRankDelaysPerDuration * static_cast<int>(aRank);
  if (value.m_holder == m_holder) {
    return true; // a late write by this process, or its own expired lease
  }
  if (value.m_holder.empty()) {
    const bool handedOver =
      aRank > 0 && m_releasedAt &&
      aNow - *m_releasedAt < kHandOverDurations * m_duration;
    return !handedOver && unchangedFor >= rankDelay;
  }
  return unchangedFor >=
         Scale(value.m_duration, 1 + kClockDriftFraction) + rankDelay;
}

LeaseHolder::Call
LeaseHolder::Write(MonotonicTime aNow, Purpose aPurpose)
{
  LeaseValue value;
  value.m_holder = aPurpose == Purpose::Release ? std::string() : m_holder;
  value.m_token = m_held ? m_held->m_token : 0;
  value.m_duration = m_duration;
  const auto changeId = m_holder + "/" + std::to_string(++m_writeCount);
  Call call;
  call.m_kind = Call::Kind::Write;
  call.m_write = { m_key, ToJson(value), m_observed->m_version, changeId };
  m_pendingWrite =
    PendingWrite{ aPurpose, changeId, m_observed->m_version, aNow };
  m_callInFlight = true;
  if (aPurpose == Purpose::Release) {
    ClearHeld(); // no orders once the write may have taken effect
  }
  return call;
}

LeaseHolder::Call
LeaseHolder::Read()
{
  m_callInFlight = true;
  Call call;
  call.m_kind = Call::Kind::Read;
  call.m_write.m_key = m_key;
  return call;
}

void
LeaseHolder::OnReadReply(const PlatformReply& aReply, MonotonicTime aNow)
{
  m_callInFlight = false;
  const auto maxJitter = static_cast<std::uint64_t>(m_duration.count()) /
                         (kReadsPerDuration * kReadJitterDivisor);
  m_nextReadAt = aNow + m_duration / kReadsPerDuration +
                 std::chrono::milliseconds(m_random.Below(maxJitter + 1));
  if (aReply.m_outcome == PlatformOutcome::Ok) {
    m_backoff.Reset();
    return Observe(aReply.m_object, aNow);
  }
  if (aReply.m_outcome == PlatformOutcome::NotFound) {
    m_backoff.Reset();
    ClearHeld();
    m_unresolvedWrite.reset();
    if (!m_observed || m_observed->m_version != 0) {
      m_observed = ObservedState{ 0, MissingLeaseValue(), aNow };
    }
    return;
  }
  m_retryAt = aNow + m_backoff.Next(m_random, aReply.m_retryAfter);
}

void
LeaseHolder::OnWriteReply(const PlatformReply& aReply, MonotonicTime aNow)
{
  m_callInFlight = false;
  const auto write = *m_pendingWrite;
  m_pendingWrite.reset();
  switch (aReply.m_outcome) {
    case PlatformOutcome::Ok:
      m_backoff.Reset();
      return OnOwnWriteApplied(write, aReply.m_object, aNow);
    case PlatformOutcome::Conflict:
      if (aReply.m_object.m_changeId == write.m_changeId) {
        return OnOwnWriteApplied(write, aReply.m_object, aNow);
      }
      return Observe(aReply.m_object, aNow);
    case PlatformOutcome::Unknown:
      m_unresolvedWrite = write;
      return;
    case PlatformOutcome::NotFound:
    case PlatformOutcome::Invalid:
      ClearHeld();
      m_observed.reset();
      return;
    default:
      m_retryAt = aNow + m_backoff.Next(m_random, aReply.m_retryAfter);
  }
}

// Handles a write by this process that the platform has applied.
void
LeaseHolder::OnOwnWriteApplied(const PendingWrite& aWrite,
                               const PlatformObject& aObject,
                               MonotonicTime aNow)
{
  m_unresolvedWrite.reset();
  m_observed =
    ObservedState{ aObject.m_version, ParseLease(aObject.m_value), aNow };
  if (aWrite.m_purpose == Purpose::Release) {
    return;
  }
  const bool expired = aWrite.m_purpose == Purpose::Renew && !m_held;
  if (expired) {
    return; // must be acquired again, with a new token
  }
  if (aWrite.m_purpose == Purpose::Acquire) {
    SISKINDEAL_INVARIANT(aObject.m_version > m_lastToken,
                         "fencing tokens only grow");
    m_lastToken = aObject.m_version;
    m_held = Held{ aObject.m_version, {}, {} };
  }
  m_held->m_expiresAt =
    aWrite.m_sentAt + Scale(m_duration, 1 - kClockDriftFraction);
  m_held->m_renewAt = aWrite.m_sentAt + m_duration / kRenewalsPerDuration;
}

void
LeaseHolder::Observe(const PlatformObject& aObject, MonotonicTime aNow)
{
  const auto unresolved = std::exchange(m_unresolvedWrite, std::nullopt);
  if (unresolved && aObject.m_changeId == unresolved->m_changeId) {
    return OnOwnWriteApplied(*unresolved, aObject, aNow);
  }
  if (m_observed && aObject.m_version <= m_observed->m_version) {
    return; // no newer version
  }
  auto value = ParseLease(aObject.m_value);
  if (aObject.m_deleted) {
    value = MissingLeaseValue();
  }
  // The lease is kept if the change is a renewal by this process whose reply
  // was lost; any other change ends it.
  const bool ownRenewal =
    m_held && value.m_holder == m_holder && value.m_token == m_held->m_token;
  if (m_held && !ownRenewal) {
    ClearHeld();
  }
  const auto version = aObject.m_deleted ? 0 : aObject.m_version;
  m_observed = ObservedState{ version, std::move(value), aNow };
}

// A missing object may have been deleted while the lease was held, so the full
// duration must pass before it is taken over.
LeaseValue
LeaseHolder::MissingLeaseValue() const
{
  return { "unknown", 0, m_duration };
}

void
LeaseHolder::ClearHeld()
{
  m_held.reset();
  m_outrankedSince.reset();
}

} // namespace siskindeal

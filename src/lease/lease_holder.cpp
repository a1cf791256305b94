#include "lease/lease_holder_p.h"

#include "siskindeal/invariant.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace siskindeal {

namespace {

constexpr double kClockDrift = 0.1; // of the duration
constexpr int kRenewalsPerDuration = 3;
constexpr int kReadsPerDuration = 4;
// So many processes keep an eye on a lease; the others make no calls.
constexpr std::size_t kCandidates = 3;
// How much longer the next in preference leaves a lease to those before, of the
// duration; longer than the time between two reads.
constexpr int kRankDelaysPerDuration = 3;
// A preferred process gets the lease after so long, and not again soon.
constexpr std::chrono::seconds kOutrankedFor{ 10 };
constexpr std::chrono::seconds kBetweenHandOvers{ 60 };
constexpr std::chrono::milliseconds kLeastRetry{ 50 };
constexpr std::chrono::milliseconds kMostRetry{ 1000 };

std::chrono::milliseconds
Scaled(std::chrono::milliseconds aDuration, double aFactor)
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
    const auto json = nlohmann::json::parse(aJson);
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
  , m_backoff(kLeastRetry, kMostRetry)
{
}

std::optional<std::uint64_t>
LeaseHolder::Token(MonotonicTime aNow) const
{
  if (!m_held || m_releasing || aNow >= m_held->m_until) {
    return std::nullopt;
  }
  return m_held->m_token;
}

bool
LeaseHolder::Released() const
{
  return !m_held && !m_out;
}

LeaseHolder::Call
LeaseHolder::Tick(MonotonicTime aNow, std::optional<std::size_t> aRank)
{
  if (m_held && aNow >= m_held->m_until) {
    Drop(); // lapsed; perhaps this process was paused
  }
  if (m_out || aNow < m_notBefore) {
    return {};
  }
  if (m_held) {
    return TickHeld(aNow, aRank.value_or(kCandidates));
  }
  if (m_releasing || aRank.value_or(kCandidates) >= kCandidates) {
    m_seen.reset();
    return {};
  }
  return TickFree(aNow, *aRank);
}

LeaseHolder::Call
LeaseHolder::TickHeld(MonotonicTime aNow, std::size_t aRank)
{
  if (m_unknown) {
    return Read();
  }
  if (aRank == 0) {
    m_outranked.reset();
  } else if (!m_outranked) {
    m_outranked = aNow;
  }
  const bool handOver =
    m_outranked && aNow - *m_outranked >= kOutrankedFor &&
    (!m_gaveUpAt || aNow - *m_gaveUpAt >= kBetweenHandOvers);
  if (m_releasing || handOver) {
    m_gaveUpAt = aNow;
    return Write(aNow, Purpose::GiveUp);
  }
  if (aNow >= m_held->m_renewAt) {
    return Write(aNow, Purpose::Renew);
  }
  return {};
}

LeaseHolder::Call
LeaseHolder::TickFree(MonotonicTime aNow, std::size_t aRank)
{
  if (!m_unknown && m_seen && MayTake(aNow, aRank)) {
    return Write(aNow, Purpose::Take);
  }
  if (!m_seen || m_unknown || aNow >= m_readAt) {
    return Read();
  }
  return {};
}

bool
LeaseHolder::MayTake(MonotonicTime aNow, std::size_t aRank) const
{
  const auto& value = m_seen->m_value;
  const auto seenFor = aNow - m_seen->m_since;
  const auto rankDelay =
    m_duration / kRankDelaysPerDuration * static_cast<int>(aRank);
  if (value.m_holder == m_holder) {
    return true; // an own write that took effect late, or a lapse
  }
  if (value.m_holder.empty()) {
    const bool handedOver =
      aRank > 0 && m_gaveUpAt && aNow - *m_gaveUpAt < 2 * m_duration;
    return !handedOver && seenFor >= rankDelay;
  }
  return seenFor >= Scaled(value.m_duration, 1 + kClockDrift) + rankDelay;
}

LeaseHolder::Call
LeaseHolder::Write(MonotonicTime aNow, Purpose aPurpose)
{
  LeaseValue value;
  value.m_holder = aPurpose == Purpose::GiveUp ? std::string() : m_holder;
  value.m_token = m_held ? m_held->m_token : 0;
  value.m_duration = m_duration;
  const auto changeId = m_holder + "/" + std::to_string(++m_calls);
  Call call;
  call.m_kind = Call::Kind::Write;
  call.m_write = { m_key, ToJson(value), m_seen->m_version, changeId };
  m_sent = Sent{ aPurpose, changeId, m_seen->m_version, aNow };
  m_out = true;
  if (aPurpose == Purpose::GiveUp) {
    Drop(); // no order is given once the write may have taken effect
  }
  return call;
}

LeaseHolder::Call
LeaseHolder::Read()
{
  m_out = true;
  Call call;
  call.m_kind = Call::Kind::Read;
  call.m_write.m_key = m_key;
  return call;
}

void
LeaseHolder::OnRead(const PlatformReply& aReply, MonotonicTime aNow)
{
  m_out = false;
  const auto spread =
    static_cast<std::uint64_t>(m_duration.count()) / (kReadsPerDuration * 4);
  m_readAt = aNow + m_duration / kReadsPerDuration +
             std::chrono::milliseconds(m_random.Below(spread + 1));
  if (aReply.m_outcome == PlatformOutcome::Ok) {
    m_backoff.Reset();
    return Observe(aReply.m_object, aNow);
  }
  if (aReply.m_outcome == PlatformOutcome::NotFound) {
    m_backoff.Reset();
    Drop();
    m_unknown.reset();
    if (!m_seen || m_seen->m_version != 0) {
      m_seen = Seen{ 0, Missing(), aNow };
    }
    return;
  }
  m_notBefore = aNow + m_backoff.Next(m_random, aReply.m_retryAfter);
}

void
LeaseHolder::OnWritten(const PlatformReply& aReply, MonotonicTime aNow)
{
  m_out = false;
  const auto sent = *m_sent;
  m_sent.reset();
  switch (aReply.m_outcome) {
    case PlatformOutcome::Ok:
      m_backoff.Reset();
      return Took(sent, aReply.m_object, aNow);
    case PlatformOutcome::Conflict:
      if (aReply.m_object.m_changeId == sent.m_changeId) {
        return Took(sent, aReply.m_object, aNow);
      }
      return Observe(aReply.m_object, aNow);
    case PlatformOutcome::Unknown:
      m_unknown = sent;
      return;
    case PlatformOutcome::NotFound:
    case PlatformOutcome::Invalid:
      Drop();
      m_seen.reset();
      return;
    default:
      m_notBefore = aNow + m_backoff.Next(m_random, aReply.m_retryAfter);
  }
}

// The object is as an own write left it.
void
LeaseHolder::Took(const Sent& aSent,
                  const PlatformObject& aObject,
                  MonotonicTime aNow)
{
  m_unknown.reset();
  m_seen = Seen{ aObject.m_version, ParseLease(aObject.m_value), aNow };
  if (aSent.m_purpose == Purpose::GiveUp) {
    return;
  }
  const bool lapsed = aSent.m_purpose == Purpose::Renew && !m_held;
  if (lapsed) {
    return; // taken anew, with a token of its own
  }
  if (aSent.m_purpose == Purpose::Take) {
    SISKINDEAL_INVARIANT(aObject.m_version > m_lastToken,
                         "fencing tokens only grow");
    m_lastToken = aObject.m_version;
    m_held = Held{ aObject.m_version, {}, {} };
  }
  m_held->m_until = aSent.m_at + Scaled(m_duration, 1 - kClockDrift);
  m_held->m_renewAt = aSent.m_at + m_duration / kRenewalsPerDuration;
}

void
LeaseHolder::Observe(const PlatformObject& aObject, MonotonicTime aNow)
{
  const auto unknown = std::exchange(m_unknown, std::nullopt);
  if (unknown && aObject.m_changeId == unknown->m_changeId) {
    return Took(*unknown, aObject, aNow);
  }
  if (m_seen && aObject.m_version <= m_seen->m_version) {
    return; // as before
  }
  auto value = ParseLease(aObject.m_value);
  if (aObject.m_deleted) {
    value = Missing();
  }
  // A renewal of this lease that took effect after it was given up for lost
  // leaves the lease as it is; anything else is the end of it.
  const bool ownRenewal =
    m_held && value.m_holder == m_holder && value.m_token == m_held->m_token;
  if (m_held && !ownRenewal) {
    Drop();
  }
  const auto version = aObject.m_deleted ? 0 : aObject.m_version;
  m_seen = Seen{ version, std::move(value), aNow };
}

// A missing object may have been deleted under its holder, so that it is left
// alone for as long as one that is held.
LeaseValue
LeaseHolder::Missing() const
{
  return { "unknown", 0, m_duration };
}

void
LeaseHolder::Drop()
{
  m_held.reset();
  m_outranked.reset();
}

} // namespace siskindeal

#include "siskindeal/claims.h"

#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::size_t kRecordBytes = 37; // of one record in a head

} // namespace

ClaimCall
ClaimShard::Get(Op aOp, const std::string& aKey)
{
  m_op = aOp;
  return { ClaimCall::Kind::Get, { aKey, "", 0, "" } };
}

ClaimCall
ClaimShard::WriteHead()
{
  m_op = Op::WriteHead;
  ++m_headWrites;
  return { ClaimCall::Kind::Put, *m_write };
}

void
ClaimShard::DecideWrite(Head aHead)
{
  m_writing = std::move(aHead);
  m_write = PlatformWrite{ m_headKey,
                           ToJson(m_writing),
                           m_version,
                           m_home + "-" + std::to_string(++m_writes) };
  SISKINDEAL_INVARIANT(m_write->m_value.size() <= kPlatformValueBytes,
                       "a head fits into one platform object");
}

std::optional<ClaimCall>
ClaimShard::Next(MonotonicTime aNow)
{
  if (m_op != Op::None || aNow < m_notBefore) {
    return std::nullopt;
  }
  if (m_write) {
    return WriteHead();
  }
  switch (m_phase) {
    case Phase::Unowned:
    case Phase::TakeOver:
      if (!m_isHome || m_pending.empty()) {
        return std::nullopt;
      }
      return Get(Op::ReadHead, m_headKey);
    case Phase::Reading:
      return Get(Op::ReadSegment, m_head.m_sealed[m_segmentsRead].m_key);
    case Phase::Owned:
      return NextOwned(aNow);
  }
  return std::nullopt;
}

std::optional<ClaimCall>
ClaimShard::NextOwned(MonotonicTime aNow)
{
  if (m_seal) {
    m_op = Op::Seal;
    return ClaimCall{ ClaimCall::Kind::Put, *m_seal };
  }
  const bool outcomesDue = m_outcomeDue && aNow >= *m_outcomeDue;
  if (m_pending.empty() && !outcomesDue) {
    if (m_drop.empty()) {
      return std::nullopt;
    }
    return DropSegment();
  }
  if (aNow < m_nextCommit) {
    return std::nullopt;
  }
  const auto records = m_head.m_records.size() + m_outcomes.size() +
                       std::min(m_pending.size(), kMostBatch);
  if (!m_head.m_records.empty() && records * kRecordBytes > m_sealBytes) {
    DecideSeal();
    m_op = Op::Seal;
    return ClaimCall{ ClaimCall::Kind::Put, *m_seal };
  }
  DecideCommit(aNow);
  return WriteHead();
}

// A segment is deleted at the version that it is read at.
ClaimCall
ClaimShard::DropSegment()
{
  if (!m_delete) {
    return Get(Op::Drop, m_drop.front());
  }
  m_op = Op::Drop;
  return { ClaimCall::Kind::Delete, *m_delete };
}

void
ClaimShard::DecideSeal()
{
  const auto name = m_headKey + "/" + std::to_string(m_head.m_epoch) + "-" +
                    std::to_string(++m_seals);
  m_seal = PlatformWrite{ name,
                          ToText(m_head.m_records),
                          0,
                          m_home + "-seal-" + std::to_string(m_seals) };
}

void
ClaimShard::DecideCommit(MonotonicTime aNow)
{
  Head head = m_head;
  while (!m_pending.empty() && m_batch.size() < kMostBatch) {
    const auto& request = m_pending.front().m_request;
    head.m_records[request.m_key] = { request.m_digest, State::Claimed };
    m_batch.push_back(std::move(m_pending.front()));
    m_pending.pop_front();
  }
  for (const auto& key : m_outcomes) {
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && !m_waitingKeys.contains(key)) {
      head.m_records[key] = found->second.m_record;
    }
  }
  m_outcomes.clear();
  m_outcomeDue.reset();
  while (!head.m_sealed.empty() &&
         aNow - head.m_sealed.front().m_kept > m_settings.m_retention) {
    m_dropping.push_back(head.m_sealed.front());
    head.m_sealed.erase(head.m_sealed.begin());
  }
  m_nextCommit = aNow + m_settings.m_commitPeriod;
  DecideWrite(std::move(head));
}

void
ClaimShard::OnReply(const PlatformReply& aReply, MonotonicTime aNow)
{
  Tick(aNow);
  switch (std::exchange(m_op, Op::None)) {
    case Op::None:
      return;
    case Op::ReadHead:
      OnHead(aReply, aNow);
      return;
    case Op::WriteHead:
      OnHeadWritten(aReply, aNow);
      return;
    case Op::ReadSegment:
      OnSegment(aReply, aNow);
      return;
    case Op::Seal:
      OnSealed(aReply, aNow);
      return;
    case Op::Drop:
      OnDropped(aReply, aNow);
      return;
  }
}

void
ClaimShard::Failed(MonotonicTime aNow, std::chrono::milliseconds aRetryAfter)
{
  if (!m_failingSince) {
    m_failingSince = aNow;
  }
  m_notBefore = aNow + std::max(m_backoff, std::min(aRetryAfter, kMostBackoff));
  m_backoff = std::min(m_backoff * 2, kMostBackoff);
}

void
ClaimShard::Worked()
{
  m_failingSince.reset();
  m_backoff = kLeastBackoff;
}

void
ClaimShard::OnHead(const PlatformReply& aReply, MonotonicTime aNow)
{
  const bool missing = aReply.m_outcome == PlatformOutcome::NotFound;
  if (aReply.m_outcome != PlatformOutcome::Ok && !missing) {
    Failed(aNow, aReply.m_retryAfter);
    return;
  }
  Worked();
  if (!m_isHome) {
    return;
  }
  Head head;
  m_version = 0;
  if (!missing) {
    m_version = aReply.m_object.m_version;
    try {
      head = HeadOf(aReply.m_object.m_value);
    } catch (const Error& error) {
      RefusePending(error.what());
      return;
    }
  }
  ++head.m_epoch;
  head.m_home = m_home;
  m_phase = Phase::TakeOver;
  DecideWrite(std::move(head));
}

void
ClaimShard::OnHeadWritten(const PlatformReply& aReply, MonotonicTime aNow)
{
  switch (aReply.m_outcome) {
    case PlatformOutcome::Ok:
      Written(aReply.m_object.m_version, aNow);
      return;
    case PlatformOutcome::Conflict:
      if (aReply.m_object.m_changeId == m_write->m_changeId) {
        Written(aReply.m_object.m_version, aNow); // by an earlier try
      } else {
        Worked();
        LoseHead("the home of this key has moved");
        m_notBefore = aNow + kLeastBackoff;
      }
      return;
    case PlatformOutcome::NotFound:
    case PlatformOutcome::Invalid:
    case PlatformOutcome::Compacted:
      LoseHead("the platform refused the claim");
      Failed(aNow, aReply.m_retryAfter);
      return;
    case PlatformOutcome::Unavailable:
    case PlatformOutcome::Unknown:
      Failed(aNow, aReply.m_retryAfter);
      return;
  }
}

void
ClaimShard::Written(std::uint64_t aVersion, MonotonicTime aNow)
{
  SISKINDEAL_INVARIANT(aVersion > m_version, "a head's version only grows");
  Worked();
  m_version = aVersion;
  m_head = std::move(m_writing);
  m_write.reset();
  if (m_phase == Phase::TakeOver) {
    for (auto& sealed : m_head.m_sealed) {
      sealed.m_kept = aNow;
    }
    m_phase = Phase::Reading;
    m_segmentsRead = 0;
    if (m_head.m_sealed.empty()) {
      FinishReading(aNow);
    }
    return;
  }
  for (auto& sealed : std::exchange(m_dropping, {})) {
    m_drop.push_back(std::move(sealed.m_key));
  }
  for (const auto& pending : std::exchange(m_batch, {})) {
    Grant(pending, aNow);
  }
}

void
ClaimShard::Grant(const Pending& aPending, MonotonicTime aNow)
{
  const auto& key = aPending.m_request.m_key;
  m_waitingKeys.erase(key);
  const auto [found, added] = m_entries.try_emplace(key);
  auto& entry = found->second;
  SISKINDEAL_INVARIANT(added || entry.m_record.m_state == State::NotRun,
                       "a key is granted once until it has provably not run");
  entry.m_record = { aPending.m_request.m_digest, State::Claimed };
  entry.m_ticket = aPending.m_ticket;
  Remember(key, entry, aNow);
  if (aPending.m_ticket == 0) {
    entry.m_record.m_state = State::NotRun;
    MarkOutcome(key, aNow);
    return;
  }
  ++m_granted;
  m_running[aPending.m_ticket] = key;
  Answer(aPending.m_ticket, ClaimGranted{ aPending.m_ticket });
}

// What was granted goes on running; its outcome is the new home's "may have
// run".
void
ClaimShard::LoseHead(const std::string& aWhat)
{
  m_phase = Phase::Unowned;
  m_write.reset();
  m_seal.reset();
  for (const auto& pending : m_batch) {
    if (pending.m_ticket != 0) {
      RefuseUnavailable(pending.m_ticket, aWhat);
    }
    m_waitingKeys.erase(pending.m_request.m_key);
  }
  m_batch.clear();
  m_dropping.clear();
  m_drop.clear();
  m_delete.reset();
  m_outcomes.clear();
  m_outcomeDue.reset();
  m_entries.clear();
  m_byAge.clear();
  m_answerOrder.clear();
  m_answerBytes = 0;
  m_head = {};
  m_version = 0;
  if (!m_isHome) {
    RefusePending(aWhat);
  }
}

void
ClaimShard::OnSegment(const PlatformReply& aReply, MonotonicTime aNow)
{
  // A missing segment can't be told from a lost one: nothing is granted then.
  if (aReply.m_outcome != PlatformOutcome::Ok) {
    Failed(aNow, aReply.m_retryAfter);
    return;
  }
  try {
    Merge(RecordsOf(aReply.m_object.m_value), aNow);
  } catch (const Error& error) {
    RefusePending(error.what());
    Failed(aNow, kMostBackoff);
    return;
  }
  Worked();
  if (++m_segmentsRead == m_head.m_sealed.size()) {
    FinishReading(aNow);
  }
}

void
ClaimShard::FinishReading(MonotonicTime aNow)
{
  Merge(m_head.m_records, aNow);
  m_phase = Phase::Owned;
  // Those that waited for the record to be read may be duplicates.
  for (auto& pending : std::exchange(m_pending, {})) {
    m_waitingKeys.erase(pending.m_request.m_key);
    if (!AnswerDuplicate(pending.m_ticket, pending.m_request)) {
      m_waitingKeys[pending.m_request.m_key] = pending.m_ticket;
      m_pending.push_back(std::move(pending));
    }
  }
}

// The age of what another home has recorded is counted from here, so that no
// two clocks are compared.
void
ClaimShard::Merge(const Records& aRecords, MonotonicTime aNow)
{
  for (const auto& [key, record] : aRecords) {
    const auto [found, added] = m_entries.try_emplace(key);
    found->second.m_record = record;
    if (added) {
      Remember(key, found->second, aNow);
    }
  }
}

void
ClaimShard::OnSealed(const PlatformReply& aReply, MonotonicTime aNow)
{
  const bool done = aReply.m_outcome == PlatformOutcome::Ok ||
                    (aReply.m_outcome == PlatformOutcome::Conflict &&
                     aReply.m_object.m_changeId == m_seal->m_changeId);
  if (done) {
    Worked();
    m_head.m_sealed.push_back({ m_seal->m_key, aNow });
    m_head.m_records.clear();
    m_seal.reset();
    return;
  }
  if (aReply.m_outcome == PlatformOutcome::Conflict) {
    m_seal.reset(); // the next name
    return;
  }
  Failed(aNow, aReply.m_retryAfter);
}

void
ClaimShard::OnDropped(const PlatformReply& aReply, MonotonicTime aNow)
{
  if (aReply.m_outcome == PlatformOutcome::Unavailable ||
      aReply.m_outcome == PlatformOutcome::Unknown) {
    Failed(aNow, aReply.m_retryAfter);
    return;
  }
  Worked();
  if (aReply.m_outcome == PlatformOutcome::Ok && !m_delete) {
    m_delete = PlatformWrite{ m_drop.front(),
                              "",
                              aReply.m_object.m_version,
                              m_home + "-drop-" + std::to_string(++m_writes) };
    return;
  }
  m_delete.reset();
  if (!m_drop.empty()) {
    m_drop.pop_front();
  }
}

} // namespace siskindeal

#include "siskindeal/claims.h"

#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::size_t kRecordBytes = 37; // encoded size of a record

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
ClaimShard::PrepareHeadWrite(Head aHead)
{
  m_preparedHead = std::move(aHead);
  m_write = PlatformWrite{ m_headKey,
                           EncodeHead(m_preparedHead),
                           m_version,
                           m_home + "-" + std::to_string(++m_writeSequence) };
  SISKINDEAL_INVARIANT(m_write->m_value.size() <= kMaxPlatformValueBytes,
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
  if (m_sealWrite) {
    m_op = Op::Seal;
    return ClaimCall{ ClaimCall::Kind::Put, *m_sealWrite };
  }
  const bool outcomesDue = m_outcomeDue && aNow >= *m_outcomeDue;
  if (m_pending.empty() && !outcomesDue) {
    if (m_segmentsToDelete.empty()) {
      return std::nullopt;
    }
    return DeleteSegment();
  }
  if (aNow < m_nextCommit) {
    return std::nullopt;
  }
  const auto records = m_head.m_records.size() + m_queuedOutcomes.size() +
                       std::min(m_pending.size(), kMaxBatch);
  if (!m_head.m_records.empty() && records * kRecordBytes > m_sealBytes) {
    PrepareSeal();
    m_op = Op::Seal;
    return ClaimCall{ ClaimCall::Kind::Put, *m_sealWrite };
  }
  PrepareCommit(aNow);
  return WriteHead();
}

// Reads the segment first: a delete needs its version.
ClaimCall
ClaimShard::DeleteSegment()
{
  if (!m_deleteWrite) {
    return Get(Op::DeleteSegment, m_segmentsToDelete.front());
  }
  m_op = Op::DeleteSegment;
  return { ClaimCall::Kind::Delete, *m_deleteWrite };
}

void
ClaimShard::PrepareSeal()
{
  const auto name = m_headKey + "/" + std::to_string(m_head.m_epoch) + "-" +
                    std::to_string(++m_sealSequence);
  m_sealWrite =
    PlatformWrite{ name,
                   EncodeRecords(m_head.m_records),
                   0,
                   m_home + "-seal-" + std::to_string(m_sealSequence) };
}

void
ClaimShard::PrepareCommit(MonotonicTime aNow)
{
  Head head = m_head;
  while (!m_pending.empty() && m_batch.size() < kMaxBatch) {
    const auto& request = m_pending.front().m_request;
    head.m_records[request.m_key] = { request.m_digest, State::Claimed };
    m_batch.push_back(std::move(m_pending.front()));
    m_pending.pop_front();
  }
  for (const auto& key : m_queuedOutcomes) {
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && !m_waitingKeys.contains(key)) {
      head.m_records[key] = found->second.m_record;
    }
  }
  m_queuedOutcomes.clear();
  m_outcomeDue.reset();
  while (!head.m_sealed.empty() &&
         aNow - head.m_sealed.front().m_retainedSince >
           m_settings.m_retention) {
    m_expiredSegments.push_back(head.m_sealed.front());
    head.m_sealed.erase(head.m_sealed.begin());
  }
  m_nextCommit = aNow + m_settings.m_commitPeriod;
  PrepareHeadWrite(std::move(head));
}

void
ClaimShard::OnReply(const PlatformReply& aReply, MonotonicTime aNow)
{
  Tick(aNow);
  switch (std::exchange(m_op, Op::None)) {
    case Op::None:
      return;
    case Op::ReadHead:
      OnHeadRead(aReply, aNow);
      return;
    case Op::WriteHead:
      OnHeadWritten(aReply, aNow);
      return;
    case Op::ReadSegment:
      OnSegmentRead(aReply, aNow);
      return;
    case Op::Seal:
      OnSegmentSealed(aReply, aNow);
      return;
    case Op::DeleteSegment:
      OnSegmentDeleted(aReply, aNow);
      return;
  }
}

void
ClaimShard::RecordFailure(MonotonicTime aNow,
                          std::chrono::milliseconds aRetryAfter)
{
  if (!m_failingSince) {
    m_failingSince = aNow;
  }
  m_notBefore = aNow + std::max(m_backoff, std::min(aRetryAfter, kMaxBackoff));
  m_backoff = std::min(m_backoff * 2, kMaxBackoff);
}

void
ClaimShard::RecordSuccess()
{
  m_failingSince.reset();
  m_backoff = kMinBackoff;
}

void
ClaimShard::OnHeadRead(const PlatformReply& aReply, MonotonicTime aNow)
{
  const bool missing = aReply.m_outcome == PlatformOutcome::NotFound;
  if (aReply.m_outcome != PlatformOutcome::Ok && !missing) {
    RecordFailure(aNow, aReply.m_retryAfter);
    return;
  }
  RecordSuccess();
  if (!m_isHome) {
    return;
  }
  Head head;
  m_version = 0;
  if (!missing) {
    m_version = aReply.m_object.m_version;
    try {
      head = DecodeHead(aReply.m_object.m_value);
    } catch (const Error& error) {
      RefusePending(error.what());
      return;
    }
  }
  ++head.m_epoch;
  head.m_home = m_home;
  m_phase = Phase::TakeOver;
  PrepareHeadWrite(std::move(head));
}

void
ClaimShard::OnHeadWritten(const PlatformReply& aReply, MonotonicTime aNow)
{
  switch (aReply.m_outcome) {
    case PlatformOutcome::Ok:
      CommitHead(aReply.m_object.m_version, aNow);
      return;
    case PlatformOutcome::Conflict:
      if (aReply.m_object.m_changeId == m_write->m_changeId) {
        CommitHead(aReply.m_object.m_version, aNow); // by an earlier attempt
      } else {
        RecordSuccess();
        LoseOwnership("the home of this key has moved");
        m_notBefore = aNow + kMinBackoff;
      }
      return;
    case PlatformOutcome::NotFound:
    case PlatformOutcome::Invalid:
    case PlatformOutcome::Compacted:
      LoseOwnership("the platform rejected the claim write");
      RecordFailure(aNow, aReply.m_retryAfter);
      return;
    case PlatformOutcome::Unavailable:
    case PlatformOutcome::Unknown:
      RecordFailure(aNow, aReply.m_retryAfter);
      return;
  }
}

void
ClaimShard::CommitHead(std::uint64_t aVersion, MonotonicTime aNow)
{
  SISKINDEAL_INVARIANT(aVersion > m_version,
                       "the version of the head object increases");
  RecordSuccess();
  m_version = aVersion;
  m_head = std::move(m_preparedHead);
  m_write.reset();
  if (m_phase == Phase::TakeOver) {
    for (auto& sealed : m_head.m_sealed) {
      sealed.m_retainedSince = aNow;
    }
    m_phase = Phase::Reading;
    m_segmentsRead = 0;
    if (m_head.m_sealed.empty()) {
      FinishTakeOver(aNow);
    }
    return;
  }
  for (auto& sealed : std::exchange(m_expiredSegments, {})) {
    m_segmentsToDelete.push_back(std::move(sealed.m_key));
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
  SISKINDEAL_INVARIANT(
    added || entry.m_record.m_state == State::NotRun,
    "a key is granted again only if it provably did not run");
  entry.m_record = { aPending.m_request.m_digest, State::Claimed };
  entry.m_ticket = aPending.m_ticket;
  StartRetention(key, entry, aNow);
  if (aPending.m_ticket == 0) {
    entry.m_record.m_state = State::NotRun;
    QueueOutcome(key, aNow);
    return;
  }
  ++m_granted;
  m_running[aPending.m_ticket] = key;
  Answer(aPending.m_ticket, ClaimGranted{ aPending.m_ticket });
}

// Granted requests keep running. The new home treats them as possibly run.
void
ClaimShard::LoseOwnership(const std::string& aWhat)
{
  m_phase = Phase::Unowned;
  m_write.reset();
  m_sealWrite.reset();
  for (const auto& pending : m_batch) {
    if (pending.m_ticket != 0) {
      RefuseUnavailable(pending.m_ticket, aWhat);
    }
    m_waitingKeys.erase(pending.m_request.m_key);
  }
  m_batch.clear();
  m_expiredSegments.clear();
  m_segmentsToDelete.clear();
  m_deleteWrite.reset();
  m_queuedOutcomes.clear();
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
ClaimShard::OnSegmentRead(const PlatformReply& aReply, MonotonicTime aNow)
{
  // A missing segment may mean lost records, so nothing is granted until it can
  // be read.
  if (aReply.m_outcome != PlatformOutcome::Ok) {
    RecordFailure(aNow, aReply.m_retryAfter);
    return;
  }
  try {
    Merge(DecodeRecords(aReply.m_object.m_value), aNow);
  } catch (const Error& error) {
    RefusePending(error.what());
    RecordFailure(aNow, kMaxBackoff);
    return;
  }
  RecordSuccess();
  if (++m_segmentsRead == m_head.m_sealed.size()) {
    FinishTakeOver(aNow);
  }
}

void
ClaimShard::FinishTakeOver(MonotonicTime aNow)
{
  Merge(m_head.m_records, aNow);
  m_phase = Phase::Owned;
  // Claims that arrived before the records were read may be duplicates.
  for (auto& pending : std::exchange(m_pending, {})) {
    m_waitingKeys.erase(pending.m_request.m_key);
    if (!AnswerDuplicate(pending.m_ticket, pending.m_request)) {
      m_waitingKeys[pending.m_request.m_key] = pending.m_ticket;
      m_pending.push_back(std::move(pending));
    }
  }
}

// The retention of another home's records starts now, so that clocks of two
// VMs are never compared.
void
ClaimShard::Merge(const Records& aRecords, MonotonicTime aNow)
{
  for (const auto& [key, record] : aRecords) {
    const auto [found, added] = m_entries.try_emplace(key);
    found->second.m_record = record;
    if (added) {
      StartRetention(key, found->second, aNow);
    }
  }
}

void
ClaimShard::OnSegmentSealed(const PlatformReply& aReply, MonotonicTime aNow)
{
  const bool done = aReply.m_outcome == PlatformOutcome::Ok ||
                    (aReply.m_outcome == PlatformOutcome::Conflict &&
                     aReply.m_object.m_changeId == m_sealWrite->m_changeId);
  if (done) {
    RecordSuccess();
    m_head.m_sealed.push_back({ m_sealWrite->m_key, aNow });
    m_head.m_records.clear();
    m_sealWrite.reset();
    return;
  }
  if (aReply.m_outcome == PlatformOutcome::Conflict) {
    m_sealWrite.reset(); // the name is taken; retry with the next one
    return;
  }
  RecordFailure(aNow, aReply.m_retryAfter);
}

void
ClaimShard::OnSegmentDeleted(const PlatformReply& aReply, MonotonicTime aNow)
{
  if (aReply.m_outcome == PlatformOutcome::Unavailable ||
      aReply.m_outcome == PlatformOutcome::Unknown) {
    RecordFailure(aNow, aReply.m_retryAfter);
    return;
  }
  RecordSuccess();
  if (aReply.m_outcome == PlatformOutcome::Ok && !m_deleteWrite) {
    m_deleteWrite =
      PlatformWrite{ m_segmentsToDelete.front(),
                     "",
                     aReply.m_object.m_version,
                     m_home + "-drop-" + std::to_string(++m_writeSequence) };
    return;
  }
  m_deleteWrite.reset();
  if (!m_segmentsToDelete.empty()) {
    m_segmentsToDelete.pop_front();
  }
}

} // namespace siskindeal

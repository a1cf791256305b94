#include "siskindeal/claims.h"

#include "siskindeal/fleet_config.h"
#include "siskindeal/invariant.h"

#include <algorithm>

namespace siskindeal {

ClaimShard::ClaimShard(const std::string& aService,
                       std::uint32_t aShard,
                       const std::string& aHome,
                       const ClaimSettings& aSettings,
                       std::size_t aSealBytes)
  : m_headKey(kClaimPrefix + aService + '/' + std::to_string(aShard))
  , m_home(aHome)
  , m_settings(aSettings)
  , m_sealBytes(aSealBytes)
{
}

void
ClaimShard::SetHome(bool aIsHome)
{
  m_isHome = aIsHome;
  if (m_isHome) {
    return;
  }
  RefusePending("another agent is the home of this key");
  if (m_phase == Phase::TakeOver && m_op == Op::None) {
    LoseOwnership("another agent is the home of this key");
  }
}

void
ClaimShard::Answer(std::uint64_t aTicket, ClaimResult aResult)
{
  m_results.push_back({ aTicket, std::move(aResult) });
}

void
ClaimShard::RefuseUnavailable(std::uint64_t aTicket, const std::string& aWhat)
{
  Answer(aTicket,
         Error(Reason::ClaimUnavailable, Verdict::NotRun, aWhat, kRetryAfter));
}

void
ClaimShard::RefusePending(const std::string& aWhat)
{
  for (const auto& pending : m_pending) {
    RefuseUnavailable(pending.m_ticket, aWhat);
    m_waitingKeys.erase(pending.m_request.m_key);
  }
  m_pending.clear();
}

bool
ClaimShard::AnswerDuplicate(std::uint64_t aTicket, const ClaimRequest& aRequest)
{
  const auto waiting = m_waitingKeys.find(aRequest.m_key);
  if (waiting != m_waitingKeys.end()) {
    if (waiting->second == 0) {
      RefuseUnavailable(
        aTicket, "a write for an earlier claim of this key is in flight");
    } else {
      Answer(aTicket,
             Error(Reason::Duplicate,
                   Verdict::MayHaveRun,
                   "a request with this key is in progress",
                   kRetryAfter));
    }
    return true;
  }
  const auto found = m_entries.find(aRequest.m_key);
  if (found == m_entries.end()) {
    return false;
  }
  const auto& entry = found->second;
  if (entry.m_record.m_digest != aRequest.m_digest) {
    Answer(aTicket,
           Error(Reason::Conflict,
                 Verdict::NotRun,
                 "the key was used for another request"));
    return true;
  }
  switch (entry.m_record.m_state) {
    case State::NotRun:
      return false;
    case State::Ran:
      if (entry.m_answer) {
        Answer(aTicket, *entry.m_answer);
      } else {
        Answer(
          aTicket,
          Error(Reason::Duplicate,
                Verdict::Ran,
                "a request with this key has run; its response is not stored"));
      }
      return true;
    case State::Claimed:
      break;
  }
  const bool running = entry.m_ticket != 0;
  Answer(aTicket,
         Error(Reason::Duplicate,
               Verdict::MayHaveRun,
               running ? "a request with this key is in progress"
                       : "a request with this key may have run",
               running ? kRetryAfter : std::chrono::milliseconds(0)));
  return true;
}

void
ClaimShard::Claim(std::uint64_t aTicket,
                  const ClaimRequest& aRequest,
                  MonotonicTime aNow)
{
  if (!m_isHome) {
    RefuseUnavailable(aTicket, "another agent is the home of this key");
    return;
  }
  if (AnswerDuplicate(aTicket, aRequest)) {
    return;
  }
  // During an outage one claim at a time probes the platform.
  const bool probeInFlight =
    m_op != Op::None || m_write || m_sealWrite || !m_pending.empty();
  if (probeInFlight && m_failingSince &&
      aNow - *m_failingSince >= kOutageThreshold) {
    RefuseUnavailable(aTicket,
                      "the platform is unavailable; claims can't be written");
    return;
  }
  const bool full = m_entries.size() + m_pending.size() + m_batch.size() >=
                      m_settings.m_most / kClaimShards ||
                    m_pending.size() >= kMaxPending ||
                    m_head.m_sealed.size() >= kMaxSealed;
  if (full) {
    RefuseUnavailable(aTicket, "the claim log is full");
    return;
  }
  m_waitingKeys[aRequest.m_key] = aTicket;
  m_pending.push_back(
    { aTicket, aRequest, std::min(aRequest.m_deadline, aNow + kMaxWait) });
}

void
ClaimShard::Finish(std::uint64_t aTicket,
                   Verdict aVerdict,
                   std::optional<StoredAnswer> aAnswer,
                   MonotonicTime aNow)
{
  const auto running = m_running.find(aTicket);
  if (running == m_running.end()) {
    return;
  }
  const auto key = running->second;
  m_running.erase(running);
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return;
  }
  auto& entry = found->second;
  // If another agent was the home in the meantime, the record was read from the
  // platform again and has no ticket.
  const bool own =
    entry.m_ticket == aTicket ||
    (entry.m_ticket == 0 && entry.m_record.m_state == State::Claimed);
  if (!own) {
    return;
  }
  entry.m_ticket = 0;
  StartRetention(key, entry, aNow);
  switch (aVerdict) {
    case Verdict::MayHaveRun:
      return;
    case Verdict::NotRun:
      entry.m_record.m_state = State::NotRun;
      break;
    case Verdict::Ran:
      entry.m_record.m_state = State::Ran;
      if (aAnswer) {
        StoreAnswer(key, std::move(*aAnswer));
      }
      break;
  }
  QueueOutcome(key, aNow);
}

void
ClaimShard::QueueOutcome(const std::string& aKey, MonotonicTime aNow)
{
  m_queuedOutcomes.push_back(aKey);
  if (!m_outcomeDue) {
    m_outcomeDue = aNow + kOutcomeDelay;
  }
}

void
ClaimShard::StoreAnswer(const std::string& aKey, StoredAnswer aAnswer)
{
  const auto maxBytes = m_settings.m_answerBytes / kClaimShards;
  const auto bytes = aAnswer.m_body.size();
  if (bytes > maxBytes) {
    return;
  }
  while (m_answerBytes + bytes > maxBytes && !m_answerOrder.empty()) {
    const auto found = m_entries.find(m_answerOrder.front());
    m_answerOrder.pop_front();
    if (found != m_entries.end() && found->second.m_answer) {
      m_answerBytes -= found->second.m_answer->m_body.size();
      found->second.m_answer.reset();
    }
  }
  m_entries[aKey].m_answer = std::move(aAnswer);
  m_answerBytes += bytes;
  m_answerOrder.push_back(aKey);
  SISKINDEAL_INVARIANT(m_answerBytes <= maxBytes,
                       "stored answers stay within their limit");
}

void
ClaimShard::RemoveEntry(const std::string& aKey)
{
  const auto found = m_entries.find(aKey);
  if (found == m_entries.end()) {
    return;
  }
  if (found->second.m_answer) {
    m_answerBytes -= found->second.m_answer->m_body.size();
    std::erase(m_answerOrder, aKey);
  }
  m_entries.erase(found);
}

void
ClaimShard::Tick(MonotonicTime aNow)
{
  const std::string what = "timed out waiting for the claim to become durable";
  std::erase_if(m_pending, [&](const Pending& aPending) {
    if (aNow < aPending.m_expiresAt) {
      return false;
    }
    RefuseUnavailable(aPending.m_ticket, what);
    m_waitingKeys.erase(aPending.m_request.m_key);
    return true;
  });
  for (auto& pending : m_batch) {
    if (pending.m_ticket != 0 && aNow >= pending.m_expiresAt) {
      RefuseUnavailable(pending.m_ticket, what);
      pending.m_ticket = 0;
      m_waitingKeys[pending.m_request.m_key] = 0;
    }
  }
  while (!m_byAge.empty() &&
         aNow - m_byAge.front().first > m_settings.m_retention) {
    const auto [since, key] = m_byAge.front();
    m_byAge.pop_front();
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.m_retainedSince != since) {
      continue; // its retention has restarted
    }
    if (found->second.m_ticket != 0) {
      StartRetention(key, found->second, aNow); // still running
    } else {
      RemoveEntry(key);
    }
  }
}

void
ClaimShard::StartRetention(const std::string& aKey,
                           Entry& aEntry,
                           MonotonicTime aNow)
{
  aEntry.m_retainedSince = aNow;
  m_byAge.emplace_back(aNow, aKey);
}

std::optional<MonotonicTime>
ClaimShard::DueAt() const
{
  std::optional<MonotonicTime> due;
  const auto consider = [&](MonotonicTime aTime) {
    due = due ? std::min(*due, aTime) : aTime;
  };
  for (const auto& pending : m_pending) {
    consider(pending.m_expiresAt);
  }
  for (const auto& pending : m_batch) {
    if (pending.m_ticket != 0) {
      consider(pending.m_expiresAt);
    }
  }
  if (m_op != Op::None) {
    return due;
  }
  if (m_write || m_sealWrite || m_phase == Phase::Reading ||
      !m_segmentsToDelete.empty()) {
    consider(m_notBefore);
  }
  if (!m_pending.empty()) {
    consider(m_phase == Phase::Owned ? std::max(m_notBefore, m_nextCommit)
                                     : m_notBefore);
  }
  if (m_phase == Phase::Owned && m_outcomeDue) {
    consider(std::max(m_notBefore, *m_outcomeDue));
  }
  return due;
}

std::vector<ClaimShard::Result>
ClaimShard::TakeResults()
{
  return std::exchange(m_results, {});
}

} // namespace siskindeal
